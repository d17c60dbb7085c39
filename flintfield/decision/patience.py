"""Estimates how long clients wait in all over their retries, from the time left in each request.

Requests do not state the total time: the class's deadline is the maximum, but clients may use a shorter
timeout. `Patience` learns these timeouts from the time left in requests. First tries come with the full
timeout, so many requests share one value, while retries come with any value. A value shared by a large
fraction of all requests is therefore a timeout (a "patience"). A request with less time left, and not close
to any patience, is a retry by a client with the next longer patience. If no value is common, no request is
treated as a retry.
"""

from __future__ import annotations

from collections.abc import Iterable

BINS = 64  # histogram bins over the time up to a class's deadline
COMMON_FRACTION, STAY_FRACTION = 0.15, 0.03  # of a class's requests: a bin becomes, and stays, a patience
MIN_REQUESTS, MAX_REQUESTS = 16.0, 512.0  # before any patience is detected; beyond it counts are halved
REVIEW_INTERVAL = 16  # requests between two updates of the patiences


class Patience:
    """The patiences of clients by class; its size is bounded by classes times bins."""

    def __init__(self, deadlines_ms: Iterable[float]) -> None:
        """`deadlines_ms`: the longest total time of a request, by class."""
        self.widths = [max(d, 1.0) / BINS for d in deadlines_ms]
        self.counts = [[0.0] * BINS for _ in self.widths]
        self.longest = [[0.0] * BINS for _ in self.widths]  # longest time seen in each bin, ms
        self.totals = [0.0] * len(self.widths)
        self.unseen = [0] * len(self.widths)  # requests since the last update
        self.common: list[list[int]] = [[] for _ in self.widths]  # bins of patiences, shortest first

    def age(self, cls: int, left_ms: float) -> float:
        """Count a request with this much time left, and return the least time (ms) since its client's first
        try."""
        place = min(BINS - 1, max(0, int(left_ms / self.widths[cls])))
        longest = self.longest[cls]
        longest[place] = max(left_ms, longest[place])
        self.counts[cls][place] += 1.0
        self.totals[cls] += 1.0
        self.unseen[cls] += 1
        if self.unseen[cls] >= REVIEW_INTERVAL:
            self._review(cls)
        for whole in self.common[cls]:
            if whole >= place:
                return longest[whole] - left_ms
        return 0.0

    def _review(self, cls: int) -> None:
        """Update the patiences; beyond MAX_REQUESTS requests the counts are halved, so that old behaviour of
        clients is forgotten."""
        self.unseen[cls] = 0
        if self.totals[cls] > MAX_REQUESTS:
            self.counts[cls] = [count / 2 for count in self.counts[cls]]
            self.totals[cls] /= 2
        total, were = self.totals[cls], self.common[cls]
        if total >= MIN_REQUESTS:
            # The lower STAY_FRACTION threshold keeps a patience during a storm of retries, in which first
            # tries are few; without it all requests would look new.
            self.common[cls] = [place for place, count in enumerate(self.counts[cls])
                                if count >= (STAY_FRACTION if place in were else COMMON_FRACTION) * total]
