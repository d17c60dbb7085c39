"""Incremental parser for a next hop's response: the fast readers while it is regular, h11 from there on.

An `AnswerReader` is fed bytes (`put`) and returns parse events one at a time (`next`): `Mark.GO_ON` (100
Continue) and `Mark.INFORMATIONAL` (another 1xx) before the response, its `Head`, the pieces of its body and
`Mark.END`. `Mark.BROKEN` means that the input ended early or can't be parsed; None means that more bytes are
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
    """A parse event that is neither a head nor a piece of a body."""

    GO_ON = 100
    INFORMATIONAL = 199  # any 1xx response other than 100
    END = 0
    BROKEN = -1


REGULAR_HEAD = Head(200, {})  # no caller needs the headers of a regular response


class AnswerReader:
    """Parses one response; `heads` recognises regular heads. With None, h11 parses everything."""

    __slots__ = ("_data", "_eof", "_method", "_offset", "_parser", "_regular_head", "_regular_heads")

    def __init__(self, method: bytes, heads: AnswerHeads | None) -> None:
        self._method, self._regular_heads = method, heads
        self._data, self._offset = b"", 0  # received bytes, and the number already parsed
        self._regular_head = b""  # the regular head, once it was parsed
        self._eof = False  # the peer closed the connection
        self._parser: h11.Connection | None = None

    @property
    def regular(self) -> bool:
        """Whether h11 has not been needed so far."""
        return self._parser is None

    @property
    def clean(self) -> bool:
        """Whether all was regular and no bytes are left: after `Mark.END` the connection may be reused."""
        return self._parser is None and self._offset == len(self._data) and not self._eof

    def put(self, data: bytes) -> None:
        """Add received bytes; empty means that the peer closed the connection."""
        if self._parser:
            self._parser.receive_data(data)
            return
        self._data, self._offset = self._data[self._offset:] + data, 0
        self._eof |= not data

    def next(self) -> Head | bytes | Mark | None:
        """The next parse event, or None if more bytes are needed."""
        if self._parser is None:
            if self._offset == len(self._data):
                return Mark.BROKEN if self._eof else None
            if (event := self._read_regular()) is not None:
                return event
            self._switch_to_h11()
        return self._read_with_h11()

    def _read_regular(self) -> Head | bytes | Mark | None:
        """The next parse event, or None if the input isn't regular or not complete."""
        data, at = self._data, self._offset
        if self._regular_heads is None:
            return None
        if not self._regular_head:
            if data.startswith(GO_ON, at):
                self._offset += len(GO_ON)
                return Mark.GO_ON
            if size := self._regular_heads.size(data, at):
                self._offset += size
                self._regular_head = data[at:self._offset]
                return REGULAR_HEAD
            return None
        if (chunk := read_chunk(data, at)) is None:
            return None
        piece, self._offset = chunk
        return piece or Mark.END

    def _switch_to_h11(self) -> None:
        """Continue with h11: replay the request and a parsed head to set its state, then pass it the rest."""
        self._parser = parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=self._method, target=b"/",
                                headers=[(b"Host", b"x"), (b"Content-Length", b"0")]))
        parser.send(h11.EndOfMessage())
        if self._regular_head:
            parser.receive_data(self._regular_head)
            parser.next_event()
        parser.receive_data(self._data[self._offset:])
        if self._eof:
            parser.receive_data(b"")
        self._data, self._offset = b"", 0

    def _read_with_h11(self) -> Head | bytes | Mark | None:
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
            return Mark.GO_ON if event.status_code == 100 else Mark.INFORMATIONAL
        return Mark.END if isinstance(event, h11.EndOfMessage) else Mark.BROKEN
