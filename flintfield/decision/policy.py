"""Every event of flintfield/decision/interface.py in, its actions out; desk.py names the layers below.

What finds and counts stands in fleet.py, shares.py, homes.py and the like: nothing here walks the fleet or
the open jobs. docs/design.md names the paper's equations.
"""

from __future__ import annotations

import math

from flintfield.decision.admission import is_hopeless
from flintfield.decision.ending import TICK_MS
from flintfield.decision.interface import (
    Action, AttemptEnded, ByHand, Ends, Event, Fail, First, Gone, Note, Probe, Probed, Request, ServerList,
    SetTimer, Settings, Timer, Watch,
)
from flintfield.decision.outcomes import Outcomes
from flintfield.decision.records import Job
from flintfield.decision.repeats import may_go
from flintfield.decision.waiting import AHEAD_MS

MOST_PROBES = 200  # at a tick, as when all are new
TICK, WAKE = 0, 0xFFFFFFFF  # timer tokens; requests take those between


class Dispatcher(Outcomes):
    """One dispatcher's decisions: `handle(now, event)` returns what to do, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.handlers |= {
            ServerList: self._list, Request: self._request, AttemptEnded: self._ended, Note: self._note,
            Probed: self._probed, Timer: self._timer, Gone: self._gone, First: self._first,
            ByHand: self._by_hand, Ends: self._ends,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return the actions it calls for."""
        self.actions, self.now = [], now
        self.fleet.advance(now)
        if self.last_tick == -math.inf:
            self.last_tick = now
            self._tick()
        self.handlers[type(event)](event)
        if self.held.sorts:
            if self.fleet.roomy and not isinstance(event, Request | Note):
                self._serve_held()
            if (opens := self.fleet.next_wake()) < (self.wake_at if self.wake_at > now else math.inf):
                self.wake_at = opens  # guards against jobs that wait for a worker whose rest is over
                self.actions.append(SetTimer(opens - now, WAKE))
        return self.actions

    def _tick(self) -> None:
        """Step prices, probe the quiet workers, look after the jobs that wait, keep the list subscription."""
        self.passed, self.last_tick = self.now - self.last_tick, self.now
        self.ticks += 1
        self.accounts.forget(self.passed)
        # Jobs that wait at a worker ask for no more workers.
        self.in_flight += 0.1 * (self.started - self.in_flight)
        self._size_up()
        self.actions.append(SetTimer(TICK_MS * self.random.uniform(0.8, 1.2), TICK))
        self.fleet.step_prices(self._prices)
        for worker in self.fleet.due_for_probe(self._quiet_from, MOST_PROBES) if self.asks else ():
            worker.probing, worker.probe_at = True, self.now - self.random.uniform(0, TICK_MS)
            self.actions.append(Probe(worker.entry.worker))
        self.fleet.drop_unused()
        if self.settings.ask_list and self.asking.is_due(self.now):
            self.actions.append(Watch())

    def _by_hand(self, event: ByHand) -> None:
        for worker in self.hands.take(event, self.workers, self.now):
            self.fleet.ask(worker, self.now)
            self._rate(worker)
            self.fleet.touch(worker, rated=True)
        self._size_up()
        for job in self.hands.waiting_for_nobody(self.fleet.ring, self.jobs.values()):
            self._end(job)

    def _request(self, event: Request) -> None:
        if not 0 <= event.cls < len(self.settings.classes):
            self.actions.append(Fail(event.rid))
            return
        mean, cls = self.costs[event.cls], self.settings.classes[event.cls]
        if event.hint_ms:
            mean.add(max(event.hint_ms, 1e-3))
        cost = event.hint_ms or (mean.value if mean.count else cls.aim_ms)
        theta = cls.worth / self.top_worth
        theta *= self.settings.over_share_worth if self.accounts.is_over(event.tenant, self.now) else 1.0
        job = self.jobs[event.rid] = Job(event, self.now, max(cost, 1e-3), theta)
        job.last -= 2 * self.settings.resolution_ms
        age = self.patience.age(event.cls, event.deadline - self.now)
        job.arrived -= 0.0 if self._is_prized(job) else age  # for hints are wrong often: worth a try anew
        vain = is_hopeless(cls, job.last - self.now, event.hint_ms, self._quickest)
        if vain or self.hands.closes_all(self.fleet.ring) or (
                self._is_past(job, 1.0) and not self._take_late(job)):
            self._end(job)
            return
        if not job.attempts:
            self._place(job)
        self.checks.put(event.rid, self.now)
        if job.last - self.now <= AHEAD_MS:
            self._look(job)

    def _ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.rid, event.attempt), None)
        job = self.jobs.get(event.rid)
        if attempt is not None:
            attempt.outcome = event.outcome
            self._learn(attempt, event, job)
        if event.over and job is not None:
            self._forget(job)
        elif job is not None and not job.running():
            ran = bool(job.maybe_ran())
            if not may_go(job, self.settings, self.now) or (ran and not self._somewhere(job)):
                self._end(job)
            else:
                self._place(job, anywhere=ran)
                self.checks.put(event.rid, self.now)

    def _timer(self, event: Timer) -> None:
        if event.token == TICK:
            self._tick()
            for rid in self.checks.take_due(self.now):
                if rid in self.jobs:
                    self._look(self.jobs[rid])
            return
        due = self.jobs.get(self.timers.ring(event.token))
        if due is None or due.streaming:
            return
        due.tokens.remove(event.token)
        if self.now >= due.last:  # rule 1: the answer is due
            self._end(due)
        elif due.waits():  # a second place: another worker may be free; the first start calls off the rest
            self._place(due, anywhere=True)

    def _gone(self, event: Gone) -> None:
        if event.rid in self.jobs:
            self._forget(self.jobs[event.rid])

    def _ends(self, event: Ends) -> None:
        for job in self.jobs.values():
            if not job.running():
                job.last = min(job.last, event.by - 2 * self.settings.resolution_ms)
                self.checks.put(job.request.rid, self.now)

    def _first(self, event: First) -> None:
        if event.rid in self.jobs:
            self.jobs[event.rid].streaming = True
