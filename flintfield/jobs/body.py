"""Parses and validates the body of a job.

A malformed body raises `MalformedJob` with the reason, which is answered with status 400. The limits keep one
job from exhausting the dispatcher's memory; they are far above what clients send.
"""

from __future__ import annotations

import functools
import hashlib

import msgspec

MAX_SPEC_BYTES = 4_000  # set by the protocol
MAX_STEPS = 256
MAX_TASKS = 20_000  # per occurrence, summed over all steps
MAX_GANG = 1_000  # members; the end of each is looked at together with all others
MAX_REPEAT = 1_000_000
MAX_LABEL_BYTES = 256
MAX_AMOUNT = 1 << 40  # of a resource or a time in ms: keeps all sums within 64 bits
MAX_WALL_MS = 1 << 53
FINGERPRINT_BYTES = 8


class MalformedJob(ValueError):
    """The body is not a valid job; the message is the reason."""


class JobTooLarge(ValueError):
    """The job is well-formed, and larger than what one job may be; answered with status 429."""


class StepSpec(msgspec.Struct, frozen=True, rename="camel", gc=False):
    """One step of `count` identical tasks. Units are those of the protocol: millicores, MB, ms."""

    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    constraints: str | tuple[str, ...] = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False

    @property
    def needs(self) -> tuple[str, ...]:
        """The labels that a worker must have."""
        if isinstance(self.constraints, str):
            return (self.constraints,) if self.constraints else ()
        return self.constraints

    @property
    def demand(self) -> tuple[object, ...]:
        """What a task of the step asks of its worker; the same for steps that ask the same."""
        return (self.cpu, self.mem_mb, self.gpu, self.needs, self.affinity)


class JobSpec(msgspec.Struct, frozen=True, rename="camel"):
    """A job as submitted by the client. A `repeat_count` of 0 means that it runs once, immediately."""

    spec: str = ""
    steps: tuple[StepSpec, ...] = ()
    repeat_count: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def timed(self) -> bool:
        """Whether the job runs on a schedule."""
        return self.repeat_count > 0

    @property
    def tasks(self) -> int:
        """Number of tasks per occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def occurrences(self) -> int:
        """Number of times that the job runs."""
        return max(self.repeat_count, 1)


def read_job(data: bytes) -> JobSpec:
    """Parse and validate a job body; raises `MalformedJob`. A job of any size is read."""
    try:
        job = _decoder().decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedJob(str(error)) from error
    _check_job(job)
    return job


def check_size(job: JobSpec) -> None:
    """Raises `JobTooLarge` for a job that is not to be admitted; one of a former release may be larger."""
    if len(job.steps) > MAX_STEPS:
        raise JobTooLarge(f"more than {MAX_STEPS} steps")
    if job.repeat_count > MAX_REPEAT:
        raise JobTooLarge(f"more than {MAX_REPEAT} times")
    if job.tasks > MAX_TASKS:
        raise JobTooLarge(f"more than {MAX_TASKS} tasks")
    if any(step.gang and step.count > MAX_GANG for step in job.steps):
        raise JobTooLarge(f"more than {MAX_GANG} members of a gang")


def fingerprint(job: JobSpec) -> bytes:
    """A hash by which a repeated submission is told from another job, however its JSON is written."""
    return hashlib.blake2b(msgspec.json.encode(job), digest_size=FINGERPRINT_BYTES).digest()


@functools.cache
def _decoder() -> msgspec.json.Decoder[JobSpec]:
    return msgspec.json.Decoder(JobSpec)


def _check_job(job: JobSpec) -> None:
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise MalformedJob(f"`spec` is longer than {MAX_SPEC_BYTES} bytes")
    if not job.steps:
        raise MalformedJob("`steps` is empty")
    _check_number("repeatCount", job.repeat_count, MAX_AMOUNT)
    _check_number("firstRunMs", job.first_run_ms, MAX_WALL_MS)
    _check_number("intervalMs", job.interval_ms, MAX_AMOUNT)
    for index, step in enumerate(job.steps):
        _check_step(index, step)


def _check_step(index: int, step: StepSpec) -> None:
    where = f"step {index}: "
    if step.count < 1:
        raise MalformedJob(f"{where}`count` must be at least 1")
    _check_number(f"{where}cpu", step.cpu, MAX_AMOUNT)
    _check_number(f"{where}memMb", step.mem_mb, MAX_AMOUNT)
    _check_number(f"{where}gpu", step.gpu, MAX_AMOUNT)
    _check_number(f"{where}estimateMs", step.estimate_ms, MAX_AMOUNT)
    _check_number(f"{where}antiAffinity", step.anti_affinity, MAX_AMOUNT)
    for earlier in step.depends_on:
        if not 0 <= earlier < index:
            raise MalformedJob(f"{where}`dependsOn` names {earlier}, which is no earlier step")
    if len(set(step.depends_on)) != len(step.depends_on):
        raise MalformedJob(f"{where}`dependsOn` names a step twice")
    for label in (*step.needs, step.affinity):
        if len(label) > MAX_LABEL_BYTES:
            raise MalformedJob(f"{where}a label is longer than {MAX_LABEL_BYTES}")


def _check_number(name: str, value: int, most: int) -> None:
    if not 0 <= value <= most:
        raise MalformedJob(f"`{name}` must be from 0 to {most}")


def longest_chain_ms(steps: tuple[StepSpec, ...]) -> list[int]:
    """For each step, the estimated length (ms) of the longest dependency chain that starts with it."""
    left = [step.estimate_ms for step in steps]
    for index in range(len(steps) - 1, -1, -1):
        for earlier in steps[index].depends_on:
            left[earlier] = max(left[earlier], steps[earlier].estimate_ms + left[index])
    return left
