"""Simulated machines with agents and workers, and their network to the dispatcher, in virtual time."""

from __future__ import annotations

import heapq
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from flintfield.agent import events as agent_events
from flintfield.agent.core import Agent
from flintfield.agent.limits import AgentLimits
from flintfield.jobs.events import AgentLost, Event, ReportArrived
from flintfield.jobs.messages import AgentOrders, AgentReport, End, Run, RunResult, WorkerState

from .jobs_worker import ObservedRun, WorldWorker
from .support.worker_model import ModelRun
from .support.worker_plan import Bounds, Capacity, RunPlan

JITTER_MS = 3


@dataclass
class Machine:
    """A machine with an agent and a worker."""

    name: str
    agent: Agent | None
    worker: WorldWorker
    boot: int = 1
    linked: bool = False
    cut: bool = False  # whether the agent is cut off from the dispatcher
    worker_cut: bool = False  # whether the agent is cut off from the worker
    late_share: float = 0.0  # share of orders that get no answer and are carried out later
    prompt_answer_ms: float = 0.0  # from the lists of a hold call that does not wait until its answer arrives
    beat_seq: int = 0
    deregistered: str = ""  # the incarnation that has deregistered, and beats no more


class Fleet(ABC):
    """Simulated time, machines, agents and workers. Times are ms of one global clock."""

    def __init__(self, seed: int, service: str, hold_max_ms: int) -> None:
        self.rng = random.Random(seed)
        self.now: float = 1_000.0
        self.service = service
        self.worker_bounds = Bounds(hold_max_ms=hold_max_ms)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.term = 0
        self.seen: list[ObservedRun] = []
        self.unacknowledged: dict[WorldWorker, set[int]] = {}
        self.plans: dict[str, Callable[[str], RunPlan]] = {}
        self.faults = 0
        self.listed_runs = 0  # in all reports of agents
        self.instances = 0
        self.machines: dict[str, Machine] = {}

    @property
    @abstractmethod
    def listening(self) -> bool:
        """Whether a dispatcher is running."""

    @abstractmethod
    def feed(self, event: Event) -> None:
        """Pass an event to the dispatcher."""

    # Machines

    def add_machine(self, name: str, cpu: int = 4_000) -> Machine:
        """Add a machine whose agent and worker start now."""
        machine = Machine(name, None, self._new_worker(name, cpu))
        self.machines[name] = machine
        self.start_agent(machine)
        self.after(self.rng.uniform(5, 60), partial(self._beat, machine))
        return machine

    def _new_worker(self, name: str, cpu: int) -> WorldWorker:
        self.instances += 1
        capacity = Capacity(cpu, 16_384, 2)
        worker = WorldWorker(self, name, f"i-{self.instances}", capacity, self.rng.uniform(0.98, 1.0))
        self.unacknowledged[worker] = set()
        return worker

    def gang(self, key: tuple[str, int]) -> list[tuple[WorldWorker, ModelRun]]:
        """All running members of a gang's run."""
        return [
            (machine.worker, run)
            for machine in self.machines.values()
            for run in list(machine.worker.runs.values())
            if run.gang_key == key and run.plan.gang > 1
        ]

    def plan(self, task: str, _spec: str) -> RunPlan:
        """The simulated behaviour of a task's runs."""
        job = task.partition(".")[0]
        return self.plans[job](task)

    # Time

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay_ms, self.sequence, action))

    def run(self, for_ms: float) -> None:
        """Advance the virtual time."""
        until = self.now + for_ms
        while self.events and self.events[0][0] <= until:
            at, _, action = heapq.heappop(self.events)
            self.now = max(self.now, at)
            action()
        self.now = until
        for machine in self.machines.values():
            machine.worker.catch_up()

    @property
    def steady(self) -> int:
        """The dispatcher's monotonic clock."""
        return int(self.now)

    # Agents

    def start_agent(self, machine: Machine) -> None:
        """Start or restart the agent."""
        machine.boot += 1
        limits = AgentLimits(self.worker_bounds.hold_max_ms)
        machine.agent = Agent(
            machine.name, machine.boot, self.steady, limits, "app", random.Random(self.rng.random())
        )
        machine.linked = False
        self.after(self.rng.uniform(5, 100), partial(self.link, machine))
        self._wake(machine, machine.agent)

    def crash_agent(self, machine: Machine, down_ms: float) -> None:
        """Kill the agent; it restarts after `down_ms`."""
        machine.agent = None
        self._unlink(machine)
        self.faults += 1
        self.after(down_ms, partial(self.start_agent, machine))

    def _unlink(self, machine: Machine) -> None:
        if machine.linked:
            machine.linked = False
            self.feed(AgentLost(machine.name))

    def link(self, machine: Machine) -> None:
        """Connect the agent to the dispatcher, or retry later."""
        if machine.linked or machine.agent is None:
            return
        if not self.listening or machine.cut:
            self.after(200, partial(self.link, machine))
            return
        machine.linked = True
        self.step_agent(machine, agent_events.LinkOpened())

    def set_cut(self, machine: Machine, cut: bool) -> None:
        """Cut the agent off from the dispatcher, or reconnect it."""
        machine.cut = cut
        self.faults += 1
        if cut:
            self._unlink(machine)
        else:
            self.after(self.rng.uniform(5, 300), partial(self.link, machine))

    def step_agent(self, machine: Machine, event: agent_events.Event) -> None:
        """Pass an event to the agent and carry out its effects."""
        agent = machine.agent
        if agent is None:
            return
        for effect in agent.step(self.steady, event):
            match effect:
                case agent_events.CallWorker():
                    self._call_worker(machine, agent, effect)
                case agent_events.SendReport():
                    self._send_report(machine, effect.report)
        self._wake(machine, agent)

    def _wake(self, machine: Machine, agent: Agent) -> None:
        def tick() -> None:
            if machine.agent is agent and agent.wake_at(self.steady) <= self.steady:
                self.step_agent(machine, agent_events.Tick())

        self.after(max(1, agent.wake_at(self.steady) - self.steady + 1), tick)

    def _send_report(self, machine: Machine, report: AgentReport) -> None:
        if machine.linked and not machine.cut:
            term = self.term
            self.listed_runs += len(report.running)

            def arrive() -> None:
                if machine.linked and not machine.cut and term == self.term:
                    self.feed(ReportArrived(report))

            self.after(self.rng.uniform(0.5, JITTER_MS), arrive)

    def _take_orders(self, machine: Machine, orders: AgentOrders) -> None:
        if machine.linked and not machine.cut:
            self.step_agent(machine, agent_events.OrdersArrived(orders))

    # Workers

    def _beat(self, machine: Machine) -> None:
        worker = machine.worker
        worker.catch_up()
        silent = worker.dead or machine.worker_cut or machine.deregistered == worker.instance
        if machine.agent is not None and not silent:
            machine.beat_seq += 1
            if worker.draining_since is not None and worker.drain_acknowledged is None:
                worker.drain_acknowledged = self.now
            capacity = worker.capacity
            state = WorkerState(
                worker.instance,
                self.service,
                "app",
                "z",
                worker.draining_since is not None,
                capacity.cpu,
                capacity.memory_mb,
                capacity.gpu,
                ("a", f"rack-{machine.name}"),
                4_000 if worker.draining_since is not None else 0,
                8,
                0,
            )
            self.step_agent(machine, agent_events.Heartbeat(state, machine.beat_seq, worker.clock()))
        self.after(self.rng.uniform(400, 600), partial(self._beat, machine))

    def crash_worker(self, machine: Machine, down_ms: float) -> None:
        """Crash the worker; another incarnation starts after `down_ms`."""
        machine.worker.crash()
        self.faults += 1
        cpu = machine.worker.capacity.cpu

        def restart() -> None:
            if machine.worker.dead:
                machine.worker = self._new_worker(machine.name, cpu)

        self.after(down_ms, restart)

    def deregister_worker(self, machine: Machine, serves_on_ms: float, down_ms: float = 500) -> None:
        """Let the worker deregister without a word before, serve on for so long, and end.

        Another incarnation starts `down_ms` later.
        """
        worker = machine.worker
        machine.deregistered = worker.instance
        self.step_agent(machine, agent_events.Deregistered(worker.instance))

        def end() -> None:
            if machine.worker is worker and not worker.dead:
                self.crash_worker(machine, down_ms)

        self.after(serves_on_ms, end)

    def drain_worker(self, machine: Machine) -> None:
        """Let the worker announce that it is draining."""
        machine.worker.draining_since = self.now

    def _call_worker(self, machine: Machine, agent: Agent, call: agent_events.CallWorker) -> None:
        worker, request = machine.worker, call.request
        state = {"done": False}

        def answer(reply: agent_events.Answer) -> None:
            if not state["done"] and machine.agent is agent:
                state["done"] = True
                self.step_agent(machine, agent_events.WorkerAnswered(call.call, reply))

        def carry_out(answered: bool) -> None:
            present = machine.worker
            if present.dead:
                return
            if present.instance != call.instance:
                if answered:
                    answer(agent_events.Answer(agent_events.AnswerKind.OTHER_INSTANCE))
                return
            present.serving_late = not answered
            self._serve(machine, present, request, answer if answered else (lambda _reply: None))
            present.serving_late = False

        self.after(call.timeout_ms, lambda: answer(agent_events.Answer(agent_events.AnswerKind.NONE)))
        if machine.worker_cut or worker.dead:
            return
        late = not isinstance(request, agent_events.Hold) and self.rng.random() < machine.late_share
        delay = self.rng.uniform(2_000, 9_000) if late else self.rng.uniform(0.3, 2)
        self.after(delay, partial(carry_out, not late))

    def _serve(
        self,
        machine: Machine,
        worker: WorldWorker,
        request: agent_events.WorkerRequest,
        answer: Callable[[agent_events.Answer], None],
    ) -> None:
        clock = worker.clock()
        if isinstance(request, agent_events.RunStart):
            fields: dict[str, object] = {
                "task": request.task,
                "runId": request.run,
                "spec": request.spec,
                "fenceToken": request.fence,
                "expiresMs": request.expires_ms,
                "checkpointed": request.checkpoint,
            }
            self._answer_order(worker, worker.start(clock, fields), answer)
        elif isinstance(request, agent_events.RunStop):
            fields = {"task": request.task, "runId": request.run, "fenceToken": request.fence}
            self._answer_order(worker, worker.stop(clock, fields), answer)
        else:
            fields = {"fenceToken": request.fence, "lastSeen": request.last_seen, "waitMs": request.wait_ms}
            if request.expires_ms is not None:
                fields["expiresMs"] = request.expires_ms
            status, body = worker.hold(clock, fields)
            if status != 200:
                self._answer_order(worker, (status, body), answer)
            else:
                delayed = partial(self.after, machine.prompt_answer_ms) if not request.wait_ms else None
                self._wait(machine, worker, self.now + request.wait_ms, _later(delayed, answer))

    def _wait(
        self,
        machine: Machine,
        worker: WorldWorker,
        until: float,
        answer: Callable[[agent_events.Answer], None],
    ) -> None:
        worker.catch_up()
        if worker.dead:
            return
        if worker.ends_to_tell or self.now >= until:
            lists: dict[str, Any] = worker.lists(worker.clock())
            running = tuple(Run(*each) for each in lists["running"])
            finished = tuple(
                End(number, task, run, RunResult[how.upper()], saved)
                for number, task, run, how, saved in lists["finished"]
            )
            if not machine.worker_cut:
                answer(agent_events.Answer(agent_events.AnswerKind.OK, worker.clock(), running, finished))
            return
        self.after(10, partial(self._wait, machine, worker, until, answer))

    def _answer_order(
        self,
        worker: WorldWorker,
        result: tuple[int, dict[str, object]],
        answer: Callable[[agent_events.Answer], None],
    ) -> None:
        status, body = result
        kind = agent_events.AnswerKind
        kinds = {200: kind.OK, 400: kind.BAD, 409: kind(body["reason"]) if status == 409 else kind.BAD}
        answer(agent_events.Answer(kinds[status], worker.clock()))


def _later(
    delayed: Callable[[Callable[[], None]], None] | None,
    answer: Callable[[agent_events.Answer], None],
) -> Callable[[agent_events.Answer], None]:
    """An answer that arrives after a delay, so that others may pass it."""
    if delayed is None:
        return answer
    return lambda reply: delayed(partial(answer, reply))
