"""Limits how long a task waits for a better worker than those that are free now."""

from __future__ import annotations

from collections import OrderedDict

MAX_WAIT_MS = 2_000  # below the 3 s after which a job with nothing running despite free room counts as lost
MAX_TASKS = 4_096  # beyond this the oldest is dropped, so its time restarts and it may wait once more


class WaitingTable:
    """The time since which each task has been waiting."""

    def __init__(self) -> None:
        self._since: OrderedDict[str, int] = OrderedDict()

    def may_wait(self, task: str, limit_ms: float, now_ms: int) -> bool:
        """Whether the task may wait (longer); the first call starts its waiting time."""
        since = self._since.setdefault(task, now_ms)
        if len(self._since) > MAX_TASKS:
            self._since.popitem(last=False)
        return now_ms - since < min(MAX_WAIT_MS, limit_ms)

    def started(self, task: str) -> None:
        """Drop a task that was placed."""
        self._since.pop(task, None)
