"""A queueing model of placement: the market against first-fit, random and least-loaded.

Workers have cores, memory, GPUs, a rack and a speed; jobs of several kinds come at random, and what finds no
room waits, first by priority. Spells of trouble make some workers slow, failing or stuck. The same seed gives
the same jobs and spells to every policy. Nothing here runs in real time.

    python -m benchmarks.placement_model --workers 6 24 65 --loads 0.3 0.85 --troubles none slow fail stall
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
import statistics
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace

from benchmarks.placement_policies import POLICIES
from flintfield.placement.interface import Demand, Placement, Resources, Result, Worker

TICK_MS = 100
FAR_X = 1.5
SLOW_X = 6.5  # a slow spell's factor
SPELL_MS = 7_000
SPELL_EVERY_MS = 20_000
SPELL_PART = 0.15  # of the workers
FAIL_MS = 20.0  # after which a failing worker's run ends
MOST_ATTEMPTS = 3
STALL_MS = 2_000.0  # after which the dispatcher gives a stuck run up
RACK = 3
GPU_WORKER = Resources(32_000, 65_536, 8)
CPU_WORKER = Resources(64_000, 131_072, 0)


@dataclass(frozen=True, slots=True)
class JobKind:
    """A kind of job: `steps` one after the other, each of about `width` tasks side by side."""

    name: str
    service: str
    priority: int
    rate: float  # share of all jobs
    steps: float
    width: float
    work_ms: float
    cpu: int
    memory_mb: int
    gpus: tuple[int, ...]
    stretch: float
    aim_ms: float
    estimate_error: float
    gang: float = 0.0
    near: float = 0.0


KINDS = (
    JobKind("rerank", "gpu", 2, 0.192, 1.2, 2.0, 12_000, 6_500, 9_600, (1, 2, 4), 4.0, 3_000, 0.2, gang=0.6),
    JobKind("letter", "gpu", 0, 0.322, 1.0, 3.0, 3_000, 2_800, 7_400, (1,), 1.5, 250, 0.2),
    JobKind("invite", "cpu", 1, 1.67, 2.5, 8.0, 2_000, 2_600, 3_700, (0,), 2.2, 1_000, 0.5, near=0.4),
)


@dataclass(slots=True)
class Job:
    """A job under way; `left` are the tasks of the present step that have not ended done."""

    kind: JobKind
    name: str
    born_ms: float
    widths: list[int]
    base_ms: float
    rack: str
    gang: bool
    gpu: int
    error: float
    random: random.Random
    step: int = 0
    left: int = 0
    failed: bool = False
    chain_ms: float = 0.0


@dataclass(slots=True)
class Task:
    """A ready or running task, or all of a gang's."""

    job: Job
    demands: list[Demand]
    work_ms: float
    ready_ms: float
    failed: int = 0


@dataclass(slots=True)
class Running:
    """A run, or a gang's runs: how much of its work is left and how fast that goes."""

    task: Task
    places: list[str]
    started_ms: float
    left_ms: float
    rate: float
    since_ms: float
    ends: str = Result.DONE
    version: int = 0


@dataclass(slots=True)
class Figures:
    """What a policy achieved."""

    task_ms: list[float] = field(default_factory=list)
    job_ratio: list[float] = field(default_factory=list)
    in_time: int = 0
    jobs: int = 0
    choose_us: list[float] = field(default_factory=list)
    failed: int = 0


class Model:
    """One policy on one fleet for a while; the same seed brings the same jobs and spells to each policy."""

    def __init__(self, policy: Placement, workers: int, load: float, trouble: str, seed: int) -> None:
        self.policy = policy
        self.random = random.Random(seed)
        self._spells = random.Random(seed + 1)
        self.trouble = trouble
        self.figures = Figures()
        self.speed: dict[str, float] = {}
        self.sick: set[str] = set()
        self.workers: dict[str, Worker] = {}
        self._build(workers)
        self.rate_per_ms = self._rate(load)
        self.waiting: list[Task] = []
        self.running: dict[int, Running] = {}
        self._events: list[tuple[float, int, str, int]] = []
        self._numbers = itertools.count()
        self.now_ms = 0.0

    def run(self, seconds: float) -> Figures:
        """Play so many seconds; jobs stop coming three quarters in."""
        self._at(0.0, "job")
        self._at(0.0, "tick")
        open_ms = 0.75 * seconds * 1_000.0
        if self.trouble != "none":
            self._at(5_000.0, "spell")
        end_ms = seconds * 1_000.0
        while self._events:
            self.now_ms, _, what, key = heapq.heappop(self._events)
            if self.now_ms > end_ms:
                break
            self._handle(what, key, self.now_ms < open_ms)
        return self.figures

    def _handle(self, what: str, key: int, open_for_jobs: bool) -> None:
        if what == "tick":
            self.policy.tick(int(self.now_ms), self.workers)
            self._at(self.now_ms + TICK_MS, "tick")
            self._dispatch()
        elif what == "job" and open_for_jobs:
            self._arrive()
            self._at(self.now_ms + self.random.expovariate(self.rate_per_ms), "job")
            self._dispatch()
        elif what == "spell":
            self._begin_spell()
            self._at(self.now_ms + SPELL_EVERY_MS, "spell")
            self._at(self.now_ms + SPELL_MS, "well")
        elif what == "well":
            self._set_sick(set())
        elif what == "end":
            self._end(key)

    def _at(self, when_ms: float, what: str, key: int = 0) -> None:
        heapq.heappush(self._events, (when_ms, next(self._numbers), what, key))

    def _build(self, count: int) -> None:
        for at in range(count):
            gpu = at % 2 == 0
            size = (1.0, 1.0, 0.5)[at // 2 % 3] if gpu else 1.0
            whole = GPU_WORKER if gpu else CPU_WORKER
            capacity = Resources(int(whole.cpu * size), int(whole.memory_mb * size), int(whole.gpu * size))
            name, service = f"w{at}", "gpu" if gpu else "cpu"
            rack = f"{service}-{at // 2 // RACK}"
            self.workers[name] = Worker(name, name, service, "zone", frozenset({rack}), rack, capacity)
            self.speed[name] = (0.5, 1.0, 0.8, 1.25, 1.0)[self.random.randrange(5)]

    def _rate(self, load: float) -> float:
        """Jobs a millisecond that ask for such a part of the scarcest resource of either service."""
        rates = []
        for service in ("gpu", "cpu"):
            members = [worker for worker in self.workers.values() if worker.service == service]
            cores = sum(worker.capacity.cpu * self.speed[worker.instance] for worker in members)
            gpus = sum(worker.capacity.gpu * self.speed[worker.instance] for worker in members)
            kinds = [kind for kind in KINDS if kind.service == service]
            work = [kind.rate * kind.steps * kind.width * kind.work_ms for kind in kinds]
            cpu = sum(part * kind.cpu for part, kind in zip(work, kinds, strict=True)) / cores
            gpu = (
                sum(part * statistics.mean(kind.gpus) for part, kind in zip(work, kinds, strict=True)) / gpus
                if gpus
                else 0.0
            )
            rates.append(load / max(cpu, gpu))
        self._parts = {"gpu": rates[0], "cpu": rates[1]}
        return sum(kind.rate * self._parts[kind.service] for kind in KINDS)

    def _arrive(self) -> None:
        own = random.Random(self.random.random())
        kind = own.choices(KINDS, [kind.rate * self._parts[kind.service] for kind in KINDS])[0]
        steps = max(1, round(own.expovariate(1.0 / kind.steps))) if kind.steps > 1 else 1
        most = 6 * int(kind.width)
        widths = [max(1, min(most, round(around(own, kind.width, 0.8)))) for _ in range(steps)]
        racks = sorted({worker.rack for worker in self.workers.values() if worker.service == kind.service})
        near = own.choice(racks) if own.random() < kind.near else ""
        self.figures.jobs += 1
        base_ms, error = around(own, kind.work_ms, 0.5), math.exp(own.gauss(0.0, kind.estimate_error))
        job = Job(
            kind,
            f"j{self.figures.jobs}",
            self.now_ms,
            widths,
            base_ms,
            near,
            own.random() < kind.gang,
            own.choice(kind.gpus),
            error,
            own,
        )
        self._begin_step(job)

    def _begin_step(self, job: Job) -> None:
        kind, width = job.kind, job.widths[job.step]
        resources = Resources(kind.cpu, kind.memory_mb, job.gpu)
        works = [around(job.random, job.base_ms, 0.2) for _ in range(width)]
        demands = [
            Demand(
                f"{job.name}.0.{job.step}.{at}",
                kind.service,
                kind.name,
                kind.priority,
                resources,
                int(works[at] * job.error),
                affinity=job.rack,
                same_rack=job.gang,
                group=(job.name, 0, job.step),
            )
            for at in range(width)
        ]
        job.chain_ms += max(works)
        if job.gang and width > 1:
            job.left = 1
            self.waiting.append(Task(job, demands, max(works), self.now_ms))
        else:
            job.left = width
            self.waiting += [
                Task(job, [demand], work, self.now_ms) for demand, work in zip(demands, works, strict=True)
            ]

    def _dispatch(self) -> None:
        self.waiting.sort(key=lambda task: (task.job.kind.priority, task.ready_ms))
        left = []
        for task in self.waiting:
            places = self._choose(task)
            if places is None:
                left.append(task)
            else:
                self._start(task, places)
        self.waiting = left

    def _choose(self, task: Task) -> list[str] | None:
        began = time.perf_counter()
        if len(task.demands) > 1:
            return self.policy.choose_gang(task.demands, self.workers, int(self.now_ms))
        place = self.policy.choose(task.demands[0], self.workers, int(self.now_ms))
        self.figures.choose_us.append((time.perf_counter() - began) * 1e6)
        return [place] if place is not None else None

    def _start(self, task: Task, places: list[str]) -> None:
        for demand, place in zip(task.demands, places, strict=True):
            worker = self.workers[place]
            worker.used = worker.used.plus(demand.resources)
            if not worker.used.fits(worker.capacity):
                raise AssertionError(f"{place} is over its capacity")
            self.policy.note_start(demand, place, int(self.now_ms))
        number = next(self._numbers)
        run = Running(task, places, self.now_ms, task.work_ms * self._far(task, places), 0.0, self.now_ms)
        self.running[number] = run
        self._set_rate(number, run)

    def _far(self, task: Task, places: Sequence[str]) -> float:
        racks = {self.workers[place].rack for place in places}
        first = task.demands[0]
        far = (first.affinity and racks != {first.affinity}) or (len(places) > 1 and len(racks) > 1)
        return FAR_X if far else 1.0

    def _set_rate(self, number: int, run: Running) -> None:
        """Work goes on at the speed of the slowest place from now on."""
        run.left_ms -= run.rate * (self.now_ms - run.since_ms)
        run.since_ms = self.now_ms
        run.version += 1
        sick = self.sick.intersection(run.places)
        run.rate = min(
            self.speed[place] / (SLOW_X if self.trouble == "slow" and place in sick else 1.0)
            for place in run.places
        )
        ends_in, run.ends = run.left_ms / run.rate, Result.DONE
        if sick and self.trouble == "fail":
            ends_in, run.ends = FAIL_MS, Result.FAILED
        elif sick and self.trouble == "stall":
            ends_in, run.ends = STALL_MS, Result.STALLED
        self._at(self.now_ms + max(0.0, ends_in), "end", number * 1_000 + run.version)

    def _begin_spell(self) -> None:
        names = sorted(self.workers)
        self._set_sick(set(self._spells.sample(names, max(1, round(SPELL_PART * len(names))))))

    def _set_sick(self, sick: set[str]) -> None:
        changed, self.sick = self.sick ^ sick, sick
        for number, run in list(self.running.items()):
            if changed.intersection(run.places):
                self._set_rate(number, run)

    def _end(self, key: int) -> None:
        number, version = divmod(key, 1_000)
        run = self.running.get(number)
        if run is None or run.version != version:
            return
        del self.running[number]
        task = run.task
        at_fault = [place for place in run.places if place in self.sick] or run.places
        for at, (demand, place) in enumerate(zip(task.demands, run.places, strict=True)):
            worker = self.workers[place]
            worker.used = worker.used.minus(demand.resources)
            result = run.ends if run.ends == Result.DONE or place in at_fault else "broken"
            self.policy.note_end(demand, place, result, self.now_ms - run.started_ms, int(self.now_ms))
            if result not in (Result.DONE, "broken"):
                task.demands[at] = replace(demand, avoided_instances=demand.avoided_instances | {place})
        if run.ends == Result.DONE:
            self._done(task)
        else:
            self.figures.failed += 1
            task.failed += run.ends == Result.FAILED
            if task.failed < MOST_ATTEMPTS and not task.job.failed:
                self.waiting.append(task)
            else:
                task.job.failed = True
        self._dispatch()

    def _done(self, task: Task) -> None:
        self.figures.task_ms.append(self.now_ms - task.ready_ms)
        job = task.job
        job.left -= 1
        if job.left or job.failed:
            return
        job.step += 1
        if job.step < len(job.widths):
            self._begin_step(job)
            return
        took_ms, objective_ms = self.now_ms - job.born_ms, job.kind.stretch * job.chain_ms + job.kind.aim_ms
        self.figures.job_ratio.append(took_ms / job.chain_ms)
        self.figures.in_time += took_ms <= objective_ms


def around(generator: random.Random, mean: float, spread: float) -> float:
    """A draw with that mean; the spread is that of its logarithm."""
    return mean * math.exp(generator.gauss(-spread * spread / 2.0, spread))


def percentile(values: Sequence[float], part: float) -> float:
    """The value that such a part of them does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else math.nan


def rows(workers: int, load: float, trouble: str, seeds: int, seconds: float) -> Iterator[str]:
    """A line of figures for each policy."""
    for name, make in POLICIES.items():
        runs = [Model(make(seed), workers, load, trouble, seed).run(seconds) for seed in range(seeds)]
        task_ms = [value for run in runs for value in run.task_ms]
        ratios = [value for run in runs for value in run.job_ratio]
        in_time = sum(run.in_time for run in runs) / max(1, sum(run.jobs for run in runs))
        cost = statistics.median([value for run in runs for value in run.choose_us])
        failed = sum(run.failed for run in runs)
        yield (
            f"{workers:5d} {load:5.2f} {trouble:6s} {name:13s} {statistics.mean(task_ms):8.0f} "
            f"{percentile(task_ms, 0.95):8.0f} {statistics.mean(ratios):7.2f} "
            f"{percentile(ratios, 0.95):7.2f} "
            f"{100 * in_time:7.1f} {failed:6d} {cost:7.1f}"
        )


def main() -> None:
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, nargs="+", default=[6, 24, 65])
    parser.add_argument("--loads", type=float, nargs="+", default=[0.3, 0.6, 0.85])
    parser.add_argument("--troubles", nargs="+", default=["none", "slow", "fail", "stall"])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    print("  n   load trouble policy        task ms      p95  job/chain    p95 in time%  failed choose us")
    for workers, load, trouble in itertools.product(options.workers, options.loads, options.troubles):
        for row in rows(workers, load, trouble, options.seeds, options.seconds):
            print(row, flush=True)


if __name__ == "__main__":
    main()
