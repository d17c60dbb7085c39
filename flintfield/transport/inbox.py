"""Frames that come in on one connection, served for a bounded time in each turn of the event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from typing import Protocol

from flintfield.transport.counters import Counters
from flintfield.transport.frames import FrameReader, MalformedFrame

MAX_TURN_S = 0.05  # of serving frames of one connection; the rest of them waits for the next turn

Frame = tuple[int, int, memoryview]  # kind, correlation id, record


class FrameUser(Protocol):
    """The connection that an inbox serves."""

    counters: Counters

    def take_frame(self, kind: int, number: int, body: memoryview) -> bool:
        """Serve a frame; False once the connection is closed."""

    def end_turn(self) -> bool:
        """All frames of this turn are served; False once the connection is closed."""

    def malformed_frame(self, reason: str) -> None:
        """No frame can be read any more."""


class FrameInbox:
    """Frames in the order in which they came in. While some wait for a turn, nothing more is read."""

    def __init__(
        self, user: FrameUser, loop: asyncio.AbstractEventLoop, transport: asyncio.Transport
    ) -> None:
        self.serving = False
        self._user = user
        self._loop = loop
        self._transport = transport
        self._reader = FrameReader()
        self._unserved: deque[Iterator[Frame]] = deque()  # a frame reader reads on as it is iterated
        self._paused = False

    def add(self, data: bytes) -> None:
        """Take in received bytes and serve the frames that are whole, some of them in later turns."""
        self._unserved.append(self._reader.feed(data))
        if len(self._unserved) == 1:
            self._serve()

    def _serve(self) -> None:
        """Serve frames for one turn of the event loop."""
        self.serving = True
        finished = True
        try:
            finished = self._serve_until(self._loop.time() + MAX_TURN_S)
        except MalformedFrame as error:
            self._user.malformed_frame(str(error))
        finally:
            self.serving = False
        if not self._user.end_turn():
            self._unserved.clear()
            return
        self._set_reading(finished)
        if not finished:
            self._loop.call_soon(self._serve)

    def _serve_until(self, ends_s: float) -> bool:
        """Serve frames until then; True where none is left."""
        while self._unserved:
            for kind, number, body in self._unserved[0]:
                if not self._user.take_frame(kind, number, body):
                    return True
                if self._loop.time() >= ends_s:
                    return False
            self._unserved.popleft()
        return True

    def _set_reading(self, reads: bool) -> None:
        """Read on, or let the peer wait."""
        if reads and self._paused:
            self._transport.resume_reading()
        elif not reads and not self._paused:
            self._user.counters.long_turns += 1
            self._transport.pause_reading()
        self._paused = not reads
