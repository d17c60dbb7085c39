"""What a stand-in worker is asked to run, and the figures that bind it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunPlan:
    """What a run does: its work in ms (0: it lasts until stopped), how it ends, the size of its gang."""

    work_ms: int = 1_000
    how: str = "done"
    checkpoints: bool = False
    gang: int = 1
    cpu: int = 1_000
    memory_mb: int = 256
    gpu: int = 0
    align_ms: int = 0  # its work ends at the next multiple of this on the worker's clock


def plan_of_spec(_task: str, spec: str) -> RunPlan:
    """Read a spec such as "work_ms=500 how=failed gang=4 checkpoints=1"; anything else takes the defaults."""
    known = {"work_ms", "gang", "cpu", "memory_mb", "gpu", "align_ms"}
    values: dict[str, int | str | bool] = {}
    for word in spec.split():
        name, _, value = word.partition("=")
        if name in known and value.isdigit():
            values[name] = int(value)
        elif name == "how" and value in ("done", "failed"):
            values[name] = value
        elif name == "checkpoints":
            values[name] = value == "1"
    return RunPlan(**values)  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules that bind a worker, in ms."""

    hold_max_ms: int = 10_000
    stop_ms: int = 200
    gang_ms: int = 3_000
    save_ms: int = 2_000
    restore_ms: int = 250


@dataclass(frozen=True, slots=True)
class Capacity:
    """Thousandths of a core, MB, GPUs."""

    cpu: int = 16_000
    memory_mb: int = 32_768
    gpu: int = 0
