"""ζ: how fast a worker is, against the mean of all workers, from smoothed completion times.

A completion says ln(ran / estimate). A client's estimates have an error of their own, so what is kept of a
worker is its distance from the client's mean (in logarithms, where half and double speed weigh alike). A
worker's mean is drawn to 0 (the mean of all) by a prior, and evidence loses half of its weight in
`HALF_LIFE_MS`: a worker that was slow once, and therefore gets nothing to show, comes back to the mean and
is tried again.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

HALF_LIFE_MS = 15_000.0  # slow spells last some 7 s; tasks take 1 to 12 s
PRIOR = 3.0  # completions; variance of an estimate (0.4² to 0.5²) by that of sound workers' speeds (0.25²)
BOUND = math.log(8.0)  # one completion says no more than eight times as fast or slow
CLIENT_STEP = 0.05  # by which a client's mean follows a completion, once it has been seen 20 times
CLIENT_LEAST = 3  # completions before a client's mean counts
MOST_CLIENTS = 1_024  # the eldest is dropped


@dataclass(slots=True)
class _Level:
    """Weighted mean of a worker's ln(slowness), its weight, and when it was that."""

    mean: float
    weight: float
    at_ms: int


@dataclass(slots=True)
class _ClientMean:
    mean: float = 0.0
    count: int = 0


class SpeedTable:
    """ζ for each worker; 1.0 is the mean, and what a worker without a measurement has."""

    def __init__(self) -> None:
        self.zeta: dict[str, float] = {}  # as of the last refresh or observation; whoever is missing has 1.0
        self._levels: dict[str, _Level] = {}
        self._clients: dict[str, _ClientMean] = {}

    def client_scale(self, client: str) -> float | None:
        """Mean completion time per unit of estimate of this client's tasks; None while it is not known."""
        known = self._clients.get(client)
        return math.exp(known.mean) if known is not None and known.count >= CLIENT_LEAST else None

    def note_done(self, instance: str, client: str, ratio: float, now_ms: int) -> None:
        """A task completed in `ratio` times its estimate (far data allowed for)."""
        scale = self.client_scale(client)
        if scale is not None:
            self.note_slowness(instance, ratio / scale, 1.0, now_ms)
        self._learn_client(client, _bounded(math.log(ratio)))

    def note_slowness(self, instance: str, slowness: float, weight: float, now_ms: int) -> None:
        """Evidence of that weight (1.0: one completion) that it takes `slowness` times the mean."""
        level = self._levels.get(instance)
        if level is None:
            level = self._levels[instance] = _Level(0.0, 0.0, now_ms)
        _age(level, now_ms)
        total = level.weight + weight
        level.mean = (level.mean * level.weight + _bounded(math.log(slowness)) * weight) / total
        level.weight = total
        self.zeta[instance] = _zeta(level)

    def refresh(self, instance: str, now_ms: int) -> None:
        """Let the evidence age."""
        level = self._levels.get(instance)
        if level is not None:
            _age(level, now_ms)
            self.zeta[instance] = _zeta(level)

    def forget(self, instance: str) -> None:
        """The worker is gone."""
        self._levels.pop(instance, None)
        self.zeta.pop(instance, None)

    def _learn_client(self, client: str, log_ratio: float) -> None:
        known = self._clients.get(client)
        if known is None:
            if len(self._clients) >= MOST_CLIENTS:
                del self._clients[next(iter(self._clients))]
            known = self._clients[client] = _ClientMean()
        known.count += 1
        known.mean += (log_ratio - known.mean) * max(CLIENT_STEP, 1.0 / known.count)


def _bounded(log_ratio: float) -> float:
    return min(BOUND, max(-BOUND, log_ratio))


def _age(level: _Level, now_ms: int) -> None:
    passed = now_ms - level.at_ms
    if passed > 0:
        level.weight *= 0.5 ** (passed / HALF_LIFE_MS)
        level.at_ms = now_ms


def _zeta(level: _Level) -> float:
    return math.exp(-level.mean * level.weight / (level.weight + PRIOR))
