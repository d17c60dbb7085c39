"""How a remote call fails, told apart by what the peer may have done."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.transport.records import record


class RpcError(Exception):
    """A remote call without a result; its text says why."""


class Unreachable(RpcError):
    """Nothing was sent: the call may be made again anywhere."""


class Unanswered(RpcError):
    """The request was sent and no answer came: the peer may have taken it in, or may yet do so."""


class Rejected(RpcError):
    """The peer answered with a failure frame (no handler, malformed, overload, handler failed) or this side
    refused to send a message above the largest frame."""


@record(65_000)
@dataclass(frozen=True, slots=True)
class Failure:
    """What a failure frame carries: why a request got no reply."""

    text: str
