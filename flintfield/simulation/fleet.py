"""The workers of all machines: their heartbeats, their ends and new incarnations, and the calls of their
agents.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from flintfield.agent.events import (
    Answer, AnswerKind, CallWorker, Deregistered, Event, Heartbeat, Hold, RunStart, RunStop,
)
from flintfield.jobs.messages import WorkerState
from flintfield.simulation.held import Gangs
from flintfield.simulation.plans import Bounds, Kind
from flintfield.simulation.record import Record
from flintfield.simulation.worker import PlanOf, Signal, StandInWorker
from flintfield.simulation.world import World

CALL_MS = (0.2, 1.5)
LATE_ORDER_MS = (2_000.0, 9_000.0)
LATE_BEAT_MS = (600.0, 5_000.0)
RETURN_MS = (400.0, 2_500.0)  # until a new incarnation takes the place of one that ended
LINGER_MS = (100.0, 2_500.0)  # how much longer than promised a leaving worker serves

Deliver = Callable[[Event], bool]
"""Give the living agent an event; False where there is none to take it in."""


@dataclass
class Spot:
    """The place of a worker on its machine, and what is wrong there at the moment."""

    machine: str
    kind: Kind
    deliver: Deliver
    worker: StandInWorker
    beats: int = 0
    late_share: float = 0.0  # of the orders that get no answer and are carried out later
    lost_share: float = 0.0  # of the orders that are carried out and get no answer
    dark: bool = False  # calls are neither done nor answered
    unhealthy: bool = False  # 503 to every call, heartbeats go on
    late_beats: float = 0.0  # share of the heartbeats that come late


class Fleet:
    """All spots."""

    def __init__(self, world: World, record: Record, bounds: Bounds, plan_of: PlanOf, signal: Signal,
                 rng: random.Random) -> None:
        self.spots: dict[str, Spot] = {}
        self._world = world
        self._record = record
        self._bounds = bounds
        self._plan_of = plan_of
        self._signal = signal
        self._rng = rng
        self._gangs = Gangs()
        self._incarnations = 0
        self._late = 0

    @property
    def idle(self) -> bool:
        """Whether no order is still to be carried out late."""
        return self._late == 0

    def add(self, machine: str, kind: Kind, deliver: Deliver) -> Spot:
        """A worker that starts now on this machine."""
        spot = Spot(machine, kind, deliver, self._incarnate(machine, kind))
        self.spots[machine] = spot
        self._world.after(self._rng.uniform(5, 60), lambda: self._beat(spot, spot.worker))
        return spot

    def _incarnate(self, machine: str, kind: Kind) -> StandInWorker:
        self._incarnations += 1
        name = f"i-{self._incarnations:02d}"
        self._world.note(f"worker {name} starts on {machine}")
        return StandInWorker(self._world, self._record, machine, name, kind, self._bounds, self._plan_of,
                             self._gangs, self._signal, random.Random(self._rng.getrandbits(64)))

    # Ends and beginnings.

    def crash(self, spot: Spot) -> None:
        """The worker dies, and another incarnation takes its place."""
        if spot.worker.dead:
            return
        self._world.note(f"worker {spot.worker.instance} crashes")
        spot.worker.crash()
        self._world.after(self._rng.uniform(*RETURN_MS), lambda: self._return(spot))

    def _return(self, spot: Spot) -> None:
        spot.worker = self._incarnate(spot.machine, spot.kind)
        self._beat(spot, spot.worker)

    def drain(self, spot: Spot) -> None:
        """It says that it will leave, and leaves some time after that was acknowledged."""
        worker = spot.worker
        if worker.dead or worker.draining:
            return
        self._world.note(f"worker {worker.instance} drains")
        worker.draining = True
        self._say(spot, worker)
        self._world.after(6_000, lambda: self._leave(spot, worker))  # if no acknowledgement comes

    def _drain_acked(self, spot: Spot, worker: StandInWorker) -> None:
        worker.drain_acked_ms = self._world.now_ms
        linger_ms = self._rng.uniform(*LINGER_MS)
        self._world.after(self._bounds.drain_ms + linger_ms, lambda: self._leave(spot, worker))

    def _leave(self, spot: Spot, worker: StandInWorker) -> None:
        if worker.dead or spot.worker is not worker:
            return
        spot.deliver(Deregistered(worker.instance))
        self.crash(spot)

    # Heartbeats.

    def _beat(self, spot: Spot, worker: StandInWorker) -> None:
        if worker.dead:
            return
        self._say(spot, worker)
        period_ms = self._bounds.heartbeat_ms * self._rng.uniform(0.9, 1.1)
        self._world.after(period_ms, lambda: self._beat(spot, worker))

    def _say(self, spot: Spot, worker: StandInWorker) -> None:
        spot.beats += 1
        capacity = spot.kind.capacity
        state = WorkerState(worker.instance, spot.kind.service, "app", "z", worker.draining, capacity.cpu,
                            capacity.memory_mb, capacity.gpu, spot.kind.labels,
                            self._bounds.drain_ms if worker.draining else 0, 8, 0)
        beat = Heartbeat(state, spot.beats, int(worker.clock_ms))

        def arrive() -> None:
            taken = spot.deliver(beat)
            if taken and state.draining and worker.drain_acked_ms is None and not worker.dead:
                self._drain_acked(spot, worker)

        late = spot.late_beats and self._rng.random() < spot.late_beats
        self._world.after(self._rng.uniform(*(LATE_BEAT_MS if late else CALL_MS)), arrive)

    # Calls of agents.

    def call(self, spot: Spot, call: CallWorker, answer: Callable[[Answer], None]) -> None:
        """Carry a call to the worker; `answer` is called unless there is none."""
        worker, rng = spot.worker, self._rng
        if worker.dead:
            self._world.after(rng.uniform(*CALL_MS), lambda: answer(Answer(AnswerKind.NOT_SENT)))
            return
        is_order = not isinstance(call.request, Hold)
        draw = rng.random()
        late = is_order and draw < spot.late_share
        lost = is_order and not late and draw < spot.late_share + spot.lost_share
        if spot.dark:
            if not is_order or rng.random() < 0.6:
                return
            late = True
        delay_ms = rng.uniform(*(LATE_ORDER_MS if late else CALL_MS))
        heard = _nobody if late or lost else answer
        self._late += late
        self._world.after(delay_ms, lambda: self._carry_out(spot, call, late, heard))

    def _carry_out(self, spot: Spot, call: CallWorker, late: bool, answer: Callable[[Answer], None]) -> None:
        self._late -= late
        worker = spot.worker
        if worker.dead:
            return
        if worker.instance != call.instance:
            self._reply(answer, Answer(AnswerKind.OTHER_INSTANCE))
        elif spot.unhealthy and not late:
            self._reply(answer, Answer(AnswerKind.UNHEALTHY))
        else:
            self._serve(worker, call, late, answer)

    def _serve(self, worker: StandInWorker, call: CallWorker, late: bool,
               answer: Callable[[Answer], None]) -> None:
        request = call.request
        if isinstance(request, RunStart):
            reply = worker.start(request, late)
            if late:
                what = f"late start of run {request.run} of {request.task}"
                self._world.note(f"worker {worker.instance}: {what}: {reply.kind.value}")
            self._reply(answer, reply)
        elif isinstance(request, RunStop):
            self._reply(answer, worker.stop(request))
        else:
            self._hold(worker, request, answer)

    def _hold(self, worker: StandInWorker, request: Hold, answer: Callable[[Answer], None]) -> None:
        refusal = worker.hold(request)
        if refusal is not None:
            self._reply(answer, refusal)
            return
        told = False

        def tell() -> None:
            nonlocal told
            if not told and not worker.dead:
                told = True
                self._reply(answer, worker.lists())

        if worker.has_ends or not request.wait_ms:
            tell()
        else:
            worker.waiters.append(tell)
            self._world.after(request.wait_ms, tell)

    def _reply(self, answer: Callable[[Answer], None], reply: Answer) -> None:
        self._world.after(self._rng.uniform(*CALL_MS), lambda: answer(reply))


def _nobody(_: Answer) -> None:
    """The answer is lost."""
