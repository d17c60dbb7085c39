"""The workers of all machines: their heartbeats, their ends and new incarnations."""

from __future__ import annotations

import random

from flintfield.agent.events import Deregistered, Heartbeat
from flintfield.jobs.messages import WorkerState
from flintfield.simulation.held import Gangs
from flintfield.simulation.plans import Bounds, Kind
from flintfield.simulation.record import Record
from flintfield.simulation.spot import Deliver, Spot
from flintfield.simulation.worker import PlanOf, Signal, StandInWorker
from flintfield.simulation.worker_calls import CALL_MS, WorkerCalls
from flintfield.simulation.world import World

LATE_BEAT_MS = (600.0, 5_000.0)
RETURN_MS = (400.0, 2_500.0)  # until a new incarnation takes the place of one that ended
DEREGISTER_PERIOD_MS = 700.0
LINGER_MS = (100.0, 2_500.0)  # how much longer than promised a leaving worker serves


class Fleet:
    """All spots."""

    def __init__(
        self,
        world: World,
        record: Record,
        bounds: Bounds,
        plan_of: PlanOf,
        signal: Signal,
        rng: random.Random,
    ) -> None:
        self.spots: dict[str, Spot] = {}
        self._world = world
        self._record = record
        self._bounds = bounds
        self._plan_of = plan_of
        self._signal = signal
        self._rng = rng
        self._gangs: Gangs[StandInWorker] = Gangs()
        self._incarnations = 0
        self.calls = WorkerCalls(world, random.Random(rng.getrandbits(64)))

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
        return StandInWorker(
            self._world,
            self._record,
            machine,
            name,
            kind,
            self._bounds,
            self._plan_of,
            self._gangs,
            self._signal,
            random.Random(self._rng.getrandbits(64)),
        )

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

    def deregister(self, spot: Spot, serves_on_ms: float) -> None:
        """It deregisters without a word before, serves on for so long, and ends."""
        worker = spot.worker
        if worker.dead or worker.draining or worker.deregistered:
            return
        self._world.note(f"worker {worker.instance} deregisters")
        worker.deregistered = True
        worker.beats_on = self._rng.random() < 0.5
        self._say_deregistered(spot, worker)
        if self._rng.random() < 0.3:
            worker.draining = True
            self._world.after(self._rng.uniform(0, serves_on_ms), lambda: self._say(spot, worker))
        self._world.after(serves_on_ms, lambda: self._end(spot, worker))

    def _say_deregistered(self, spot: Spot, worker: StandInWorker) -> None:
        """Repeated until an agent takes it in, and at times once more."""
        if worker.dead:
            return
        taken = spot.deliver(Deregistered(worker.instance))
        if not taken or self._rng.random() < 0.2:
            self._world.after(DEREGISTER_PERIOD_MS, lambda: self._say_deregistered(spot, worker))

    def _end(self, spot: Spot, worker: StandInWorker) -> None:
        if spot.worker is worker:
            self.crash(spot)

    def _drain_acked(self, spot: Spot, worker: StandInWorker) -> None:
        worker.drain_acked_ms = self._world.now_ms
        linger_ms = self._rng.uniform(*LINGER_MS)
        self._world.after(self._bounds.drain_ms + linger_ms, lambda: self._leave(spot, worker))

    def _leave(self, spot: Spot, worker: StandInWorker) -> None:
        if worker.dead or spot.worker is not worker or worker.deregistered:
            return
        spot.deliver(Deregistered(worker.instance))
        self.crash(spot)

    # Heartbeats.

    def _beat(self, spot: Spot, worker: StandInWorker) -> None:
        if worker.dead or not worker.beats_on:
            return
        self._say(spot, worker)
        period_ms = self._bounds.heartbeat_ms * self._rng.uniform(0.9, 1.1)
        self._world.after(period_ms, lambda: self._beat(spot, worker))

    def _say(self, spot: Spot, worker: StandInWorker) -> None:
        spot.beats += 1
        capacity = spot.kind.capacity
        state = WorkerState(
            worker.instance,
            spot.kind.service,
            "app",
            "z",
            worker.draining,
            capacity.cpu,
            capacity.memory_mb,
            capacity.gpu,
            spot.kind.labels,
            self._bounds.drain_ms if worker.draining else 0,
            8,
            0,
        )
        beat = Heartbeat(state, spot.beats, int(worker.clock_ms))

        def arrive() -> None:
            taken = spot.deliver(beat)
            if taken and state.draining and worker.drain_acked_ms is None and not worker.dead:
                self._drain_acked(spot, worker)

        late = spot.late_beats and self._rng.random() < spot.late_beats
        self._world.after(self._rng.uniform(*(LATE_BEAT_MS if late else CALL_MS)), arrive)
