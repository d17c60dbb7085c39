"""What the stand-in workers of a soak run have run, and which rules that breaks: TWICE and UNASKED.

Workers tell each start, each end with its number, up to which number they have listed ends, up to which
number these were taken note of (`lastSeen`), and when an incarnation is gone, after which numbers begin anew.
Their processes run as long as the soak does, under one steady clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import pairwise

CLOCK_AHEAD_MS = 7_000_000  # of the workers' clock, ahead of the machine's steady clock
CANCEL_S = 3.0
STOP_S = 0.2
NOTED_S = 0.1
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
    listed_s: dict[str, list[tuple[int, float]]] = field(default_factory=dict)  # by worker: number and time
    lapsed_s: dict[str, list[float]] = field(default_factory=dict)  # by worker: when its hold lapsed

    def read(self, worker: str, log: str) -> None:
        """Add what a worker's log tells."""
        running: dict[tuple[str, str], WorkerRun] = {}
        incarnation, name = 1, worker
        for line in log.splitlines():
            match line.split():
                case ["run", "start", at, task, number]:
                    run = running[task, number] = WorkerRun(name, task, int(number), _seconds(at))
                    self.runs.append(run)
                case ["run", "end", at, task, number, how, end]:
                    run = running.pop((task, number))
                    run.ended_s, run.how, run.end = _seconds(at), how, int(end)
                    if how == "lapsed":
                        self.lapsed_s.setdefault(name, []).append(run.ended_s)
                case ["run", "noted", _, end]:
                    self.noted[name] = int(end)
                case ["run", "listed", at, end]:
                    self.listed_s.setdefault(name, []).append((int(end), _seconds(at)))
                case ["run", "gone", at]:
                    for run in running.values():
                        run.ended_s, run.how = _seconds(at), "gone"
                    running.clear()
                    incarnation += 1
                    name = f"{worker}/{incarnation}"

    def running(self, jobs: Iterable[str]) -> int:
        """How many runs of these jobs have not ended."""
        wanted = set(jobs)
        return sum(1 for run in self.runs if not run.how and run.job in wanted)


def _seconds(worker_ms: str) -> float:
    return (int(worker_ms) - CLOCK_AHEAD_MS) / 1_000


def runs_twice(events: WorkerEvents, calm: Callable[[float, float], bool]) -> list[str]:
    """Tasks of which two runs overlap, or that start again after an end `done` that was taken note of.

    `calm` tells whether nothing was done to a process in a span of time. Then an end counts as taken note of
    `NOTED_S` after it was listed.
    """
    by_task: dict[str, list[WorkerRun]] = {}
    for run in events.runs:
        by_task.setdefault(run.task, []).append(run)
    broken = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run.began_s)
        for before, after in pairwise(runs):
            if after.began_s < before.ended_s:
                broken.append(f"TWICE {after.task}: run {after.number} begins beside run {before.number}")
            elif _is_noted(events, before) or after.began_s > _noted_by_listing_s(events, before, calm):
                broken.append(f"TWICE {after.task}: run {after.number} begins after the task was done")
    return broken


def _is_noted(events: WorkerEvents, run: WorkerRun) -> bool:
    """Whether the run ended `done` and that was taken note of while its worker's hold did not lapse."""
    if run.how != "done" or run.end > events.noted.get(run.worker, 0):
        return False
    return all(lapsed_s < run.ended_s for lapsed_s in events.lapsed_s.get(run.worker, ()))


def _noted_by_listing_s(events: WorkerEvents, run: WorkerRun, calm: Callable[[float, float], bool]) -> float:
    """When the run's end `done` counts as taken note of because it was listed; infinite if it does not."""
    times_s = [at_s for number, at_s in events.listed_s.get(run.worker, ()) if number >= run.end]
    if run.how != "done" or not times_s:
        return float("inf")
    noted_s = min(times_s) + NOTED_S
    lapsed = any(run.ended_s <= at_s <= noted_s for at_s in events.lapsed_s.get(run.worker, ()))
    return noted_s + MARGIN_S if not lapsed and calm(run.ended_s, noted_s) else float("inf")


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
