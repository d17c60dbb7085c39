"""What a history is made of, drawn from its seed: machines, jobs, changes of the configuration, faults."""

from __future__ import annotations

import dataclasses
import random
from dataclasses import dataclass
from typing import Any

from flintfield.simulation import crowds, disk_losses, themes
from flintfield.simulation.faults import Fault
from flintfield.simulation.plans import Capacity, Kind, Plan
from flintfield.simulation.record import JobAsked
from flintfield.simulation.scripts import MAX_ATTEMPTS, ChangeScript, JobScript
from flintfield.simulation.themes import Place, Theme

HOST = "q.example"
SERVICES = ("svc-a", "svc-b")
QUEUES = (("/a/", "svc-a", 0), ("/b/", "svc-b", 1), ("/c/", "svc-a", 2))  # prefix, service, priority
RACKS = ("r1", "r2")
IDLE_ROUTES = (1_600, 2_400, 3_200)  # of the theme `links`; some 190 bytes each
JOBS_FROM_MS, JOBS_UNTIL_MS = 2_600, 9_000
READ_ROUND_MS = (4_000, 9_000)
LONG_WORK_MS = (150, 900, 4_000, 7_000)
SHORT_WORK_MS = (150, 400, 900, 2_000)
FAILS = (0, 0, 0, 0, 0, 1, 1, -1)  # runs of a task that fail first (-1: all)
FAILS_UNDER_CHANGED_TERMS = (0, 1, 1, 2, 2, 2, 3, -1)
CLIENTS = {Theme.SEEDS: (3, 4), Theme.LINKS: (8, 12)}
"""How many schedulers of these themes don't count for the quorum."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """All that is decided before a history begins."""

    seed: int
    replicas: int
    clients: int  # schedulers that don't count for the quorum
    diskless: bool
    workers: tuple[Kind, ...]
    jobs: tuple[JobScript, ...]
    changes: tuple[ChangeScript, ...]
    faults: tuple[Fault, ...]
    theme: Theme
    idle_routes: int = 0  # that the first configuration has besides those of the queues
    slow_links: bool = False  # of the schedulers that don't count for the quorum
    prompt_answer_ms: float = 0.0  # how long workers' answers to calls that do not wait are under way
    read_rounds_ms: tuple[int, ...] = ()  # when the operator reads at one scheduler after the other

    def with_faults(self, kept: tuple[Fault, ...]) -> Scenario:
        """The same with these faults only."""
        return dataclasses.replace(self, faults=kept)

    @property
    def schedulers(self) -> list[str]:
        """Their names; the replicas come first."""
        return [f"s{number}" for number in range(self.replicas + self.clients)]

    @property
    def slow_schedulers(self) -> list[str]:
        """Those whose links have a narrow bandwidth."""
        return self.schedulers[self.replicas :] if self.slow_links else []

    @property
    def agents(self) -> list[str]:
        """Their names."""
        return [f"a{number}" for number in range(len(self.workers))]


def draw(seed: int, wanted: Theme | None = None) -> Scenario:
    """The scenario of a seed; of this theme, if one is wanted."""
    rng = random.Random(f"scenario {seed}")
    theme = themes.draw_theme(rng)
    if wanted is not None:
        theme = wanted
    replicas = rng.choice((3, 3, 3, 4))
    diskless = rng.random() < 0.07
    workers = tuple(_worker(rng, number) for number in range(rng.randint(3, 4)))
    clients = rng.choice((0, 0, 1))
    if theme in CLIENTS:
        clients = random.Random(f"clients {seed}").choice(CLIENTS[theme])
    if theme is Theme.LOSSES:
        replicas, clients = disk_losses.draw_core(seed)
        diskless = False
    scenario = Scenario(
        seed,
        replicas,
        clients,
        diskless,
        workers,
        tuple(_job(rng, seed, number, theme) for number in range(rng.randint(*_jobs(theme)))),
        tuple(_change(rng, theme) for _ in range(rng.randint(*_changes(theme)))),
        (),
        theme,
    )
    if theme is Theme.CROWDS:
        workers, jobs = crowds.LARGE_WORKERS, crowds.draw_jobs(seed)
        scenario = dataclasses.replace(
            scenario, workers=workers, jobs=jobs, prompt_answer_ms=crowds.PROMPT_ANSWER_MS
        )
    if theme is Theme.LINKS:
        scenario = _with_slow_links(scenario)
    place = Place(scenario.schedulers[:replicas], scenario.schedulers, scenario.agents, diskless)
    return scenario.with_faults(themes.draw_faults(rng, theme, place))


def _with_slow_links(scenario: Scenario) -> Scenario:
    """The same with a configuration that takes seconds over the links of schedulers without a replica."""
    rng = random.Random(f"links {scenario.seed}")
    rounds_ms = (rng.randint(*READ_ROUND_MS),)
    return dataclasses.replace(
        scenario, idle_routes=rng.choice(IDLE_ROUTES), slow_links=True, read_rounds_ms=rounds_ms
    )


def _jobs(theme: Theme) -> tuple[int, int]:
    """The least and the greatest number of jobs."""
    return (25, 35) if theme is Theme.TERMS else (6, 12)


def _changes(theme: Theme) -> tuple[int, int]:
    """The least and the greatest number of changes of the configuration."""
    if theme is Theme.TERMS:
        return (3, 6)
    return (6, 14) if theme in (Theme.REGISTER, Theme.CORE, Theme.LOSSES) else (1, 4)


def _worker(rng: random.Random, number: int) -> Kind:
    service = SERVICES[1] if number == 1 else SERVICES[0]
    cpu = rng.choice((2_000, 4_000))
    labels = (rng.choice(("a", "b")), RACKS[number % 2])
    return Kind(service, labels, Capacity(cpu, 4_096, 1), rng.random() < 0.2)


def _job(rng: random.Random, seed: int, number: int, theme: Theme) -> JobScript:
    job_id = f"{seed & 0xFFFFFFFF:08x}{number:08x}"
    prefix, _, _ = rng.choice(QUEUES)
    steps: list[dict[str, Any]] = []
    plans: list[Plan] = []
    for index in range(rng.choice((1, 1, 2))):
        step, plan = _step(rng, f"{job_id}.?.{index}", prefix, theme)
        if index and not plans[0].lasts and rng.random() < 0.8:
            step["dependsOn"] = [0]
        steps.append(step)
        plans.append(plan)
    body: dict[str, Any] = {"spec": f"spec {job_id}", "steps": steps}
    if rng.random() < 0.15 and not any(plan.lasts for plan in plans):
        body |= {"repeatCount": rng.randint(2, 3), "intervalMs": rng.choice((900, 1_500)), "firstRunMs": 0}
    lasts = any(plan.lasts for plan in plans)
    submit_ms = rng.randint(JOBS_FROM_MS, JOBS_UNTIL_MS)
    cancel_ms = submit_ms + rng.randint(100, 4_000) if lasts or rng.random() < 0.2 else None
    if lasts and theme is Theme.SEEDS:
        cancel_ms = None  # it is to outlive the restarts
    asked = JobAsked(job_id, prefix, prefix, body, MAX_ATTEMPTS)
    return JobScript(asked, tuple(plans), submit_ms, cancel_ms, rng.random() < 0.3)


def _step(rng: random.Random, name: str, prefix: str, theme: Theme) -> tuple[dict[str, Any], Plan]:
    count = rng.choice((1, 2, 3))
    cpu = rng.choice((500, 1_000, 1_500))
    work_ms = rng.choice(LONG_WORK_MS if theme.long_jobs else SHORT_WORK_MS)
    if theme is Theme.TERMS:  # tasks that have failed are to wait for room
        cpu, work_ms = 1_500, rng.choice((400, 900, 2_000))
    step: dict[str, Any] = {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": work_ms}
    fails = rng.choice(FAILS_UNDER_CHANGED_TERMS if theme is Theme.TERMS else FAILS)
    checkpoints = rng.random() < 0.3
    gang = 1
    lasts = False
    draw_kind = rng.random()
    if draw_kind < 0.2 and count > 1 and prefix != "/b/":
        step["gang"], gang = True, count
        cpu = step["cpu"] = min(cpu, 1_000)  # all members fit on any two workers at once
    elif draw_kind < 0.3:
        step["longRunning"], lasts = True, True
        work_ms, checkpoints = 700, False
    elif draw_kind < 0.4 and fails == 0:
        step["speculative"] = True
    elif draw_kind < 0.5:
        step["antiAffinity"] = 2
    elif draw_kind < 0.6 and prefix != "/b/":
        step["affinity"] = rng.choice(RACKS)
    if checkpoints:
        step["checkpoints"] = True
    return step, Plan(work_ms, cpu, 64, 0, fails, checkpoints, gang, lasts, name)


def _change(rng: random.Random, theme: Theme) -> ChangeScript:
    at_ms = rng.randint(3_000, 9_500)
    orders = rng.choice((1, 2, 3)) if theme is Theme.REGISTER else rng.choice((1, 1, 2))
    if theme is Theme.TERMS:
        return ChangeScript(rng.randint(2_700, 5_500), 1, rng.random() < 0.4, False, False, terms=True)
    return ChangeScript(at_ms, orders, rng.random() < 0.4, rng.random() < 0.2, rng.random() < 0.4)
