"""How long a run still needs, and how slow its worker is, from what listings tell.

The client's estimate is rough, so progress is measured against what is usual for the queue: `pace` is the
share of the work done per share of the estimate gone by (1.0: as estimated). The usual pace is a running
median: it moves by a fixed factor towards each sample, so that a few slow workers don't move it far.
"""

from __future__ import annotations

from flintfield.jobs.model import Run

MEDIAN_STEP = 1.03
MIN_PACE, MAX_PACE = 0.01, 100.0
SLOWNESS_STEP = 1.15  # a worker's own slowness is learned faster, as it has fewer samples
DEFAULT_ESTIMATE_MS = 1_000


class Paces:
    """The usual pace by queue."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}

    def usual(self, route: str) -> float:
        """The usual pace of the queue's tasks; 1.0 where nothing is known."""
        return self._usual.get(route, 1.0)

    def note(self, route: str, pace: float) -> None:
        """A run shows this pace."""
        pace = min(max(pace, MIN_PACE), MAX_PACE)
        known = self._usual.get(route)
        if known is None:
            self._usual[route] = pace
        else:
            self._usual[route] = step_towards(known, pace, MEDIAN_STEP)


def step_towards(value: float, sample: float, step: float) -> float:
    """A running median: one step of this factor towards the sample, never past it."""
    return min(value * step, sample) if sample > value else max(value / step, sample)


def estimate_ms(run: Run) -> float:
    """The client's guess for the whole task; longer where the run is away from its data or its step."""
    return (run.task.step.spec.estimate_ms or DEFAULT_ESTIMATE_MS) * run.duration_factor


def pace_of(run: Run, now_ms: int) -> float | None:
    """The run's own pace, or None while it has shown too little."""
    gained = run.percent - run.first_percent
    took_ms = now_ms - run.first_seen_ms
    if run.first_seen_ms < 0 or gained < 2 or took_ms < 200:
        return None
    return gained / 100 * estimate_ms(run) / took_ms


def left_ms(run: Run, now_ms: int, usual_pace: float) -> float:
    """How long it still needs by its own pace, else by the usual one."""
    pace = pace_of(run, now_ms) or usual_pace
    if run.percent:
        return (100 - run.percent) / 100 * estimate_ms(run) / pace
    ran_ms = now_ms - run.started_ms if run.started_ms >= 0 else 0
    return max(0.0, estimate_ms(run) / pace - ran_ms)
