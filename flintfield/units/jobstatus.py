"""Job status as a unit: the table that the reducer keeps, and the page that tells of it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from flintfield.base.ini import Section, number, whole
from flintfield.memory.jobs import Jobs
from flintfield.memory.messages import Untracked
from flintfield.units.interface import Feature, Given, Host, Unit
from flintfield.wire.http1.caller import Page
from flintfield.wire.http1.jobs import JOBS, JobPages

WEEK_MS = 7 * 86_400_000.0


@dataclass(frozen=True, slots=True)
class JobStatus:
    """How long an ended job is kept, and how many jobs are known at the most."""

    keep_ms: float = 600_000.0
    max_entries: int = 4_000


SECTION = Section("jobstatus", JobStatus, {"keep_ms": number(0, WEEK_MS), "max_entries": whole(1, 1_000_000)})


class JobStatusUnit(Unit):
    """Keeps the table."""

    def __init__(self, host: Host, given: Given) -> None:
        told = given.one(SECTION) or JobStatus()
        self._host = host
        jobs = host.state.jobs = Jobs(told.keep_ms, told.max_entries)
        self._pages = JobPages(host.config.name, lambda name: jobs.find(host.clock(), name))
        host.lent["job pages"] = self._pages

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        """The word on a job that found no room in the table."""
        return {Untracked: lambda e: self._host.errors.line("job not tracked: the table is full", id=e.name)}

    def pages(self) -> Mapping[bytes, Page]:
        """`/jobs/<Req-Id>`."""
        return {JOBS: self._pages.page}


FEATURE = Feature((SECTION,), JobStatusUnit)
