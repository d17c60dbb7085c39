"""Sharing: no limit is passed, and every count's interval holds the truth, as was seen from outside.

When a right was spent is not seen, but between which two instants it must have been: a client had asked, and
a worker node had not yet got the job's first byte, nor the client its answer. `limit-passed`: more jobs than
the limit has rights were admitted wholly within one window, whichever instant of their spans it was. For a
pool: more jobs were under way at worker nodes in one instant than it has rights. `count-wrong`: an
instance's page tells an interval which the truth was not in at any instant at which the page can have been
made.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass

from flintfield.lab.fleet.history import History
from flintfield.lab.fleet.judge.finding import Finding
from flintfield.lab.log import Answered, Asked, Done, Sent

PAGE = "/sharing"
WINDOW_MS = 60_000.0  # of counts, by the wall clock
GRAIN_MS = 2.0  # of the onlooker's clock
PAGE_MS = 1_000.0  # how old a page may be, beside its refresh: a slow turn of the program


@dataclass(frozen=True, slots=True)
class Quota:
    """A limit as the plan's sections tell it."""

    name: str
    rights: int
    window_ms: float
    is_pool: bool
    owners: tuple[str, ...]
    classes: tuple[str, ...]

    def covers(self, asked: Asked) -> bool:
        """Whether that job is under it; quotas for the unnamed are not judged."""
        return ("all" in self.owners or asked.owner in self.owners) and (
            not self.classes or asked.cls in self.classes)


@dataclass(slots=True)
class Job:
    """A try that was admitted, or may have been: between which instants, and when a worker node was done."""

    asked: float
    by: float = math.inf  # it was admitted by then; inf: that was not seen
    done: float = math.inf  # a worker node had done it then


def quotas_of(history: History) -> list[Quota]:
    """The limits of the plan."""
    found = []
    for title, keys in history.plan.sections.items():
        first, _, name = title.partition(".")
        if first == "quota":
            names = tuple(p.strip() for p in str(keys.get("owners", name)).split(","))
            classes = tuple(p.strip() for p in str(keys.get("classes", "")).split(",") if p.strip())
            found.append(Quota(name, int(keys["rights"]), float(keys.get("per_s", 1.0)) * 1_000,
                               keys.get("at_once") in (True, "on"), names, classes))
    return found


def jobs_of(history: History, quota: Quota) -> list[Job]:
    """The jobs under a limit that were not refused for it, in order of their asking."""
    jobs: dict[str, Job] = {}
    for record in history.log:
        match record:
            case Asked() if quota.covers(record):
                jobs[record.rid] = Job(record.at)
            case Sent() if record.rid in jobs:
                jobs[record.rid].by = min(jobs[record.rid].by, record.at)
            case Done() if record.rid in jobs:
                jobs[record.rid].done = min(jobs[record.rid].done, record.at)
            case Answered() if record.rid in jobs:
                if record.verdict == "refused" and history.refused_with.get(record.rid) == 429:
                    del jobs[record.rid]
                else:
                    jobs[record.rid].by = min(jobs[record.rid].by, record.at)
            case _:
                pass
    return sorted(jobs.values(), key=lambda j: j.asked)


def check(history: History) -> Iterator[Finding]:
    """Both invariants, for each limit of the plan."""
    if "sharing" not in history.plan.sections:
        return
    for quota in quotas_of(history):
        jobs = jobs_of(history, quota)
        if not jobs:
            yield Finding("limit-passed", history.end, f"no job was under {quota.name}: nothing was shown")
        yield from _passed_pool(quota, jobs) if quota.is_pool else _passed(quota, jobs)
        yield from _counted(history, quota, jobs)


def _passed(quota: Quota, jobs: list[Job]) -> Iterator[Finding]:
    seen = [j for j in jobs if j.by < math.inf]
    asked = [j.asked for j in seen]
    for place, job in enumerate(seen):
        until = job.asked + quota.window_ms - GRAIN_MS
        within = sum(j.by <= until for j in seen[place:bisect_left(asked, until)])
        if within > quota.rights:
            yield Finding("limit-passed", until, f"{within} jobs were admitted under {quota.name} from "
                          f"{job.asked:.0f} to {until:.0f} ms, and its limit is {quota.rights}")
            return


def _passed_pool(quota: Quota, jobs: list[Job]) -> Iterator[Finding]:
    spans = [(j.by, j.done) for j in jobs if j.by < j.done < math.inf]
    under_way = 0
    for at, by in sorted([(since, 1) for since, _ in spans] + [(until, -1) for _, until in spans]):
        under_way += by
        if under_way > quota.rights:
            yield Finding("limit-passed", at, f"{under_way} jobs of {quota.name} were at worker nodes at "
                          f"once, and its limit is {quota.rights}")
            return


def _counted(history: History, quota: Quota, jobs: list[Job]) -> Iterator[Finding]:
    refresh = float(history.plan.sections.get("statuspage", {}).get("refresh_ms", 1_000.0))
    claims = [c for c in history.of_page(PAGE) if c.at <= history.end]
    if PAGE in history.plan.pages and not claims:
        yield Finding("count-wrong", history.end, f"no instance told its page {PAGE}")
    asked = [j.asked for j in jobs]
    for claim in claims:
        for line in claim.told["limits"]:
            if line["name"] != quota.name:
                continue
            fleet = line["fleet"]
            begins = fleet["window"] * WINDOW_MS - history.epoch_ms
            # Jobs that were surely admitted in this window when the page was made, and that may have been.
            sure_by = min(claim.asked - refresh - PAGE_MS, begins + WINDOW_MS)
            sure = sum(begins <= j.asked and j.by <= sure_by for j in jobs)
            lately = bisect_right(asked, min(claim.at, begins + WINDOW_MS))
            maybe = sum(j.by >= begins for j in jobs[:lately])
            high = fleet["high"] if fleet["high"] is not None else math.inf
            if fleet["low"] > maybe or high < sure:
                yield Finding("count-wrong", claim.at, f"{claim.name} tells {fleet['low']} to "
                              f"{fleet['high']} jobs of {quota.name} by all, {sure} to {maybe} were seen")


def usage(history: History) -> list[dict[str, object]]:
    """For reports: how each limit was used, as seen from outside."""
    told: list[dict[str, object]] = []
    for quota in quotas_of(history):
        jobs = [j for j in jobs_of(history, quota) if j.by < math.inf]
        seconds: dict[int, int] = {}
        for job in jobs:
            seconds[int(job.asked // 1_000)] = seconds.get(int(job.asked // 1_000), 0) + 1
        told.append({"name": quota.name, "rights": quota.rights, "admitted": len(jobs),
                     "refused": sum(s == 429 for s in history.refused_with.values()),
                     "by_second": [seconds.get(s, 0) for s in range(int(history.end // 1_000))]})
    return told
