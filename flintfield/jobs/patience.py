"""How late the end of a run may be learned without loss, by worker.

Each look at a worker is priced, and an end that is learned late delays what depends on it. What is observed:
the time that each run's step still has until its job misses its objective (or, once that is missed, until it
earns nothing any more), and whether tasks wait for room. A part of the shortest of these times is the
worker's patience; it is told with every answer to a report, so it follows within a report's period.
"""

from __future__ import annotations

from collections.abc import Iterable

from flintfield.jobs.estimates import Paces, left_ms
from flintfield.jobs.model import Run
from flintfield.jobs.ranks import PRIORITY_GAP_MS

SLACK_SHARE = 0.3  # of the time that is left until the objective is missed
MIN_PATIENCE_MS = 10
MAX_PATIENCE_MS = 1_000
ROOM_WAIT_PATIENCE_MS = 30  # where tasks wait for the room that an end makes
LATE_LIMIT_FACTOR = 3.0  # times the objective: a job that is later than that earns nothing any more


def patience_ms(runs: Iterable[Run], tasks_wait: bool, paces: Paces, now_ms: int, wall_ms: int) -> int:
    """For a worker with these runs; `tasks_wait` tells whether tasks wait for room there."""
    shortest = float(ROOM_WAIT_PATIENCE_MS if tasks_wait else MAX_PATIENCE_MS)
    for run in runs:
        slack = _slack_ms(run, paces, now_ms, wall_ms)
        if slack is not None:
            shortest = min(shortest, slack * SLACK_SHARE)
            if shortest <= MIN_PATIENCE_MS:
                return MIN_PATIENCE_MS
    return int(shortest)


def _slack_ms(run: Run, paces: Paces, now_ms: int, wall_ms: int) -> float | None:
    """How much later than expected the run may end; None where nothing is lost any more, or it lasts."""
    step = run.task.step
    job = run.task.job
    if step.spec.long_running or job.ended or step.occurrence.finished:
        return None
    latest_start = step.rank - job.terms.priority * PRIORITY_GAP_MS
    step_due = latest_start + step.spec.estimate_ms
    ends = wall_ms + left_ms(run, now_ms, paces.usual(job.route))
    if ends <= step_due:
        return step_due - ends
    begun = step.occurrence.due_wall_ms
    late_due = begun + (step_due - begun) * LATE_LIMIT_FACTOR
    return late_due - ends if ends <= late_due else None
