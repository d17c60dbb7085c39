"""The takeover of a dispatcher, as a small world: one task, one worker, its agent, a dispatcher and its
successors.

Orders to the worker may get no answer and be carried out at any later time, or never; writes become durable
when they like; the dispatcher may end with any of its open writes durable; messages between it and the
agent may wait; the agent may start again. The worker must never hold two runs of the task, nor begin one
after a run was noted as done.

The state machines hold callbacks and can't be copied, so a state is played anew from its path, and told
apart from others by a fingerprint of all that they hold.
"""

from __future__ import annotations

import json
import random
from collections.abc import Hashable
from dataclasses import dataclass, field

from flintfield.agent.core import Agent
from flintfield.agent.events import (
    Answer,
    AnswerKind,
    CallWorker,
    Event,
    Heartbeat,
    Hold,
    LinkOpened,
    OrdersArrived,
    RunStart,
    RunStop,
    SendReport,
    Tick,
    WorkerAnswered,
)
from flintfield.agent.limits import AgentLimits
from flintfield.jobs import events as job_events
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.messages import AgentOrders, AgentReport, JobCall, Method, WorkerState
from flintfield.control.configuration import Configuration, from_document
from flintfield.placement.market import Market
from flintfield.simulation.clock import WALL_START_MS
from flintfield.simulation.explore.fingerprint import fingerprint
from flintfield.simulation.faults import Trigger
from flintfield.simulation.held import Gangs
from flintfield.simulation.operator import first_document
from flintfield.simulation.plans import Bounds, Capacity, Kind, Plan
from flintfield.simulation.record import Record
from flintfield.simulation.scenario import HOST
from flintfield.simulation.worker import StandInWorker
from flintfield.simulation.world import World

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
WAIT_MS = 400  # longer than the first time-out of an order
LEAP_MS = 5_500  # longer than a hold
START_MS = 1_000
HOLD_MAX_MS = 5_000
MOST_MESSAGES = 200  # that follow from one step


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each of these may happen on one path."""

    takeovers: int = 1
    restarts: int = 0  # of the agent
    leaps: int = 0
    unanswered: int = 2  # orders that get no answer and are carried out later
    ends: int = 1  # runs that end done
    slow: int = 0  # times that the messages between dispatcher and agent wait, to be delivered one by one
    waits: int = 4


@dataclass
class _Call:
    """A call of the agent that has not reached the worker; `late` if nobody waits for its answer any more."""

    call: CallWorker
    boot: int
    due_ms: int
    late: bool = False


@dataclass
class Play:
    """One world, played step by step."""

    budget: Budget
    world: World = field(default_factory=lambda: World(random.Random(0)))
    record: Record = field(default_factory=Record)
    store: dict[bytes, bytes] = field(default_factory=dict)
    writes: list[job_events.Write] = field(default_factory=list)
    reports: list[AgentReport] = field(default_factory=list)
    orders: list[tuple[int, AgentOrders]] = field(default_factory=list)  # with the connection's number
    calls: list[_Call] = field(default_factory=list)
    epoch: int = 0
    boot: int = 0
    link: int = 0
    used: dict[str, int] = field(default_factory=dict)
    slow: bool = False

    def __post_init__(self) -> None:
        kind = Kind("svc-a", ("a", "r1"), Capacity(1_000, 4_096, 0))
        plan = Plan(10_000_000, 1_000, lasts=True, group=TASK)
        bounds = Bounds(hold_max_ms=HOLD_MAX_MS)
        self.world.now_ms = START_MS
        self.worker = StandInWorker(
            self.world,
            self.record,
            "a0",
            "i-01",
            kind,
            bounds,
            lambda _: plan,
            Gangs(),
            _no_signal,
            random.Random(0),
        )
        self.configuration: Configuration = from_document(first_document(1))
        self._elect()
        self._start_agent()
        self._accept_job()
        self._settle()

    @property
    def now(self) -> int:
        """The clock of dispatcher and agent."""
        return int(self.world.now_ms)

    # The dispatcher.

    def _elect(self) -> None:
        self.epoch += 1
        bounds = DispatcherBounds(hold_max_ms=HOLD_MAX_MS)
        self.dispatcher = Dispatcher(
            self.epoch, self.now, bounds, Market(1), random.Random(1), self.configuration
        )
        self.dispatcher.restore(dict(self.store))
        self._tick()

    def _tick(self) -> None:
        self._feed(job_events.Tick(WALL_START_MS + self.now))

    def _feed(self, event: job_events.Event) -> None:
        for effect in self.dispatcher.handle(self.now, event):
            match effect:
                case job_events.Write():
                    self.writes.append(effect)
                case job_events.SendOrders():
                    self.orders.append((self.link, effect.orders))

    def _written(self) -> None:
        write = self.writes.pop(0)
        self._apply(write)
        self._feed(job_events.Written(write.write))

    def _apply(self, write: job_events.Write) -> None:
        for key, value in write.changes:
            if value is None:
                self.store.pop(key, None)
            else:
                self.store[key] = value

    def _accept_job(self) -> None:
        steps = [{"count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": 60_000}]
        body = json.dumps({"spec": "spec", "steps": steps}).encode()
        self._feed(job_events.CallArrived(1, JobCall(Method.SUBMIT, HOST, f"/a/{JOB}", body, 1)))

    # The agent.

    def _start_agent(self) -> None:
        self.boot += 1
        limits = AgentLimits(HOLD_MAX_MS, 200)
        self.agent = Agent("a0", self.boot, self.now, limits, "app", random.Random(self.boot))
        self._open_link()
        self._beat()

    def _open_link(self) -> None:
        self.link += 1
        self.reports.clear()
        self._step(LinkOpened())

    def _beat(self) -> None:
        state = WorkerState("i-01", "svc-a", "app", "z", False, 1_000, 4_096, 0, ("a", "r1"), 0, 8, 0)
        self._step(Heartbeat(state, self.now, int(self.worker.clock_ms)))

    def _step(self, event: Event) -> None:
        for effect in self.agent.step(self.now, event):
            match effect:
                case CallWorker():
                    self.calls.append(_Call(effect, self.boot, self.now + effect.timeout_ms))
                case SendReport(report):
                    self.reports.append(report)

    # What may happen.

    def actions(self) -> list[str]:
        """The names of what may happen next."""
        names = ["wait"] if self._left("wait", self.budget.waits) else []
        names += ["write"] if self.writes else []
        if self.slow:
            names.append("fast")
        elif self._left("slow", self.budget.slow):
            names.append("slow")
        names += ["report"] if self.reports else []
        names += ["orders"] if self.orders else []
        for index, call in enumerate(self.calls):
            if call.late:
                names.append(f"carry_out {index}")
            elif not isinstance(call.call.request, Hold):
                names.append(f"call {index}")
                if self._left("unanswered", self.budget.unanswered):
                    names.append(f"lose {index}")
        if self._left("takeover", self.budget.takeovers):
            names += [f"takeover {durable}" for durable in range(len(self.writes) + 1)]
        if self._left("restart", self.budget.restarts):
            names.append("restart")
        if self._left("leap", self.budget.leaps):
            names.append("leap")
        if self._left("done", self.budget.ends) and self.worker.holds_runs:
            names.append("done")
        return names

    def _left(self, what: str, most: int) -> bool:
        return self.used.get(what, 0) < most

    def do(self, action: str) -> None:
        """Let it happen, and what follows from it at once."""
        what, _, number = action.partition(" ")
        if what in ("takeover", "restart", "leap", "done", "slow", "wait"):
            self.used[what] = self.used.get(what, 0) + 1
        self._do(what, number)
        self._flow()

    def _flow(self) -> None:
        """Looks at the worker are answered at once; messages are delivered at once unless they are slow."""
        for _ in range(MOST_MESSAGES):
            holds = [call for call in self.calls if isinstance(call.call.request, Hold)]
            if holds:
                self.calls.remove(holds[0])
                self._carry_out(holds[0])
            elif self.reports and not self.slow:
                self._feed(job_events.ReportArrived(self.reports.pop(0)))
            elif self.orders and not self.slow:
                self._deliver_orders()
            else:
                return

    def _do(self, what: str, number: str) -> None:
        match what:
            case "slow" | "fast":
                self.slow = what == "slow"
            case "wait":
                self._pass(WAIT_MS)
            case "leap":
                self._pass(LEAP_MS)
            case "write":
                self._written()
            case "report":
                self._feed(job_events.ReportArrived(self.reports.pop(0)))
            case "orders":
                self._deliver_orders()
            case "call" | "carry_out":
                self._carry_out(self.calls.pop(int(number)))
            case "lose":
                self._lose(self.calls[int(number)])
            case "takeover":
                self._take_over(int(number))
            case "restart":
                for call in self.calls:
                    call.late = True
                self.orders.clear()
                self._feed(job_events.AgentLost("a0"))
                self._start_agent()
            case "done":
                self.worker.finish_runs()

    def _deliver_orders(self) -> None:
        _, orders = self.orders.pop(0)
        self._step(OrdersArrived(orders))

    def _take_over(self, durable: int) -> None:
        """The dispatcher ends with so many of its open writes durable; what it has sent may still arrive."""
        for write in self.writes[:durable]:
            self._apply(write)
        self.writes.clear()
        self._elect()
        self._open_link()

    def _carry_out(self, call: _Call) -> None:
        request = call.call.request
        if isinstance(request, RunStart):
            answer = self.worker.start(request, call.late)
        elif isinstance(request, RunStop):
            answer = self.worker.stop(request)
        else:
            answer = self.worker.hold(request) or self.worker.lists()
        if not call.late and call.boot == self.boot:
            self._step(WorkerAnswered(call.call.call, answer))

    def _lose(self, call: _Call) -> None:
        """The agent gets no answer; the order is carried out at some time, or never."""
        self.used["unanswered"] = self.used.get("unanswered", 0) + 1
        call.late = True
        self._step(WorkerAnswered(call.call.call, Answer(AnswerKind.NONE)))

    def _pass(self, length_ms: int) -> None:
        self.world.run_until(self.now + length_ms)
        for call in [call for call in self.calls if not call.late and call.due_ms <= self.now]:
            call.late = True
            if call.boot == self.boot:
                self._step(WorkerAnswered(call.call.call, Answer(AnswerKind.NONE)))
        self._beat()
        self._step(Tick())
        self._tick()

    def _settle(self) -> None:
        """Deliver everything until the worker is known and held; only the job's acceptance is unwritten."""
        job, self.writes = self.writes, []
        for _ in range(6):
            while self.reports or self.orders or self.calls:
                if self.reports:
                    self._feed(job_events.ReportArrived(self.reports.pop(0)))
                elif self.orders:
                    self._deliver_orders()
                else:
                    self._carry_out(self.calls.pop(0))
            self._pass(20)
        self.writes = job

    def broken(self) -> str:
        """What must not be."""
        runs = self.record.runs
        if len([seen for seen in runs if seen.end_ms is None]) > 1:
            return "TWICE: " + ", ".join(f"run {seen.run} from {seen.start_ms:.0f}" for seen in runs)
        done = [seen.end_ms for seen in runs if seen.how == "done" and seen.noted and seen.end_ms is not None]
        if done and any(seen.start_ms > min(done) or seen.end_ms is None for seen in runs):
            return "TWICE: a run after one was done"
        return ""

    def key(self) -> Hashable:
        """The same for states from which the same may follow."""
        waiting = tuple(sorted((repr(call.call.request), call.late, call.boot) for call in self.calls))
        return fingerprint(
            (
                self.now,
                self.dispatcher,
                self.agent,
                self.worker,
                self.store,
                self.writes,
                self.reports,
                self.orders,
                waiting,
                self.used,
                self.slow,
                self.epoch,
                self.link,
            )
        )


@dataclass(frozen=True)
class TakeoverWorld:
    """A state, as the path that leads to it."""

    budget: Budget = Budget()
    path: tuple[str, ...] = ()

    def _play(self) -> Play:
        play = Play(self.budget)
        for action in self.path:
            play.do(action)
        return play

    def actions(self) -> list[str]:
        """What may happen next."""
        return self._play().actions()

    def after(self, action: str) -> TakeoverWorld:
        """The state that this leads to."""
        return Reached(self.budget, (*self.path, action))

    def key(self) -> Hashable:
        """The same for states from which the same may follow."""
        return self._play().key()

    def broken(self) -> str:
        """What must not be."""
        return self._play().broken()


class Reached(TakeoverWorld):
    """A state whose play is done once; what is asked of it is kept."""

    def __init__(self, budget: Budget, path: tuple[str, ...]) -> None:
        super().__init__(budget, path)
        play = self._play()
        object.__setattr__(self, "_actions", play.actions())
        object.__setattr__(self, "_key", play.key())
        object.__setattr__(self, "_broken", play.broken())

    def actions(self) -> list[str]:
        """As it was when the state was reached."""
        actions: list[str] = self.__dict__["_actions"]
        return actions

    def key(self) -> Hashable:
        """As it was when the state was reached."""
        key: Hashable = self.__dict__["_key"]
        return key

    def broken(self) -> str:
        """As it was when the state was reached."""
        broken: str = self.__dict__["_broken"]
        return broken


def _no_signal(_: Trigger) -> None:
    return
