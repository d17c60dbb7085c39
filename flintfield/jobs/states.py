"""The states of jobs, tasks and runs, and the allowed transitions."""

from __future__ import annotations

import enum


class IllegalChange(RuntimeError):
    """A transition that the state machine does not allow: a bug in the dispatcher."""


class JobState(enum.IntEnum):
    """State of a job. The numbers are part of the storage format."""

    ACCEPTING = 1  # its acceptance is not durable yet
    ACTIVE = 2
    COMPLETED = 3
    FAILED = 4
    CANCELLED = 5


class TaskState(enum.IntEnum):
    """State of a task."""

    WAITING = 1  # for earlier steps
    READY = 2
    DELAYED = 3  # waits for a backoff before the next run
    PLACED = 4  # at least one run may exist
    DONE = 5


class RunState(enum.IntEnum):
    """State of a run."""

    PLACING = 1  # the placement is not durable yet; no order has been sent
    ORDERED = 2  # the start order may have been sent
    INHERITED = 3  # placed by an earlier dispatcher; not listed yet
    RUNNING = 4  # listed by the worker
    STOPPING = 5
    CLOSED = 6  # its end is certain


class WaitCause(enum.Enum):
    """Why the last pass did not place the ready tasks of a step."""

    PASS = enum.auto()  # no pass has tried them yet, or the pass reached a limit first
    ROOM = enum.auto()  # no worker has capacity
    RACK = enum.auto()  # they wait for capacity in the rack of their data
    WORKER = enum.auto()  # there is capacity, but the policy waits for a better worker
    GANG = enum.auto()  # a single member would fit, but not all of them


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
