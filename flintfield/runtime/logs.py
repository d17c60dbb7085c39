"""Log lines as JSON on standard error, at a bounded cost.

Every line has an event name, and each name has a bucket of lines (`BURST`, refilled at `LINES_PER_S`); what
is above is dropped before it is formatted. Drops are counted, and the next line of the same name tells them
in `dropped`. Names beyond `MAX_NAMES` share one bucket.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

BURST = 10
LINES_PER_S = 1.0
MAX_NAMES = 256
OTHER = "(other)"


class _Bucket:
    """The lines that one event name may still write."""

    __slots__ = ("dropped", "lines", "refilled_s")

    def __init__(self, now_s: float) -> None:
        self.lines = float(BURST)
        self.refilled_s = now_s
        self.dropped = 0

    def take(self, now_s: float) -> bool:
        self.lines = min(float(BURST), self.lines + (now_s - self.refilled_s) * LINES_PER_S)
        self.refilled_s = now_s
        if self.lines < 1.0:
            self.dropped += 1
            return False
        self.lines -= 1.0
        return True


class RateLimit(logging.Filter):
    """Passes so many lines of each event name; `dropped` counts all others."""

    def __init__(self, steady_s: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self.dropped = 0
        self._steady_s = steady_s
        self._buckets: dict[str, _Bucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line is written."""
        now_s = self._steady_s()
        bucket = self._bucket(str(record.msg), now_s)
        if not bucket.take(now_s):
            self.dropped += 1
            return False
        if bucket.dropped:
            record.dropped = bucket.dropped
            bucket.dropped = 0
        return True

    def _bucket(self, name: str, now_s: float) -> _Bucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            if len(self._buckets) >= MAX_NAMES:
                name = OTHER
            bucket = self._buckets.setdefault(name, _Bucket(now_s))
        return bucket


def configure(node_name: str, role: str) -> RateLimit:
    """Send all loggers of the process to standard error as JSON lines; gives the limit, for its counter."""
    from flintfield.runtime.log_lines import line_format

    # What no line shows is not found out for each line (see "Optimization" in the docs of `logging`).
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    limit = RateLimit()
    handler = logging.StreamHandler()
    handler.setFormatter(line_format(node_name, role))
    handler.addFilter(limit)
    root = logging.getLogger()
    for old in tuple(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(logging.INFO)
    return limit


def event(logger: logging.Logger, name: str, *, level: int = logging.INFO, **fields: object) -> None:
    """Log an event with its fields; `name` is constant, what varies goes into fields.

    A field may not have the name of an attribute of `logging.LogRecord` (`name`, `args`, `msg`, ...).
    """
    if logger.isEnabledFor(level):
        logger.log(level, name, extra=fields)
