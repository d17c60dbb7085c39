"""A next hop's answer as it comes in: the strict readers read it while it is regular, h11 from there on.

An `AnswerReader` is handed bytes (`put`) and gives what they say, one thing after the other (`next`):
`Mark.GO_ON` and `Mark.NEWS` for what may come before an answer, its `Head`, the pieces of its body,
`Mark.END`. `Mark.BROKEN` says that it ended before its end, or can not be read; None that more bytes are
needed. It does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import h11

from flintfield.wire.http1.regular import GO_ON, AnswerHeads, read_chunk


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a response."""

    status: int
    headers: dict[bytes, bytes]


class Mark(Enum):
    """What is neither a head nor a piece of a body."""

    GO_ON = 100
    NEWS = 199  # another word before the answer
    END = 0
    BROKEN = -1


REGULAR_HEAD = Head(200, {})  # of a regular answer nobody asks for more


class AnswerReader:
    """Reads one answer; `heads` knows regular heads, None has h11 read everything."""

    __slots__ = ("_at", "_data", "_ended", "_head", "_heads", "_method", "_parser")

    def __init__(self, method: bytes, heads: AnswerHeads | None) -> None:
        self._method, self._heads = method, heads
        self._data, self._at = b"", 0  # what has come, and how much of it was read
        self._head = b""  # the regular head, once it was read
        self._ended = False  # no more comes
        self._parser: h11.Connection | None = None

    @property
    def regular(self) -> bool:
        """Whether h11 was not asked so far."""
        return self._parser is None

    @property
    def clean(self) -> bool:
        """Whether all was regular and nothing is left: after its end the connection may be used anew."""
        return self._parser is None and self._at == len(self._data) and not self._ended

    def put(self, data: bytes) -> None:
        """Take in what has come; empty: no more comes."""
        if self._parser:
            self._parser.receive_data(data)
            return
        self._data, self._at = self._data[self._at:] + data, 0
        self._ended |= not data

    def next(self) -> Head | bytes | Mark | None:
        """What comes next."""
        if self._parser is None:
            if self._at == len(self._data):
                return Mark.BROKEN if self._ended else None
            if (told := self._regular()) is not None:
                return told
            self._hand_over()
        return self._by_parser()

    def _regular(self) -> Head | bytes | Mark | None:
        """The next thing, if it is regular."""
        data, at = self._data, self._at
        if self._heads is None:
            return None
        if not self._head:
            if data.startswith(GO_ON, at):
                self._at += len(GO_ON)
                return Mark.GO_ON
            if size := self._heads.size(data, at):
                self._at += size
                self._head = data[at:self._at]
                return REGULAR_HEAD
            return None
        if (chunk := read_chunk(data, at)) is None:
            return None
        piece, self._at = chunk
        return piece or Mark.END

    def _hand_over(self) -> None:
        """Let h11 read on: it is told what we have read as far as it must know, and gets the rest unread."""
        self._parser = parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=self._method, target=b"/",
                                headers=[(b"Host", b"x"), (b"Content-Length", b"0")]))
        parser.send(h11.EndOfMessage())
        if self._head:
            parser.receive_data(self._head)
            parser.next_event()
        parser.receive_data(self._data[self._at:])
        if self._ended:
            parser.receive_data(b"")
        self._data, self._at = b"", 0

    def _by_parser(self) -> Head | bytes | Mark | None:
        assert self._parser
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError:
            return Mark.BROKEN
        if event is h11.NEED_DATA:
            return None
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.Response):
            return Head(event.status_code, dict(event.headers))
        if isinstance(event, h11.InformationalResponse):
            return Mark.GO_ON if event.status_code == 100 else Mark.NEWS
        return Mark.END if isinstance(event, h11.EndOfMessage) else Mark.BROKEN
