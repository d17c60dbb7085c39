"""Histories of the theme `crowds`: more runs, ends and stops on a worker than one answer or message holds.

Workers take hundreds of tiny runs, many of which end in the same moment; answers of calls that do not wait
are passed by others. Beside them clients cancel many jobs, times of a job are due at once, and two clients
choose the same ID in two queues.
"""

from __future__ import annotations

import dataclasses
import random
from typing import Any

from flintfield.simulation.plans import Capacity, Kind, Plan
from flintfield.simulation.record import JobAsked
from flintfield.simulation.scripts import MAX_ATTEMPTS, JobScript

PROMPT_ANSWER_MS = 150.0
CROWD = (520, 700)  # tasks; an answer of a worker holds 500 ends
ALIGN_MS = 2_500  # tasks of a crowd end at multiples of this time on the worker's clock
TINY_CPU = 2
SMALL_JOBS = 40
LARGE_WORKERS = (
    Kind("svc-a", ("a", "r1"), Capacity(4_000, 16_384, 1)),
    Kind("svc-b", ("a", "r2"), Capacity(4_000, 16_384, 1)),
)


def draw_jobs(seed: int) -> tuple[JobScript, ...]:
    """The jobs of a history, which fit on two large workers."""
    rng = random.Random(f"crowds {seed}")
    scripts = [
        _crowd(seed, 1, rng, "/a/", 2_600, Plan(900, TINY_CPU, 1, align_ms=ALIGN_MS)),
        _crowd(seed, 2, rng, "/b/", 2_700, Plan(900, TINY_CPU, 1, align_ms=ALIGN_MS)),
        _crowd(seed, 3, rng, "/a/", 5_200, Plan(900, TINY_CPU, 1, align_ms=ALIGN_MS)),
        _crowd(seed, 4, rng, "/b/", 5_200, Plan(40_000, TINY_CPU, 1), rng.randint(8_000, 9_000)),
        _overlapping(seed, 5, rng),
    ]
    scripts += [_small(seed, 100 + number, rng) for number in range(SMALL_JOBS)]
    return tuple(scripts)


def _crowd(
    seed: int,
    number: int,
    rng: random.Random,
    prefix: str,
    submit_ms: int,
    plan: Plan,
    cancel_ms: int | None = None,
) -> JobScript:
    return _script(seed, number, prefix, rng.randint(*CROWD), plan, submit_ms, cancel_ms)


def _overlapping(seed: int, number: int, rng: random.Random) -> JobScript:
    """A job whose times are all due at once."""
    times = {"repeatCount": rng.randint(8, 20), "intervalMs": 1, "firstRunMs": 0}
    return _script(seed, number, "/c/", rng.randint(10, 40), Plan(150, TINY_CPU, 1), 3_000, None, **times)


def _small(seed: int, number: int, rng: random.Random) -> JobScript:
    """A small job; two of three are cancelled a moment later, and some have their ID chosen twice."""
    submit_ms = rng.randint(3_000, 9_000)
    cancel_ms = submit_ms + rng.randint(30, 300) if rng.random() < 0.67 else None
    script = _script(seed, number, "/a/", 2, Plan(600, TINY_CPU, 1), submit_ms, cancel_ms)
    return dataclasses.replace(script, twin_path="/b/" if rng.random() < 0.2 else "")


def _script(
    seed: int,
    number: int,
    prefix: str,
    tasks: int,
    plan: Plan,
    submit_ms: int,
    cancel_ms: int | None,
    **times: Any,
) -> JobScript:
    job_id = f"{seed & 0xFFFFFFFF:08x}{number:08x}"
    step = {"count": tasks, "cpu": plan.cpu, "memMb": plan.memory_mb, "estimateMs": plan.work_ms}
    body = {"spec": f"spec {job_id}", "steps": [step], **times}
    plan = dataclasses.replace(plan, group=f"{job_id}.?.0")
    asked = JobAsked(job_id, prefix, prefix, body, MAX_ATTEMPTS)
    return JobScript(asked, (plan,), submit_ms, cancel_ms, False)
