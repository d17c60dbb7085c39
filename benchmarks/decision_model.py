"""The decisions of the whole path in virtual time: dispatcher, market and agents as deployed, model workers.

For trials of policies before the bench: a play of 20 s of a deployment with 62 workers takes some ten
seconds on one
core, and many seeds run side by side. Not played: faults, clients that repeat their calls, processor time,
the core (a write is durable after a disk's sync and a round trip).

    python -m benchmarks.decision_model SITE DAY --seeds 8 --seconds 20 --load 1.0
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import multiprocessing
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from benchmarks.decision_load import Burst, Deployment, JobPlan, WorkerPlan, draw_jobs, read_deployment
from benchmarks.decision_worker import ModelWorker, Work
from flintfield.agent import events as agent_events
from flintfield.agent.core import Agent
from flintfield.agent.limits import AgentLimits
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import Answer, CallArrived, Event, ReportArrived, SendOrders, Tick, Write, Written
from flintfield.jobs.messages import AgentOrders, AgentReport, JobCall, Method, RunResult, WorkerState
from flintfield.jobs.states import JobState
from flintfield.jobs.timing import logged_times
from flintfield.placement.market import MarketPlacement

HOST = "model"
WALL_0 = 1_700_000_000_000
SYNC_MS = 5.0
ROUND_TRIP_MS = 2.0
LINK_MS = (0.2, 1.5)  # between dispatcher and agent, one way
CALL_MS = (0.4, 1.2)  # between agent and worker, one way
BEAT_MS = 1_500
LEAD_MS = 4_000  # before the first job: workers register
TAIL_MS = 15_000


@dataclass(frozen=True, slots=True)
class ModelRoute:
    """A queue for each class."""

    name: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    extension: float
    target_latency_ms: int


@dataclass(frozen=True, slots=True)
class ModelConfiguration:
    """All queues."""

    version: int
    routes: tuple[ModelRoute, ...]

    def find_route(self, host: str, path: str) -> ModelRoute | None:
        """By prefix."""
        return next((route for route in self.routes if path.startswith(route.path_prefix)), None)


class Host:
    """A machine with a worker and its agent."""

    def __init__(self, model: Model, plan: WorkerPlan, rng: random.Random) -> None:
        self.name = f"m-{plan.name}"
        self.plan = plan
        self._model = model
        self.worker = ModelWorker(plan, model.work, model.after, lambda: model.now_ms)
        limits = AgentLimits(model.deployment.hold_max_ms)
        self.agent = Agent(self.name, 1, model.steady, limits, "app", rng)
        self._rng = rng
        self._beats = 0
        self._wake_at = -1

    def start(self) -> None:
        """Begin."""
        self.step(agent_events.LinkOpened())
        self._model.after(self._rng.uniform(0, 300), self._beat)

    def step(self, event: agent_events.Event) -> None:
        """Give the agent an event and carry out its effects."""
        for effect in self.agent.step(self._model.steady, event):
            match effect:
                case agent_events.CallWorker():
                    self._model.after(self._rng.uniform(*CALL_MS), partial(self._call, effect))
                case agent_events.SendReport():
                    self._send(effect.report)
        self._arm()

    def _arm(self) -> None:
        wake_at = max(self._model.steady + 1, self.agent.wake_at(self._model.steady))
        if wake_at == self._wake_at:
            return
        self._wake_at = wake_at
        self._model.after(wake_at - self._model.now_ms, partial(self._tick, wake_at))

    def _tick(self, wake_at: int) -> None:
        if wake_at == self._wake_at:
            self._wake_at = -1
            self.step(agent_events.Tick())

    def _call(self, call: agent_events.CallWorker) -> None:
        def answer(reply: agent_events.Answer) -> None:
            done = partial(self.step, agent_events.WorkerAnswered(call.call, reply))
            self._model.after(self._rng.uniform(*CALL_MS), done)

        self.worker.serve(call.request, answer)

    def _send(self, report: AgentReport) -> None:
        event = ReportArrived(report)
        self._model.after(self._rng.uniform(*LINK_MS), partial(self._model.feed, event))

    def take_orders(self, orders: AgentOrders) -> None:
        """Orders are on their way."""
        event = agent_events.OrdersArrived(orders)
        self._model.after(self._rng.uniform(*LINK_MS), partial(self.step, event))

    def _beat(self) -> None:
        self._beats += 1
        plan = self.plan
        state = WorkerState(
            plan.name,
            plan.service,
            "app",
            "z",
            False,
            plan.cpu,
            plan.memory_mb,
            plan.gpu,
            (plan.kind, plan.rack),
            0,
            8,
            0,
        )
        self.step(agent_events.Heartbeat(state, self._beats, self._model.steady))
        self._model.after(BEAT_MS * self._rng.uniform(0.9, 1.1), self._beat)


class Model:
    """One play."""

    def __init__(self, deployment: Deployment, jobs: list[JobPlan], seed: int) -> None:
        self.deployment = deployment
        self.now_ms = 1_000.0
        self.jobs = {job.name: job for job in jobs}
        self.far_runs = 0
        self.runs = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        rng = random.Random(seed)
        routes = tuple(
            ModelRoute(
                each.name,
                f"/{each.name}/",
                each.service,
                each.priority,
                each.attempts,
                each.jobs["stretch"],
                int(each.aim_ms),
            )
            for each in deployment.classes
        )
        bounds = DispatcherBounds(hold_max_ms=deployment.hold_max_ms, far_x=deployment.far_x)
        self.dispatcher = Dispatcher(
            1, self.steady, bounds, make_market(seed, deployment), rng, ModelConfiguration(1, routes)
        )
        self.hosts = {
            f"m-{plan.name}": Host(self, plan, random.Random(rng.random())) for plan in deployment.workers
        }
        self._racks = {plan.name: plan.rack for plan in deployment.workers}
        self._unwritten: list[Write] = []
        self._syncing = False

    @property
    def steady(self) -> int:
        """The one clock."""
        return int(self.now_ms)

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Do it later."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._sequence), action))

    def play(self, seconds: float) -> None:
        """Play all jobs."""
        for host in self.hosts.values():
            host.start()
        self._tick()
        for number, job in enumerate(self.jobs.values()):
            self.after(LEAD_MS + job.at_ms, partial(self._submit, number, job))
        end_ms = self.now_ms + LEAD_MS + 1_000 * seconds + TAIL_MS
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def work(self, name: str, run: int, plan: WorkerPlan) -> Work:
        """What a task does on this worker."""
        job_name, _, step, index = name.split(".")
        job = self.jobs[job_name]
        asked = job.steps[int(step)]
        task = job.tasks[int(step), int(index)]
        far = bool(asked.get("affinity")) and asked["affinity"] != plan.rack
        self.runs += 1
        self.far_runs += far
        takes_ms = task.work_ms / plan.speed * (self.deployment.far_x if far else 1.0)
        how = RunResult.DONE
        if task.failures > 0:
            task.failures -= 1
            takes_ms, how = takes_ms * task.fails_at, RunResult.FAILED
        return Work(takes_ms, how, asked["cpu"], asked["memMb"], asked.get("gpu", 0))

    def feed(self, event: Event) -> None:
        """Give the dispatcher an event and carry out its effects."""
        for effect in self.dispatcher.handle(self.steady, event):
            match effect:
                case Write():
                    self._unwritten.append(effect)
                    self._sync()
                case SendOrders():
                    self.hosts[effect.machine].take_orders(effect.orders)
                case Answer():
                    pass

    def _sync(self) -> None:
        """One sync at a time covers all that came before it."""
        if not self._syncing and self._unwritten:
            self._syncing = True
            writes, self._unwritten = self._unwritten, []
            self.after(SYNC_MS, partial(self._synced, writes))

    def _synced(self, writes: list[Write]) -> None:
        self._syncing = False
        self.after(ROUND_TRIP_MS, partial(self._durable, writes))
        self._sync()

    def _durable(self, writes: list[Write]) -> None:
        for write in writes:
            self.feed(Written(write.write))
        self._note_ends()

    def _note_ends(self) -> None:
        state = self.dispatcher.state
        while state.ended and state.ended[0][1].durable_state is not JobState.ACTIVE:
            _, job = state.ended.popleft()
            plan = self.jobs[job.id]
            plan.ended_ms = self.now_ms - LEAD_MS - 1_000.0
            del state.jobs[job.id]

    def _tick(self) -> None:
        self.feed(Tick(WALL_0 + self.steady))
        self.after(50, self._tick)

    def _submit(self, number: int, job: JobPlan) -> None:
        body = json.dumps({"spec": "", "steps": job.steps}).encode()
        path = f"/{job.job_class.name}/{job.name}"
        self.feed(CallArrived(number, JobCall(Method.SUBMIT, HOST, path, body, 1)))


def make_market(seed: int, deployment: Deployment) -> MarketPlacement:
    """The policy as deployed."""
    return MarketPlacement(seed, deployment.far_x)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The figures of one play: by class the share of worth earned, all, far runs, looks a worker and
    second."""

    seed: int
    by_class: dict[str, float]
    all: float
    worst_second: float
    far: float
    looks: float
    refused: int
    times: dict[str, str]


def play(
    site: Path, day: str, load: float, bursts: list[Burst], hot_share: float, seconds: float, seed: int
) -> Outcome:
    """One play, from the site's file to its figures."""
    deployment = read_deployment(site, day, load)
    deployment.bursts = bursts
    deployment.hot_share = hot_share
    jobs = draw_jobs(deployment, seconds, seed)
    model = Model(deployment, jobs, seed)
    model.play(seconds)
    by_class = {}
    for job_class in deployment.classes:
        mine = [job for job in jobs if job.job_class is job_class]
        if mine:
            by_class[job_class.name] = _share(mine)
    windows = [
        _share([job for job in jobs if 1_000 * at <= job.at_ms < 1_000 * (at + 3)])
        for at in range(0, int(seconds) - 2, 3)
    ]
    looks = sum(host.worker.looks for host in model.hosts.values())
    refused = sum(host.worker.refused for host in model.hosts.values())
    span_s = (model.now_ms - 1_000) / 1_000
    return Outcome(
        seed,
        by_class,
        _share(jobs),
        min(windows),
        model.far_runs / max(1, model.runs),
        looks / span_s / len(model.hosts),
        refused,
        logged_times(model.dispatcher.state.timing),
    )


def _share(jobs: list[JobPlan]) -> float:
    owed = sum(job.weight for job in jobs)
    return sum(job.weight * job.earned for job in jobs) / owed if owed else 1.0


def main() -> None:
    """Print a line a seed and the means."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", type=Path)
    parser.add_argument("day")
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--burst", nargs="*", default=[], help="CLASS:FROM_S:TO_S:TIMES")
    parser.add_argument("--hot", type=float, default=0.0, help="share of work with data that wants one rack")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--times", action="store_true", help="print where the time went")
    arguments = parser.parse_args()
    bursts = [_burst(text) for text in arguments.burst]
    call = partial(
        play, arguments.site, arguments.day, arguments.load, bursts, arguments.hot, arguments.seconds
    )
    with multiprocessing.Pool(arguments.jobs) as pool:
        outcomes = pool.map(call, range(arguments.seeds), chunksize=1)
    for outcome in outcomes:
        _print(outcome)
        if arguments.times:
            for name, text in outcome.times.items():
                print("   ", name, text)
    count = len(outcomes)
    means = {name: sum(o.by_class.get(name, 1.0) for o in outcomes) / count for name in outcomes[0].by_class}
    print(
        "mean: all",
        round(sum(o.all for o in outcomes) / count, 3),
        {k: round(v, 3) for k, v in means.items()},
    )


def _burst(text: str) -> Burst:
    name, begin, end, times = text.split(":")
    return Burst(name, 1_000 * float(begin), 1_000 * float(end), float(times))


def _print(outcome: Outcome) -> None:
    by_class = " ".join(f"{name} {share:.2f}" for name, share in outcome.by_class.items())
    print(
        f"seed {outcome.seed}: all {outcome.all:.3f}, worst 3 s {outcome.worst_second:.2f}, {by_class}, "
        f"far {outcome.far:.3f}, looks/s {outcome.looks:.2f}, refused {outcome.refused}"
    )


if __name__ == "__main__":
    main()
