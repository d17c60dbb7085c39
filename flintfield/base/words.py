"""Words between instances: MessagePack arrays of which a later release may have more.

A word is a head and a list of lines, each an array with a tag. Fields may be appended to any array and kinds
of lines added: what is not known is skipped and counted; what can't be read at all is None.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

Word = TypeVar("Word")
BROKEN = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


class WordReader(Generic[Word]):
    """Reads words of one kind."""

    def __init__(self, whole: Any, loose: Any, line: Any, make: Callable[[Any, list[Any]], Word]) -> None:
        """`whole` and `line` are the types of a word and of its lines, `loose` that of a word with raw lines
        in its field `lines`; `make(loose, lines)` is the word with the lines that could be read."""
        self._whole = msgspec.msgpack.Decoder(whole)
        self._loose = msgspec.msgpack.Decoder(loose)
        self._line = msgspec.msgpack.Decoder(line)
        self._make = make

    def read(self, data: bytes) -> tuple[Word, int] | None:
        """A word and how many of its lines were skipped; None if it is none."""
        try:
            return self._whole.decode(data), 0
        except BROKEN:
            pass
        try:
            loose = self._loose.decode(data)
        except BROKEN:
            return None
        lines = []
        for raw in loose.lines:
            try:
                lines.append(self._line.decode(raw))
            except BROKEN:
                continue
        return self._make(loose, lines), len(loose.lines) - len(lines)
