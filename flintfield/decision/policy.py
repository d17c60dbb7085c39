"""Every decision of a dispatcher; its settings, events and actions are in flintfield/decision/interface.py.

A price per worker rises while the demand for its slots is above RHO of capacity; each job draws its worker
from concave shares that trade speed against price. docs/design.md names the paper's equations.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

from flintfield.decision.interface import (
    Action, AttemptEnded, Cancel, Effect, Event, Fail, First, Gone, Group, ListMode, Note,
    Outcome, Probe, Probed, Refuse, Report, Request, Send, ServerList, SetTimer, Settings, State, Timer,
    Watch, WorkerId,
)
from flintfield.decision.records import Account, Attempt, Held, Job, Mean, Sort, Worker, lot

TICK_MS = 100.0  # a price step; jittered so that dispatchers do not step alike
RHO = 0.8  # load factor: the part of a worker's slots that is sold without its price rising
NU = 1.0  # price step for a second of one whole worker's excess demand, in units of the highest worth
ZETA = 1.0  # mean quality times equal share: larger spreads the shares, smaller favours speed
PROBE_MS = 500.0  # no word for this long is answered by a probe
LOST = 0.2  # how far a lost, failed or timed-out job lowers a worker's quality, and one served raises it
COLD_PART = 0.6  # the part of the cold budget that is used; the rest is for jobs heavier than they look
START_MS = 40.0  # a job not started by then waits in its worker's queue
RATE_MS = 30_000.0  # how long the tenants' rates are remembered that tell our part of all traffic
SHORT_MS = 2000.0  # weight of the prior of an n-th; allowance that may come at once; longest rest
BURST_JOBS = 12  # what a tenant may send at once beyond that, for few jobs are unsteady
MEMORY = 8  # samples that a mean of costs or paces goes back
NEAR = 2  # workers that a dispatcher deals with beyond those its jobs fill
AWAY = 3.0  # how many workers at home stand before one of another zone in our order, where zones are alike
SHUN_MS, LONGEST_SHUN_MS = 20_000.0, 60_000.0  # after an error of a class, trebled with each in a row
SPARE = 0.5  # slots that are to be free beside those of a job that may not be sent again
HASTE = 2.0  # how long a job is thought to take that has little time, in its time at the quickest worker
TICK = 0  # timer token; requests take 1 and up


class Dispatcher:
    """One dispatcher's decisions: `handle(now, event)` returns what to do, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.workers: dict[WorkerId, Worker] = {}
        self.jobs: dict[int, Job] = {}
        self.held = Held()  # jobs that wait here for a free slot
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.timers: dict[int, int] = {}
        self.next_token, self.capacity = TICK, dict[int, float]()
        self.ring: list[Worker] = []  # all workers in an order of our own
        self.near: list[Worker] = []  # the first of them, whom we deal with
        self.sharers = 1.0  # dispatchers that are thought to deal with a worker
        self.in_flight = 0.0  # slots that our jobs hold in the mean
        self.costs = [Mean(MEMORY) for _ in settings.classes]
        self.pace = Mean(MEMORY)
        prior = SHORT_MS / settings.dispatchers
        self.accounts = [Account(t.allowance_per_s, prior) for t in settings.tenants]
        self.top_worth = max(c.worth for c in settings.classes) or 1.0
        self.top_price = min(c.worth for c in settings.classes) / self.top_worth  # against wind-up
        self.asks = settings.limits.probes and settings.reports  # else silence might never end
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            ServerList: self._list, Request: self._request, AttemptEnded: self._ended, Note: self._note,
            Probed: self._probed, Timer: self._timer, Gone: self._gone, First: self._first,
        }
        self.now = self.last_tick = -math.inf
        self.span = SHORT_MS  # the time that the tenants' rates are known over
        self.watching, self.watch_at = False, -math.inf

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event and return the actions it calls for."""
        self.actions, self.now = [], now
        if self.last_tick == -math.inf:
            self.last_tick = now
            self._tick()
        self.handlers[type(event)](event)
        if self.held.sorts and not isinstance(event, Request | Note):
            self._serve_held()
        return self.actions

    def _list(self, event: ServerList) -> None:
        if event.mode is ListMode.FAILED:  # out of reach: ask again, not all dispatchers at once
            self.watching = False
            self.watch_at = self.now + self.settings.rules.ask_within_ms / 4 * self.random.uniform(0.2, 1.0)
            return
        self.watching |= event.mode is not ListMode.CACHED
        if event.mode is not ListMode.DELTA:
            named = {e.worker for e in event.entries}
            for gone in [w for w in self.workers if w not in named]:
                del self.workers[gone]
        for entry in event.entries:
            if entry.state is State.GONE:
                self.workers.pop(entry.worker, None)
                continue
            worker = self.workers.get(entry.worker)
            if worker is None:
                rank = lot(self.settings.me, entry.worker) * (entry.zone == self.settings.zone or AWAY)
                worker = self.workers[entry.worker] = Worker(entry, MEMORY, rank)
            if entry.started_ms > worker.entry.started_ms:  # a new process: what was seen is of the old one
                worker.born, worker.others, worker.health, worker.full_until = entry.started_ms, 0.0, 1.0, 0.0
                worker.errors, worker.shunned = {}, {}
            worker.entry = entry
        self.ring = sorted(self.workers.values(), key=lambda w: w.rank)
        self._size_up()

    def _silent(self, worker: Worker) -> bool:
        """No word though asked: guards against a vanished worker that keeps its price and draws jobs."""
        return self.asks and (worker.down or (worker.missed and self.now - worker.word > PROBE_MS))

    def _room(self, worker: Worker, slots: float) -> bool:
        """Whether a slot is thought free, so that a job sent now would start at once."""
        oldest = next(iter(worker.pending), None)
        waits = oldest is not None and oldest.at < self.now - START_MS
        if waits or self.now < worker.full_until or self._silent(worker):
            return False
        return max(1.0, worker.most * self._warmth(worker)) - worker.others - worker.mine >= slots - 0.5

    def _demand(self, worker: Worker) -> float:
        """Slot demand u: 1 after 'full' or while no free slot was ever seen."""
        if self.now < worker.full_until or worker.most <= 0:
            return 1.0
        return min(1.0, (worker.others + worker.mine) / worker.most)

    def _warmth(self, worker: Worker) -> float:
        """The part of its capacity that a worker surely has by its age."""
        rules = self.settings.rules
        age = (self.now - worker.born) / rules.cold_ms if worker.born > 0 < rules.cold_ms else 1.0
        return 1.0 - (1.0 - rules.cold_from) * (1.0 - min(1.0, max(0.0, age)))

    def _cold_room(self, worker: Worker, cost: float) -> bool:
        """Rule 4: as many share what a cold worker may get as can use their part, in turn by lot."""
        warmth, rules = self._warmth(worker), self.settings.rules
        if warmth >= 1.0:
            return True
        carries = self.capacity.get(worker.entry.kind, 1.0) * warmth
        budget = COLD_PART * rules.fall_multiple * rules.fall_ms * carries
        return worker.sent_since(self.now - rules.fall_ms) + cost <= self._cold_share(worker, budget)

    def _cold_share(self, worker: Worker, budget: float) -> float:
        """Our part of a cold worker's budget for a fall window."""
        n = self.settings.dispatchers
        users = max(1, min(n, int(budget / max(1.0, *(c.value for c in self.costs)))))
        if worker.turn < 0:
            ours = lot(self.settings.me, wid := worker.entry.worker)
            worker.turn = sum(lot(i, wid) < ours for i in range(n))
        return budget / users if worker.turn < users else 0.0

    def _size_up(self) -> None:
        """Near: the start of our own order of the fleet, with enough usable workers for every class.

        Guards against many dispatchers that each know little of every worker, queue there and probe all.
        """
        self.capacity, self.near = {}, []
        enough = NEAR + round(max(self.in_flight, len(self.workers) / self.settings.dispatchers))
        lacking = dict.fromkeys((c.kind for c in self.settings.classes), enough)
        for worker in self.ring:
            if not lacking:
                break
            self.near.append(worker)
            if worker.most > 0:
                kind, carries = worker.entry.kind, worker.most / self._pace(worker)
                self.capacity[kind] = min(carries, self.capacity.get(kind, carries))
            if self._warmth(worker) < 1.0 or worker.entry.state is not State.READY or self._silent(worker):
                continue
            fits = (None, worker.entry.kind)
            lacking = {k: left for k, n in lacking.items() if (left := n - (k in fits)) > 0}
        self.sharers = max(1.0, self.settings.dispatchers * len(self.near) / max(1, len(self.workers)))

    def _heard(self, worker: Worker, report: Report | None) -> None:
        """Take a worker's word; a report tells what the others hold there."""
        if worker.down or (worker.missed and PROBE_MS * 4 < self.now - worker.word < math.inf):
            worker.born = self.now  # back from silence: most likely a new process, which the list tells later
        worker.word, worker.missed, worker.down, worker.struck = self.now, False, False, False
        if report is None or report.free is report.util is None:
            return
        idle = (1.0 - (report.util or 0.0)) * max(worker.most, 1.0)
        free = idle if report.free is None else report.free
        worker.most = max(worker.most, free)
        # Of a queue our part counts: counted whole by all, it closes every worker to all at once.
        taken = worker.most - free + (report.queue or 0.0) / self.sharers
        worker.others += 0.3 * (max(0.0, taken - worker.mine_mean) - worker.others)

    def _probed(self, event: Probed) -> None:
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.probing = False
            if event.outcome in (Outcome.OK, Outcome.FULL):
                self._heard(worker, event.report)
            elif event.outcome is not Outcome.MOOT:
                worker.missed = True

    def _tick(self) -> None:
        """Step prices, probe the quiet workers, keep the list subscription."""
        passed, self.last_tick = self.now - self.last_tick, self.now
        step, kept = NU * min(1.0, passed / 1000.0), math.exp(-passed / RATE_MS)
        self.span = RATE_MS + (self.span - RATE_MS) * kept
        for account in self.accounts:
            account.recent *= kept
        # Jobs that wait at a worker ask for no more workers.
        running = sum(a.slots for a in self.attempts.values() if a.started is not None)
        self.in_flight += 0.1 * (running - self.in_flight)
        self._size_up()
        self.actions.append(SetTimer(TICK_MS * self.random.uniform(0.8, 1.2), TICK))
        for worker in self.near:
            if self.now - worker.word < 3 * PROBE_MS:  # no fresh word: the price is kept
                price = worker.price - step * (RHO - self._demand(worker))
                worker.price = min(self.top_price, max(0.0, price))
            worker.mine_mean += 0.2 * (worker.mine - worker.mine_mean)
            heard = worker.word if self.settings.reports_in_answers else -math.inf
            quiet = self.now - max(heard, worker.probe_at) > PROBE_MS and not worker.probing
            if quiet and self.asks:
                worker.probing, worker.probe_at = True, self.now - self.random.uniform(0, TICK_MS)
                self.actions.append(Probe(worker.entry.worker))
        if self.settings.ask_list and not self.watching and self.now >= self.watch_at:
            self.watch_at = self.now + self.settings.rules.ask_within_ms / 2
            self.actions.append(Watch())

    def _quality(self, worker: Worker) -> float:
        """ζ: the list weight, else the inverse of running time per cost."""
        speed = worker.entry.weight if self.settings.has_weights else 1.0 / max(self._pace(worker), 1e-6)
        return max(speed, 1e-6) * worker.health

    def _pace(self, worker: Worker) -> float:
        """Running time for a unit of cost; the unmeasured take the mean."""
        return (worker.pace if worker.pace.count else self.pace).value or 1.0

    def _shares(self, theta: float, ready: list[Worker]) -> list[float]:
        """Eq. (7) with U = log(1 + x): η = [θ/(φ+λ) − 1/ζ]⁺ and Ση = 1, in units of the equal share."""
        zeta = [self._quality(w) for w in ready]
        mean = sum(zeta) / len(zeta)
        inverse = [mean / (ZETA * z) for z in zeta]
        pairs, eta = list(zip([w.price for w in ready], inverse, strict=True)), [1.0]
        alone = [theta / (1 + i) - p for p, i in pairs]  # the λ at which a worker's share is the equal one
        low, high = max(min(alone), -min(p for p, _ in pairs)), max(alone)
        for _ in range(30):
            lam = (low + high) / 2
            eta = [max(0.0, theta / max(p + lam, 1e-12) - i) for p, i in pairs]
            excess = sum(eta) - len(ready)
            if abs(excess) < 0.01:
                break
            low, high = (lam, high) if excess > 0 else (low, lam)
        total = sum(eta)
        return [e / total for e in eta] if total > 0 else [1 / len(ready)] * len(ready)

    def _request(self, event: Request) -> None:
        if not 0 <= event.cls < len(self.settings.classes):
            self.actions.append(Fail(event.rid))
            return
        mean, cls = self.costs[event.cls], self.settings.classes[event.cls]
        if event.hint_ms:
            mean.add(max(event.hint_ms, 1e-3))
        cost = event.hint_ms or (mean.value if mean.count else cls.aim_ms)
        theta = cls.worth / self.top_worth
        if self._over_share(event.tenant):
            theta *= self.settings.over_share_worth
        job = self.jobs[event.rid] = Job(event, self.now, max(cost, 1e-3), theta)
        job.last -= 2 * self.settings.resolution_ms
        if self._hopeless(job):
            self._end(job)
            return
        self._set_timer(max(0.0, job.last - self.now), job)
        self._place(job, self.near)

    def _hopeless(self, job: Job) -> bool:
        """Whether a job with less than half its class's time left can hardly end before its answer is due.

        Guards against work for nothing: an answer at once lets the client look elsewhere.
        """
        left, quickest = job.last - self.now, min((self._pace(w) for w in self.near), default=1.0)
        short = left < self.settings.classes[job.request.cls].deadline_ms / 2
        return short and left <= HASTE * quickest * (job.request.hint_ms or 0.0)

    def _set_timer(self, wait: float, job: Job) -> None:
        self.next_token = self.next_token % 0xFFFFFFFF + 1
        self.timers[self.next_token] = job.request.rid
        self.actions.append(SetTimer(wait, self.next_token))

    def _over_share(self, tenant: int) -> bool:
        """Whether a request is beyond its tenant's part here: guards against a surge crowding others out."""
        if not 0 <= tenant < len(self.accounts):
            return False
        # Our part of all traffic is the median tenant's use of its allowance here, and an n-th at least.
        use = sorted(a.recent / self.span / max(a.allowance, 1e-9) for a in self.accounts)
        part = max(1.0 / self.settings.dispatchers, use[(len(use) - 1) // 2])
        account = self.accounts[tenant]
        account.recent += 1.0
        return not account.take(self.now, account.allowance * part, SHORT_MS, BURST_JOBS)

    def _serve_held(self) -> None:
        """Held jobs go by worth for slot time, the newest first: guards against all being late in turn."""
        roomy = [w for w in self.near if self._room(w, 1.0)]
        for sort in sorted(self.held.sorts, key=self._density) if roomy else ():
            for job in self.held.newest_first(sort):
                if not self._expired(job) and not self._place(job, roomy):
                    break

    def _density(self, sort: Sort) -> float:
        """What a held job earns for the slot time it takes, negated so that the best comes first."""
        cls, theta, slots, _ = sort
        cost = 1.0 if self.settings.worth_by_work else self.costs[cls].value or 1.0
        return -theta / max(slots, 1.0) / cost

    def _expired(self, job: Job) -> bool:
        """A job that can hardly be in time is worth its late part, not to stop those that can; or it ends."""
        cls = self.settings.classes[job.request.cls]
        out, pace = job.running(), self.pace.value or 1.0
        if out:  # guards against giving up a booking, which can go nowhere else, while it may be in time
            pace = 0.0 if cls.effect is Effect.UNSAFE else self._pace(out[0].worker)
        useful = cls.aim_ms + (cls.stretch - pace) * job.cost
        if job.late or self.now - job.arrived <= max(useful, cls.aim_ms / 2):
            return False
        if cls.late_worth <= 0:
            self._end(job)
            return True
        if not job.attempts:
            self.held.take_out(job)
            job.late, job.theta = True, job.theta * cls.late_worth
            self.held.put(job)
        return False

    def _place(self, job: Job, pool: Iterable[Worker]) -> bool:
        """Draw a worker with room for the job; while there is none, or none it can pay, it is held here."""
        ready = [w for w in pool if w.price <= job.theta
                 and self._room(w, job.request.slots) and self._may_send(job, w)]
        cls = self.settings.classes[job.request.cls]
        unsafe = cls.effect is Effect.UNSAFE
        if unsafe and any(not self._shuns(w, job) and not self._silent(w) for w in self.near):
            ready = [w for w in ready if not self._shuns(w, job)]
        if not ready:
            if not job.running():  # one that waits at a worker is not held as well: thousands may in a jam
                self.held.put(job)
            return False
        self.held.take_out(job)
        if unsafe:
            # Guards against a booking in a queue that it may not leave: its first place is its only one.
            ready = [w for w in ready if self._room(w, job.request.slots + SPARE)] or ready
        worker = self._draw(job, ready)
        attempt = Attempt(worker, self.now, job.request.slots, self.settings.tells_start)
        self.attempts[job.request.rid, len(job.attempts)] = attempt
        job.attempts.append(attempt)
        worker.mine += attempt.slots
        if self.settings.tells_start:
            worker.pending[attempt] = None
            if not unsafe:
                self._set_timer(START_MS, job)
        if self._warmth(worker) < 1.0:
            worker.sent.append((self.now, job.cost))
        self.actions.append(Send(job.request.rid, worker.entry.worker))
        return True

    def _shuns(self, worker: Worker, job: Job) -> bool:
        """Guards against booking after booking at a worker that fails them and serves other classes well."""
        return self.now < worker.shunned.get(job.request.cls, -math.inf)

    def _draw(self, job: Job, ready: list[Worker]) -> Worker:
        """Draw from η; jobs of one key draw alike (weighted rendezvous): guards against fetching it anew."""
        eta = self._shares(job.theta, ready)
        if not job.request.key:
            return self.random.choices(ready, eta)[0]
        chance = [lot(job.request.key, w.entry.worker) for w in ready]
        return max(zip(eta, chance, ready, strict=True), key=lambda t: t[0] / t[1])[2]

    def _may_send(self, job: Job, worker: Worker) -> bool:
        """Rules 2, 3 and 4: may this job go to that worker now?"""
        cls, limits = self.settings.classes[job.request.cls], self.settings.limits
        if (worker.entry.state is not State.READY or cls.kind not in (None, worker.entry.kind)
                or len(job.attempts) >= limits.max_attempts or not self._cold_room(worker, job.cost)):
            return False
        past = job.maybe_ran()
        if not past:
            return True
        if cls.effect is Effect.UNSAFE or (not limits.second_copies and job.running()):
            return False
        if cls.effect is Effect.SAFE:
            return True
        if self.now >= past[0].at + cls.window_ms - self.settings.resolution_ms:
            return False
        if cls.group is Group.ZONE:
            return all(a.worker.entry.zone == worker.entry.zone for a in past)
        return cls.group is Group.ALL or all(a.worker.entry.cell == worker.entry.cell for a in past)

    def _end(self, job: Job) -> None:
        """Give the final answer: refused where a retry is sure to be harmless (rule 2), else failed."""
        cls = self.settings.classes[job.request.cls]
        repeatable = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
        refused = repeatable or not job.maybe_ran()
        self._forget(job)
        rid = job.request.rid
        self.actions.append(Refuse(rid, self._advice(job)) if refused else Fail(rid))

    def _advice(self, job: Job) -> float:
        """When to come back: once the jobs held here and this one have had their turn at our slots."""
        slots = sum(max(1.0, w.most) for w in self.near if not self._silent(w))
        ahead = 1 + sum(len(jobs) for jobs in self.held.sorts.values())
        most = self.settings.limits.max_retry_after_ms
        return min(most, max(TICK_MS, ahead * job.cost * (self.pace.value or 1.0) / slots)) if slots else most

    def _forget(self, job: Job) -> None:
        """Nothing is owed for the job any more: stop what still runs for it."""
        self.jobs.pop(job.request.rid, None)
        self._call_off(job.running(), job)

    def _call_off(self, attempts: list[Attempt], job: Job) -> None:
        self.held.take_out(job)
        if self.settings.limits.cancel:
            self.actions.extend(Cancel(job.request.rid, job.attempts.index(a)) for a in attempts)

    def _timer(self, event: Timer) -> None:
        if event.token == TICK:
            self._tick()
            for job in list(self.jobs.values()):
                if not job.streaming and all(a.started is None for a in job.running()):
                    self._expired(job)
            return
        due = self.jobs.get(self.timers.pop(event.token, -1))
        if due is None or due.streaming:
            return
        if self.now >= due.last:  # rule 1: the answer is due
            self._end(due)
        elif due.waits():  # a second place: another worker may be free; the first start calls off the rest
            self._place(due, self.workers.values())

    def _gone(self, event: Gone) -> None:
        if event.rid in self.jobs:
            self._forget(self.jobs[event.rid])

    def _first(self, event: First) -> None:
        if event.rid in self.jobs:
            self.jobs[event.rid].streaming = True

    def _note(self, event: Note) -> None:
        attempt, job = self.attempts.get((event.rid, event.attempt)), self.jobs.get(event.rid)
        if attempt is None or job is None:
            return
        self._heard(worker := attempt.worker, None)
        if event.started and attempt.started is None:
            attempt.started, waited = self.now, self.now - attempt.at
            worker.pending.pop(attempt, None)
            self._call_off([a for a in job.running() if a.started is None], job)
            # Where it waited, others queue too: we rest from that worker as long, doubled with each in a row.
            if waited <= START_MS:
                worker.rest /= 2
            else:
                worker.rest = min(max(waited, 2 * worker.rest), SHORT_MS)
                rest = worker.rest * (1 - 1 / self.sharers)
                worker.full_until = self.now + rest * self.random.uniform(0.5, 1.0)
        elif event.done > 0:  # early word of a slow or shared machine: time run ÷ share done
            since = attempt.at if attempt.started is None else attempt.started
            worker.pace.add((self.now - since) / event.done / job.cost)

    def _ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.rid, event.attempt), None)
        job = self.jobs.get(event.rid)
        if attempt is not None:
            attempt.outcome = event.outcome
            self._learn(attempt, event, job)
        if event.over and job is not None:
            self._forget(job)
        elif job is not None and not job.running():
            if job.maybe_ran() and not any(self._may_send(job, w) for w in self.workers.values()):
                self._end(job)
            else:
                self._place(job, self.workers.values() if job.maybe_ran() else self.near)

    def _learn(self, attempt: Attempt, event: AttemptEnded, job: Job | None) -> None:
        """What an outcome tells of its worker."""
        worker = attempt.worker
        worker.mine = max(0.0, worker.mine - attempt.slots)
        worker.pending.pop(attempt, None)
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL):
            self._heard(worker, event.report)
        if event.outcome is Outcome.ERROR and job is not None:
            count = worker.errors[job.request.cls] = worker.errors.get(job.request.cls, 0) + 1
            worker.shunned[job.request.cls] = self.now + min(SHUN_MS * 3 ** (count - 1), LONGEST_SHUN_MS)
        if event.outcome is Outcome.OK and job is not None:
            worker.errors.pop(job.request.cls, None)
            ran = event.took_ms if attempt.started is None else self.now - attempt.started
            if job.request.hint_ms is None:
                self.costs[job.request.cls].add(ran)
            worker.pace.add(ran / job.cost)
            self.pace.add(ran / job.cost)
        elif event.outcome in (Outcome.FULL, Outcome.CONNECT_FAILED):
            worker.full_until = self.now + 2 * TICK_MS
            worker.others = max(worker.others, worker.most - worker.mine)
            worker.down = worker.missed = event.outcome is Outcome.CONNECT_FAILED
        elif event.outcome is Outcome.UNSENT:  # one bad connection is no dead worker; two in a row may be
            worker.down, worker.struck = worker.struck, True
        if event.outcome not in (Outcome.FULL, Outcome.CANCELLED, Outcome.MOOT):
            worker.health = max(0.01, worker.health + LOST * ((event.outcome is Outcome.OK) - worker.health))
