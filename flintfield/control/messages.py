"""What schedulers say to one another about the operator's orders: records 121 and 122."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from flintfield.transport.records import record


class Kind(enum.IntEnum):
    """What an order does with the configuration."""

    REPLACE = 1
    UPDATE = 2


@record(121)
@dataclass(frozen=True, slots=True)
class ForwardedOrder:
    """An operator's order as it came: `base_version` is the header's text, `packed_body` the body packed
    (RFC 1950). It may come late, and more than once; the same order is the same by its digest."""

    kind: Kind
    base_version: str | None
    packed_body: bytes


@record(122)
@dataclass(frozen=True, slots=True)
class ForwardedAnswer:
    """What the operator is to be answered: the HTTP status and the body."""

    status: int
    body: bytes
