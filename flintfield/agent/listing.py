"""What a worker lists: its runs, and the ends that are not yet durable at the dispatcher."""

from __future__ import annotations

from flintfield.jobs.messages import End, Run

MAX_ENDS = 2_000  # four full answers; the worker keeps and repeats whatever is left out
ENDS_IN_FULL_ANSWER = 500  # set by the protocol: an answer with this many ends may leave out more
MAX_FORGOTTEN_RUNS = 4_096  # as many as an answer may list as running
NEVER = -1


class Listing:
    """The newest complete list of runs by the time its call was sent, and all ends above `last_seen`.

    Answers may pass each other: the list of an older call never replaces that of a newer one. Ends are told
    apart by number, so they are taken from every answer; a run whose end is known is not listed as running.

    A run that is in neither list is evidence that it does not exist, so `running` and `stamp_ms` come only
    from answers that left out no end, and whose ends all found room here. Counting the ends that are still
    kept would not tell: those that are durable by now are dropped, and the answer was made before.
    """

    def __init__(self) -> None:
        self.stamp_ms = NEVER
        self.last_seen = 0
        self.overflowed = 0
        self.incomplete = 0  # answers whose list of runs was not taken
        self.running: tuple[Run, ...] = ()
        self._running_keys: set[tuple[str, int]] = set()
        self._ends: dict[int, End] = {}
        self._forgotten_runs: dict[tuple[str, int], None] = {}  # the newest; an older answer may list them

    def take(
        self,
        sent_ms: int,
        running: tuple[Run, ...],
        finished: tuple[End, ...],
        too_many_runs: bool = False,
    ) -> bool:
        """Take in an answer; True where an end is new, or a run is no longer listed."""
        before = self._running_keys
        first = self.stamp_ms == NEVER
        overflowed = self.overflowed
        new_ends = self._take_ends(finished)
        all_ends = len(finished) < ENDS_IN_FULL_ANSWER and self.overflowed == overflowed
        complete = all_ends and not too_many_runs
        if not complete:
            self.incomplete += 1
        elif sent_ms > self.stamp_ms:
            self.stamp_ms = sent_ms
            self.running = running
        ended = {(end.task, end.run) for end in self._ends.values()}
        self.running = tuple(run for run in self.running if not self._is_over(run, ended))
        self._running_keys = {(run.task, run.run) for run in self.running}
        return new_ends or first or not before <= self._running_keys

    def _is_over(self, run: Run, ended: set[tuple[str, int]]) -> bool:
        key = (run.task, run.run)
        return key in ended or key in self._forgotten_runs

    def forget(self, last_seen: int) -> bool:
        """Ends up to this number are durable; True where that was not known."""
        if last_seen <= self.last_seen:
            return False
        self.last_seen = last_seen
        for number in [number for number in self._ends if number <= last_seen]:
            end = self._ends.pop(number)
            self._forgotten_runs[end.task, end.run] = None
        while len(self._forgotten_runs) > MAX_FORGOTTEN_RUNS:
            del self._forgotten_runs[next(iter(self._forgotten_runs))]
        return True

    def finished(self) -> tuple[End, ...]:
        """The ends that are not yet forgotten, by number."""
        return tuple(self._ends[number] for number in sorted(self._ends))

    def shows(self, task: str, run: int) -> bool:
        """Whether the run is listed as running."""
        return (task, run) in self._running_keys

    @property
    def has_ends(self) -> bool:
        """Whether ends wait to become durable."""
        return bool(self._ends)

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
