"""Standard error, written by a thread of its own: a reader that stalls there stalls nothing else.

What waits to be written is bounded. The thread starts with the first line, so that a program that has nothing
to say there has none.
"""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable

import structlog

MOST_WAITING = 1_000
FULL_PAUSE_S = 0.01  # between two tries where the other side has made the pipe non-blocking
_logfmt = structlog.processors.LogfmtRenderer(key_order=["timestamp", "event", "client"])
_stamp = structlog.processors.TimeStamper(fmt="iso", utc=True)


class ErrorOut:
    """Lines, and longer texts, on their way to standard error in the order they were given."""

    def __init__(self, count: Callable[[str], None], descriptor: int = 2) -> None:
        self._count, self._descriptor = count, descriptor
        self._waiting: deque[Iterable[bytes]] = deque()
        self._changed = threading.Condition()
        self._busy = False
        self._thread: threading.Thread | None = None

    def line(self, event: str, **values: object) -> None:
        """One line of `name=value`; it is dropped, and counted, if too many wait."""
        if len(self._waiting) >= MOST_WAITING:
            self._count("stderr.dropped")
            return
        text = _logfmt(None, "", _stamp(None, "", {"event": event, **values}))
        self.write([f"{text}\n".encode(errors="backslashreplace")])

    def write(self, parts: Iterable[bytes]) -> None:
        """Write these parts one after the other, with nothing between them."""
        with self._changed:
            self._waiting.append(parts)
            self._changed.notify_all()
        if self._thread is None:
            # A daemon: guards against a program that can not end because nobody reads.
            self._thread = threading.Thread(target=self._run, name="stderr", daemon=True)
            self._thread.start()

    @property
    def waiting(self) -> int:
        """How many lines and texts are still to be written."""
        return len(self._waiting) + self._busy

    def flush(self, within_s: float) -> None:
        """Wait until all is written, but no longer than that."""
        with self._changed:
            self._changed.wait_for(lambda: not self._waiting and not self._busy, within_s)

    def _run(self) -> None:
        while True:
            with self._changed:
                self._busy = False
                self._changed.notify_all()
                self._changed.wait_for(lambda: self._waiting)
                parts, self._busy = self._waiting.popleft(), True
            try:
                for part in parts:
                    self._put(part)
            except OSError:  # nobody is there any more
                pass

    def _put(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest):]
            except BlockingIOError:
                time.sleep(FULL_PAUSE_S)
