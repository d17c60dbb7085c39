"""Incremental parser for a caller's request: the fast reader if it is regular, h11 otherwise.

A `RequestReader` is fed the bytes of one request (`take`) and returns it once it is complete. While head and
length are regular and only the body is incomplete, the pieces are buffered unparsed; in any other case h11
parses everything received so far. It does no I/O.
"""

from __future__ import annotations

import h11

from flintfield.wire.http1.regular import Start, read_start
from flintfield.wire.http1.submission import MAX_BODY, BadRequest, Request, check_head


MAX_PIECES = 64


class Ended(Exception):
    """The caller closed its connection without a request."""


class RequestReader:
    """Parses one request; with `regular` False, h11 parses everything."""

    __slots__ = ("_body", "_head", "_missing", "_pieces", "_regular", "_start", "parser")

    def __init__(self, regular: bool = True) -> None:
        self._regular = regular
        self._start: Start | None = None  # a regular head
        self._pieces: list[bytes] = []  # everything received, while it is regular
        self._missing = 0  # bytes of the body not yet received
        self.parser: h11.Connection | None = None  # None while the request is regular
        self._head: h11.Request | None = None
        self._body = bytearray()

    def take(self, data: bytes) -> Request | None:
        """Add received bytes; returns the request once it is complete.

        `data` is empty if the caller has closed its connection. An invalid request raises `BadRequest` or
        h11's error.
        """
        if self.parser:
            self.parser.receive_data(data)
            return self._read(self.parser)
        self._pieces.append(data)
        if self._start:
            self._missing -= len(data)
        elif self._regular and (start := read_start(data)):
            self._start, self._missing = start, start.size - len(data)
        if self._start and self._missing > 0 and data:
            if len(self._pieces) > MAX_PIECES:  # bounds the list if a body arrives byte by byte
                self._pieces = [b"".join(self._pieces)]
            return None
        whole, self._pieces = b"".join(self._pieces), []
        if self._start and not self._missing:
            return Request(b"POST", self._start.target, self._start.headers, whole[self._start.head:])
        self.parser = h11.Connection(h11.SERVER)
        if whole:
            self.parser.receive_data(whole)
        if not data:
            self.parser.receive_data(b"")
        return self._read(self.parser)

    def _read(self, parser: h11.Connection) -> Request | None:
        while (event := parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                self._head = event
                check_head(event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MAX_BODY:
                    raise BadRequest(413, "the body is longer than 64 KiB")
            elif isinstance(event, h11.EndOfMessage) and self._head:
                # The Content-Length may be too short; the job's body would then be truncated.
                if parser.trailing_data[0]:
                    raise BadRequest(400, "more came than one request")
                head, body = self._head, bytes(self._body)
                self._body = bytearray()
                return Request(head.method, head.target, dict(head.headers), body)
            else:
                raise Ended
        return None

    def go_on(self) -> bytes:
        """The 100 Continue for a caller that waits for it before its body; empty for others."""
        if self.parser is None or not self.parser.they_are_waiting_for_100_continue:
            return b""
        return self.parser.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    @property
    def bodiless(self) -> bool:
        """Whether the response must have no body (a HEAD request)."""
        return self._head is not None and self._head.method == b"HEAD"
