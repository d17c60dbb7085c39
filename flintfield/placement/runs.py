"""Runs that are out, by task, and those of them that are overdue.

A slow worker shows no completion until it is too late to learn from it; a run that has taken twice its
usual time is evidence of its own, and again at four and at eight times.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

FIRST_ALARM = 2.0  # times the expected duration
LAST_ALARM = 8.0
MOST_RUNS = 65_536  # the eldest is dropped: it had no end in all that time


@dataclass(slots=True)
class Run:
    """A run that is out. `expected_ms` is 0.0 where its client's durations are not known yet."""

    task: str
    instance: str
    started_ms: int
    expected_ms: float
    far: float
    alarm: float = FIRST_ALARM


class RunTable:
    """Runs by task and instance (speculative copies run side by side)."""

    def __init__(self) -> None:
        self._runs: OrderedDict[tuple[str, str], Run] = OrderedDict()
        self._alarms: list[tuple[float, str, str]] = []

    def add(self, run: Run) -> None:
        """A run was ordered."""
        key = (run.task, run.instance)
        self._runs.pop(key, None)
        self._runs[key] = run
        if len(self._runs) > MOST_RUNS:
            self._runs.popitem(last=False)
        self._set_alarm(run)

    def remove(self, task: str, instance: str) -> Run | None:
        """It ended, in whatever way."""
        return self._runs.pop((task, instance), None)

    def forget(self, instance: str) -> None:
        """The worker is gone, and so are its runs."""
        for key in [key for key in self._runs if key[1] == instance]:
            del self._runs[key]

    def overdue(self, now_ms: int) -> list[Run]:
        """Runs that have passed an alarm since the last call; their next alarm is set."""
        found = []
        while self._alarms and self._alarms[0][0] <= now_ms:
            at_ms, task, instance = heapq.heappop(self._alarms)
            run = self._runs.get((task, instance))
            if run is None or run.started_ms + run.expected_ms * run.alarm > now_ms:
                continue  # ended, or a later run of the same task, which has an alarm of its own
            found.append(run)
            run.alarm *= 2.0
            if run.alarm <= LAST_ALARM:
                self._set_alarm(run)
        return found

    def _set_alarm(self, run: Run) -> None:
        if run.expected_ms > 0.0 and len(self._alarms) < 2 * MOST_RUNS:
            at_ms = run.started_ms + run.expected_ms * run.alarm
            heapq.heappush(self._alarms, (at_ms, run.task, run.instance))
