"""How long a task is held back for a better worker than those that are free now."""

from __future__ import annotations

from collections import OrderedDict

LONGEST_MS = 2_000  # a job with nothing running while there is room counts as lost after 3 s
MOST_TASKS = 4_096  # the eldest is dropped: it starts anew, and waits once more at the longest


class WaitingTable:
    """Since when each task has been held back."""

    def __init__(self) -> None:
        self._since: OrderedDict[str, int] = OrderedDict()

    def may_wait(self, task: str, limit_ms: float, now_ms: int) -> bool:
        """Whether it may be held back (again); the first call starts its time."""
        since = self._since.setdefault(task, now_ms)
        if len(self._since) > MOST_TASKS:
            self._since.popitem(last=False)
        return now_ms - since < min(LONGEST_MS, limit_ms)

    def started(self, task: str) -> None:
        """It was placed."""
        self._since.pop(task, None)
