"""Active runs by task, and detection of overdue ones.

The completion of a run on a slow worker comes too late to learn from. A run that has taken twice its expected
time is therefore counted as evidence itself, and again at four and at eight times.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

FIRST_ALARM = 2.0  # multiple of the expected duration
LAST_ALARM = 8.0
MAX_RUNS = 65_536  # beyond this the oldest run, which has not ended in all that time, is dropped


@dataclass(slots=True)
class Run:
    """An active run. `expected_ms` is 0.0 while its client's durations are unknown; `slowdown` is the factor
    for distant data."""

    task: str
    instance: str
    started_ms: int
    expected_ms: float
    slowdown: float
    alarm: float = FIRST_ALARM


class RunTable:
    """Active runs by task and instance (speculative copies of a task run concurrently)."""

    def __init__(self) -> None:
        self._runs: OrderedDict[tuple[str, str], Run] = OrderedDict()
        self._alarms: list[tuple[float, str, str]] = []

    def add(self, run: Run) -> None:
        """Add a run that was ordered."""
        key = (run.task, run.instance)
        self._runs.pop(key, None)
        self._runs[key] = run
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)
        self._set_alarm(run)

    def remove(self, task: str, instance: str) -> Run | None:
        """Remove a run that ended, whatever its result."""
        return self._runs.pop((task, instance), None)

    def forget(self, instance: str) -> None:
        """Drop the runs of a worker that no longer exists."""
        for key in [key for key in self._runs if key[1] == instance]:
            del self._runs[key]

    def overdue(self, now_ms: int) -> list[Run]:
        """Runs whose alarm has expired since the last call; sets their next alarm."""
        found = []
        while self._alarms and self._alarms[0][0] <= now_ms:
            at_ms, task, instance = heapq.heappop(self._alarms)
            run = self._runs.get((task, instance))
            if run is None or run.started_ms + run.expected_ms * run.alarm > now_ms:
                continue  # ended, or replaced by a later run of the same task, which has its own alarm
            found.append(run)
            run.alarm *= 2.0
            if run.alarm <= LAST_ALARM:
                self._set_alarm(run)
        return found

    def _set_alarm(self, run: Run) -> None:
        if run.expected_ms > 0.0 and len(self._alarms) < 2 * MAX_RUNS:
            at_ms = run.started_ms + run.expected_ms * run.alarm
            heapq.heappush(self._alarms, (at_ms, run.task, run.instance))
