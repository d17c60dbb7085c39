"""What a dispatcher keeps of workers, tenants and requests: plain state, with no decision in it."""

from __future__ import annotations

import hashlib
import math
from collections import deque

from flintfield.decision.interface import NEVER_RAN, Entry, Outcome, Request, WorkerId

Sort = tuple[int, float, float, int]
"""Held jobs of one class, worth and size in slots wait alike; those that were sent before wait alone."""


def lot(key: int, worker: WorkerId) -> float:
    """An exponential variate that depends on the key and the worker alone."""
    digest = hashlib.blake2b(b"%d %d" % (key, worker), digest_size=8).digest()
    return -math.log((int.from_bytes(digest, "little") + 1) / 2.0**64 * (1 - 1e-12))


class Mean:
    """A running mean that starts as the plain average and then forgets."""

    __slots__ = ("count", "memory", "value")

    def __init__(self, memory: int) -> None:
        self.value, self.count, self.memory = 0.0, 0, memory

    def add(self, sample: float) -> None:
        """Take one more sample."""
        self.count += 1
        self.value += (sample - self.value) / min(self.count, self.memory)


class Worker:
    """What this dispatcher knows of one worker."""

    def __init__(self, entry: Entry, memory: int, rank: float = 0.0) -> None:
        self.entry, self.born, self.rank = entry, entry.started_ms, rank
        self.turn = -1  # how many dispatchers come before us at this worker while it is cold; -1: not counted
        self.price, self.health = 0.0, 1.0
        self.pace = Mean(memory)  # running time for a unit of cost, the inverse of speed
        self.most = 0.0  # most slots ever seen free
        self.others = 0.0  # slots taken by other dispatchers, smoothed over reports
        self.mine, self.mine_mean = 0.0, 0.0  # slots our attempts hold, now and in the recent past
        self.rest = 0.0  # how long we leave it alone after a job waited there
        self.full_until = self.word = self.probe_at = -math.inf
        self.probing = self.missed = False  # a probe is out; one failed since the last word
        self.down = False  # it took no connection since the last word
        self.struck = False  # a connection to it broke before a request was whole, since the last word
        self.errors: dict[int, int] = {}  # by class: jobs in a row that ended in an error
        self.shunned: dict[int, float] = {}  # by class: until when none goes there that must not fail
        self.pending: dict[Attempt, None] = {}  # our attempts that have not started, oldest first
        self.sent: deque[tuple[float, float]] = deque()  # (time, cost) of sends while cold

    def sent_since(self, at: float) -> float:
        """The cost of what was sent while cold since then; older sends are forgotten."""
        while self.sent and self.sent[0][0] < at:
            self.sent.popleft()
        return sum(cost for _, cost in self.sent)


class Account:
    """What a tenant sends here, and the tokens its allowance has left it; times in ms."""

    def __init__(self, allowance_per_s: float, prior_ms: float) -> None:
        self.allowance, self.at = allowance_per_s / 1000.0, -math.inf
        self.recent = self.allowance * prior_ms  # what an average dispatcher would have seen of it
        self.tokens = math.inf  # as many as may come at once

    def take(self, now: float, rate: float, most_ms: float, more: float) -> bool:
        """Gain tokens at that rate, up to so long a gain and some more; then take one if there is one."""
        gained = rate * min(now - self.at, most_ms)
        self.tokens, self.at = min(self.tokens + gained, more + rate * most_ms), now
        had_one = self.tokens >= 1.0
        self.tokens -= had_one
        return had_one


class Attempt:
    """One send: it may have run until an outcome proves that it did not."""

    def __init__(self, worker: Worker, at: float, slots: float, tells_start: bool) -> None:
        self.worker, self.at, self.slots = worker, at, slots
        self.started = None if tells_start else at  # where no start is told it counts as started at once
        self.outcome: Outcome | None = None


class Job:
    """A request that is still owed its answer."""

    def __init__(self, request: Request, now: float, cost: float, theta: float) -> None:
        self.request, self.arrived, self.cost, self.theta = request, now, cost, theta
        self.last = request.deadline  # when its answer is due
        self.attempts: list[Attempt] = []
        self.streaming = self.late = False

    def running(self) -> list[Attempt]:
        """The attempts that are still out."""
        return [a for a in self.attempts if a.outcome is None]

    def maybe_ran(self) -> list[Attempt]:
        """The attempts that no outcome proves to have had no effect."""
        return [a for a in self.attempts if a.outcome not in NEVER_RAN]

    def waits(self) -> bool:
        """Whether attempts are out of which none is known to have started."""
        running = self.running()
        return bool(running) and all(a.started is None for a in running)


class Held:
    """The jobs that wait at the dispatcher, by sort; within a sort the oldest stands first."""

    def __init__(self) -> None:
        self.sorts: dict[Sort, dict[int, Job]] = {}

    def _sort(self, job: Job) -> Sort:
        request = job.request
        size = 2.0 ** math.frexp(request.slots)[1]  # to a power of two: a jam of odd sizes makes few sorts
        return request.cls, job.theta, size, request.rid if job.attempts else -1

    def put(self, job: Job) -> None:
        """Let the job wait; its sort must not change while it does."""
        self.sorts.setdefault(self._sort(job), {})[job.request.rid] = job

    def take_out(self, job: Job) -> None:
        """The job waits no longer, if it did."""
        jobs = self.sorts.get(sort := self._sort(job), {})
        jobs.pop(job.request.rid, None)
        if not jobs:
            self.sorts.pop(sort, None)

    def newest_first(self, sort: Sort) -> list[Job]:
        """The jobs of a sort as they stand now."""
        return list(reversed(self.sorts.get(sort, {}).values()))
