"""The agent's core in a small world in virtual time: a worker, dispatchers, and faults drawn by a seed.

Judged by what the worker did and by what the dispatcher was told, never by the agent's own state.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field

from hypothesis import given, settings, strategies

from flintfield.agent.answers import encode_request, read_answer
from flintfield.agent.core import Agent
from flintfield.agent.events import (
    Answer, AnswerKind, CallWorker, Event, Hold, LinkOpened, OrdersArrived, RunStart, SendReport, Tick,
    WorkerAnswered,
)
from flintfield.agent.heartbeats import read_heartbeat
from flintfield.agent.incarnations import AgentLimits
from flintfield.jobs.messages import AgentOrders, AgentReport, OrderResult, Outcome, StartOrder, StopOrder

from .support.worker_model import Bounds, WorkerModel

HOLD_MS = 4_000
HOLD_MAX_MS = 6_000
STOP_MS = 200
TROUBLED_MS = 25_000
CALM_MS = 25_000
HEARTBEAT_MS = 1_500
NOTHING_DONE = (Outcome.LATE, Outcome.ROOM, Outcome.BUSY, Outcome.DRAINING, Outcome.BAD)
NEVER_AGAIN = (Outcome.OLD, Outcome.FENCE, Outcome.GONE)


@dataclass(slots=True)
class Told:
    """What the dispatchers know of one incarnation, and what they have granted it."""

    grant_limit: int = 0
    last_seen: int = 0
    ends: dict[int, tuple[str, int, str]] = field(default_factory=dict)
    last_report: AgentReport | None = None


class Dispatcher:
    """All dispatchers, one after the other: they repeat each order until it has a result."""

    def __init__(self) -> None:
        self.epoch = 1
        self.away = False
        self.orders: dict[int, StartOrder | StopOrder] = {}
        self.instance_of: dict[int, str] = {}
        self.outcomes: dict[int, OrderResult] = {}
        self.told: dict[str, Told] = {}
        self.epoch_of: dict[tuple[str, int], int] = {}  # in which a run was ordered
        self.next_order = itertools.count(1)

    def of(self, instance: str) -> Told:
        """What is known of it."""
        return self.told.setdefault(instance, Told())

    def take(self, report: AgentReport) -> AgentOrders:
        """Take in a report, and answer it."""
        for result in report.results:
            if result.order in self.orders:
                self.outcomes[result.order] = result
                if result.outcome is not Outcome.UNKNOWN or isinstance(self.orders[result.order], StartOrder):
                    del self.orders[result.order]
        instance = report.worker.instance if report.worker is not None else ""
        told = self.of(instance)
        if instance:
            told.last_report = report
            for end in report.finished:
                told.ends[end.number] = (end.task, end.run, end.how.name)
            while told.last_seen + 1 in told.ends:
                told.last_seen += 1
            told.grant_limit = max(told.grant_limit, report.stamp_ms + HOLD_MS)
        mine = self.orders_for(instance)
        return AgentOrders(
            self.epoch, instance, report.stamp_ms, HOLD_MS, told.last_seen,
            tuple(order for order in mine if isinstance(order, StartOrder)),
            tuple(order for order in mine if isinstance(order, StopOrder)))

    def orders_for(self, instance: str) -> list[StartOrder | StopOrder]:
        """The orders for it that have no result yet."""
        return [order for number, order in self.orders.items() if self.instance_of[number] == instance]

    def succeed(self, rng: random.Random) -> None:
        """A new epoch: what was not answered is in doubt, and some of it is stopped by the successor."""
        self.epoch += 1
        for number, order in list(self.orders.items()):
            del self.orders[number]
            if rng.random() < 0.5:
                self.order(self.instance_of[number], StopOrder(0, order.task, order.run))

    def order(self, instance: str, wanted: StartOrder | StopOrder) -> int:
        """Order this from now on; the number is drawn here."""
        number = next(self.next_order)
        if isinstance(wanted, StartOrder):
            order: StartOrder | StopOrder = StartOrder(number, wanted.task, wanted.run, wanted.spec, "")
            self.epoch_of[wanted.task, wanted.run] = self.epoch
        else:
            order = StopOrder(number, wanted.task, wanted.run)
        self.orders[number] = order
        self.instance_of[number] = instance
        return number


class World:
    """Virtual time, in ms; the agent's steady clock shows it, the worker's runs `rate` as fast."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 50_000
        self.rate = self.rng.choice((0.98, 0.99, 1.0))
        self.dispatcher = Dispatcher()
        self.calm = False
        self.dark = False
        self.draining = False
        self.frozen: list[Callable[[], None]] | None = None
        self.drained_at: dict[str, int] = {}
        self.violations: list[str] = []
        self.started: dict[tuple[str, str, int], int] = {}  # true time, by instance, task, run
        self.results: list[tuple[int, str, OrderResult, StartOrder | StopOrder]] = []
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
        self._judge_report(report)
        life = self.life

        def arrive() -> None:
            if self.dispatcher.away:
                return
            orders_before = dict(self.dispatcher.orders)
            answer = self.dispatcher.take(report)
            for result in report.results:
                order = orders_before.get(result.order)
                if order is not None:
                    self._judge_result(result)
                    instance = self.dispatcher.instance_of[result.order]
                    self.results.append((self.now, instance, result, order))
            self.at(self.rng.randint(1, 30), lambda: self.deliver(OrdersArrived(answer), life))

        self.at(self.rng.randint(1, 10), arrive)

    def _judge_result(self, result: OrderResult) -> None:
        if result.outcome is Outcome.GONE:
            instance = self.dispatcher.instance_of[result.order]
            if instance == self.worker.instance:
                self.violations.append(f"{self.now}: {instance} is called gone, and runs")

    def _judge_report(self, report: AgentReport) -> None:
        if report.worker is None or report.worker.instance != self.worker.instance:
            return
        self.worker.advance(self.worker_clock())
        if report.lapsed and self.worker.runs:
            self.violations.append(f"{self.now}: lapsed while {list(self.worker.runs)} run")
        listed = {(run.task, run.run) for run in report.running}
        for run in self.worker.runs.values():
            started_at = self.started[self.worker.instance, run.task, run.run]
            if started_at < report.listing_stamp and (run.task, run.run) not in listed:
                self.violations.append(f"{self.now}: {run.task} runs since {started_at} and is not listed")

    # Calls to the worker.

    def _call(self, call: CallWorker) -> None:
        life, worker = self.life, self.worker
        answered = False
        if call.request.fence != self.agent.epoch:
            self.violations.append(f"{self.now}: a call under {call.request.fence}")
        if isinstance(call.request, RunStart):
            ordered_in = self.dispatcher.epoch_of[call.request.task, call.request.run]
            if ordered_in != call.request.fence:
                self.violations.append(f"{self.now}: a start that epoch {ordered_in} has ordered")
        drained_at = self.drained_at.get(call.instance)
        if isinstance(call.request, RunStart) and drained_at is not None and drained_at < self.now:
            self.violations.append(f"{self.now}: a start at a draining worker")

        def answer(value: Answer) -> None:
            nonlocal answered
            if not answered:
                answered = True
                self.deliver(WorkerAnswered(call.call, value), life)

        self.at(call.timeout_ms, lambda: answer(Answer(AnswerKind.NONE)))
        path, body = encode_request(call.request)
        fields = json.loads(body)
        fate = "done" if self.calm else self.rng.choices(
            ("done", "lost", "late", "unanswered", "unhealthy", "refused"), (80, 4, 4, 4, 4, 4))[0]
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

    def _do(self, worker: WorkerModel, call: CallWorker, path: str, fields: dict[str, object],
            reply: Callable[[int, dict[str, object], bool], None]) -> None:
        clock = self.worker_clock()
        if path == "/-/run-start":
            known = len(worker.log.starts)
            reply(*worker.start(clock, fields), False)
            self._judge_starts(worker, known)
        elif path == "/-/run-stop":
            reply(*worker.stop(clock, fields), False)
        else:
            assert isinstance(call.request, Hold)
            status, answer_fields = worker.hold(clock, fields)
            if status == 200:
                self._wait(worker, self.now + call.request.wait_ms, worker.last_number, reply)
            else:
                reply(status, answer_fields, True)
        self._judge_hold(worker)

    def _wait(self, worker: WorkerModel, until: int, known: int,
              reply: Callable[[int, dict[str, object], bool], None]) -> None:
        worker.advance(self.worker_clock())
        if self.worker is not worker:
            return
        if self.now >= until or worker.ends_to_tell or worker.last_number > known:
            reply(200, worker.lists(self.worker_clock()), True)
        else:
            self.at(10, lambda: self._wait(worker, until, known, reply))

    def _judge_hold(self, worker: WorkerModel) -> None:
        """The hold ends no later than what was granted: the worker's clock shows its expiry by then."""
        limit = self.dispatcher.of(worker.instance).grant_limit
        if worker.expires_ms > self.worker_clock(limit) + 1:
            self.violations.append(f"{self.now}: held beyond the grant of {limit}")

    def _judge_starts(self, worker: WorkerModel, known: int) -> None:
        for _, task, run in worker.log.starts[known:]:
            self.started[worker.instance, task, run] = self.now

    # What happens.

    def heartbeat(self) -> None:
        """The worker's heartbeats, from now on."""
        worker = self.worker
        fields = {"service": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 8,
                  "state": "draining" if self.draining else "ready", "capacity": {"cpu": 16_000},
                  "clockMs": self.worker_clock(), "seq": next(self._seq)}
        beat = read_heartbeat(worker.instance, json.dumps(fields).encode())
        delay = 1 if self.calm or self.rng.random() < 0.8 else self.rng.randint(1, 3_000)

        def arrive() -> None:
            if self.frozen is None and beat.state.draining:
                self.drained_at.setdefault(worker.instance, self.now)
            self.deliver(beat)

        self.at(delay, arrive)
        self.at(HEARTBEAT_MS + self.rng.randint(-100, 100), self.heartbeat)

    def new_order(self) -> None:
        """The dispatcher orders a start or a stop at a worker that it knows."""
        reports = [told.last_report for told in self.dispatcher.told.values() if told.last_report is not None]
        if reports and not self.dispatcher.away:
            newest = max(reports, key=lambda report: report.stamp_ms)
            assert newest.worker is not None
            instance = newest.worker.instance
            if newest.running and self.rng.random() < 0.3:
                victim = self.rng.choice(newest.running)
                self.dispatcher.order(instance, StopOrder(0, victim.task, victim.run))
            else:
                task = f"{next(self._tasks):016x}.0.0.0"
                spec = f"work_ms={self.rng.choice((20, 300, 3_000, 0))}"
                self.dispatcher.order(instance, StartOrder(0, task, 1, spec, ""))
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
            self.dispatcher.away = True
            self.at(length_ms, self._return)
        elif fault == "succeed":
            self.dispatcher.succeed(self.rng)
        elif fault == "drain" and self.rng.random() < 0.3:
            self.draining = True
        self.at(self.rng.randint(300, 5_000), self.trouble)

    def _light(self) -> None:
        self.dark = False

    def _return(self) -> None:
        self.dispatcher.away = False

    def play(self) -> None:
        """Troubled time, then calm time."""
        self.deliver(LinkOpened(), self.life)
        self.heartbeat()
        self.new_order()
        self.at(self.rng.randint(1_000, 4_000), self.trouble)
        self.run(self.now + TROUBLED_MS)
        self.calm, self.dark, self.dispatcher.away = True, False, False
        self.run(self.now + CALM_MS)

    # Judgement.

    def judge(self) -> list[str]:
        """Everything that was wrong."""
        for told_at, instance, result, order in self.results:
            started_at = self.started.get((instance, order.task, order.run))
            if isinstance(order, StartOrder):
                if result.outcome in NOTHING_DONE and started_at:
                    self.violations.append(f"{told_at}: {result.outcome.name}, and started at {started_at}")
                if result.outcome in NEVER_AGAIN and started_at and started_at > told_at:
                    self.violations.append(f"{told_at}: {result.outcome.name}, and started at {started_at}")
            elif result.outcome is Outcome.DONE and started_at and started_at > told_at:
                self.violations.append(f"{told_at}: stopped, and started later at {started_at}")
        self._judge_calm()
        return self.violations

    def _judge_calm(self) -> None:
        left = self.dispatcher.orders_for(self.worker.instance)
        if left:
            self.violations.append(f"no result for {left}")
        told = self.dispatcher.of(self.worker.instance)
        if told.last_report is None or self.now - told.last_report.stamp_ms > 1_000:
            self.violations.append("the present worker is not reported")
            return
        report = told.last_report
        if report.fenced_epoch != self.dispatcher.epoch or self.now - report.listing_stamp > 4_000:
            self.violations.append(f"an old listing: {report.fenced_epoch}, {report.listing_stamp}")
        known = {(task, run, how) for task, run, how in told.ends.values()}
        done = {(task, run, how.upper()) for _, task, run, how in self.worker.log.ends}
        if known != done:
            self.violations.append(f"ends that differ: {known ^ done}")
        if {run.task for run in report.running} != set(self.worker.runs):
            self.violations.append("runs that differ")


class AgentWorld(unittest.TestCase):
    """Safety at all times, and everything known in the end."""

    @settings(max_examples=150)
    @given(strategies.integers(0, 2**32))
    def test_what_is_told_is_true(self, seed: int) -> None:
        world = World(seed)
        world.play()
        self.assertEqual([], world.judge())


if __name__ == "__main__":
    unittest.main()
