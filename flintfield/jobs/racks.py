"""Decides which tasks wait for capacity in the rack of their data and which run elsewhere immediately.

Work away from its data takes `far_x` times as long. A task therefore waits for its rack while the expected
wait is shorter than the time that running elsewhere would add. The expected wait is the work that waits for
the rack ahead of the task, divided by the capacity of the rack. A pass over a queue visits steps in order of
their rank, and each adds the tasks that it leaves waiting.
"""

from __future__ import annotations

from flintfield.jobs.demands import tasks_that_fit
from flintfield.jobs.model import Step, Task
from flintfield.jobs.queues import ServiceQueue
from flintfield.jobs.state import DispatcherState
from flintfield.placement.interface import Resources

WAIT_SHARE = 1.0  # longest expected wait, as a share of the time that running elsewhere would add
LONGEST_WAIT_MS = 2_000  # longest actual wait; a job with nothing running counts as lost after 3 s


class RackWaits:
    """Expected wait per rack, accumulated during one pass over one queue."""

    def __init__(self, state: DispatcherState, queue: ServiceQueue) -> None:
        self._state = state
        self._queue = queue
        self.waiting_steps = 0  # number of steps that were left waiting for a rack
        self._awaited: set[str] = set()
        self._ahead_ms: dict[str, float] = {}  # by rack: waiting work divided by the rack's capacity
        self._largest_room: dict[
            str, Resources
        ] = {}  # by rack, on a single worker, at the first check of the pass: an upper bound

    def tasks_that_may_wait(self, step: Step, tasks: list[Task]) -> list[Task]:
        """The tasks that may still wait for the rack of their data; none if no worker is in that rack."""
        if not step.spec.affinity or self._rack_capacity(step) <= 0:
            return []
        longest_wait_ms = min(WAIT_SHARE * self._remote_cost_ms(step), LONGEST_WAIT_MS)
        return [task for task in tasks if self._state.now_ms - task.ready_ms < longest_wait_ms]

    def missed(self, step: Step) -> None:
        """Record that tasks of the step were left waiting for their rack."""
        self.waiting_steps += 1
        self._awaited.add(step.spec.affinity)

    @property
    def wanted(self) -> frozenset[str]:
        """Racks that tasks were left waiting for."""
        return frozenset(self._awaited)

    def has_room(self, step: Step) -> bool:
        """Whether a worker in the rack may have capacity for such a task."""
        room = self._largest_room.get(step.spec.affinity)
        if room is None:
            room = self._largest_room[step.spec.affinity] = self._find_largest_room(step.spec.affinity)
        return step.resources.fits(room)

    def _find_largest_room(self, rack: str) -> Resources:
        members = [worker for worker in self._queue.workers.values() if worker.ready and worker.rack == rack]
        free = [worker.capacity.minus(worker.used) for worker in members]
        return Resources(
            max((each.cpu for each in free), default=-1),
            max((each.memory_mb for each in free), default=-1),
            max((each.gpu for each in free), default=-1),
        )

    def count_waiting(self, step: Step, left: int) -> int:
        """How many of the step's `left` unplaced tasks should wait; they count as ahead of later ones."""
        task_ms = self._work_ms(step) / self._rack_capacity(step)
        ahead_ms = self._ahead_ms.get(step.spec.affinity, 0.0)
        room_ms = WAIT_SHARE * self._remote_cost_ms(step) - ahead_ms
        waiting = max(0, min(left, int(room_ms / task_ms))) if task_ms > 0 else left
        self._ahead_ms[step.spec.affinity] = ahead_ms + waiting * task_ms
        return waiting

    def _rack_capacity(self, step: Step) -> int:
        """Number of such tasks that would fit into the empty rack."""
        return sum(
            max(0, tasks_that_fit(worker.capacity, step.resources))
            for worker in self._queue.workers.values()
            if worker.ready and worker.rack == step.spec.affinity
        )

    def _work_ms(self, step: Step) -> float:
        return step.spec.estimate_ms / self._state.paces.usual(step.occurrence.job.route)

    def _remote_cost_ms(self, step: Step) -> float:
        return self._work_ms(step) * (self._state.bounds.far_x - 1)
