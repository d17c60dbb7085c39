"""One run of the takeover world: what may happen next, and what follows from it.

Looks at the worker are answered at once; what else the agent calls waits until the explorer lets it happen.
"""

from __future__ import annotations

import random
from collections.abc import Hashable
from dataclasses import dataclass, field

from flintfield.agent.core import Agent
from flintfield.agent.events import (
    Answer,
    AnswerKind,
    CallWorker,
    Deregistered,
    Event,
    Hold,
    LinkOpened,
    OrdersArrived,
    SendReport,
    Tick,
    WorkerAnswered,
)
from flintfield.agent.limits import AgentLimits
from flintfield.jobs import events as job_events
from flintfield.jobs.messages import AgentOrders, AgentReport
from flintfield.simulation.explore.fingerprint import fingerprint
from flintfield.simulation.explore.takeover_budget import Budget
from flintfield.simulation.explore.takeover_dispatcher import HOLD_MAX_MS, JOB, DurableDispatcher
from flintfield.simulation.explore.takeover_workers import WorkerPlace
from flintfield.simulation.plans import Plan
from flintfield.simulation.record import Record
from flintfield.simulation.world import World

TASK = f"{JOB}.0.0.0"
WAIT_MS = 400  # longer than the first time-out of an order
LEAP_MS = 5_500  # longer than a hold
START_MS = 1_000
MOST_MESSAGES = 200  # that follow from one step


@dataclass
class PendingCall:
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
    reports: list[AgentReport] = field(default_factory=list)
    orders: list[tuple[int, AgentOrders]] = field(default_factory=list)  # with the connection's number
    calls: list[PendingCall] = field(default_factory=list)
    boot: int = 0
    link: int = 0
    used: dict[str, int] = field(default_factory=dict)
    slow: bool = False

    def __post_init__(self) -> None:
        self.world.now_ms = START_MS
        self.place = WorkerPlace(self.world, self.record, Plan(10_000_000, 1_000, lasts=True, group=TASK))
        self.dispatcher = DurableDispatcher(lambda: self.now, self._send_orders)
        self._start_agent()
        self.dispatcher.accept_job()
        self._settle()

    @property
    def now(self) -> int:
        """The clock of dispatcher and agent."""
        return int(self.world.now_ms)

    def _send_orders(self, orders: AgentOrders) -> None:
        self.orders.append((self.link, orders))

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
        beat = self.place.heartbeat(self.now)
        if beat is not None:
            self._step(beat)

    def _step(self, event: Event) -> None:
        for effect in self.agent.step(self.now, event):
            match effect:
                case CallWorker():
                    self.calls.append(PendingCall(effect, self.boot, self.now + effect.timeout_ms))
                case SendReport(report):
                    self.reports.append(report)

    # What may happen.

    def actions(self) -> list[str]:
        """The names of what may happen next."""
        names = ["wait"] if self._left("wait", self.budget.waits) else []
        names += ["write"] if self.dispatcher.writes else []
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
            names += [f"takeover {durable}" for durable in range(len(self.dispatcher.writes) + 1)]
        if self._left("restart", self.budget.restarts):
            names.append("restart")
        if self._left("leap", self.budget.leaps):
            names.append("leap")
        if self._left("done", self.budget.ends) and self.place.worker.holds_runs:
            names.append("done")
        if not self.place.has_left and self._left("deregister", self.budget.deregistrations):
            names.append("deregister")
        if self.place.has_left:
            names.append("replace")
        return names

    def _left(self, what: str, most: int) -> bool:
        return self.used.get(what, 0) < most

    def do(self, action: str) -> None:
        """Let it happen, and what follows from it at once."""
        what, _, number = action.partition(" ")
        if what in ("takeover", "restart", "leap", "done", "slow", "wait", "deregister"):
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
                self.dispatcher.feed(job_events.ReportArrived(self.reports.pop(0)))
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
                self.dispatcher.make_durable()
            case "report":
                self.dispatcher.feed(job_events.ReportArrived(self.reports.pop(0)))
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
                self.dispatcher.feed(job_events.AgentLost("a0"))
                self.place.agent_lost()
                self._start_agent()
            case "done":
                self.place.worker.finish_runs()
            case "deregister":
                self.place.has_left = True
                self._step(Deregistered(self.place.worker.instance))
            case "replace":
                self.place.replace()
                self._beat()

    def _deliver_orders(self) -> None:
        _, orders = self.orders.pop(0)
        self._step(OrdersArrived(orders))

    def _take_over(self, durable: int) -> None:
        """The dispatcher ends with so many of its open writes durable; what it has sent may still arrive."""
        self.dispatcher.end(durable)
        self.dispatcher.elect()
        self._open_link()

    def _carry_out(self, call: PendingCall) -> None:
        answer = self.place.carry_out(call.call.instance, call.call.request, call.late)
        if not call.late and call.boot == self.boot:
            self.place.note_told(call.call.instance, answer)
            self._step(WorkerAnswered(call.call.call, answer))

    def _lose(self, call: PendingCall) -> None:
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
        self.dispatcher.tick()

    def _settle(self) -> None:
        """Deliver everything until the worker is known and held; only the job's acceptance is unwritten."""
        job, self.dispatcher.writes = self.dispatcher.writes, []
        for _ in range(6):
            while self.reports or self.orders or self.calls:
                if self.reports:
                    self.dispatcher.feed(job_events.ReportArrived(self.reports.pop(0)))
                elif self.orders:
                    self._deliver_orders()
                else:
                    self._carry_out(self.calls.pop(0))
            self._pass(20)
        self.dispatcher.writes = job

    def broken(self) -> str:
        """What must not be."""
        runs = self.record.runs
        if len([seen for seen in runs if seen.end_ms is None]) > 1:
            return "TWICE: " + ", ".join(f"run {seen.run} from {seen.start_ms:.0f}" for seen in runs)
        told = self.place.told_done
        done = [
            seen.end_ms
            for seen in runs
            if seen.how == "done"
            and seen.end_ms is not None
            and (seen.noted or (seen.instance, seen.task, seen.run) in told)
        ]
        if done and any(seen.start_ms > min(done) or seen.end_ms is None for seen in runs):
            return "TWICE: a run after one was done"
        return ""

    def key(self) -> Hashable:
        """The same for states from which the same may follow."""
        waiting = tuple(sorted((repr(call.call.request), call.late, call.boot) for call in self.calls))
        return fingerprint(
            (
                self.now,
                self.dispatcher.dispatcher,
                self.agent,
                self.place,
                self.dispatcher.store,
                self.dispatcher.writes,
                self.reports,
                self.orders,
                waiting,
                self.used,
                self.slow,
                self.dispatcher.epoch,
                self.link,
            )
        )
