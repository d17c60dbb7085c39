"""An operator's order, and how it stands to a value of the register (no I/O, no state).

The register's record holds digests of the newest orders that were taken, so that an order that is sent again
is acknowledged again by whichever process gets it. Versions only rise, so an order whose base version has
been passed can never be taken later: refusing it is final.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass

from flintfield.control import documents
from flintfield.control.stored import FORMAT, StoredConfiguration, decode_stored, encode_stored

REMEMBERED_ORDERS = 64  # an operator has at most 8 under way, and repeats them for seconds


class Kind(enum.IntEnum):
    """What an order does with the configuration."""

    REPLACE = 1
    UPDATE = 2


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
    STALE = "stale"  # another version is current
    INVALID = "invalid"  # on top of the value it describes an invalid configuration


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict, the record to be written where it is `POSSIBLE`, and the reason of a refusal."""

    verdict: Verdict
    successor: bytes | None = None
    reason: str = ""


def read_order(kind: Kind, base_version: int, body: bytes) -> Order:
    """The order in a request; raises `documents.InvalidConfiguration` where it is invalid on top of anything.
    """
    content = documents.parse(body)
    if kind is Kind.REPLACE:
        documents.check_whole(content)
    else:
        documents.check_change(content)
    canonical = documents.dump_sorted(content)
    digest = hashlib.sha256(f"{kind.name} {base_version} ".encode() + canonical).digest()
    return Order(kind, base_version, content, digest)


def judge(order: Order, value: bytes | None) -> Judgement:
    """How this order stands to this value of the register."""
    stored = StoredConfiguration(FORMAT, 0, b"", ()) if value is None else decode_stored(value)
    if order.digest in stored.taken:
        return Judgement(Verdict.TAKEN)
    if order.base_version != stored.version:
        return Judgement(Verdict.STALE, reason=f"version {stored.version} is current")
    if order.version <= stored.version:
        return Judgement(Verdict.INVALID, reason=f"version: {order.version} is not above {stored.version}")
    try:
        document = _result(order, stored)
    except documents.InvalidConfiguration as error:
        return Judgement(Verdict.INVALID, reason=str(error))
    taken = (*stored.taken, order.digest)[-REMEMBERED_ORDERS:]
    return Judgement(Verdict.POSSIBLE, encode_stored(order.version, documents.dump(document), taken))


def _result(order: Order, stored: StoredConfiguration) -> documents.Document:
    if order.kind is Kind.REPLACE:
        return order.content
    if not stored.document:
        raise documents.InvalidConfiguration("there is no configuration to update")
    return documents.merge(documents.parse(stored.document), order.content)
