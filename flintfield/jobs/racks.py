"""Which tasks wait for the rack of their data, and which run far from it at once.

Away from its data, work takes `far_x` times as long. A task therefore waits for room in the rack while that
is expected to take less than what running far away would cost. Expected is the work that waits for the rack
ahead of it, over the capacity of the rack: the price of a rack is the time that one waits for it. In one pass
over a queue, steps come in the order of their rank, and each adds what it leaves waiting.
"""

from __future__ import annotations

from flintfield.jobs.demands import tasks_that_fit
from flintfield.jobs.model import Step, Task
from flintfield.jobs.queues import ServiceQueue
from flintfield.jobs.state import DispatcherState
from flintfield.placement.interface import Resources

WAIT_SHARE = 1.0  # of what running far away costs is waited at the most, as it is expected
LONGEST_WAIT_MS = 2_000  # whatever is expected: a job with nothing running counts as lost after 3 s


class RackWaits:
    """Expected waits by rack, built up in one pass over one queue."""

    def __init__(self, state: DispatcherState, queue: ServiceQueue) -> None:
        self._state = state
        self._queue = queue
        self.waiting_steps = 0  # steps that were left waiting for a rack
        self._awaited: set[str] = set()
        self._ahead_ms: dict[str, float] = {}  # of the whole rack's time
        self._largest_room: dict[
            str, Resources
        ] = {}  # on one worker, when the pass first looked: an upper bound

    def may_wait(self, step: Step, task: Task) -> bool:
        """Whether the task still has time to wait for the rack of its data, if there is such a rack."""
        if not step.spec.affinity or self._rack_capacity(step) <= 0:
            return False
        waited_ms = self._state.now_ms - task.ready_ms
        return waited_ms < min(WAIT_SHARE * self._remote_cost_ms(step), LONGEST_WAIT_MS)

    def missed(self, step: Step) -> None:
        """Tasks of the step were left waiting for their rack."""
        self.waiting_steps += 1
        self._awaited.add(step.spec.affinity)

    @property
    def wanted(self) -> frozenset[str]:
        """The racks that tasks were left waiting for."""
        return frozenset(self._awaited)

    def has_room(self, step: Step) -> bool:
        """Whether a worker of the rack may have room for such a task."""
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
        """How many of its tasks that found no room are to wait; they count as ahead of later ones."""
        each_ms = self._work_ms(step) / self._rack_capacity(step)
        ahead_ms = self._ahead_ms.get(step.spec.affinity, 0.0)
        room_ms = WAIT_SHARE * self._remote_cost_ms(step) - ahead_ms
        waiting = max(0, min(left, int(room_ms / each_ms))) if each_ms > 0 else left
        self._ahead_ms[step.spec.affinity] = ahead_ms + waiting * each_ms
        return waiting

    def _rack_capacity(self, step: Step) -> int:
        """How many such tasks the rack would hold if it were empty."""
        return sum(
            max(0, tasks_that_fit(worker.capacity, step.resources))
            for worker in self._queue.workers.values()
            if worker.ready and worker.rack == step.spec.affinity
        )

    def _work_ms(self, step: Step) -> float:
        return step.spec.estimate_ms / self._state.paces.usual(step.occurrence.job.route)

    def _remote_cost_ms(self, step: Step) -> float:
        return self._work_ms(step) * (self._state.bounds.far_x - 1)
