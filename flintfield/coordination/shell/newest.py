"""The newest committed configuration known to this process, and as of when it is surely the newest."""

from __future__ import annotations

from collections.abc import Callable

from flintfield.coordination.model import NO_BALLOT, Ballot


class Newest:
    """Ballots of committed values only rise, so a process never goes back."""

    def __init__(self) -> None:
        self.ballot = NO_BALLOT
        self.value: bytes | None = None
        self._as_of_ms: int | None = None
        self.callbacks: list[Callable[[bytes], None]] = []
        self.on_commit: list[Callable[[], None]] = []

    def known(self) -> tuple[bytes | None, int] | None:
        """The value and the time, or None before the first confirmation."""
        return None if self._as_of_ms is None else (self.value, self._as_of_ms)

    def committed(self, ballot: Ballot, value: bytes | None) -> None:
        """This value was accepted by a majority."""
        if ballot <= self.ballot:
            return
        changed = value != self.value
        self.ballot, self.value = ballot, value
        for notify in tuple(self.on_commit):
            notify()
        if changed and value is not None:
            for callback in tuple(self.callbacks):
                callback(value)

    def confirmed(self, ballot: Ballot, as_of_ms: int) -> None:
        """A majority said that nothing newer than `ballot` was accepted there at that time or later."""
        if ballot == self.ballot and (self._as_of_ms is None or as_of_ms > self._as_of_ms):
            self._as_of_ms = as_of_ms
