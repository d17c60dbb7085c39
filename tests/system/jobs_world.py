"""Simulated system in virtual time: dispatcher, real agent cores, model workers, store and faulty network.

There is no real time or I/O: `World.run` processes events in order of time. `jobs_judge` checks only what the
model workers observed and what clients were answered.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import (
    Answer,
    CallArrived,
    Configuration,
    ConfigurationChanged,
    Event,
    SendOrders,
    Tick,
    Write,
    Written,
)
from flintfield.jobs.messages import AgentReport, JobAnswer, JobCall, Method, WorkerState
from flintfield.placement.interface import Placement
from flintfield.placement.market import MarketPlacement

from .jobs_fleet import JITTER_MS, Fleet
from .jobs_worker import ObservedRun
from .support.worker_plan import RunPlan

WALL_0 = 1_700_000_000_000
HOST = "q.example"

Steps = list[dict[str, Any]]


@dataclass(frozen=True, slots=True)
class RouteModel:
    """A configured route with the fields that the dispatcher uses."""

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
        """The route with the longest matching prefix."""
        found = [route for route in self.routes if host == HOST and path.startswith(route.path_prefix)]
        return max(found, key=lambda route: len(route.path_prefix), default=None)


@dataclass
class ClientAnswer:
    """An answer received by a client."""

    at: float
    job: str
    method: Method
    answer: JobAnswer


class World(Fleet):
    """The simulated system."""

    def __init__(
        self,
        seed: int = 1,
        machines: int = 3,
        cpu: int = 4_000,
        service: str = "svc",
        placement: Callable[[int], Placement] = MarketPlacement,
        hold_max_ms: int = 6_000,
    ) -> None:
        super().__init__(seed, service, hold_max_ms)
        self.bounds = DispatcherBounds(hold_max_ms=hold_max_ms)
        self.make_placement = placement
        self.configuration: Configuration = ConfigurationModel()
        self.epoch = 0
        self.store: dict[bytes, bytes] = {}
        self.unwritten: list[Write] = []
        self.write_ms = 8.0
        self.dispatcher: Dispatcher | None = None
        self.client_answers: list[ClientAnswer] = []
        self.calls: dict[int, tuple[str, Method]] = {}
        self.next_call = 0
        self.jobs: dict[str, dict[str, Any]] = {}
        self.routes: dict[str, str] = {}  # by job: the prefix at which it was first submitted
        self.cancelled_at: dict[str, float] = {}
        for index in range(machines):
            self.add_machine(f"m{index}", cpu)

    @property
    def listening(self) -> bool:
        """Whether a dispatcher is running."""
        return self.dispatcher is not None

    # Dispatcher

    def elect(self) -> None:
        """Start a new dispatcher from the durable records."""
        self.epoch += 1
        self.term += 1
        dispatcher = Dispatcher(
            self.epoch,
            self.steady,
            self.bounds,
            self.make_placement(self.epoch),
            random.Random(self.epoch),
            self.configuration,
        )
        dispatcher.restore(dict(self.store))
        self.dispatcher = dispatcher
        for machine in self.machines.values():
            machine.linked = False
        self._tick(self.term)
        for machine in self.machines.values():
            self.after(self.rng.uniform(5, 300), partial(self.link, machine))

    def fail_dispatcher(self) -> None:
        """Kill the dispatcher; a random prefix of its outstanding writes becomes durable."""
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

    def feed(self, event: Event) -> None:
        """Pass an event to the dispatcher and carry out its effects."""
        if self.dispatcher is None:
            return
        for effect in self.dispatcher.handle(self.steady, event):
            match effect:
                case Write():
                    self.unwritten.append(effect)
                    self.after(self.write_ms + self.rng.random(), partial(self._written, self.term))
                case Answer():
                    job, method = self.calls.pop(effect.call)
                    self.client_answers.append(ClientAnswer(self.now, job, method, effect.answer))
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

    # Clients

    def submit(
        self, job: str, steps: Steps, plan: Callable[[str], RunPlan], route: str = "/a/", **fields: Any
    ) -> None:
        """Submit a job."""
        body = {"spec": f"spec of {job}", "steps": steps, **fields}
        self.jobs.setdefault(job, body)
        self.routes.setdefault(job, route)
        self.plans.setdefault(job, plan)
        self.call(Method.SUBMIT, job, json.dumps(body).encode(), route)

    def call(self, method: Method, job: str, body: bytes = b"", route: str = "/a/") -> None:
        """Make a call; it is dropped while there is no dispatcher."""
        if self.dispatcher is None:
            return
        self.next_call += 1
        self.calls[self.next_call] = (job, method)
        request = JobCall(method, HOST, route + job, body, 1)
        self.feed(CallArrived(self.next_call, request))

    def ask(self, method: Method, job: str, route: str = "/a/", body: bytes = b"") -> JobAnswer:
        """Make a call and wait for its answer."""
        before = len(self.client_answers)
        self.call(method, job, body, route)
        for _ in range(200):
            if len(self.client_answers) > before:
                break
            self.run(5)
        return self.client_answers[-1].answer

    def state_of(self, job: str) -> str:
        """The job's state as shown to a client, or the status code."""
        answer = self.ask(Method.STATUS, job, self.routes.get(job, "/a/"))
        return json.loads(answer.body)["state"] if answer.status == 200 else str(answer.status)

    def configure(self, configuration: Configuration) -> None:
        """Put a newer configuration into force."""
        self.configuration = configuration
        self.feed(ConfigurationChanged(configuration))

    def runs_of(self, task: str) -> list[ObservedRun]:
        """The observed runs of a task."""
        return [seen for seen in self.seen if seen.task == task]


def job_id(number: int) -> str:
    """The id of the job with this number."""
    return f"{number:016x}"


def simple(
    work_ms: int = 500, how: str = "done", checkpoints: bool = False, gang: int = 1
) -> Callable[[str], RunPlan]:
    """The same plan for all tasks."""
    return lambda task: RunPlan(work_ms, how, checkpoints, gang)


def report(stamp: int = 10) -> AgentReport:
    """A report of an idle worker."""
    worker = WorkerState("i-1", "svc", "a", "z", False, 4_000, 8_000, 0, ("a", "r"), 0, 8, 0)
    return AgentReport("m-1", 7, stamp, 0, worker, 3, stamp - 1, (), (), (), 0, False)


def worker_reports(count: int, cpu: int) -> list[AgentReport]:
    """Reports of idle workers with this many millicores and enough memory, four to a rack."""
    first = report(10)
    assert first.worker is not None
    return [
        replace(
            first,
            machine=f"m-{number}",
            complete_listing=True,
            worker=replace(
                first.worker,
                instance=f"i-{number}",
                cpu=cpu,
                memory_mb=1 << 20,
                labels=("a", f"r-{number // 4}"),
            ),
        )
        for number in range(count)
    ]
