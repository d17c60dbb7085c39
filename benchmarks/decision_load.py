"""Deployments and jobs for `decision_model`, drawn from a site file as the users' pages describe it.

Read are services (workers, racks, speeds), classes of jobs and their rates; troubles are not. A job's
objective
is `stretch` times its longest chain of work plus the class's aim, as the pages word it; it earns its worth by
then, the smaller worth up to three times as late.
"""

from __future__ import annotations

import itertools
import math
import random
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

LATE_X = 3.0  # times the objective, up to which a job earns its smaller worth
WIDE_PART = 0.25  # of the room: a step that is wider runs in waves
FAIL_AT = (0.2, 0.9)  # of its work, where a run that fails by its own fault ends


@dataclass(frozen=True, slots=True)
class JobClass:
    """A class of requests, as in a site file."""

    name: str
    service: str
    aim_ms: float
    worth: float
    late_worth: float
    priority: int
    attempts: int
    work_ms: tuple[float, float, float]  # mean, spread, most
    error_share: float
    jobs: dict[str, Any]
    things: int
    skew: float
    per_s: float


@dataclass(frozen=True, slots=True)
class WorkerPlan:
    """A worker to be made."""

    name: str
    service: str
    kind: str
    rack: str
    cpu: int
    memory_mb: int
    gpu: int
    speed: float


@dataclass(slots=True)
class TaskPlan:
    """What a task does: its work at the mean speed, and how many of its runs fail, at which part."""

    work_ms: float
    failures: int
    fails_at: float


@dataclass(slots=True)
class JobPlan:
    """A job to be handed in. `steps` are as clients send them, `tasks` by (step, index)."""

    name: str
    job_class: JobClass
    at_ms: float
    steps: list[dict[str, Any]]
    tasks: dict[tuple[int, int], TaskPlan]
    objective_ms: float
    weight: float
    ended_ms: float = math.inf

    @property
    def earned(self) -> float:
        """The part of its worth that it earns by its end."""
        took_ms = self.ended_ms - self.at_ms
        if took_ms <= self.objective_ms:
            return 1.0
        late = self.job_class.late_worth / self.job_class.worth
        return late if took_ms <= LATE_X * self.objective_ms else 0.0


@dataclass(frozen=True, slots=True)
class Burst:
    """`times` as many jobs of a class, between two times."""

    job_class: str
    begin_ms: float
    end_ms: float
    times: float


@dataclass(slots=True)
class Deployment:
    """A site, as far as the model plays it."""

    workers: list[WorkerPlan]
    classes: list[JobClass]
    far_x: float
    hold_max_ms: int
    bursts: list[Burst] = field(default_factory=list)
    hot_share: float = 0.0  # of jobs whose data lies in a rack: so many in the same one


def read_deployment(path: Path, day: str, load: float) -> Deployment:
    """The deployment with the traffic of this day, times `load`."""
    site = tomllib.loads(path.read_text())
    traffic = next(entry["traffic"] for entry in site["day"] if entry["name"] == day)
    rates: dict[str, float] = {}
    for zone in traffic:
        whole = sum(zone["mix"].values())
        for name, part in zone["mix"].items():
            rates[name] = rates.get(name, 0.0) + zone["per_s"] * part / whole
    scale = load * site.get("thin", 1.0)
    classes = [_job_class(entry, rates.get(entry["name"], 0.0) * scale) for entry in site["classes"]]
    timing = site["timing"]
    return Deployment(_workers(site), classes, timing["far_x"], int(timing["hold_max_ms"]))


def _job_class(entry: dict[str, Any], per_s: float) -> JobClass:
    work = entry["work_ms"]
    return JobClass(
        entry["name"],
        entry["service"],
        entry["aim_ms"],
        entry["worth"],
        entry["late_worth"],
        entry["priority"],
        entry["attempts"],
        (work["mean"], work["spread"], work["max"]),
        entry["error_share"],
        entry["jobs"],
        entry.get("things", 1),
        entry.get("skew", 0.0),
        per_s,
    )


def _workers(site: dict[str, Any]) -> list[WorkerPlan]:
    plans = []
    for service in site["services"]:
        node = service["node"]
        count = sum(machine["count"] for machine in site["machines"] if machine.get("app") == service["name"])
        speeds = service["speeds"] or [1.0]
        for at in range(count):
            size = node["sizes"][at % len(node["sizes"])]
            plans.append(
                WorkerPlan(
                    f"{service['name']}-{at}",
                    service["name"],
                    node["kinds"][at % len(node["kinds"])],
                    f"{service['name']}-r{at // node['rack']}",
                    int(node["cpu"] * size),
                    int(node["mem_mb"] * size),
                    int(node["gpu"] * size),
                    speeds[at // 2 % len(speeds)],
                )
            )
    return plans


def around(generator: random.Random, mean: float, spread: float, most: float = math.inf) -> float:
    """A draw with that mean; the spread is that of its logarithm."""
    drawn = mean * math.exp(generator.gauss(-spread * spread / 2.0, spread))
    return min(most, drawn)


def draw_jobs(deployment: Deployment, seconds: float, seed: int) -> list[JobPlan]:
    """The jobs of so many seconds, in the order of time; lasting ones are left out."""
    generator = random.Random(seed)
    racks = {
        service: sorted({worker.rack for worker in deployment.workers if worker.service == service})
        for service in {worker.service for worker in deployment.workers}
    }
    jobs: list[JobPlan] = []
    numbers = itertools.count(1)
    for job_class in deployment.classes:
        if job_class.jobs.get("lasts") or not job_class.per_s:
            continue
        keyed = [generator.choice(racks[job_class.service]) for _ in range(max(1, job_class.things))]
        at_ms = 0.0
        while True:
            rate = job_class.per_s * _burst(deployment, job_class.name, at_ms)
            at_ms += generator.expovariate(rate / 1_000.0)
            if at_ms >= 1_000.0 * seconds:
                break
            jobs.append(_draw_job(deployment, job_class, at_ms, keyed, f"{next(numbers):016x}", generator))
    jobs.sort(key=lambda job: job.at_ms)
    for job_class in deployment.classes:
        _set_weights([job for job in jobs if job.job_class is job_class])
    return jobs


def _burst(deployment: Deployment, name: str, at_ms: float) -> float:
    return math.prod(
        burst.times
        for burst in deployment.bursts
        if burst.job_class == name and burst.begin_ms <= at_ms < burst.end_ms
    )


def _set_weights(jobs: list[JobPlan]) -> None:
    """0.3 + 0.7 x its work against the mean of its class, at most 4."""
    works = [_work(job) for job in jobs]
    mean = sum(works) / len(works) if works else 1.0
    for job, work in zip(jobs, works, strict=True):
        job.weight = min(4.0, 0.3 + 0.7 * work / mean) * job.job_class.worth


def _work(job: JobPlan) -> float:
    return sum(float(job.steps[step]["cpu"]) * task.work_ms for (step, _), task in job.tasks.items())


def _draw_job(
    deployment: Deployment,
    job_class: JobClass,
    at_ms: float,
    racks: list[str],
    name: str,
    generator: random.Random,
) -> JobPlan:
    shape = job_class.jobs
    count = max(1, round(around(generator, **_spread(shape["steps"]))))
    base_ms = around(generator, *job_class.work_ms)
    error = math.exp(generator.gauss(0.0, shape["est_off"]))
    cpu = int(around(generator, **_spread(shape["cpu"])))
    memory_mb = int(around(generator, **_spread(shape["mem_mb"])))
    rack = _skewed(generator, racks, job_class.skew) if generator.random() < shape.get("near", 0.0) else ""
    if rack and generator.random() < deployment.hot_share:
        rack = racks[0]
    gang = generator.random() < shape.get("gang", 0.0)
    speculative = generator.random() < shape.get("twice", 0.0)
    steps: list[dict[str, Any]] = []
    tasks: dict[tuple[int, int], TaskPlan] = {}
    chain_ms = 0.0
    room = sum(worker.cpu for worker in deployment.workers if worker.service == job_class.service)
    for at in range(count):
        width = max(1, round(around(generator, **_spread(shape["width"]))))
        step: dict[str, Any] = {
            "count": width,
            "cpu": cpu,
            "memMb": memory_mb,
            "estimateMs": max(1, int(base_ms * error)),
        }
        if gpus := shape.get("gpu"):
            step["gpu"] = generator.choice(gpus)
        if at:
            step["dependsOn"] = [at - 1]
        if rack:
            step["affinity"] = rack
        if speculative and not gang:
            step["speculative"] = True
        if gang and width > 1:
            step |= {"gang": True, "sameRack": True}
        if shape.get("saves", 0.0) > generator.random():
            step["checkpoints"] = True
        steps.append(step)
        longest_ms = 0.0
        for index in range(width):
            task = _draw_task(job_class, base_ms, gang, generator)
            tasks[at, index] = task
            longest_ms = max(longest_ms, task.work_ms * (1.0 + task.failures * task.fails_at))
        chain_ms += longest_ms * max(1, math.ceil(width * cpu / (WIDE_PART * room)))
    objective_ms = shape["stretch"] * chain_ms + job_class.aim_ms
    return JobPlan(name, job_class, at_ms, steps, tasks, objective_ms, 1.0)


def _spread(entry: dict[str, float]) -> dict[str, float]:
    return {"mean": entry["mean"], "spread": entry["spread"], "most": entry["max"]}


def _draw_task(job_class: JobClass, base_ms: float, gang: bool, generator: random.Random) -> TaskPlan:
    work_ms = around(generator, base_ms, job_class.jobs["uneven"])
    fails = not gang and generator.random() < job_class.error_share
    return TaskPlan(work_ms, int(fails), generator.uniform(*FAIL_AT))


def _skewed(generator: random.Random, racks: list[str], skew: float) -> str:
    weights = [1.0 / (at + 1) ** skew for at in range(len(racks))]
    return generator.choices(racks, weights)[0]
