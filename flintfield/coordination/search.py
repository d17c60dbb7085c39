"""Duration and query statistics of a search for the core set or its leader, for log warnings.

The counts distinguish three faults: no process answers (`answered` is 0: the network link is at fault), the
processes that answer don't know the core set (`knew_core` is 0: they have lost it or never had it), or the
core set is known but has no leader.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass

FIRST_WARNING_MS = 3_000  # a failover or a restart of the whole system completes sooner
WARNING_INTERVAL_MS = 5_000


@dataclass(slots=True)
class SearchCounts:
    """Counts of queries and answers since the last warning."""

    asked: int = 0
    answered: int = 0
    knew_core: int = 0


class SearchWatch:
    """Counts the queries of a search and decides when its duration warrants a warning."""

    def __init__(self) -> None:
        self._since_ms: int | None = None
        self._warned_ms = 0
        self._counts = SearchCounts()

    def asked(self, now_ms: int) -> None:
        """Count a query; the first query starts the search."""
        if self._since_ms is None:
            self._since_ms = now_ms
            self._warned_ms = now_ms - WARNING_INTERVAL_MS + FIRST_WARNING_MS
        self._counts.asked += 1

    def answered(self, knows_core: bool) -> None:
        """Count an answer."""
        self._counts.answered += 1
        self._counts.knew_core += knows_core

    def found(self) -> None:
        """End the search and reset the counts."""
        self._since_ms = None
        self._counts = SearchCounts()

    def warning(self, now_ms: int) -> dict[str, int] | None:
        """Return the log fields of a warning if one is due: `searching_ms` and the counts since the last
        warning."""
        if self._since_ms is None or now_ms - self._warned_ms < WARNING_INTERVAL_MS:
            return None
        self._warned_ms = now_ms
        counts, self._counts = self._counts, SearchCounts()
        return {"searching_ms": now_ms - self._since_ms, **asdict(counts)}
