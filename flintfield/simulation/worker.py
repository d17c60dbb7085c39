"""A stand-in worker that follows the users' protocol; judged by what it saw.

It keeps its own steady clock, up to 2 % slow, and lets its world wake it when something happens by itself.
What an order does is decided when it is carried out, however late that is.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from flintfield.agent.events import Answer, AnswerKind, Hold, RunStart, RunStop
from flintfield.jobs.messages import Run, RunResult
from flintfield.simulation.faults import Trigger
from flintfield.simulation.held import Gangs, Held, Phase, fits
from flintfield.simulation.listed_ends import ListedEnds
from flintfield.simulation.plans import Bounds, Kind, Plan
from flintfield.simulation.record import Record, RunSeen
from flintfield.simulation.world import World

PlanOf = Callable[[str], Plan]
Signal = Callable[[Trigger], None]


class StandInWorker:
    """One incarnation."""

    def __init__(
        self,
        world: World,
        record: Record,
        machine: str,
        instance: str,
        kind: Kind,
        bounds: Bounds,
        plan_of: PlanOf,
        gangs: Gangs[StandInWorker],
        signal: Signal,
        rng: random.Random,
    ) -> None:
        self.world = world
        self.machine = machine
        self.instance = instance
        self.kind = kind
        self.dead = False
        self.draining = False
        self.deregistered = False
        self.beats_on = True
        self.drain_acked_ms: float | None = None
        self.waiters: list[Callable[[], None]] = []  # long calls that wait for an end
        self._record = record
        self._bounds = bounds
        self._plan_of = plan_of
        self._gangs = gangs
        self._signal = signal
        self._rate = rng.uniform(0.98, 1.0)
        self._born_ms = world.now_ms
        self._runs: dict[tuple[str, int], Held] = {}
        self._barred: dict[str, int] = {}  # the highest run stopped or ended, by task
        self._fence = 0
        self._expires = 0.0
        self._ends = ListedEnds()
        self._armed: float | None = None

    @property
    def clock_ms(self) -> float:
        """Its steady clock."""
        return (self.world.now_ms - self._born_ms) * self._rate

    # The calls.

    def start(self, order: RunStart, late: bool) -> Answer:
        """`/-/run-start`, carried out now."""
        if not self._take_fence(order.fence):
            return self._answer(AnswerKind.FENCE)
        self._extend(order.expires_ms)
        if (order.task, order.run) in self._runs:
            return self._answer(AnswerKind.OK)
        if order.run <= self._barred.get(order.task, 0):
            return self._answer(AnswerKind.OLD)
        if self._expires <= self.clock_ms:
            return self._answer(AnswerKind.LATE)
        plan = self._plan_of(order.task)
        if self.kind.guards and self._overfull(plan):
            return self._answer(AnswerKind.ROOM)
        self._begin(order, plan, late)
        return self._answer(AnswerKind.OK)

    def stop(self, order: RunStop) -> Answer:
        """`/-/run-stop`."""
        if not self._take_fence(order.fence):
            return self._answer(AnswerKind.FENCE)
        self._barred[order.task] = max(order.run, self._barred.get(order.task, 0))
        for held in self._runs.values():
            meant = held.seen.task == order.task and held.seen.run <= order.run
            if meant and held.phase is not Phase.STOPPING:
                self._save(held)
                held.phase = Phase.STOPPING
                held.stop_at = self.clock_ms + self._bounds.stop_ms * 0.9
        self._arm()
        return self._answer(AnswerKind.OK)

    def hold(self, order: Hold) -> Answer | None:
        """The first part of `/-/hold`; None: it was taken, and `lists` is told when its wait is over."""
        if not self._take_fence(order.fence):
            return self._answer(AnswerKind.FENCE)
        if order.expires_ms is not None:
            self._extend(order.expires_ms)
        for _ in range(self._ends.forget(order.last_seen)):
            self._signal(Trigger.NOTED)
        return None

    def lists(self) -> Answer:
        """Both lists."""
        for held in self._runs.values():
            self._save(held, self._bounds.save_ms)
        running = tuple(
            Run(held.seen.task, held.seen.run, held.saved, held.percent(self.clock_ms))
            for held in self._runs.values()
        )
        return Answer(AnswerKind.OK, int(self.clock_ms), running, self._ends.told(self.world.now_ms))

    @property
    def has_ends(self) -> bool:
        """Whether there is an end to tell."""
        return bool(self._ends)

    @property
    def holds_runs(self) -> bool:
        """Whether anything runs there."""
        return bool(self._runs)

    def finish_runs(self) -> None:
        """Let all that runs end `done` now."""
        for held in list(self._runs.values()):
            self._end(held, RunResult.DONE)

    def crash(self) -> None:
        """Everything is gone without a word."""
        self.dead = True
        for held in list(self._runs.values()):
            held.seen.end_ms, held.seen.how = self.world.now_ms, "crash"
            self._gangs.remove(held)
        self._runs.clear()

    # Time.

    def _arm(self) -> None:
        due = self._next()
        if due is None or (self._armed is not None and self._armed <= due):
            return
        self._armed = due
        self.world.at(self._born_ms + due / self._rate + 0.01, self._wake)

    def _wake(self) -> None:
        self._armed = None
        if self.dead:
            return
        now = self.clock_ms
        if self._expires <= now:
            self._lapse()
        for held in list(self._runs.values()):
            due = self._due(held)
            if due is not None and due <= now and self._runs.get((held.seen.task, held.seen.run)) is held:
                self._happen(held)
        self._arm()

    def _next(self) -> float | None:
        times = [due for held in self._runs.values() if (due := self._due(held)) is not None]
        if self._runs or (self._ends and self._expires > self.clock_ms):
            times.append(self._expires)
        return min(times, default=None)

    def _due(self, held: Held) -> float | None:
        if held.phase is Phase.STOPPING:
            return held.stop_at
        if held.phase is Phase.WAITING:
            return held.begun + self._bounds.gang_ms
        return held.ends_at

    def _lapse(self) -> None:
        self._ends.lapse(self.world.now_ms)
        for held in list(self._runs.values()):
            self._end(held, RunResult.LAPSED)

    def _happen(self, held: Held) -> None:
        if held.phase is Phase.STOPPING:
            self._end(held, RunResult.STOPPED)
        elif held.phase is Phase.WAITING:
            self._end(held, RunResult.ALONE)
        else:
            plan = held.plan
            failed = plan.fails < 0 or held.seen.run <= plan.fails
            self._end(held, RunResult.FAILED if failed else RunResult.DONE)

    # Runs.

    def _begin(self, order: RunStart, plan: Plan, late: bool) -> None:
        over = self._overfull(plan)
        step = order.task.rpartition(".")[0]
        same = {held.seen.task for held in self._runs.values() if held.step == step}
        seen = RunSeen(
            order.task,
            order.run,
            self.machine,
            self.instance,
            self.kind.service,
            self.kind.labels,
            order.spec,
            order.checkpoint,
            self.world.now_ms,
            over,
            late,
            self.drain_acked_ms,
            len(same | {order.task}),
        )
        self._record.runs.append(seen)
        held = Held(seen, plan, self.clock_ms, order.checkpoint)
        self._runs[order.task, order.run] = held
        self._signal(Trigger.START)
        self.world.note(
            f"worker {self.instance}: run {order.run} of {order.task} begins{' (late order)' if late else ''}"
        )
        if plan.gang <= 1:
            self._work(held)
            return
        held.phase = Phase.WAITING
        self._gangs.add(self, held)
        members = self._gangs.present(held.gang)
        if len(members) >= plan.gang:
            for worker, member in members:
                if member.phase is Phase.WAITING:
                    worker._work(member)
        self._arm()

    def _work(self, held: Held) -> None:
        held.work(self.clock_ms, self._bounds.restore_ms)
        self._arm()

    def _end(self, held: Held, how: RunResult) -> None:
        seen = held.seen
        if self._runs.pop((seen.task, seen.run), None) is None:
            return  # it went with another member of its gang in the same moment
        self._barred[seen.task] = max(seen.run, self._barred.get(seen.task, 0))
        self._ends.add(self.world.now_ms, seen, how, "" if how is RunResult.DONE else held.saved)
        self.world.note(f"worker {self.instance}: run {seen.run} of {seen.task} {seen.how}")
        if held.plan.gang > 1:
            self._gangs.remove(held)
            if how not in (RunResult.DONE, RunResult.ALONE):
                self._break(held)
            elif how is RunResult.DONE:
                for worker, member in self._gangs.present(held.gang):
                    if (member.seen.task, member.seen.run) in worker._runs:
                        worker._end(member, RunResult.DONE)
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            self.world.after(0.0, waiter)
        self._arm()

    def _break(self, held: Held) -> None:
        for worker, member in self._gangs.present(held.gang):
            if (member.seen.task, member.seen.run) in worker._runs:
                worker._save(member)
                worker._end(member, RunResult.BROKEN)

    def _save(self, held: Held, period_ms: float = 0.0) -> None:
        text = held.checkpoint(self.clock_ms, period_ms)
        if text:
            self._record.saved.setdefault(held.plan.group, set()).add(text)

    def _overfull(self, plan: Plan) -> bool:
        return not fits([*(held.plan for held in self._runs.values()), plan], self.kind.capacity)

    # Parts of the calls.

    def _take_fence(self, token: int) -> bool:
        if token < self._fence:
            return False
        self._fence = token
        return True

    def _extend(self, expires_ms: float) -> None:
        if self._expires <= self.clock_ms:
            self._lapse()  # what happened at this very moment
        self._expires = max(self._expires, min(expires_ms, self.clock_ms + self._bounds.hold_max_ms))
        self._arm()

    def _answer(self, kind: AnswerKind) -> Answer:
        return Answer(kind, int(self.clock_ms))
