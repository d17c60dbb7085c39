"""An operator's order, and how it stands to a value of the register (no I/O, no state).

The register's record holds digests of the newest orders that were taken, so that an order that is sent again
is acknowledged again by whichever process gets it. Versions only rise, so an order whose base version has
been passed can never be taken later: refusing it is final.

The orders that were taken form a chain: each begins at the version where the one before ended. All of them
from `StoredConfiguration.remembered_from` on are remembered. An older one would lie below that version whole,
so of an order that does, nobody can tell any more whether it was taken: it is `FORGOTTEN`, and never refused.
An order that begins below and ends above is no part of the chain.

Two operators' orders of the same kind, base and content are one order: whichever is taken, both want exactly
what is then in force, and a caller that repeats its own order can't be told from another one that sends it.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass

from flintfield.control import documents
from flintfield.control.messages import Kind
from flintfield.control.stored import (
    MOST_DOCUMENT_BYTES,
    NOTHING_STORED,
    StoredConfiguration,
    decode_stored,
    encode_stored,
)

REMEMBERED_ORDERS = 128  # 12 s of changes at 10 a second; an operator repeats an order for seconds
DIGEST_BYTES = 16  # kept of each; former releases kept 32, of which the first ones are compared


@dataclass(frozen=True, slots=True)
class Order:
    """A checked order. `digest` tells it from every other one."""

    kind: Kind
    base_version: int
    content: documents.Document
    digest: bytes

    @property
    def version(self) -> int:
        """The version that the order gives to the result."""
        version: int = self.content["version"]
        return version


class Verdict(enum.Enum):
    """How an order stands to a value of the register."""

    TAKEN = "taken"  # it is part of the value's history
    POSSIBLE = "possible"  # it can be taken on top of the value
    STALE = "stale"  # another version is current, and it was never taken
    FORGOTTEN = "forgotten"  # it may have been taken before all orders that are remembered
    INVALID = "invalid"  # on top of the value it describes an invalid configuration


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict, the record to be written where it is `POSSIBLE`, and the reason of a refusal."""

    verdict: Verdict
    successor: bytes | None = None
    reason: str = ""


def read_order(kind: Kind, base_version: int, body: bytes) -> Order:
    """The order in a request; raises `InvalidConfiguration` where it is invalid on any base."""
    content = documents.parse(body)
    if kind is Kind.REPLACE:
        documents.check_whole(content)
    else:
        documents.check_change(content)
    canonical = documents.dump_sorted(content)
    digest = hashlib.sha256(f"{kind.name} {base_version} ".encode() + canonical).digest()
    return Order(kind, base_version, content, digest[:DIGEST_BYTES])


def judge(order: Order, value: bytes | None) -> Judgement:
    """How this order stands to this value of the register."""
    stored = NOTHING_STORED if value is None else decode_stored(value)
    if any(digest[:DIGEST_BYTES] == order.digest for digest in stored.taken):
        return Judgement(Verdict.TAKEN)
    if order.base_version != stored.version:
        return _passed(order, stored)
    if order.version <= stored.version:
        return Judgement(Verdict.INVALID, reason=f"version: {order.version} is not above {stored.version}")
    try:
        document = _document_after(order, stored)
    except documents.InvalidConfiguration as error:
        return Judgement(Verdict.INVALID, reason=str(error))
    return Judgement(Verdict.POSSIBLE, _successor(order, stored, document))


def _passed(order: Order, stored: StoredConfiguration) -> Judgement:
    """How an order stands whose base version is not the current one."""
    if max(order.base_version, order.version) <= stored.remembered_from:
        return Judgement(Verdict.FORGOTTEN, reason=f"orders up to {stored.remembered_from} are forgotten")
    return Judgement(Verdict.STALE, reason=f"version {stored.version} is current")


def _successor(order: Order, stored: StoredConfiguration, document: bytes) -> bytes:
    """The record after this order was taken."""
    taken = (*stored.taken, order.digest)[-REMEMBERED_ORDERS:]
    bases = (*stored.taken_bases, order.base_version)[-REMEMBERED_ORDERS:]
    return encode_stored(order.version, document, taken, bases)


def _document_after(order: Order, stored: StoredConfiguration) -> bytes:
    """The document after this order; raises `InvalidConfiguration`, also if it is too long to be read."""
    document = documents.dump(_result(order, stored))
    if len(document) > MOST_DOCUMENT_BYTES:
        raise documents.InvalidConfiguration(f"the whole would be above {MOST_DOCUMENT_BYTES} bytes")
    return document


def _result(order: Order, stored: StoredConfiguration) -> documents.Document:
    if order.kind is Kind.REPLACE:
        return order.content
    if not stored.document:
        raise documents.InvalidConfiguration("there is no configuration to update")
    return documents.merge(documents.parse(stored.document), order.content)
