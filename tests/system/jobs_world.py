"""A small world in virtual time: the dispatcher, real agent cores, model workers, a store and a network with faults.

Nothing sleeps and nothing is real: `World.run(until)` plays events in order of time. `judge` looks only at what the
model workers saw and what clients were told.
"""

from __future__ import annotations

import heapq
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from flintfield.agent import events as agent_events
from flintfield.agent.core import Agent
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import (
    AgentLost, Answer, CallArrived, Configuration, ConfigurationChanged, ReportArrived, SendOrders, Tick, Write,
    Written,
)
from flintfield.jobs.messages import (
    AgentOrders, AgentReport, End, How, JobAnswer, JobCall, Method, Run, WorkerState,
)
from flintfield.placement.interface import Placement
from flintfield.placement.market import Market
from tests.system.support.worker_model import Bounds, Capacity, ModelRun, RunPlan, WorkerModel

WALL_0 = 1_700_000_000_000
HOST = "q.example"
JITTER_MS = 3


@dataclass(frozen=True, slots=True)
class RouteModel:
    """A route, as the dispatcher reads it."""

    name: str = "r-a"
    path_prefix: str = "/a/"
    service: str = "svc"
    priority: int = 1
    max_attempts: int = 2
    extension: float = 1.5
    target_latency_ms: int = 1_000


@dataclass(frozen=True, slots=True)
class ConfigurationModel:
    """A configuration with one host."""

    version: int = 1
    routes: tuple[RouteModel, ...] = (RouteModel(),)

    def find_route(self, host: str, path: str) -> RouteModel | None:
        """The longest prefix."""
        found = [route for route in self.routes if host == HOST and path.startswith(route.path_prefix)]
        return max(found, key=lambda route: len(route.path_prefix), default=None)


@dataclass
class Seen:
    """A run as its worker saw it, in world time."""

    task: str
    run: int
    worker: WorldWorker
    checkpoint: str
    spec: str
    start: float
    end: float | None = None
    how: str = ""
    number: int = 0
    noted: bool = False  # `lastSeen` reached it, and the hold had not lapsed in between
    draining_since: float | None = None


class WorldWorker(WorkerModel):
    """A model worker with its own clock, whose gangs stretch over workers."""

    def __init__(self, world: World, machine: str, instance: str, capacity: Capacity, rate: float) -> None:
        self.world = world
        self.machine = machine
        self.rate = rate
        self.born = world.now
        self.dead = False
        self.draining_since: float | None = None
        self.open: dict[str, Seen] = {}
        self.ended: list[Seen] = []
        self.percent_stands = False
        super().__init__(instance, 0, world.worker_bounds, capacity, plan=world.plan)

    def clock(self) -> int:
        """Its clock now."""
        return int((self.world.now - self.born) * self.rate)

    def to_world(self, clock: int) -> float:
        """World time of its clock."""
        return self.born + clock / self.rate

    def catch_up(self) -> None:
        """Bring it to the present."""
        if not self.dead:
            self.advance(self.clock())

    def crash(self) -> None:
        """Its runs are over."""
        self.catch_up()
        self.dead = True
        for seen in self.open.values():
            seen.end, seen.how = self.world.now, "crash"
        self.open.clear()
        super().crash()

    def hold(self, now: int, fields: dict[str, object]) -> tuple[int, dict[str, object]]:
        """Note which ends the system has taken note of."""
        status, answer = super().hold(now, fields)
        if status == 200:
            for seen in self.ended:
                if seen.number <= self.last_seen and not seen.noted and seen.number not in self.world.unnoted[self]:
                    seen.noted = True
        return status, answer

    def _happen(self, at: int) -> None:
        if self.expires_ms <= at:
            self.world.unnoted[self].update(seen.number for seen in self.ended if not seen.noted)
        super()._happen(at)

    def _begin(self, task: str, run: int, plan: RunPlan, saved: str) -> None:
        seen = Seen(task, run, self, saved, self.spec_in_hand, self.to_world(self.now),
                    draining_since=self.draining_since)
        self.world.seen.append(seen)
        self.open[task] = seen
        self._begin_run(task, run, plan, saved)

    def start(self, now: int, fields: dict[str, object]) -> tuple[int, dict[str, object]]:
        """Remember the spec for the judge."""
        self.spec_in_hand = str(fields.get("spec"))
        return super().start(now, fields)

    def _begin_run(self, task: str, run: int, plan: RunPlan, saved: str) -> None:
        begun = ModelRun(task, run, plan, self.now, saved)
        self.runs[task] = begun
        if plan.gang <= 1:
            self._work(begun)
            return
        from tests.system.support.worker_model import RunState as ModelState
        begun.state = ModelState.WAITING
        members = self.world.gang(begun.gang_key)
        if len(members) >= plan.gang:
            for worker, member in members:
                worker.catch_up()
                if member.state is ModelState.WAITING:
                    worker._work(member)

    def _end(self, run: ModelRun, how: str) -> None:
        plan = run.plan
        before = self._last_number
        others = self.world.gang(run.gang_key) if plan.gang > 1 else []
        gang, run.plan = run.plan, RunPlan(plan.work_ms, plan.how, plan.checkpoints, 1)
        super()._end(run, how)
        run.plan = gang
        seen = self.open.pop(run.task)
        seen.end, seen.how, seen.number = self.to_world(self.now), how, before + 1
        self.ended.append(seen)
        if how not in ("done", "alone"):
            for worker, member in others:
                if member is not run and member.task in worker.runs:
                    worker._end(member, "broken")


@dataclass
class Machine:
    """A machine with an agent and a worker."""

    name: str
    agent: Agent | None
    worker: WorldWorker
    boot: int = 1
    linked: bool = False
    cut: bool = False  # agent and dispatcher
    worker_cut: bool = False  # agent and worker
    late_share: float = 0.0  # of the orders that get no answer and are carried out later
    beat_seq: int = 0


@dataclass
class Told:
    """An answer that a client got."""

    at: float
    job: str
    method: Method
    answer: JobAnswer


class World:
    """Everything. Times are ms of one true clock."""

    def __init__(self, seed: int = 1, machines: int = 3, cpu: int = 4_000, service: str = "svc",
                 placement: Callable[[int], Placement] = Market, hold_max_ms: int = 6_000) -> None:
        self.rng = random.Random(seed)
        self.now: float = 1_000.0
        self.service = service
        self.worker_bounds = Bounds(hold_max_ms=hold_max_ms)
        self.bounds = DispatcherBounds(hold_max_ms=hold_max_ms)
        self.make_placement = placement
        self.configuration: Configuration = ConfigurationModel()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.epoch = 0
        self.store: dict[bytes, bytes] = {}
        self.unwritten: list[Write] = []
        self.write_ms = 8.0
        self.dispatcher: Dispatcher | None = None
        self.term = 0
        self.seen: list[Seen] = []
        self.unnoted: dict[WorldWorker, set[int]] = {}
        self.told: list[Told] = []
        self.calls: dict[int, tuple[str, Method]] = {}
        self.next_call = 0
        self.jobs: dict[str, dict[str, object]] = {}
        self.plans: dict[str, Callable[[str], RunPlan]] = {}
        self.cancelled_at: dict[str, float] = {}
        self.faults = 0
        self.instances = 0
        self.machines: dict[str, Machine] = {}
        for index in range(machines):
            self.add_machine(f"m{index}", cpu)

    # Building

    def add_machine(self, name: str, cpu: int = 4_000) -> Machine:
        """A machine whose agent and worker start now."""
        machine = Machine(name, None, self._new_worker(name, cpu))
        self.machines[name] = machine
        self.start_agent(machine)
        self.after(self.rng.uniform(5, 60), partial(self._beat, machine))
        return machine

    def _new_worker(self, name: str, cpu: int) -> WorldWorker:
        self.instances += 1
        capacity = Capacity(cpu, 16_384, 2)
        worker = WorldWorker(self, name, f"i-{self.instances}", capacity, self.rng.uniform(0.98, 1.0))
        self.unnoted[worker] = set()
        return worker

    def gang(self, key: tuple[str, int]) -> list[tuple[WorldWorker, ModelRun]]:
        """All present members of a gang's run."""
        return [(machine.worker, run) for machine in self.machines.values()
                for run in list(machine.worker.runs.values()) if run.gang_key == key and run.plan.gang > 1]

    def plan(self, task: str, _spec: str) -> RunPlan:
        """What the runs of a task do."""
        job = task.partition(".")[0]
        return self.plans[job](task)

    # Time

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do it later."""
        self.sequence += 1
        heapq.heappush(self.events, (self.now + delay_ms, self.sequence, action))

    def run(self, for_ms: float) -> None:
        """Let that much time pass."""
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
        """The dispatcher's clock."""
        return int(self.now)

    # Dispatcher

    def elect(self) -> None:
        """A new dispatcher takes over what is durable."""
        self.epoch += 1
        self.term += 1
        dispatcher = Dispatcher(self.epoch, self.steady, self.bounds, self.make_placement(self.epoch),
                                random.Random(self.epoch), self.configuration)
        dispatcher.restore(dict(self.store))
        self.dispatcher = dispatcher
        for machine in self.machines.values():
            machine.linked = False
        self._tick(self.term)
        for machine in self.machines.values():
            self.after(self.rng.uniform(5, 300), partial(self.link, machine))

    def fail_dispatcher(self) -> None:
        """It dies; some of its writes became durable, always the first of them."""
        self.dispatcher = None
        self.term += 1
        kept = self.rng.randint(0, len(self.unwritten))
        for write in self.unwritten[:kept]:
            self._apply(write)
        self.unwritten.clear()
        self.faults += 1

    def _apply(self, write: Write) -> None:
        for key, value in write.changes:
            if value is None:
                self.store.pop(key, None)
            else:
                self.store[key] = value

    def _tick(self, term: int) -> None:
        if term == self.term and self.dispatcher is not None:
            self.feed(Tick(WALL_0 + self.steady))
            self.after(self.rng.uniform(45, 55), partial(self._tick, term))

    def feed(self, event: object) -> None:
        """Give the dispatcher an event and carry out its effects."""
        if self.dispatcher is None:
            return
        for effect in self.dispatcher.handle(self.steady, event):  # type: ignore[arg-type]
            match effect:
                case Write():
                    self.unwritten.append(effect)
                    self.after(self.write_ms + self.rng.random(), partial(self._written, self.term))
                case Answer():
                    job, method = self.calls.pop(effect.call)
                    self.told.append(Told(self.now, job, method, effect.answer))
                    if method is Method.CANCEL and effect.answer.status in (200, 410):
                        self.cancelled_at.setdefault(job, self.now)
                case SendOrders():
                    self._send_orders(effect)

    def _written(self, term: int) -> None:
        if term != self.term or not self.unwritten:
            return
        write = self.unwritten.pop(0)
        self._apply(write)
        self.feed(Written(write.write))

    def _send_orders(self, effect: SendOrders) -> None:
        machine = self.machines[effect.machine]
        if machine.linked and not machine.cut:
            self.after(self.rng.uniform(0.5, JITTER_MS), partial(self._take_orders, machine, effect.orders))

    # Agents

    def start_agent(self, machine: Machine) -> None:
        """A new life of the agent."""
        machine.boot += 1
        machine.agent = Agent(machine.name, machine.boot, self.steady, self.worker_bounds.hold_max_ms, "app",
                              random.Random(self.rng.random()))
        machine.linked = False
        self.after(self.rng.uniform(5, 100), partial(self.link, machine))
        self._wake(machine, machine.agent)

    def crash_agent(self, machine: Machine, down_ms: float) -> None:
        """The agent is killed and comes back."""
        machine.agent = None
        self._unlink(machine)
        self.faults += 1
        self.after(down_ms, partial(self.start_agent, machine))

    def _unlink(self, machine: Machine) -> None:
        if machine.linked:
            machine.linked = False
            self.feed(AgentLost(machine.name))

    def link(self, machine: Machine) -> None:
        """The agent connects to the dispatcher, or tries again."""
        if machine.linked or machine.agent is None:
            return
        if self.dispatcher is None or machine.cut:
            self.after(200, partial(self.link, machine))
            return
        machine.linked = True
        self.step_agent(machine, agent_events.LinkOpened())

    def set_cut(self, machine: Machine, cut: bool) -> None:
        """Cut the agent off from the dispatcher, or end that."""
        machine.cut = cut
        self.faults += 1
        if cut:
            self._unlink(machine)
        else:
            self.after(self.rng.uniform(5, 300), partial(self.link, machine))

    def step_agent(self, machine: Machine, event: agent_events.Event) -> None:
        """Give the agent an event and carry out its effects."""
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
        if machine.agent is not None and not worker.dead and not machine.worker_cut:
            machine.beat_seq += 1
            capacity = worker.capacity
            state = WorkerState(worker.instance, self.service, "app", "z", worker.draining_since is not None,
                                capacity.cpu, capacity.memory_mb, capacity.gpu, ("a", f"rack-{machine.name}"),
                                4_000 if worker.draining_since is not None else 0, 8, 0)
            self.step_agent(machine, agent_events.Heartbeat(state, machine.beat_seq, worker.clock()))
        self.after(self.rng.uniform(400, 600), partial(self._beat, machine))

    def crash_worker(self, machine: Machine, down_ms: float) -> None:
        """The worker dies, and another incarnation takes its place."""
        machine.worker.crash()
        self.faults += 1
        cpu = machine.worker.capacity.cpu

        def restart() -> None:
            machine.worker = self._new_worker(machine.name, cpu)
        self.after(down_ms, restart)

    def drain_worker(self, machine: Machine) -> None:
        """It says that it will leave."""
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
            self._serve(machine, present, request, answer if answered else (lambda _reply: None))

        self.after(call.timeout_ms, lambda: answer(agent_events.Answer(agent_events.AnswerKind.NONE)))
        if machine.worker_cut or worker.dead:
            return
        late = not isinstance(request, agent_events.Hold) and self.rng.random() < machine.late_share
        delay = self.rng.uniform(2_000, 9_000) if late else self.rng.uniform(0.3, 2)
        self.after(delay, partial(carry_out, not late))

    def _serve(self, machine: Machine, worker: WorldWorker, request: agent_events.WorkerRequest,
               answer: Callable[[agent_events.Answer], None]) -> None:
        clock = worker.clock()
        if isinstance(request, agent_events.RunStart):
            fields: dict[str, object] = {
                "task": request.task, "runId": request.run, "spec": request.spec, "fenceToken": request.fence,
                "expiresMs": request.expires_ms, "checkpointed": request.checkpoint}
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
                self._wait(machine, worker, self.now + request.wait_ms, answer)

    def _wait(self, machine: Machine, worker: WorldWorker, until: float,
              answer: Callable[[agent_events.Answer], None]) -> None:
        worker.catch_up()
        if worker.dead:
            return
        if worker.ends_to_tell or self.now >= until:
            lists = worker.lists(worker.clock())
            running = tuple(Run(*each) for each in lists["running"])  # type: ignore[attr-defined]
            finished = tuple(End(number, task, run, How[how.upper()], saved)
                             for number, task, run, how, saved in lists["finished"])  # type: ignore[attr-defined]
            if not machine.worker_cut:
                answer(agent_events.Answer(agent_events.AnswerKind.OK, worker.clock(), running, finished))
            return
        self.after(10, partial(self._wait, machine, worker, until, answer))

    def _answer_order(self, worker: WorldWorker, result: tuple[int, dict[str, object]],
                      answer: Callable[[agent_events.Answer], None]) -> None:
        status, body = result
        kind = agent_events.AnswerKind
        kinds = {200: kind.OK, 400: kind.BAD, 409: kind(body["reason"]) if status == 409 else kind.BAD}
        answer(agent_events.Answer(kinds[status], worker.clock()))

    # Clients

    def submit(self, job: str, steps: list[dict[str, object]], plan: Callable[[str], RunPlan],
               route: str = "/a/", **fields: object) -> None:
        """Hand a job in."""
        body = {"spec": f"spec of {job}", "steps": steps, **fields}
        self.jobs.setdefault(job, body)
        self.plans.setdefault(job, plan)
        self.call(Method.SUBMIT, job, json.dumps(body).encode(), route)

    def call(self, method: Method, job: str, body: bytes = b"", route: str = "/a/") -> None:
        """Make a call; it is not answered while there is no dispatcher."""
        if self.dispatcher is None:
            return
        self.next_call += 1
        self.calls[self.next_call] = (job, method)
        request = JobCall(method, HOST, route + job, body, 1)
        self.feed(CallArrived(self.next_call, request))

    def ask(self, method: Method, job: str, route: str = "/a/", body: bytes = b"") -> JobAnswer:
        """Make a call and wait for its answer."""
        before = len(self.told)
        self.call(method, job, body, route)
        for _ in range(200):
            if len(self.told) > before:
                break
            self.run(5)
        return self.told[-1].answer

    def state_of(self, job: str) -> str:
        """What a client is told of the job."""
        answer = self.ask(Method.STATUS, job)
        return json.loads(answer.body)["state"] if answer.status == 200 else str(answer.status)

    def configure(self, configuration: Configuration) -> None:
        """A newer configuration."""
        self.configuration = configuration
        self.feed(ConfigurationChanged(configuration))

    def runs_of(self, task: str) -> list[Seen]:
        """What workers saw of a task."""
        return [seen for seen in self.seen if seen.task == task]


# Judging


@dataclass
class Judge:
    """The rules, on what workers and clients saw."""

    world: World
    faults: list[str] = field(default_factory=list)

    def check(self) -> list[str]:
        """All broken rules."""
        by_task: dict[str, list[Seen]] = {}
        for seen in self.world.seen:
            by_task.setdefault(seen.task, []).append(seen)
        for task, runs in by_task.items():
            self._twice(task, runs)
            self._order(task, runs, by_task)
            self._budget(task, runs)
            self._unasked(task, runs)
        self._limit()
        self._drain()
        self._mixed(by_task)
        return self.faults

    def _step(self, task: str) -> dict[str, object]:
        job, _, step, _ = task.split(".")
        return self.world.jobs[job]["steps"][int(step)]  # type: ignore[index,no-any-return]

    def _twice(self, task: str, runs: list[Seen]) -> None:
        if self._step(task).get("speculative"):
            return
        ordered = sorted(runs, key=lambda seen: seen.start)
        for before, after in zip(ordered, ordered[1:], strict=False):
            if before.end is None or before.end > after.start + 1:
                self.faults.append(f"TWICE {task}: run {before.run} until {before.end}, {after.run} from {after.start}")
        for done in [seen for seen in runs if seen.how == "done" and seen.noted and seen.end is not None]:
            for other in runs:
                if other.start > (done.end or 0):
                    self.faults.append(f"TWICE {task}: run {other.run} after {done.run} was done")

    def _order(self, task: str, runs: list[Seen], by_task: dict[str, list[Seen]]) -> None:
        job, number, step, _ = task.split(".")
        body = self.world.jobs[job]
        first = min(seen.start for seen in runs)
        if body.get("repeatCount"):
            due = int(str(body["firstRunMs"])) + int(number) * int(str(body["intervalMs"]))
            if WALL_0 + first < due:
                self.faults.append(f"ORDER {task}: {due - WALL_0 - first} ms early")
        for earlier in self._step(task).get("dependsOn", ()):  # type: ignore[attr-defined]
            spec = body["steps"][earlier]  # type: ignore[index]
            ends = [self._done_at(f"{job}.{number}.{earlier}.{index}", by_task) for index in range(spec["count"])]
            reached = min(ends) if spec.get("gang") else max(ends)
            if reached > first:
                self.faults.append(f"ORDER {task}: started before step {earlier} was done")

    def _done_at(self, task: str, by_task: dict[str, list[Seen]]) -> float:
        ends = [seen.end for seen in by_task.get(task, ()) if seen.how == "done" and seen.end is not None]
        return min(ends, default=float("inf"))

    def _budget(self, task: str, runs: list[Seen]) -> None:
        if self._step(task).get("longRunning"):
            return
        most = 2
        for seen in runs:
            failed = [other for other in runs if other.how == "failed" and other.noted and other.end is not None
                      and other.end < seen.start]
            if len(failed) >= most:
                self.faults.append(f"BUDGET {task}: run {seen.run} after {len(failed)} failed")

    def _unasked(self, task: str, runs: list[Seen]) -> None:
        job = task.partition(".")[0]
        cancelled = self.world.cancelled_at.get(job)
        for seen in runs:
            if seen.spec != self.world.jobs[job]["spec"]:
                self.faults.append(f"UNASKED {task}: spec {seen.spec!r}")
            if cancelled is not None and seen.start > cancelled + 3_000:
                self.faults.append(f"UNASKED {task}: started {seen.start - cancelled} ms after the cancel")

    def _limit(self) -> None:
        for worker in {id(seen.worker): seen.worker for seen in self.world.seen}.values():
            mine = [seen for seen in self.world.seen if seen.worker is worker]
            for seen in mine:
                at = seen.start
                there = [each for each in mine if each.start <= at and (each.end is None or each.end > at)]
                cpu = sum(int(str(self._step(each.task).get("cpu", 0))) for each in there)
                if cpu > worker.capacity.cpu:
                    self.faults.append(f"LIMIT {worker.instance}: {cpu} at {at} with {seen.task}")

    def _drain(self) -> None:
        for seen in self.world.seen:
            if seen.draining_since is not None and seen.start > seen.draining_since + 2_600:
                self.faults.append(f"DRAIN {seen.task}: {seen.start - seen.draining_since} ms after")

    def _mixed(self, by_task: dict[str, list[Seen]]) -> None:
        for told in self.world.told:
            if told.method is not Method.STATUS or told.answer.status != 200:
                continue
            state = json.loads(told.answer.body)["state"]
            if state == "completed":
                self._all_done(told, by_task)
            elif state == "cancelled" and told.job not in self.world.cancelled_at:
                self.faults.append(f"LOST {told.job}: cancelled by nobody")

    def _all_done(self, told: Told, by_task: dict[str, list[Seen]]) -> None:
        body = self.world.jobs[told.job]
        for number in range(max(1, int(str(body.get("repeatCount", 0))))):
            for index, step in enumerate(body["steps"]):  # type: ignore[call-overload]
                names = [f"{told.job}.{number}.{index}.{each}" for each in range(step["count"])]
                ends = [self._done_at(name, by_task) for name in names]
                if (min(ends) if step.get("gang") else max(ends)) > told.at:
                    self.faults.append(f"MIXED {told.job}: shown as completed before step {index} was")


def job_id(number: int) -> str:
    """A job's id."""
    return f"{number:016x}"


def simple(work_ms: int = 500, how: str = "done", checkpoints: bool = False, gang: int = 1) -> Callable[[str], RunPlan]:
    """All tasks alike."""
    return lambda task: RunPlan(work_ms, how, checkpoints, gang)
