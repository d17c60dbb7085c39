"""A caller's request as it comes in: taken as it is while it is regular, read by h11 from where it is not.

A `RequestReader` is handed the bytes of one request (`take`) and gives it once it is whole. While head and
length are regular and only the body is not whole, the pieces are kept unread; anything else goes to h11, with
all that came before it. It does no I/O.
"""

from __future__ import annotations

import h11

from flintfield.wire.http1.regular import Start, read_start
from flintfield.wire.http1.submission import MOST_BODY, BadRequest, Request, check_head


MOST_PIECES = 64


class Ended(Exception):
    """The caller ended its connection without a request."""


class RequestReader:
    """Reads one request; `regular` False has h11 read everything."""

    __slots__ = ("_body", "_head", "_missing", "_pieces", "_regular", "_start", "parser")

    def __init__(self, regular: bool = True) -> None:
        self._regular = regular
        self._start: Start | None = None  # a regular head
        self._pieces: list[bytes] = []  # all that came, while it is regular
        self._missing = 0  # bytes of its body
        self.parser: h11.Connection | None = None  # None: it is regular so far
        self._head: h11.Request | None = None
        self._body = bytearray()

    def take(self, data: bytes) -> Request | None:
        """The request once it is whole; `BadRequest` or h11's error tells what is wrong with it.

        `data` is what came next, empty if the caller has ended its connection.
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
            if len(self._pieces) > MOST_PIECES:  # guards against a body that comes byte by byte
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
                if len(self._body) > MOST_BODY:
                    raise BadRequest(413, "the body is longer than 64 KiB")
            elif isinstance(event, h11.EndOfMessage) and self._head:
                # Guards against a length too short: what follows is the rest of a job that is not whole.
                if parser.trailing_data[0]:
                    raise BadRequest(400, "more came than one request")
                head, body = self._head, bytes(self._body)
                self._body = bytearray()
                return Request(head.method, head.target, dict(head.headers), body)
            else:
                raise Ended
        return None

    def go_on(self) -> bytes:
        """What to say to a caller that waits for a 100 before its body; nothing to others."""
        if self.parser is None or not self.parser.they_are_waiting_for_100_continue:
            return b""
        return self.parser.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    @property
    def bodiless(self) -> bool:
        """Whether an answer is to have no body."""
        return self._head is not None and self._head.method == b"HEAD"
