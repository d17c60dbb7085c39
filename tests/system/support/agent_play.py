"""An agent's core whose effects are kept, and whose calls a test answers one by one."""

from __future__ import annotations

import random

from flintfield.agent.core import Agent
from flintfield.agent.events import (
    Answer,
    AnswerKind,
    CallWorker,
    Effect,
    Event,
    Heartbeat,
    Hold,
    LookForLeader,
    OrdersArrived,
    SendReport,
    Tick,
    WorkerAnswered,
    WorkerRequest,
)
from flintfield.agent.limits import AgentLimits
from flintfield.jobs.messages import (
    AgentOrders,
    AgentReport,
    End,
    Outcome,
    Run,
    StartOrder,
    StopOrder,
    WorkerState,
)


START_MS = 100_000
HOLD_MS = 4_000
HOLD_MAX_MS = 10_000
CLOCK_AHEAD_MS = 5_000_000  # of the worker's clock
SERVED_EACH_MS = 250
TASK = "5c0e7a21d94b36f8.0.0.1"
OTHER_TASK = "5c0e7a21d94b36f8.0.0.2"


def worker_state(instance: str = "i-1", draining: bool = False) -> WorkerState:
    """What a worker says of itself."""
    return WorkerState(instance, "s", "10.0.0.9:80", "z", draining, 16_000, 32_768, 0, ("a", "r1-1"), 0, 8, 0)


class Play:
    """An agent whose effects are kept, and whose calls a test answers one by one."""

    def __init__(self) -> None:
        limits = AgentLimits(HOLD_MAX_MS, stop_ms=200)
        self.agent = Agent("side-1", 77, START_MS, limits, "10.0.0.9:80", random.Random(1))
        self.now = START_MS
        self.calls: list[CallWorker] = []
        self.reports: list[AgentReport] = []
        self.searches = 0
        self._seq = 0
        self._sent_ms: dict[int, int] = {}  # by call

    def step(self, event: Event) -> None:
        """Take in an event now."""
        self._note(self.agent.step(self.now, event))

    def pass_time(self, length_ms: int) -> None:
        """Let time pass, with all ticks in it."""
        until = self.now + length_ms
        while (at := self.agent.wake_at(self.now)) <= until:
            self.now = max(at, self.now + 1)
            self.step(Tick())
        self.now = until
        self.step(Tick())

    def beat(self, instance: str = "i-1", draining: bool = False, late_ms: int = 0) -> None:
        """A heartbeat that was sent so long ago."""
        self._seq += 1
        clock_ms = self.now - late_ms + CLOCK_AHEAD_MS
        self.step(Heartbeat(worker_state(instance, draining), self._seq, clock_ms))

    def answer(
        self,
        call: CallWorker,
        kind: AnswerKind = AnswerKind.OK,
        running: tuple[Run, ...] = (),
        finished: tuple[End, ...] = (),
    ) -> None:
        """End a call."""
        self.calls.remove(call)
        told = kind not in (AnswerKind.NONE, AnswerKind.NOT_SENT, AnswerKind.UNHEALTHY)
        clock_ms = self.now + CLOCK_AHEAD_MS if told else None
        self.step(WorkerAnswered(call.call, Answer(kind, clock_ms, running, finished)))

    def order(
        self,
        *wanted: StartOrder | StopOrder,
        epoch: int = 3,
        instance: str = "i-1",
        last_seen: int = 0,
        hold_ms: int = HOLD_MS,
        echo_stamp: int | None = None,
    ) -> None:
        """Orders of the dispatcher."""
        echo = self.now if echo_stamp is None else echo_stamp
        starts = tuple(order for order in wanted if isinstance(order, StartOrder))
        stops = tuple(order for order in wanted if isinstance(order, StopOrder))
        self.step(OrdersArrived(AgentOrders(epoch, instance, echo, hold_ms, last_seen, starts, stops)))

    def pending(self, kind: type[WorkerRequest]) -> list[CallWorker]:
        """The calls of this kind that wait for an answer."""
        return [call for call in self.calls if isinstance(call.request, kind)]

    def only(self, kind: type[WorkerRequest]) -> CallWorker:
        """The one call of this kind that waits for an answer."""
        (call,) = self.pending(kind)
        return call

    def ready(self) -> None:
        """A worker that is confirmed and fenced, with a long call under way."""
        self.beat()
        self.answer(self.only(Hold))
        self.order()
        self.answer(self.only(Hold))
        self.pass_time(400)
        for call in self.pending(Hold):
            if isinstance(call.request, Hold) and not call.request.wait_ms:
                self.answer(call)
        self.reports.clear()

    def serve(
        self,
        length_ms: int,
        running: tuple[Run, ...] = (),
        finished: tuple[End, ...] = (),
        last_seen: int = 0,
    ) -> None:
        """Let time pass with heartbeats, holds that are granted on, and a worker that lists the same."""
        until = self.now + length_ms
        while self.now < until:
            present = self.agent.present
            assert present is not None
            for call in self._due_holds():
                self.answer(call, running=running, finished=finished)
            if not present.leaves:
                self.beat(present.instance)
            self.order(instance=present.instance, last_seen=last_seen)
            self.pass_time(min(SERVED_EACH_MS, until - self.now))

    def _due_holds(self) -> list[CallWorker]:
        """The hold calls whose waits are over."""
        return [
            call
            for call in self.calls
            if isinstance(call.request, Hold) and self.now >= self._sent_ms[call.call] + call.request.wait_ms
        ]

    def outcomes(self) -> dict[int, Outcome]:
        """What was reported of orders, after what is due now has been reported."""
        self.pass_time(150)
        return {result.order: result.outcome for report in self.reports for result in report.results}

    def _note(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, CallWorker):
                self.calls.append(effect)
                self._sent_ms[effect.call] = self.now
            elif isinstance(effect, SendReport):
                self.reports.append(effect.report)
            elif isinstance(effect, LookForLeader):
                self.searches += 1
