"""What a worker lists: its runs, and the ends that are not yet durable at the dispatcher."""

from __future__ import annotations

from flintfield.jobs.messages import End, Run

MAX_ENDS = 2_000  # four full answers; the worker keeps and repeats whatever is left out
NEVER = -1


class Listing:
    """The newest list of runs by the time its call was sent, and all ends above `last_seen`.

    Answers may pass each other: the list of an older call never replaces that of a newer one. Ends are told
    apart by number, so they are taken from every answer; a run whose end is known is not listed as running.
    """

    def __init__(self) -> None:
        self.stamp_ms = NEVER
        self.last_seen = 0
        self.overflowed = 0
        self.running: tuple[Run, ...] = ()
        self._ends: dict[int, End] = {}

    def take(self, sent_ms: int, running: tuple[Run, ...], finished: tuple[End, ...]) -> bool:
        """Take in an answer; True where an end is new, or a run is no longer listed."""
        before = self._runs()
        first = self.stamp_ms == NEVER
        if sent_ms > self.stamp_ms:
            self.stamp_ms = sent_ms
            self.running = running
        new_ends = self._take_ends(finished)
        ended = {(end.task, end.run) for end in self._ends.values()}
        self.running = tuple(run for run in self.running if (run.task, run.run) not in ended)
        return new_ends or first or not before <= self._runs()

    def forget(self, last_seen: int) -> bool:
        """Ends up to this number are durable; True where that was not known."""
        if last_seen <= self.last_seen:
            return False
        self.last_seen = last_seen
        self._ends = {number: end for number, end in self._ends.items() if number > last_seen}
        return True

    def finished(self) -> tuple[End, ...]:
        """The ends that are not yet forgotten, by number."""
        return tuple(self._ends[number] for number in sorted(self._ends))

    def shows(self, task: str, run: int) -> bool:
        """Whether the run is listed as running."""
        return any(known.task == task and known.run == run for known in self.running)

    @property
    def has_ends(self) -> bool:
        """Whether ends wait to become durable."""
        return bool(self._ends)

    def _runs(self) -> set[tuple[str, int]]:
        return {(run.task, run.run) for run in self.running}

    def _take_ends(self, finished: tuple[End, ...]) -> bool:
        new = False
        for end in finished:
            if end.number <= self.last_seen or end.number in self._ends:
                continue
            if len(self._ends) >= MAX_ENDS:
                self.overflowed += 1
                continue
            self._ends[end.number] = end
            new = True
        return new
