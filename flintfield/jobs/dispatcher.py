"""The dispatcher: the state machine that makes all decisions about jobs, fenced by its epoch.

`handle(now_ms, event)` processes one event and returns the resulting effects. It does no I/O and reads no
clock; its random generator is passed in. Invariants:

- A change is durable before it is reported to a client, before a worker may forget the ends that it covers
  and before a worker is ordered to start a run: dependent effects wait for the `Written` of its write.
- A task has one run at a time, except for copies of `speculative` steps. A run occupies capacity on its
  worker from its placement until its end is certain.
- Capacity is released by a timeout only after the worker, by its own clock, has stopped using it.
- What can't be taken back is decided by a configuration that was confirmed to be the newest since the
  election. Jobs are restored with the terms of an earlier one, and the process may know no newer one yet.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping

from flintfield.jobs import durable
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.cancel_marks import forget_marks
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.events import (
    AgentLost,
    CallArrived,
    Configuration,
    ConfigurationChanged,
    ConfigurationConfirmed,
    Effect,
    Event,
    ReportArrived,
    Tick,
    Written,
)
from flintfield.jobs.gangs import Gangs
from flintfield.jobs.intake import Intake
from flintfield.jobs.moves import Moves
from flintfield.jobs.preemption import Preemption
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.reconfiguration import Reconfiguration
from flintfield.jobs.restore import Restore
from flintfield.jobs.speculation import SpeculativeCopies
from flintfield.jobs.starts import PlacementPasses
from flintfield.jobs.state import Counters, DispatcherState
from flintfield.jobs.workers import Workers
from flintfield.placement.interface import Placement

PLACEMENT_TICK_MS = 100
MAX_FORGOTTEN_AT_ONCE = 1_000  # ended jobs per tick; the rest follow


class Dispatcher:
    """Manages jobs, tasks and runs for one epoch; discarded when the epoch ends."""

    def __init__(
        self,
        epoch: int,
        now_ms: int,
        bounds: DispatcherBounds,
        placement: Placement,
        rng: random.Random,
        configuration: Configuration | None,
        *,
        configuration_confirmed: bool = True,
    ) -> None:
        """`configuration_confirmed`: whether a majority has confirmed since the election that `configuration`
        is the newest; if not, a `ConfigurationConfirmed` is to follow."""
        self._state = DispatcherState(epoch, now_ms, bounds, placement, rng, configuration)
        self._state.configuration_confirmed = configuration_confirmed
        self._state.terms_confirmed = configuration_confirmed
        self._readiness = Readiness(self._state)
        self._ends = RunEnds(self._state, self._readiness)
        self._intake = Intake(self._state, self._readiness, self._ends)
        self._reconfiguration = Reconfiguration(self._state, self._readiness)
        self._workers = Workers(self._state, self._ends, Moves(self._state, self._ends))
        self._copies = SpeculativeCopies(self._state, self._ends)
        self._gangs = Gangs(self._state, self._readiness, self._ends)
        preemption = Preemption(self._state, self._ends)
        self._starts = PlacementPasses(self._state, self._readiness, self._ends, self._gangs, preemption)
        self._placement_ticked_ms = now_ms

    @property
    def counters(self) -> Counters:
        """The counters of this epoch."""
        return self._state.counters

    @property
    def state(self) -> DispatcherState:
        """The tables of the dispatcher, for reading only."""
        return self._state

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 if there is none yet."""
        configuration = self._state.configuration
        return configuration.version if configuration is not None else 0

    def awaits_configuration(self, now_ms: int) -> bool:
        """Whether calls and placements wait for a confirmed configuration."""
        return self._state.awaits_configuration(now_ms)

    @property
    def epoch(self) -> int:
        """The fencing token of this dispatcher's orders."""
        return self._state.epoch

    def restore(self, items: Mapping[bytes, bytes]) -> None:
        """Load the records of earlier dispatchers; called once, before the first event."""
        for _ in self.restore_in_parts(items):
            pass

    def restore_in_parts(self, items: Mapping[bytes, bytes]) -> Iterator[None]:
        """Like `restore`, a few ms at a time, so that other work can be done between the parts."""
        yield from Restore(self._state, self._readiness).parts(items)
        if self._state.configuration is not None:
            self._reconfiguration.configure(self._state.configuration)
        while self._reconfiguration.join_queues():
            yield

    def handle(self, now_ms: int, event: Event) -> list[Effect]:
        """Process an event; `now_ms` is the monotonic clock of this process."""
        self._state.now_ms = now_ms
        match event:
            case CallArrived():
                self._intake.call(event)
            case ReportArrived():
                self._workers.report(event.report)
            case AgentLost():
                self._workers.lost(event.machine)
            case ConfigurationChanged():
                self._reconfiguration.configure(event.configuration)
            case ConfigurationConfirmed():
                self._reconfiguration.confirm(event.configuration)
            case Written():
                self._state.written(event.write)
            case Tick():
                self._tick(event)
        self._starts.run_passes()
        return self._state.flush()

    def _tick(self, event: Tick) -> None:
        state = self._state
        state.set_wall(event.wall_ms)
        self._reconfiguration.join_queues()
        self._ends.runs.stop_some()
        self._workers.tick()
        self._readiness.open_due()
        self._readiness.end_delays()
        self._copies.tick()
        self._forget_ended()
        forget_marks(state, MAX_FORGOTTEN_AT_ONCE)
        if state.now_ms - self._placement_ticked_ms >= PLACEMENT_TICK_MS:
            self._placement_ticked_ms = state.now_ms
            state.placement.tick(state.now_ms, state.placeable)

    def _forget_ended(self) -> None:
        state = self._state
        for _ in range(MAX_FORGOTTEN_AT_ONCE):
            if not state.ended or state.wall_ms - state.ended[0][0] <= state.bounds.keep_ended_ms:
                return
            _, job = state.ended.popleft()
            if state.jobs.get(job.id) is job:
                del state.jobs[job.id]
                state.put(durable.end_key(job.id), None)
