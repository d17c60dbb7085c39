"""The states of jobs, tasks and runs, and the changes between them that there are."""

from __future__ import annotations

import enum


class IllegalChange(RuntimeError):
    """A change of state that the state machine does not know: a defect of the dispatcher."""


class JobState(enum.IntEnum):
    """Where a job stands. The numbers are part of the durable form."""

    ACCEPTING = 1  # its acceptance is not durable yet
    ACTIVE = 2
    COMPLETED = 3
    FAILED = 4
    CANCELLED = 5


class TaskState(enum.IntEnum):
    """Where a task stands."""

    WAITING = 1  # for earlier steps
    READY = 2
    DELAYED = 3  # backs off before the next run
    PLACED = 4  # at least one run may be there
    DONE = 5


class RunState(enum.IntEnum):
    """Where a run stands."""

    PLACING = 1  # the placement is not durable yet; no order has left
    ORDERED = 2  # the start order may have left
    INHERITED = 3  # placed by an earlier dispatcher; not seen yet
    RUNNING = 4  # seen on the worker
    STOPPING = 5
    CLOSED = 6  # its end is certain


class WaitCause(enum.Enum):
    """Why ready tasks of a step were not placed when a pass last looked at them."""

    PASS = enum.auto()  # none has looked yet, or it had no time for them
    ROOM = enum.auto()  # no worker has room
    RACK = enum.auto()  # they wait for room in the rack of their data
    WORKER = enum.auto()  # there is room, and the policy waits for a better worker
    GANG = enum.auto()  # single members would fit, all together don't


JOB_CHANGES = {
    (JobState.ACCEPTING, JobState.ACTIVE),
    (JobState.ACCEPTING, JobState.CANCELLED),
    (JobState.ACTIVE, JobState.COMPLETED),
    (JobState.ACTIVE, JobState.FAILED),
    (JobState.ACTIVE, JobState.CANCELLED),
}
TASK_CHANGES = {
    (TaskState.WAITING, TaskState.READY),
    (TaskState.READY, TaskState.PLACED),
    (TaskState.READY, TaskState.DONE),
    (TaskState.DELAYED, TaskState.READY),
    (TaskState.DELAYED, TaskState.DONE),
    (TaskState.PLACED, TaskState.READY),
    (TaskState.PLACED, TaskState.DELAYED),
    (TaskState.PLACED, TaskState.DONE),
    (TaskState.WAITING, TaskState.PLACED),  # restored
    (TaskState.WAITING, TaskState.DONE),  # restored
}
RUN_CHANGES = {
    (RunState.PLACING, RunState.ORDERED),
    (RunState.INHERITED, RunState.ORDERED),
    (RunState.ORDERED, RunState.RUNNING),
    (RunState.INHERITED, RunState.RUNNING),
    (RunState.ORDERED, RunState.STOPPING),
    (RunState.INHERITED, RunState.STOPPING),
    (RunState.RUNNING, RunState.STOPPING),
    (RunState.PLACING, RunState.CLOSED),
    (RunState.ORDERED, RunState.CLOSED),
    (RunState.INHERITED, RunState.CLOSED),
    (RunState.RUNNING, RunState.CLOSED),
    (RunState.STOPPING, RunState.CLOSED),
}
