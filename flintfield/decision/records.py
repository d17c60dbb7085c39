"""Records of workers, attempts, jobs and timers: plain state, without decision logic."""

from __future__ import annotations

import hashlib
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from flintfield.decision.interface import (
    NEVER_RAN, Entry, Outcome, Report, Request, Rules, State, WorkerId,
)

Sort = tuple[int, float, float, int]
"""The key by which held jobs are grouped: class, worth, size in slots, and the zone or cell to which the job
is bound, or NEVER_SENT or RESENDING."""

NEVER_SENT, RESENDING = -1, -2  # last element of a sort: never sent; sent before, not bound to a zone or cell
HELD_SMOOTHING = 0.2  # smoothing factor per tick of the mean of held slots


def lot(key: int, worker: WorkerId) -> float:
    """A pseudo-random exponential variate that depends on the key and the worker alone."""
    digest = hashlib.blake2b(b"%d %d" % (key, worker), digest_size=8).digest()
    return -math.log((int.from_bytes(digest, "little") + 1) / 2.0**64 * (1 - 1e-12))


def place_of(me: int, dispatchers: int, worker: WorkerId) -> int:
    """How many dispatchers precede `me` in a worker's pseudo-random order of all dispatchers."""
    ours = lot(me, worker)
    return sum(lot(i, worker) < ours for i in range(dispatchers))


class Mean:
    """A running mean: the plain average of the first `memory` samples, then an exponential average."""

    __slots__ = ("count", "memory", "value")

    def __init__(self, memory: int) -> None:
        self.value, self.count, self.memory = 0.0, 0, memory

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        self.value += (sample - self.value) / min(self.count, self.memory)


class Worker:
    """What this dispatcher knows of one worker; a change of a field must be followed by `Fleet.touch`."""

    DERIVED = ("near", "room", "bits", "counted", "avoided")  # computed by the fleet from the other fields
    __slots__ = (
        "back", "barred", "born", "down", "entry", "errors", "full_until", "health", "known_at", "mine",
        "mine_mean", "mine_tick", "missed", "most", "others", "pace", "pending", "price", "probe_at",
        "probing", "rank", "rest", "sent", "shunned", "slot", "struck", "turn", "word", "zeta", *DERIVED,
    )

    def __init__(self, entry: Entry, memory: int, rank: float = 0.0, known_at: float = -math.inf) -> None:
        self.entry, self.born, self.rank = entry, entry.started_ms, rank
        self.barred, self.back = False, 0.0  # taken out by an operator; when it was last returned to service
        self.slot = -1  # index in the fleet's arrays; -1: not listed
        self.turn = -1  # how many dispatchers precede this one here while it is cold; -1: not computed yet
        self.price, self.health = 0.0, 1.0
        self.zeta = 0.0  # quality; 0: only the health is known, and the mean speed is assumed
        self.pace = Mean(memory)  # run time per unit of cost, the inverse of speed
        self.most = 0.0  # most slots ever seen free
        self.others = 0.0  # slots taken by other dispatchers, smoothed over reports
        self.mine = 0.0  # slots that this dispatcher's attempts hold
        self.mine_mean, self.mine_tick = 0.0, 0  # moving average of `mine`, as of that tick
        self.rest = 0.0  # back-off time after a job had to wait there
        self.known_at = known_at  # when it was listed, or last restarted according to the list
        self.full_until = self.word = self.probe_at = -math.inf  # word: time of the last contact
        self.probing = self.missed = False  # a probe is pending; one failed since the last contact
        self.down = False  # it refused a connection since the last contact
        self.struck = False  # a connection broke before a request was sent whole, since the last contact
        self.errors: dict[int, int] = {}  # by class: consecutive jobs that ended in an error
        self.shunned: dict[int, float] = {}  # by class: until when jobs that must not fail avoid it
        self.pending: dict[Attempt, None] = {}  # attempts from here that have not started, oldest first
        self.sent: deque[tuple[float, float]] = deque()  # (time, cost) of jobs sent while cold
        self.near, self.room, self.bits = False, -math.inf, 0
        self.counted: tuple[int, ...] = ()
        self.avoided: tuple[int, ...] = ()  # the classes that avoid it now

    def restart(self, started: float, now: float) -> None:
        """Reset what was observed of the old process."""
        # A worker that an operator returned to service may have restarted at any time before that.
        self.born = max(started, self.back)
        self.others, self.health, self.full_until = 0.0, 1.0, 0.0
        self.errors, self.shunned, self.known_at = {}, {}, now

    def fail(self, cls: int) -> int:
        """Count a job of the class that ended in an error; returns the number of consecutive ones."""
        self.errors[cls] = self.errors.get(cls, 0) + 1
        return self.errors[cls]

    def shun(self, classes: Iterable[int], until: float) -> None:
        """Keep jobs of these classes that must not fail away until `until`, or longer if already set."""
        for cls in classes:
            self.shunned[cls] = max(until, self.shunned.get(cls, until))

    def return_to_service(self, at: float, now: float) -> None:
        """Return the worker to service as of `at`: it is cold from then, earlier observations are reset."""
        self.barred, self.back = False, at
        self.restart(at, now)
        self.rest, self.price, self.word = 0.0, 0.0, -math.inf
        self.down = self.missed = self.struck = False

    @property
    def open(self) -> bool:
        """Whether it may get new jobs: the list says it is ready and no operator has taken it out."""
        return not self.barred and self.entry.state is State.READY

    def take_report(self, report: Report | None, sharers: float, tick: int) -> None:
        """Update the slots that others hold from the worker's load report; `sharers` dispatchers use it."""
        if report is None or report.free is report.util is None:
            return
        idle = (1.0 - (report.util or 0.0)) * max(self.most, 1.0)
        free = idle if report.free is None else report.free
        self.most = max(self.most, free)
        # Only this dispatcher's part of the queue counts: if all dispatchers counted the whole queue, every
        # worker would be closed to all of them at once.
        taken = self.most - free + (report.queue or 0.0) / sharers
        self.others += 0.3 * (max(0.0, taken - self.held_mean(tick)) - self.others)

    def is_cold(self, rules: Rules, now: float) -> bool:
        """Whether it started so recently that it may not have its full capacity yet."""
        return self.born > 0 and now < self.born + rules.cold_ms

    def warmth(self, rules: Rules, now: float, steps: int = 0) -> float:
        """The fraction of its capacity assumed available at its age; with `steps`, rounded down to a step."""
        if not self.is_cold(rules, now):
            return 1.0
        age = max(0.0, (now - self.born) / rules.cold_ms)
        return 1.0 - (1.0 - rules.cold_from) * (1.0 - (math.floor(age * steps) / steps if steps else age))

    def warmer_at(self, rules: Rules, now: float, steps: int) -> float:
        """When the next of `steps` warm-up steps begins."""
        done = math.floor(max(0.0, (now - self.born) / rules.cold_ms) * steps)
        return self.born + (done + 1) / steps * rules.cold_ms

    def hold(self, slots: float, tick: int) -> None:
        """Change the number of slots that this dispatcher's attempts hold by `slots`."""
        self.mine_mean, self.mine_tick = self.held_mean(tick), tick
        self.mine = max(0.0, self.mine + slots)

    def held_mean(self, tick: int) -> float:
        """Exponential moving average of the held slots, brought up to `tick`."""
        return self.mine + (self.mine_mean - self.mine) * (1.0 - HELD_SMOOTHING) ** (tick - self.mine_tick)

    def sent_since(self, at: float) -> float:
        """Total cost of the jobs sent since `at` while cold; older entries are dropped."""
        while self.sent and self.sent[0][0] < at:
            self.sent.popleft()
        return sum(cost for _, cost in self.sent)


@dataclass(frozen=True, slots=True)
class Survey:
    """Totals of the near workers: the lowest capacity by kind in work per ms, the pace of the fastest, and
    the slots of all that are not silent."""

    carries: dict[int, float]
    quickest: float
    slots: float


class Timers:
    """The tokens of jobs' timers; those of a job that has ended are dropped."""

    def __init__(self) -> None:
        self.last = 0
        self.jobs: dict[int, int] = {}

    def set(self, job: Job) -> int:
        """Allocate a token for a timer of the job."""
        self.last = self.last % 0xFFFFFFFE + 1
        self.jobs[self.last] = job.request.rid
        job.tokens.append(self.last)
        return self.last

    def pop(self, token: int) -> int:
        """Take the token of an expired timer; returns its request id, or -1 if the job has ended."""
        return self.jobs.pop(token, -1)

    def drop(self, job: Job) -> None:
        """Drop the tokens of a job that has ended."""
        for token in job.tokens:
            self.jobs.pop(token, None)


class Attempt:
    """One attempt of a job; it counts as possibly run unless its outcome proves that it did not run."""

    __slots__ = ("at", "outcome", "slots", "started", "worker")

    def __init__(self, worker: Worker, at: float, slots: float, tells_start: bool) -> None:
        self.worker, self.at, self.slots = worker, at, slots
        self.started = None if tells_start else at  # without start notes it counts as started at once
        self.outcome: Outcome | None = None


class Job:
    """A request without a final answer yet."""

    __slots__ = ("arrived", "attempts", "cost", "last", "late", "request", "sort", "streaming", "theta",
                 "timed", "tokens")

    def __init__(self, request: Request, now: float, cost: float, theta: float) -> None:
        self.request, self.arrived, self.cost, self.theta = request, now, cost, theta
        self.last = request.deadline  # when its answer is due
        self.attempts: list[Attempt] = []
        self.streaming = self.late = self.timed = False  # timed: its answer timer is set
        self.sort: Sort | None = None  # the key under which it is held; None: not held
        self.tokens: list[int] = []  # tokens of its timers that are set

    def running(self) -> list[Attempt]:
        """The attempts without an outcome yet."""
        return [a for a in self.attempts if a.outcome is None]

    def maybe_ran(self) -> list[Attempt]:
        """The attempts that may have had an effect."""
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]

    def failed_at(self, worker: Worker) -> bool:
        """Whether an attempt at that worker ended in an error.

        A worker that fails jobs immediately always has room, and would use up all attempts of a job.
        """
        return any(a.worker is worker and a.outcome is Outcome.ERROR for a in self.attempts)

    def waits(self) -> bool:
        """Whether the job has running attempts, none of which is known to have started."""
        running = self.running()
        return bool(running) and all(a.started is None for a in running)


class Held:
    """The jobs held at the dispatcher, by sort; within a sort the oldest comes first."""

    def __init__(self) -> None:
        self.sorts: dict[Sort, dict[int, Job]] = {}

    def put(self, job: Job, bound: int = -1) -> None:
        """Hold the job unless it is held already; `bound` is the zone or cell it is bound to, or -1."""
        if job.sort is not None:
            return
        size = 2.0 ** math.frexp(job.request.slots)[1]  # a power of two: keeps the number of sorts small
        last = bound if bound >= 0 else RESENDING if job.attempts else NEVER_SENT
        job.sort = job.request.cls, job.theta, size, last
        self.sorts.setdefault(job.sort, {})[job.request.rid] = job

    def take_out(self, job: Job) -> None:
        """Remove the job, if it is held."""
        if job.sort is None:
            return
        jobs = self.sorts[job.sort]
        jobs.pop(job.request.rid, None)
        if not jobs:
            del self.sorts[job.sort]
        job.sort = None

    def next(self, sort: Sort, oldest: bool = False) -> Job | None:
        """The job of a sort to send first: the newest, or the oldest if `oldest` is set or if the jobs were
        sent before; then the one that was returned first."""
        jobs = self.sorts.get(sort)
        if not jobs:
            return None
        return next(iter(jobs.values())) if oldest or sort[3] == RESENDING else next(reversed(jobs.values()))

    def __len__(self) -> int:
        return sum(map(len, self.sorts.values()))
