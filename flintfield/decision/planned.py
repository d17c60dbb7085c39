"""A dispatcher that accepts plans: the base decisions, blended with a plan by the plan's weight.

Rules. Without a plan in force every decision is that of the base class, except that only OWN_COLD_FRACTION of
the cold budget is used (the rest may be leased to others). Every effect of a plan is scaled by its weight a,
which falls linearly to 0, so nothing jumps when planners disappear:

- shares: with probability a, a job's worker is drawn by the plan's table, else by the base class's shares;
  so η = a η_plan + (1 - a) η_own for each job, in O(1) beyond finding the workers with room;
- near workers: a worker of the plan moves up in this dispatcher's order, to rank x (1 - a);
- prices: moved toward the plan's by a, each time a plan arrives; the slots that others hold likewise, but
  only by a fresh plan, since they change within a second;
- probes: contact of any dispatcher with a worker counts as a probe, and the worker may be without contact for
  up to PLANNED_PROBE_MS, again only by a fresh plan.

This dispatcher's own observations take precedence over the plan: room, refusals, silence, and draining
according to the list. All rules are checked on a worker before any share is used.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from flintfield.decision.interface import PlanUpdate, PlanRow, Refuse, Request, Settings, WorkerId
from flintfield.decision.ending import TICK_MS
from flintfield.decision.observations import PROBE_MS
from flintfield.decision.policy import Dispatcher
from flintfield.decision.records import Job, Worker
from flintfield.decision.shares import Order, eligible

OWN_COLD_FRACTION = 0.6  # of the cold budget: used without a lease; planning/leases.py has the reason
DEMAND_MEMORY_MS = 2_000.0  # time constant of the mean demand
PLAN_FRESH_MS = 300.0  # held slots count fully until this long before `full_until`, then linearly less
PLANNED_PROBE_MS = 2_500.0  # time without contact by any dispatcher before a probe, under a fresh plan


class PlannedDispatcher(Dispatcher):
    """The decisions of a forwarder: a dispatcher that accepts plans."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.plan: PlanUpdate | None = None
        self.rows: dict[WorkerId, PlanRow] = {}
        self.leases: dict[WorkerId, float] = {}
        self.own_ranks: dict[WorkerId, float] = {}
        self.demand = 0.0  # moving average of the slots that this dispatcher's jobs hold or wait for
        self.handlers[PlanUpdate] = self._plan_news

    def seen(self) -> Iterator[tuple[Worker, bool]]:
        """The workers that are near or run jobs of this dispatcher, each with whether the plan makes it a
        home of this dispatcher."""
        for worker in self.fleet.near:
            row = self.rows.get(worker.entry.worker) if self.weight() > 0.0 else None
            yield worker, row is not None and row.is_home
        busy = {a.worker.entry.worker: a.worker for a in self.attempts.values()}
        yield from ((w, False) for n, w in busy.items() if not w.near and self.workers.get(n) is w)

    def _tick(self) -> None:
        super()._tick()
        waiting = sum(j.request.slots for jobs in self.held.sorts.values() for j in jobs.values())
        now = waiting + sum(a.slots for a in self.attempts.values())
        self.demand += TICK_MS / DEMAND_MEMORY_MS * (now - self.demand)

    def weight(self) -> float:
        """The plan's weight now, from 1 (fresh) to 0 (none)."""
        plan = self.plan
        if plan is None or self.now >= plan.ends:
            return 0.0
        return 1.0 if self.now <= plan.full_until else (plan.ends - self.now) / (plan.ends - plan.full_until)

    def _plan_news(self, news: PlanUpdate) -> None:
        self.plan, self.rows, self.leases = news, {r.worker: r for r in news.rows}, dict(news.leases)
        a = self.weight()
        # Keeps slots that were held there a second ago from replacing this dispatcher's current observation.
        fresh = min(1.0, max(0.0, (news.full_until - self.now) / PLAN_FRESH_MS))
        for row in news.rows:
            worker = self.workers.get(row.worker)
            if worker is None or a <= 0.0:
                continue
            worker.price = min(self.top_price, worker.price + a * (row.price - worker.price))
            worker.others += fresh * (row.others - worker.others)
            worker.most = max(worker.most, row.most)
            if not worker.pace.count and row.pace > 0:
                worker.pace.add(row.pace)
            if row.most > 0 < fresh:  # otherwise its number of slots would never be learned
                worker.probe_at = max(worker.probe_at, row.heard + fresh * (PLANNED_PROBE_MS - PROBE_MS))
            self.fleet.touch(worker, True)
        self._resize_near()

    def _resize_near(self) -> None:
        a, ranks = self.weight(), self.own_ranks
        planned = [n for n in self.rows if n in self.workers] if a > 0.0 else []
        if planned or ranks:
            new = {n: ranks.pop(n) for n in list(ranks) if n in self.workers}
            ranks.clear()
            for number in planned:
                ranks[number] = own = new.get(number, self.workers[number].rank)
                new[number] = own * (1.0 - a)
            self.fleet.rerank(new)
        super()._resize_near()
        if planned:
            self.fleet.extend_near(len(planned))
            self.sharers = a + (1.0 - a) * self.sharers

    def _draw_by_share(self, job: Job, order: Order, allowed: Callable[[Worker], bool]) -> Worker | None:
        if not job.request.key and (a := self.weight()) > 0.0 and self.random.random() < a:
            rows = [w for n in self.rows if (w := self.workers.get(n)) is not None]
            planned = [w for w in eligible(order, rows) if allowed(w)]
            home = [w for w in planned if self.rows[w.entry.worker].is_home] or planned
            eta = [self.rows[w.entry.worker].share for w in home]
            if sum(eta) > 0.0:
                return self.random.choices(home, eta)[0]
        return super()._draw_by_share(job, order, allowed)

    def _cold_share(self, worker: Worker, budget: float) -> float:
        own = super()._cold_share(worker, OWN_COLD_FRACTION * budget)
        if self.plan is None or self.now >= self.plan.ends or self.hands.cold_elsewhere:
            return own
        return own + self.leases.get(worker.entry.worker, 0.0) * budget


class RefusingDispatcher(Dispatcher):
    """The decisions of a planner's own process: it follows the list and probes, and refuses every job.

    This protects the cold budget, of which a planner has no part of its own.
    """

    def _request(self, event: Request) -> None:
        self.actions.append(Refuse(event.rid, self.settings.limits.max_retry_after_ms))
