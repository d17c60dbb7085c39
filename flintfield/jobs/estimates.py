"""Estimates the remaining time of runs and the slowness of workers from the progress in listings.

The client's estimate is rough, so progress is compared with the usual progress of the queue. `pace` is the
completed share of the work divided by the elapsed share of the estimate (1.0: as estimated). The usual pace
is a running median: each sample moves it by a fixed factor, so that a few slow workers have little influence.
"""

from __future__ import annotations

from flintfield.jobs.model import Run

MEDIAN_STEP = 1.03
MIN_PACE, MAX_PACE = 0.01, 100.0
SLOWNESS_STEP = 1.15  # larger than `MEDIAN_STEP`, as there are fewer samples per worker
DEFAULT_ESTIMATE_MS = 1_000


class Paces:
    """The usual pace of each queue."""

    def __init__(self) -> None:
        self._usual: dict[str, float] = {}

    def usual(self, route: str) -> float:
        """The usual pace of the queue's tasks; 1.0 without samples."""
        return self._usual.get(route, 1.0)

    def note(self, route: str, pace: float) -> None:
        """Add a sample of a run's pace."""
        pace = min(max(pace, MIN_PACE), MAX_PACE)
        known = self._usual.get(route)
        if known is None:
            self._usual[route] = pace
        else:
            self._usual[route] = step_towards(known, pace, MEDIAN_STEP)


def step_towards(value: float, sample: float, step: float) -> float:
    """Running median: move the value by one factor towards the sample, never past it."""
    return min(value * step, sample) if sample > value else max(value / step, sample)


def estimate_ms(run: Run) -> float:
    """The client's estimate for the task, extended if the run is away from its data or its step."""
    return (run.task.step.spec.estimate_ms or DEFAULT_ESTIMATE_MS) * run.duration_factor


def pace_of(run: Run, now_ms: int) -> float | None:
    """The pace of the run itself, or None while it has made too little progress."""
    gained = run.percent - run.first_percent
    took_ms = now_ms - run.first_seen_ms
    if run.first_seen_ms < 0 or gained < 2 or took_ms < 200:
        return None
    return gained / 100 * estimate_ms(run) / took_ms


def left_ms(run: Run, now_ms: int, usual_pace: float) -> float:
    """Remaining time of the run by its own pace, or by the usual pace if its own is unknown."""
    pace = pace_of(run, now_ms) or usual_pace
    if run.percent:
        return (100 - run.percent) / 100 * estimate_ms(run) / pace
    ran_ms = now_ms - run.started_ms if run.started_ms >= 0 else 0
    return max(0.0, estimate_ms(run) / pace - ran_ms)
