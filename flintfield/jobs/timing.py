"""Where the time of jobs goes: sums by queue and phase, and for the newest jobs by job.

The dispatcher notes each phase as it ends. Times of tasks are summed over tasks, so that a wide step that
waits
weighs as much as it is wide; times of a job as a whole (`ADMISSION`, `SHOW`) count once. Waiting is divided
by
the reason that the last pass over the queue found. Memory is bounded: `MOST_QUEUES` queues, `MOST_JOBS` jobs.
"""

from __future__ import annotations

import enum
from array import array
from collections import deque
from dataclasses import dataclass

from flintfield.jobs.model import Job, Step
from flintfield.jobs.states import WaitCause

MAX_TIMED_QUEUES = 256  # by name; what belongs to later ones is summed under ""
MAX_TIMED_JOBS = 512  # with times of their own, the newest
MAX_SUM_MS = 0xFFFF_FFFF  # of one sum of a job


class Phase(enum.IntEnum):
    """A part of the way of a job or task; the numbers are part of the form of `flintfield.observe`'s
    messages."""

    ADMISSION = 0  # handed in until its acceptance is durable
    WAIT_PASS = 1  # ready, and no pass has looked at it yet
    WAIT_ROOM = 2  # no worker has room
    WAIT_RACK = 3  # for room in the rack of its data
    WAIT_WORKER = 4  # there is room, and the policy waits for a better or a trusted worker
    WAIT_GANG = 5  # single members would fit, all together don't
    BACKOFF = 7  # after a run that ended badly
    PLACEMENT = 8  # placed until its start order leaves: the placement is durable
    START = 9  # ordered until the worker has answered, as far as it is told
    RUN = 10  # started until its end `done` is told
    RUN_LOST = 11  # the same for runs that ended otherwise
    NOTE = 12  # an end is told until it is durable
    SHOW = 13  # the last end is told until the job is shown as ended


PHASES = max(Phase) + 1  # number 6 is not used any more

_PHASE_OF_WAIT = {
    WaitCause.PASS: Phase.WAIT_PASS,
    WaitCause.ROOM: Phase.WAIT_ROOM,
    WaitCause.RACK: Phase.WAIT_RACK,
    WaitCause.WORKER: Phase.WAIT_WORKER,
    WaitCause.GANG: Phase.WAIT_GANG,
}


@dataclass(slots=True)
class QueueTimes:
    """By phase: how many tasks (or jobs) went through it, how long in all, and the longest (ms)."""

    count: array[int]
    total_ms: array[int]
    longest_ms: array[int]


class JobTimes:
    """By phase: the sum over the job's tasks, and the longest (ms)."""

    __slots__ = ("longest_ms", "total_ms")

    def __init__(self) -> None:
        self.total_ms = array("I", bytes(4 * PHASES))
        self.longest_ms = array("I", bytes(4 * PHASES))

    def add(self, phase: Phase, sum_ms: int, longest_ms: int) -> None:
        """Tasks went through this phase in that time together, the longest in that."""
        self.total_ms[phase] = min(MAX_SUM_MS, self.total_ms[phase] + sum_ms)
        self.longest_ms[phase] = max(self.longest_ms[phase], min(MAX_SUM_MS, longest_ms))


class Timing:
    """The sums of one term."""

    def __init__(self) -> None:
        self.queues: dict[str, QueueTimes] = {}
        self._timed: deque[Job] = deque()

    def begin(self, job: Job) -> None:
        """Keep times of this job, and drop those of the eldest where there are too many."""
        job.times = JobTimes()
        self._timed.append(job)
        if len(self._timed) > MAX_TIMED_JOBS:
            self._timed.popleft().times = None

    def note(self, job: Job, phase: Phase, each_ms: int, tasks: int = 1, longest_ms: int = 0) -> None:
        """So many tasks of the job (or the job itself) went through this phase in that time each.

        `longest_ms` is told where this is a part of a longer time.
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
        """The step's ready tasks have waited until now for the cause that was found last."""
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
    """By queue, each phase with its count and mean (ms), as a log shows it."""
    return {
        name or "others": " ".join(
            f"{phase.name.lower()}={queue.count[phase]}x{queue.total_ms[phase] // queue.count[phase]}"
            for phase in Phase
            if queue.count[phase]
        )
        for name, queue in timing.queues.items()
    }
