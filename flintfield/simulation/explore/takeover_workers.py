"""The worker beside the agent of the takeover world: it may deregister and serve on, and be replaced."""

from __future__ import annotations

import random

from flintfield.agent.events import Answer, AnswerKind, Heartbeat, Hold, RunStart, RunStop, WorkerRequest
from flintfield.jobs.messages import RunResult, WorkerState
from flintfield.simulation.explore.takeover_dispatcher import HOLD_MAX_MS
from flintfield.simulation.faults import Trigger
from flintfield.simulation.held import Gangs
from flintfield.simulation.plans import Bounds, Capacity, Kind, Plan
from flintfield.simulation.record import Record
from flintfield.simulation.worker import StandInWorker
from flintfield.simulation.world import World

LABELS = ("a", "r1")


class WorkerPlace:
    """The incarnations on one machine, one after the other.

    `told_done` holds the ends `done` that the present life of the agent was told: whoever hears of one must
    not let the task start again, whatever becomes of the worker and of dispatchers.
    """

    def __init__(self, world: World, record: Record, plan: Plan) -> None:
        self._world = world
        self._record = record
        self._plan = plan
        self._incarnations = 0
        self.has_left = False
        self.told_done: set[tuple[str, str, int]] = set()  # instance, task, run
        self.worker = self._incarnate()

    def _incarnate(self) -> StandInWorker:
        self._incarnations += 1
        kind = Kind("svc-a", LABELS, Capacity(1_000, 4_096, 0))
        return StandInWorker(
            self._world,
            self._record,
            "a0",
            f"i-{self._incarnations:02d}",
            kind,
            Bounds(hold_max_ms=HOLD_MAX_MS),
            lambda _: self._plan,
            Gangs(),
            _no_signal,
            random.Random(0),
        )

    def heartbeat(self, seq: int) -> Heartbeat | None:
        """The worker's heartbeat; None once it has deregistered."""
        if self.has_left:
            return None
        state = WorkerState(
            self.worker.instance, "svc-a", "app", "z", False, 1_000, 4_096, 0, LABELS, 0, 8, 0
        )
        return Heartbeat(state, seq, int(self.worker.clock_ms))

    def replace(self) -> None:
        """The worker ends, with all that runs there, and another incarnation begins."""
        self.worker.crash()
        self.worker = self._incarnate()
        self.has_left = False

    def carry_out(self, instance: str, request: WorkerRequest, late: bool) -> Answer:
        """Let the worker do what it is told, if it is the one that is meant."""
        if instance != self.worker.instance:
            return Answer(AnswerKind.OTHER_INSTANCE)
        if isinstance(request, RunStart):
            return self.worker.start(request, late)
        if isinstance(request, RunStop):
            return self.worker.stop(request)
        assert isinstance(request, Hold)
        return self.worker.hold(request) or self.worker.lists()

    def note_told(self, instance: str, answer: Answer) -> None:
        """The agent has got this answer."""
        self.told_done.update(
            (instance, end.task, end.run) for end in answer.finished if end.how is RunResult.DONE
        )

    def agent_lost(self) -> None:
        """What only the agent knew is gone with it."""
        self.told_done.clear()


def _no_signal(_: Trigger) -> None:
    return
