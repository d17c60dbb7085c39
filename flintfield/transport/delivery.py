"""Sends an HTTP answer in pieces, and tells how much of its body left before the connection ended.

A body that is written in one piece tells nothing until all of it has left, and is held twice meanwhile. Here
the next piece is written once the kernel has taken the one before, so that a caller that gives up is noticed
within one piece.
"""

from __future__ import annotations

from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError

from flintfield.transport.http import answer_head

PIECE_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Delivery:
    """How far an answer came: the bytes of its body that the kernel took, and whether these were all."""

    sent_bytes: int
    complete: bool


async def respond_in_pieces(
    request: HTTPServerRequest, status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> Delivery:
    """Answer a request; returns once the whole answer was handed to the kernel, or the connection has ended.

    A cancelled call leaves the answer cut short; the connection must be closed then.
    """
    connection = request.connection
    assert isinstance(connection, HTTP1Connection)
    start, fields = answer_head(status, body, headers=headers)
    sent_bytes = 0
    try:
        await connection.write_headers(start, fields)
        if connection.stream.closed():
            return Delivery(sent_bytes, False)
        for begin in range(0, len(body), PIECE_BYTES):
            piece = body[begin : begin + PIECE_BYTES]
            await connection.write(piece)
            if connection.stream.closed():
                return Delivery(sent_bytes, False)
            sent_bytes += len(piece)
        connection.finish()
    except StreamClosedError:
        return Delivery(sent_bytes, False)
    return Delivery(sent_bytes, True)
