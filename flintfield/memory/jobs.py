"""What has become of the jobs that this scheduler took, for those who ask without sending them again.

Small records, no bodies. Only the reducer writes here; what is too old is told by the time passed in.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class JobRecord:
    """One job; `instance` and `share` only where they are known, `outcome` once it has ended.

    One of an earlier run of the program that did not end there is `interrupted`.
    """

    name: str
    kind: str
    state: str = "waiting"
    instance: str | None = None
    share: float | None = None
    outcome: str | None = None
    ended: float = 0.0
    ran: bool = False  # a branch that is over may have run it; while one has it, that is so anyway


class Jobs:
    """At most `max_entries` jobs: the live ones, and those ended in the last `keep_ms`, oldest first out."""

    def __init__(self, keep_ms: float, max_entries: int) -> None:
        self.keep_ms, self.most = keep_ms, max_entries
        self._live: dict[str, JobRecord] = {}
        self._ended: OrderedDict[str, JobRecord] = OrderedDict()  # in the order of their ends
        self.evicted: str | None = None  # whom the job that was taken last has driven out

    @property
    def count(self) -> int:
        """How many jobs are kept."""
        return len(self._live) + len(self._ended)

    def take(self, now: float, name: str, kind: str) -> bool:
        """Note a new job; False if every entry is live and it goes untracked."""
        self._expire(now)
        self.evicted = None
        self._ended.pop(name, None)  # the id of an ended job stands for the new one now
        if self.count >= self.most:
            if not self._ended:
                return False
            self.evicted, _ = self._ended.popitem(last=False)
        self._live[name] = JobRecord(name, kind)
        return True

    def run(self, name: str, instance: str) -> None:
        """A new branch has the job; what an earlier one had done of it counts no more."""
        if job := self._live.get(name):
            job.state, job.instance, job.share = "running", instance, None

    def note(self, name: str, share: float) -> None:
        """The share that is done."""
        if job := self._live.get(name):
            job.share = share

    def wait(self, name: str) -> None:
        """The job is at no next hop."""
        if job := self._live.get(name):
            job.state, job.instance, job.share = "waiting", None, None

    def end(self, now: float, name: str, outcome: str) -> None:
        """The job has its final answer."""
        self._expire(now)
        if job := self._live.pop(name, None):
            job.state, job.outcome, job.ended = "ended", outcome, now
            self._ended[name] = job

    def restore(self, job: JobRecord) -> None:
        """Put in a job of an earlier run, before any other; the caller goes by the order of `ended`."""
        self._ended[job.name] = job

    def doubt(self, name: str) -> None:
        """A branch that is over may have run it."""
        if job := self._live.get(name):
            job.ran = True

    def find(self, now: float, name: str) -> JobRecord | None:
        """The job, unless it is not known here or ended too long ago."""
        if job := self._live.get(name):
            return job
        job = self._ended.get(name)
        return None if job is None or self._is_old(now, job) else job

    def _is_old(self, now: float, job: JobRecord) -> bool:
        return now - job.ended >= self.keep_ms

    def _expire(self, now: float) -> None:
        while self._ended and self._is_old(now, next(iter(self._ended.values()))):
            self._ended.popitem(last=False)
