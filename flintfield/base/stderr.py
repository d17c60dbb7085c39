"""Standard error, written off the event loop: a reader that stalls there stalls nothing else.

What waits to be written is bounded. A program that has nothing to say there has no thread for it.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable

import structlog

from flintfield.base.background import Background

STANDARD_ERROR = 2
MOST_WAITING = 1_000
FULL_PAUSE_S = 0.01  # between two tries where the other side has made the pipe non-blocking
_logfmt = structlog.processors.LogfmtRenderer(key_order=["timestamp", "event", "client"])
_stamp = structlog.processors.TimeStamper(fmt="iso", utc=True)


class ErrorOut:
    """Lines, and longer texts, on their way to standard error in the order they were given."""

    def __init__(self, count: Callable[[str], None]) -> None:
        self._count = count
        self._background = Background("stderr", _write_all)

    def line(self, event: str, **values: object) -> None:
        """One line of `name=value`; it is dropped, and counted, if too many wait."""
        if self._background.held >= MOST_WAITING:
            self._count("stderr.dropped")
            return
        text = _logfmt(None, "", _stamp(None, "", {"event": event, **values}))
        self.write([f"{text}\n".encode(errors="backslashreplace")])

    def write(self, parts: Iterable[bytes]) -> None:
        """Write these parts one after the other, with nothing between them."""
        self._background.put(parts)

    def flush(self, within_s: float) -> None:
        """Wait until all is written, but no longer than that."""
        self._background.flush(within_s)


def _write_all(parts: Iterable[bytes]) -> None:
    try:
        for part in parts:
            _write(part)
    except OSError:  # nobody is there any more
        pass


def _write(data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[os.write(STANDARD_ERROR, rest):]
        except BlockingIOError:
            time.sleep(FULL_PAUSE_S)
