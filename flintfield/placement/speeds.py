"""ζ: the speed of a worker relative to the mean of all workers, from smoothed completion times.

Each completion yields ln(ran / estimate). A client's estimates are biased, so a worker is measured by its
deviation from the client's mean (in logarithms, where half and double speed weigh the same). A prior pulls a
worker's mean towards 0 (the mean of all workers), and the weight of evidence halves every `HALF_LIFE_MS`: a
worker that was slow once, and therefore gets no tasks to prove otherwise, returns to the mean and is tried
again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

HALF_LIFE_MS = 15_000.0  # slow spells last some 7 s; tasks take 1 to 12 s
PRIOR_WEIGHT = 3.0  # in completions: variance of estimates (0.4² to 0.5²) / that of healthy speeds (0.25²)
MAX_LOG_RATIO = math.log(8.0)  # one completion counts as at most eight times as fast or slow
CLIENT_GAIN = 0.05  # weight of a completion in its client's mean, from the 20th completion on
CLIENT_MIN_COMPLETIONS = 3  # before a client's mean is used
MAX_CLIENTS = 1_024  # beyond this the oldest entry is dropped


@dataclass(slots=True)
class _SlownessEstimate:
    """Weighted mean of a worker's ln(slowness), its weight, and the time of its last update."""

    mean: float
    weight: float
    updated_ms: int


@dataclass(slots=True)
class _ClientMean:
    mean: float = 0.0
    count: int = 0


class SpeedTable:
    """ζ for each worker; 1.0 is the mean and the value of a worker without measurements."""

    def __init__(self) -> None:
        self.zeta: dict[str, float] = {}  # as of the last refresh or observation; a missing worker has 1.0
        self._estimates: dict[str, _SlownessEstimate] = {}
        self._clients: dict[str, _ClientMean] = {}

    def client_scale(self, client: str) -> float | None:
        """Mean completion time per unit of estimate of this client's tasks; None while unknown."""
        client_mean = self._clients.get(client)
        return (
            math.exp(client_mean.mean)
            if client_mean is not None and client_mean.count >= CLIENT_MIN_COMPLETIONS
            else None
        )

    def note_done(self, instance: str, client: str, ratio: float, now_ms: int) -> None:
        """Record that a task completed in `ratio` times its estimate (corrected for distant data)."""
        scale = self.client_scale(client)
        if scale is not None:
            self.note_slowness(instance, ratio / scale, 1.0, now_ms)
        self._learn_client(client, _clamp_log_ratio(math.log(ratio)))

    def note_slowness(self, instance: str, slowness: float, weight: float, now_ms: int) -> None:
        """Record evidence of `weight` (1.0: one completion) that a worker takes `slowness` times the mean."""
        if weight <= 0.0:
            return
        estimate = self._estimates.get(instance)
        if estimate is None:
            estimate = self._estimates[instance] = _SlownessEstimate(0.0, 0.0, now_ms)
        _decay(estimate, now_ms)
        total = estimate.weight + weight
        estimate.mean = (
            estimate.mean * estimate.weight + _clamp_log_ratio(math.log(slowness)) * weight
        ) / total
        estimate.weight = total
        self.zeta[instance] = _zeta(estimate)

    def refresh(self, instance: str, now_ms: int) -> None:
        """Decay the weight of the evidence up to `now_ms`."""
        estimate = self._estimates.get(instance)
        if estimate is not None:
            _decay(estimate, now_ms)
            self.zeta[instance] = _zeta(estimate)

    def forget(self, instance: str) -> None:
        """Drop the state of a worker that no longer exists."""
        self._estimates.pop(instance, None)
        self.zeta.pop(instance, None)

    def _learn_client(self, client: str, log_ratio: float) -> None:
        client_mean = self._clients.get(client)
        if client_mean is None:
            if len(self._clients) >= MAX_CLIENTS:
                del self._clients[next(iter(self._clients))]
            client_mean = self._clients[client] = _ClientMean()
        client_mean.count += 1
        client_mean.mean += (log_ratio - client_mean.mean) * max(CLIENT_GAIN, 1.0 / client_mean.count)


def _clamp_log_ratio(log_ratio: float) -> float:
    return min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_ratio))


def _decay(estimate: _SlownessEstimate, now_ms: int) -> None:
    elapsed_ms = now_ms - estimate.updated_ms
    if elapsed_ms > 0:
        estimate.weight *= 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        estimate.updated_ms = now_ms


def _zeta(estimate: _SlownessEstimate) -> float:
    return math.exp(-estimate.mean * estimate.weight / (estimate.weight + PRIOR_WEIGHT))
