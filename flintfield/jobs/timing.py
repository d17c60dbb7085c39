"""Times of jobs by phase: sums per queue, and per job for the newest jobs.

The dispatcher records each phase when it ends. Times of tasks are summed over tasks, so that a waiting step
counts once per task; times of a whole job (`ADMISSION`, `SHOW`) count once. Waiting is divided by the cause
that the last pass over the queue found. Memory is limited to `MAX_TIMED_QUEUES` queues and `MAX_TIMED_JOBS`
jobs.
"""

from __future__ import annotations

import enum
from array import array
from collections import deque
from dataclasses import dataclass

from flintfield.jobs.model import Job, Step
from flintfield.jobs.states import WaitCause

MAX_TIMED_QUEUES = 256  # further queues are summed under ""
MAX_TIMED_JOBS = 512  # the newest jobs, which have their own times
MAX_SUM_MS = 0xFFFF_FFFF  # limit of a sum of one job


class Phase(enum.IntEnum):
    """A phase of a job or task; the numbers are part of the message format of `flintfield.observe`."""

    ADMISSION = 0  # from submission until the acceptance is durable
    WAIT_PASS = 1  # ready, but no pass has tried it yet
    WAIT_ROOM = 2  # no worker has capacity
    WAIT_RACK = 3  # for capacity in the rack of its data
    WAIT_WORKER = 4  # there is capacity, but the policy waits for a better or a trusted worker
    WAIT_GANG = 5  # a single member would fit, but not all of them
    BACKOFF = 7  # the delay after a run that did not end `done`
    PLACEMENT = 8  # from placement until the start order is sent, once the placement is durable
    START = 9  # from the start order until its answer is reported
    RUN = 10  # from the start until the end `done` is reported
    RUN_LOST = 11  # the same for runs that ended otherwise
    NOTE = 12  # from the report of an end until it is durable
    SHOW = 13  # from the report of the last end until the job is shown as ended


PHASES = max(Phase) + 1  # number 6 is no longer used

_PHASE_OF_WAIT = {
    WaitCause.PASS: Phase.WAIT_PASS,
    WaitCause.ROOM: Phase.WAIT_ROOM,
    WaitCause.RACK: Phase.WAIT_RACK,
    WaitCause.WORKER: Phase.WAIT_WORKER,
    WaitCause.GANG: Phase.WAIT_GANG,
}


@dataclass(slots=True)
class QueueTimes:
    """By phase: number of tasks (or jobs), total time and longest time (ms)."""

    count: array[int]
    total_ms: array[int]
    longest_ms: array[int]


class JobTimes:
    """By phase: sum over the job's tasks and longest time (ms)."""

    __slots__ = ("longest_ms", "total_ms")

    def __init__(self) -> None:
        self.total_ms = array("I", bytes(4 * PHASES))
        self.longest_ms = array("I", bytes(4 * PHASES))

    def add(self, phase: Phase, sum_ms: int, longest_ms: int) -> None:
        """Add the total and the longest time of tasks in a phase."""
        self.total_ms[phase] = min(MAX_SUM_MS, self.total_ms[phase] + sum_ms)
        self.longest_ms[phase] = max(self.longest_ms[phase], min(MAX_SUM_MS, longest_ms))


class Timing:
    """The times recorded in one term of the dispatcher."""

    def __init__(self) -> None:
        self.queues: dict[str, QueueTimes] = {}
        self._timed: deque[Job] = deque()

    def begin(self, job: Job) -> None:
        """Start recording times of this job; drop those of the oldest job above `MAX_TIMED_JOBS`."""
        job.times = JobTimes()
        self._timed.append(job)
        if len(self._timed) > MAX_TIMED_JOBS:
            self._timed.popleft().times = None

    def note(self, job: Job, phase: Phase, each_ms: int, tasks: int = 1, longest_ms: int = 0) -> None:
        """Add `each_ms` per task of the job (or for the job itself) to a phase.

        `longest_ms` is given if `each_ms` is a part of a longer time.
        """
        each_ms = max(0, each_ms)
        longest_ms = max(each_ms, longest_ms)
        queue = self._queue(job.route)
        queue.count[phase] += tasks
        queue.total_ms[phase] += each_ms * tasks
        if longest_ms > queue.longest_ms[phase]:
            queue.longest_ms[phase] = longest_ms
        if isinstance(job.times, JobTimes):
            job.times.add(phase, each_ms * tasks, longest_ms)

    def settle_wait(self, step: Step, now_ms: int) -> None:
        """Record the waiting time of the step's ready tasks up to now under its last cause."""
        waited_ms = now_ms - step.waiting_since_ms
        if step.ready and waited_ms > 0:
            phase, since_ready_ms = _PHASE_OF_WAIT[step.wait_cause], now_ms - step.ready_since_ms
            self.note(step.occurrence.job, phase, waited_ms, len(step.ready), since_ready_ms)
        step.waiting_since_ms = now_ms

    def _queue(self, name: str) -> QueueTimes:
        queue = self.queues.get(name)
        if queue is None:
            if len(self.queues) >= MAX_TIMED_QUEUES:
                name = ""
            queue = self.queues.setdefault(name, _empty_times())
        return queue


def _empty_times() -> QueueTimes:
    return QueueTimes(*(array("q", bytes(8 * PHASES)) for _ in range(3)))


def logged_times(timing: Timing) -> dict[str, str]:
    """By queue: count and mean (ms) of each phase, formatted for the log."""
    return {
        name or "others": " ".join(
            f"{phase.name.lower()}={queue.count[phase]}x{queue.total_ms[phase] // queue.count[phase]}"
            for phase in Phase
            if queue.count[phase]
        )
        for name, queue in timing.queues.items()
    }
