"""A thread for what may stall: work is done in order, and neither the event loop nor the end waits for it."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

Item = TypeVar("Item")


class Background(Generic[Item]):
    """Work on its way to a thread, which starts with the first piece of it."""

    def __init__(self, name: str, work: Callable[[Item], None]) -> None:
        self._name, self._work = name, work
        self._waiting: deque[tuple[int, Item]] = deque()
        self._changed = threading.Condition()
        self._busy = False
        self._thread: threading.Thread | None = None
        self.held = 0  # the weight of all that waits; whoever gives work keeps it bounded

    def put(self, item: Item, weight: int = 1) -> None:
        """Hand over a piece of work."""
        with self._changed:
            self._waiting.append((weight, item))
            self.held += weight
            self._changed.notify_all()
            if self._thread is None:
                # A daemon: guards against a program that can not end because nobody reads or a disk hangs.
                self._thread = threading.Thread(target=self._run, name=self._name, daemon=True)
                self._thread.start()

    def flush(self, within_s: float) -> None:
        """Wait until all is done, but no longer than that."""
        with self._changed:
            self._changed.wait_for(lambda: not self._waiting and not self._busy, within_s)

    def _run(self) -> None:
        while True:
            with self._changed:
                self._busy = False
                self._changed.notify_all()
                self._changed.wait_for(lambda: self._waiting)
                weight, item = self._waiting.popleft()
                self.held -= weight
                self._busy = True
            self._work(item)
