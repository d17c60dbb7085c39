"""What the stand-in workers of a soak run have run, and which rules that breaks: TWICE and UNASKED.

Workers tell each start, each end with its number, and up to which number ends were taken note of
(`lastSeen`). They run as long as the soak does, under one steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

CLOCK_AHEAD_MS = 7_000_000  # of the workers' clock, ahead of the machine's steady clock
CANCEL_S = 3.0
STOP_S = 0.2
MARGIN_S = 0.3  # for the clocks of the soak and of a worker


@dataclass(slots=True)
class WorkerRun:
    """One run on one worker; times are seconds of the steady clock."""

    worker: str
    task: str
    number: int
    began_s: float
    ended_s: float = float("inf")
    how: str = ""
    end: int = 0  # the number of its end on this worker

    @property
    def job(self) -> str:
        """The ID of its job."""
        return self.task.partition(".")[0]


@dataclass(slots=True)
class WorkerEvents:
    """What all workers have told."""

    runs: list[WorkerRun] = field(default_factory=list)
    noted: dict[str, int] = field(default_factory=dict)  # by worker: ends up to this number were noted
    lapsed_s: dict[str, list[float]] = field(default_factory=dict)  # by worker: when its hold lapsed

    def read(self, worker: str, log: str) -> None:
        """Add what a worker's log tells."""
        running: dict[tuple[str, str], WorkerRun] = {}
        for line in log.splitlines():
            match line.split():
                case ["run", "start", at, task, number]:
                    run = running[task, number] = WorkerRun(worker, task, int(number), _seconds(at))
                    self.runs.append(run)
                case ["run", "end", at, task, number, how, end]:
                    run = running.pop((task, number))
                    run.ended_s, run.how, run.end = _seconds(at), how, int(end)
                    if how == "lapsed":
                        self.lapsed_s.setdefault(worker, []).append(run.ended_s)
                case ["run", "noted", _, end]:
                    self.noted[worker] = int(end)

    def running(self, jobs: Iterable[str]) -> int:
        """How many runs of these jobs have not ended."""
        wanted = set(jobs)
        return sum(1 for run in self.runs if not run.how and run.job in wanted)


def _seconds(worker_ms: str) -> float:
    return (int(worker_ms) - CLOCK_AHEAD_MS) / 1_000


def runs_twice(events: WorkerEvents) -> list[str]:
    """Tasks of which two runs overlap, or that start again after an end `done` that was taken note of."""
    by_task: dict[str, list[WorkerRun]] = {}
    for run in events.runs:
        by_task.setdefault(run.task, []).append(run)
    broken = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run.began_s)
        for before, after in pairwise(runs):
            if after.began_s < before.ended_s:
                broken.append(f"TWICE {after.task}: run {after.number} begins beside run {before.number}")
            elif _is_noted(events, before):
                broken.append(f"TWICE {after.task}: run {after.number} begins after the task was done")
    return broken


def _is_noted(events: WorkerEvents, run: WorkerRun) -> bool:
    """Whether the run ended `done` and that was taken note of while its worker's hold did not lapse."""
    if run.how != "done" or run.end > events.noted.get(run.worker, 0):
        return False
    return all(lapsed_s < run.ended_s for lapsed_s in events.lapsed_s.get(run.worker, ()))


def runs_after_cancel(events: WorkerEvents, cancelled_s: dict[str, float]) -> list[str]:
    """Runs of jobs whose cancel was acknowledged at these times, in calm, that went on too long or began."""
    broken = []
    for run in events.runs:
        acknowledged_s = cancelled_s.get(run.job)
        if acknowledged_s is None:
            continue
        if run.began_s > acknowledged_s + CANCEL_S + MARGIN_S:
            late_s = run.began_s - acknowledged_s
            broken.append(f"UNASKED {run.task} began {late_s:.1f} s after its cancel")
        elif run.ended_s > acknowledged_s + CANCEL_S + STOP_S + MARGIN_S:
            late_s = run.ended_s - acknowledged_s
            broken.append(f"UNASKED {run.task} ended {late_s:.1f} s after its cancel")
    return broken
