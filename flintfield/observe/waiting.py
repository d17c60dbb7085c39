"""Why a ready task has not been placed. Reads the dispatcher's tables and changes nothing."""

from __future__ import annotations

from flintfield.jobs.demands import demand_of, has_room
from flintfield.jobs.model import Step, Task
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import TaskState
from flintfield.observe.messages import WaitReason
from flintfield.placement.interface import Demand, Worker


def wait_reason(state: DispatcherState, task: Task) -> WaitReason:
    """Why this task waits; `NONE` where a run of it has started, or it is done."""
    if task.state is TaskState.WAITING:
        return WaitReason.EARLIER_STEPS
    if task.state is TaskState.DELAYED:
        return WaitReason.BACKOFF
    if task.state is TaskState.READY:
        return _unplaced(state, task)
    if task.state is TaskState.PLACED and all(run.started_ms < 0 for run in task.runs):
        return WaitReason.UNANSWERED
    return WaitReason.NONE


def _unplaced(state: DispatcherState, task: Task) -> WaitReason:
    """The first bound that leaves no worker over."""
    demand = demand_of(task)
    queue = state.services.get(demand.service)
    left = list(queue.workers.values()) if queue is not None else []
    if not left:
        return WaitReason.NO_WORKER
    for reason, passes in _BOUNDS:
        left = [worker for worker in left if passes(worker, demand)]
        if not left:
            return reason
    if not any(state.placement.is_trusted(worker.instance, state.now_ms) for worker in left):
        return WaitReason.QUARANTINE
    return WaitReason.GANG if _is_gang(task.step) else WaitReason.POLICY


def _is_gang(step: Step) -> bool:
    return step.spec.gang and step.spec.count > 1


def _ready(worker: Worker, _demand: Demand) -> bool:
    return worker.ready


def _labelled(worker: Worker, demand: Demand) -> bool:
    return worker.labels.issuperset(demand.needs)


def _large_enough(worker: Worker, demand: Demand) -> bool:
    return demand.resources.fits(worker.capacity)


def _below_bound(worker: Worker, demand: Demand) -> bool:
    return not demand.max_per_worker or worker.task_counts.get(demand.group, 0) < demand.max_per_worker


_BOUNDS = (
    (WaitReason.NONE_READY, _ready),
    (WaitReason.NO_LABEL, _labelled),
    (WaitReason.TOO_LARGE, _large_enough),
    (WaitReason.NO_ROOM, has_room),
    (WaitReason.ANTI_AFFINITY, _below_bound),
)
