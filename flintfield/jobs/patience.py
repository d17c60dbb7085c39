"""Computes per worker the delay with which the ends of its runs may be reported without loss (patience).

Each poll of a worker has a cost, and an end that is reported late delays the work that depends on it. The
patience is a share of the shortest slack of the worker's runs: the time until the job misses its objective
or, after that, until it earns nothing any more. It is short if tasks wait for room. It is sent with every
answer to a report, so the agent receives changes within one report period.
"""

from __future__ import annotations

from collections.abc import Iterable

from flintfield.jobs.estimates import Paces, left_ms
from flintfield.jobs.model import Run
from flintfield.jobs.ranks import PRIORITY_GAP_MS

SLACK_SHARE = 0.3  # of the slack
MIN_PATIENCE_MS = 10
MAX_PATIENCE_MS = 1_000
ROOM_WAIT_PATIENCE_MS = 30  # while tasks wait for capacity on the worker
LATE_LIMIT_FACTOR = 3.0  # multiple of the objective after which a job earns nothing any more


def patience_ms(runs: Iterable[Run], tasks_wait: bool, paces: Paces, now_ms: int, wall_ms: int) -> int:
    """The patience of a worker with these runs; `tasks_wait`: whether tasks wait for capacity there."""
    shortest = float(ROOM_WAIT_PATIENCE_MS if tasks_wait else MAX_PATIENCE_MS)
    for run in runs:
        slack = _slack_ms(run, paces, now_ms, wall_ms)
        if slack is not None:
            shortest = min(shortest, slack * SLACK_SHARE)
            if shortest <= MIN_PATIENCE_MS:
                return MIN_PATIENCE_MS
    return int(shortest)


def _slack_ms(run: Run, paces: Paces, now_ms: int, wall_ms: int) -> float | None:
    """How much later than expected the run may end; None if a delay costs nothing, or it is long-running."""
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
