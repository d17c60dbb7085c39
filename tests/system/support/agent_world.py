"""A small world around the agent's core, in virtual time: a worker, dispatchers, faults drawn by a seed."""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable

from flintfield.agent.answers import encode_request, read_answer
from flintfield.agent.core import Agent
from flintfield.agent.events import (
    Answer,
    AnswerKind,
    CallWorker,
    Event,
    Hold,
    LinkOpened,
    OrdersArrived,
    SendReport,
    Tick,
    WorkerAnswered,
)
from flintfield.agent.heartbeats import read_heartbeat
from flintfield.agent.limits import AgentLimits
from flintfield.jobs.messages import AgentReport, StartOrder, StopOrder

from .agent_dispatchers import Dispatchers
from .agent_judge import Judge
from .worker_model import WorkerModel
from .worker_plan import Bounds

HOLD_MAX_MS = 6_000
STOP_MS = 200
TROUBLED_MS = 25_000
CALM_MS = 25_000
HEARTBEAT_MS = 1_500


class World:
    """Virtual time, in ms; the agent's steady clock shows it, the worker's runs `rate` as fast."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 50_000
        self.rate = self.rng.choice((0.98, 0.99, 1.0))
        self.dispatchers = Dispatchers()
        self.judge = Judge(self.dispatchers)
        self.calm = False
        self.dark = False
        self.draining = False
        self.frozen: list[Callable[[], None]] | None = None
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._ties = itertools.count()
        self._incarnations = itertools.count(1)
        self._tasks = itertools.count(1)
        self._seq = itertools.count(1)
        self._tick_at: int | None = None
        self.life = 0
        self.worker = self._new_worker()
        self.agent = self._new_agent()

    # Time.

    def at(self, delay_ms: int, work: Callable[[], None]) -> None:
        """Do this then."""
        heapq.heappush(self._queue, (self.now + max(0, delay_ms), next(self._ties), work))

    def run(self, until: int) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, work = heapq.heappop(self._queue)
            work()
        self.now = until

    def worker_clock(self, time_ms: int | None = None) -> int:
        """What the worker's clock shows."""
        return int((self.now if time_ms is None else time_ms) * self.rate) + 400_000

    # The agent.

    def _new_worker(self) -> WorkerModel:
        bounds = Bounds(hold_max_ms=HOLD_MAX_MS, stop_ms=STOP_MS)
        self.draining = False
        return WorkerModel(f"i-{next(self._incarnations)}", self.worker_clock(), bounds)

    def _new_agent(self) -> Agent:
        self.life += 1
        limits = AgentLimits(HOLD_MAX_MS, STOP_MS)
        return Agent("side-1", self.life, self.now, limits, "10.0.0.9:80", random.Random(self.life))

    def deliver(self, event: Event, life: int | None = None) -> None:
        """Let the agent take in an event now, or when it thaws."""
        if life is not None and life != self.life:
            return
        if self.frozen is not None:
            self.frozen.append(lambda: self.deliver(event, life))
            return
        for effect in self.agent.step(self.now, event):
            if isinstance(effect, CallWorker):
                self._call(effect)
            elif isinstance(effect, SendReport):
                self._report(effect.report)
        self._arm()

    def _arm(self) -> None:
        wake_at = max(self.agent.wake_at(self.now), self.now + 1)
        if self._tick_at is not None and self.now < self._tick_at <= wake_at:
            return
        self._tick_at = wake_at
        life = self.life

        def tick() -> None:
            if self._tick_at == wake_at:
                self._tick_at = None
            self.deliver(Tick(), life)

        self.at(wake_at - self.now, tick)

    def freeze(self, length_ms: int) -> None:
        """The agent's process stands still."""
        if self.frozen is not None:
            return
        self.frozen = []

        def thaw() -> None:
            waiting, self.frozen = self.frozen or [], None
            for work in waiting:
                work()

        self.at(length_ms, thaw)

    def restart_agent(self) -> None:
        """The agent's process is killed and starts again; the worker runs on."""
        self.frozen = None
        self.agent = self._new_agent()
        self._tick_at = None
        self.deliver(LinkOpened(), self.life)

    # Reports and orders.

    def _report(self, report: AgentReport) -> None:
        self.worker.advance(self.worker_clock())
        self.judge.report(self.now, report, self.worker)
        life = self.life

        def arrive() -> None:
            if self.dispatchers.away:
                return
            orders_before = dict(self.dispatchers.orders)
            answer = self.dispatchers.take(report)
            for result in report.results:
                order = orders_before.get(result.order)
                if order is not None:
                    self.judge.result(self.now, result, order, self.worker)
            self.at(self.rng.randint(1, 30), lambda: self.deliver(OrdersArrived(answer), life))

        self.at(self.rng.randint(1, 10), arrive)

    # Calls to the worker.

    def _call(self, call: CallWorker) -> None:
        life, worker = self.life, self.worker
        answered = False
        self.judge.call(self.now, call, self.agent.epoch)

        def answer(value: Answer) -> None:
            nonlocal answered
            if not answered:
                answered = True
                self.deliver(WorkerAnswered(call.call, value), life)

        self.at(call.timeout_ms, lambda: answer(Answer(AnswerKind.NONE)))
        path, body = encode_request(call.request)
        fields = json.loads(body)
        fate = (
            "done"
            if self.calm
            else self.rng.choices(
                ("done", "lost", "late", "unanswered", "unhealthy", "refused"), (80, 4, 4, 4, 4, 4)
            )[0]
        )
        there, back = self.rng.randint(0, 3), self.rng.randint(0, 3)
        if not self.calm and self.rng.random() < 0.1:
            back = self.rng.randint(3, 900)  # passed by answers on other connections
        if fate == "lost" or self.dark:
            return
        if fate == "refused":
            self.at(there, lambda: answer(Answer(AnswerKind.NOT_SENT)))
            return
        if fate == "unhealthy":
            self.at(there, lambda: answer(Answer(AnswerKind.UNHEALTHY)))
            return
        if fate == "late":
            there = self.rng.randint(2_000, 12_000)

        def reply(status: int, answer_fields: dict[str, object], is_hold: bool) -> None:
            if fate == "done":
                value = read_answer(status, json.dumps(answer_fields).encode(), is_hold)
                self.at(back, lambda: answer(value))

        def arrive() -> None:
            if self.worker is not worker or call.instance != worker.instance:
                reply(421, {}, False)
                return
            self._do(worker, call, path, fields, reply)

        self.at(there, arrive)

    def _do(
        self,
        worker: WorkerModel,
        call: CallWorker,
        path: str,
        fields: dict[str, object],
        reply: Callable[[int, dict[str, object], bool], None],
    ) -> None:
        clock = self.worker_clock()
        if path == "/-/run-start":
            known = len(worker.log.starts)
            reply(*worker.start(clock, fields), False)
            self.judge.started(self.now, worker, known)
        elif path == "/-/run-stop":
            reply(*worker.stop(clock, fields), False)
        else:
            assert isinstance(call.request, Hold)
            status, answer_fields = worker.hold(clock, fields)
            if status == 200:
                self._wait(worker, self.now + call.request.wait_ms, worker.last_number, reply)
            else:
                reply(status, answer_fields, True)
        limit = self.dispatchers.of(worker.instance).grant_limit
        self.judge.hold(self.now, worker, self.worker_clock(limit))

    def _wait(
        self,
        worker: WorkerModel,
        until: int,
        known: int,
        reply: Callable[[int, dict[str, object], bool], None],
    ) -> None:
        worker.advance(self.worker_clock())
        if self.worker is not worker:
            return
        if self.now >= until or worker.ends_to_tell or worker.last_number > known:
            reply(200, worker.lists(self.worker_clock()), True)
        else:
            self.at(10, lambda: self._wait(worker, until, known, reply))

    # What happens.

    def heartbeat(self) -> None:
        """The worker's heartbeats, from now on."""
        worker = self.worker
        fields = {
            "service": "s",
            "address": "10.0.0.9:80",
            "zone": "z",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "capacity": {"cpu": 16_000},
            "clockMs": self.worker_clock(),
            "seq": next(self._seq),
        }
        beat = read_heartbeat(worker.instance, json.dumps(fields).encode())
        delay = 1 if self.calm or self.rng.random() < 0.8 else self.rng.randint(1, 3_000)

        def arrive() -> None:
            if self.frozen is None and beat.state.draining:
                self.judge.drained_at.setdefault(worker.instance, self.now)
            self.deliver(beat)

        self.at(delay, arrive)
        self.at(HEARTBEAT_MS + self.rng.randint(-100, 100), self.heartbeat)

    def new_order(self) -> None:
        """The dispatcher orders a start or a stop at a worker that it knows."""
        newest = self.dispatchers.newest_report()
        if newest is not None and newest.worker is not None and not self.dispatchers.away:
            instance = newest.worker.instance
            listing = self.dispatchers.of(instance).last_listing
            if listing is not None and listing.running and self.rng.random() < 0.3:
                victim = self.rng.choice(listing.running)
                self.dispatchers.order(instance, StopOrder(0, victim.task, victim.run))
            else:
                task = f"{next(self._tasks):016x}.0.0.0"
                spec = f"work_ms={self.rng.choice((20, 300, 3_000, 0))}"
                self.dispatchers.order(instance, StartOrder(0, task, 1, spec, ""))
        if not self.calm:
            self.at(self.rng.randint(20, 600), self.new_order)

    def trouble(self) -> None:
        """One fault, and the next one later."""
        if self.calm:
            return
        fault = self.rng.choice(("crash", "both", "freeze", "restart", "dark", "away", "succeed", "drain"))
        length_ms = self.rng.randint(200, 7_000)
        if fault in ("crash", "both"):
            self.worker.crash()
            self.worker = self._new_worker()
            if fault == "both":
                self.at(self.rng.randint(0, 2_000), self.restart_agent)
        elif fault == "freeze":
            self.freeze(length_ms)
        elif fault == "restart":
            self.restart_agent()
        elif fault == "dark":
            self.dark = True
            self.at(length_ms, self._light)
        elif fault == "away":
            self.dispatchers.away = True
            self.at(length_ms, self._return)
        elif fault == "succeed":
            self.dispatchers.succeed(self.rng)
        elif fault == "drain" and self.rng.random() < 0.3:
            self.draining = True
        self.at(self.rng.randint(300, 5_000), self.trouble)

    def _light(self) -> None:
        self.dark = False

    def _return(self) -> None:
        self.dispatchers.away = False

    def play(self) -> list[str]:
        """Troubled time, then calm time; everything that was wrong."""
        self.deliver(LinkOpened(), self.life)
        self.heartbeat()
        self.new_order()
        self.at(self.rng.randint(1_000, 4_000), self.trouble)
        self.run(self.now + TROUBLED_MS)
        self.calm, self.dark, self.dispatchers.away = True, False, False
        self.run(self.now + CALM_MS)
        return self.judge.finish(self.now, self.worker)
