"""Responses to callers, and the encoding of a response to a regular request."""

from __future__ import annotations

import h11

from flintfield.decision.values import value
from flintfield.wire.http1.submission import BadRequest


@value
class Reply:
    """A response before encoding."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()
    close: bool = False


def reply_to_bad(error: BadRequest | h11.RemoteProtocolError) -> Reply:
    """The response to a request that can't be parsed or is invalid."""
    status = error.status if isinstance(error, BadRequest) else error.error_status_hint
    return Reply(status, f"{error}\n".encode(), (), close=True)


def frame(reply: Reply) -> bytes:
    """Encode the response to a regular request, byte for byte as h11 would."""
    headers = b"".join(b"%b: %b\r\n" % pair for pair in reply.headers)
    close = b"Connection: close\r\n" if reply.close else b""
    return b"HTTP/1.1 %d \r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        reply.status, headers, len(reply.body), close, reply.body)
