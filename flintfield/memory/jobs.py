"""The status of the jobs that this scheduler accepted, for status queries.

Records are small and hold no bodies. Only the reducer writes here; expiry uses the time passed in.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class JobRecord:
    """One job; `instance` and `share` are set only if known, `outcome` once it has ended.

    A job that was unfinished when an earlier run of the program ended is `interrupted`.
    """

    name: str
    kind: str
    state: str = "waiting"
    instance: str | None = None
    share: float | None = None
    outcome: str | None = None
    ended: float = 0.0
    ran: bool = False  # an ended branch may have run it; a job in state `running` may have run in any case


class Jobs:
    """At most `max_entries` jobs: live ones and those ended in the last `keep_ms`; evicts the oldest end."""

    def __init__(self, keep_ms: float, max_entries: int) -> None:
        self.keep_ms, self.most = keep_ms, max_entries
        self._live: dict[str, JobRecord] = {}
        self._ended: OrderedDict[str, JobRecord] = OrderedDict()  # in the order in which they ended
        self.evicted: str | None = None  # the job evicted by the last `take`

    @property
    def count(self) -> int:
        """The number of jobs in the table."""
        return len(self._live) + len(self._ended)

    def take(self, now: float, name: str, kind: str) -> bool:
        """Add a new job; False if all entries are live and the job is not tracked."""
        self._expire(now)
        self.evicted = None
        self._ended.pop(name, None)  # the id now refers to the new job
        if self.count >= self.most:
            if not self._ended:
                return False
            self.evicted, _ = self._ended.popitem(last=False)
        self._live[name] = JobRecord(name, kind)
        return True

    def run(self, name: str, instance: str) -> None:
        """Mark the job as running at a next hop; the progress of an earlier branch is discarded."""
        if job := self._live.get(name):
            job.state, job.instance, job.share = "running", instance, None

    def note(self, name: str, share: float) -> None:
        """Set the share of the job that is done."""
        if job := self._live.get(name):
            job.share = share

    def wait(self, name: str) -> None:
        """Mark the job as waiting: no next hop has it."""
        if job := self._live.get(name):
            job.state, job.instance, job.share = "waiting", None, None

    def end(self, now: float, name: str, outcome: str) -> None:
        """Mark the job as ended: it has its final answer."""
        self._expire(now)
        if job := self._live.pop(name, None):
            job.state, job.outcome, job.ended = "ended", outcome, now
            self._ended[name] = job

    def restore(self, job: JobRecord) -> None:
        """Add a job of an earlier run. Called before any other method, in ascending order of `ended`."""
        self._ended[job.name] = job

    def mark_possibly_run(self, name: str) -> None:
        """Note that an ended branch may have run the job."""
        if job := self._live.get(name):
            job.ran = True

    def find(self, now: float, name: str) -> JobRecord | None:
        """The job; None if it is unknown or ended longer than `keep_ms` ago."""
        if job := self._live.get(name):
            return job
        job = self._ended.get(name)
        return None if job is None or self._is_old(now, job) else job

    def _is_old(self, now: float, job: JobRecord) -> bool:
        return now - job.ended >= self.keep_ms

    def _expire(self, now: float) -> None:
        while self._ended and self._is_old(now, next(iter(self._ended.values()))):
            self._ended.popitem(last=False)
