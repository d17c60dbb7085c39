"""Maps each event of flintfield/decision/interface.py to actions; state.py lists the layers of the classes.

Searching and counting is done by indices in fleet.py, shares.py, key_affinity.py and others, so that nothing
here scans the fleet or the open jobs. docs/design.md lists the paper's equations.
"""

from __future__ import annotations

import math

from flintfield.decision.admission import is_too_late
from flintfield.decision.ending import TICK_MS
from flintfield.decision.interface import (
    Action, AttemptEnded, OperatorOverrides, ShutdownAnnounced, Event, Fail, StreamStarted, ClientLeft,
    AttemptProgress, Probe, Probed, Request, ServerList, SetTimer, Settings, Timer, Watch,
)
from flintfield.decision.outcomes import OutcomeTracking
from flintfield.decision.records import Job
from flintfield.decision.repeats import may_go
from flintfield.decision.waiting import ANSWER_TIMER_MS

MAX_PROBES_PER_TICK = 200  # limit per tick, reached for example when all workers are new
TICK_TOKEN, WAKE = 0, 0xFFFFFFFF  # timer tokens; those of requests lie between


class Dispatcher(OutcomeTracking):
    """The decisions of one dispatcher: `handle(now, event)` returns the actions in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.handlers |= {
            ServerList: self._list, Request: self._request, AttemptEnded: self._ended,
            AttemptProgress: self._note, Probed: self._probed, Timer: self._timer, ClientLeft: self._gone,
            StreamStarted: self._first, OperatorOverrides: self._by_hand, ShutdownAnnounced: self._ends,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the resulting actions."""
        self.actions, self.now = [], now
        self.fleet.advance(now)
        if self.last_tick == -math.inf:
            self.last_tick = now
            self._tick()
        self.handlers[type(event)](event)
        if self.held.sorts:
            if self.fleet.roomy and not isinstance(event, Request | AttemptProgress):
                self._serve_held()
            if (wakes_at := self.fleet.next_wake()) < (self.wake_at if self.wake_at > now else math.inf):
                self.wake_at = wakes_at  # so that held jobs are sent once a worker's back-off ends
                self.actions.append(SetTimer(wakes_at - now, WAKE))
        return self.actions

    def _tick(self) -> None:
        """Update prices, probe workers without recent contact, and renew the list subscription if due."""
        self.passed, self.last_tick = self.now - self.last_tick, self.now
        self.ticks += 1
        self.accounts.forget(self.passed)
        # Jobs that wait at a worker are not counted, so that they do not widen the near set.
        self.in_flight += 0.1 * (self.started - self.in_flight)
        self._resize_near()
        self.actions.append(SetTimer(TICK_MS * self.random.uniform(0.8, 1.2), TICK_TOKEN))
        self.fleet.step_prices(self._prices)
        for worker in self.fleet.due_for_probe(self._next_probe_at, MAX_PROBES_PER_TICK) if self.asks else ():
            worker.probing, worker.probe_at = True, self.now - self.random.uniform(0, TICK_MS)
            self.actions.append(Probe(worker.entry.worker))
        self.fleet.drop_unused()
        if self.settings.ask_list and self.asking.is_due(self.now):
            self.actions.append(Watch())

    def _by_hand(self, event: OperatorOverrides) -> None:
        for worker in self.hands.apply(event, self.workers, self.now):
            self.fleet.schedule_probe(worker, self.now)
            self._rate(worker)
            self.fleet.touch(worker, rated=True)
        self._resize_near()
        for job in self.hands.unservable_jobs(self.fleet.ring, self.jobs.values()):
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
        job.arrived -= 0.0 if self._is_high_worth(job) else age  # hints are often wrong: treat as new
        too_late = is_too_late(cls, job.last - self.now, event.hint_ms, self._quickest)
        if too_late or self.hands.are_all_out(self.fleet.ring) or (
                self._has_waited(job, 1.0) and not self._accept_late(job)):
            self._end(job)
            return
        if not job.attempts:
            self._place(job)
        self.checks.put(event.rid, self.now)
        if job.last - self.now <= ANSWER_TIMER_MS:
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
            if not may_go(job, self.settings, self.now) or (ran and not self._can_go_anywhere(job)):
                self._end(job)
            else:
                self._place(job, anywhere=ran)
                self.checks.put(event.rid, self.now)

    def _timer(self, event: Timer) -> None:
        if event.token == TICK_TOKEN:
            self._tick()
            for rid in self.checks.pop_all_due(self.now):
                if rid in self.jobs:
                    self._look(self.jobs[rid])
            return
        due = self.jobs.get(self.timers.pop(event.token))
        if due is None or due.streaming:
            return
        due.tokens.remove(event.token)
        if self.now >= due.last:  # rule 1: the answer is due
            self._end(due)
        elif due.waits():  # try a second worker; the first start cancels the other attempts
            self._place(due, anywhere=True)

    def _gone(self, event: ClientLeft) -> None:
        if event.rid in self.jobs:
            self._forget(self.jobs[event.rid])

    def _ends(self, event: ShutdownAnnounced) -> None:
        for job in self.jobs.values():
            if not job.running():
                job.last = min(job.last, event.by - 2 * self.settings.resolution_ms)
                self.checks.put(job.request.rid, self.now)

    def _first(self, event: StreamStarted) -> None:
        if event.rid in self.jobs:
            self.jobs[event.rid].streaming = True
