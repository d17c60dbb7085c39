"""What a stand-in worker is, and what the tasks that it is given do."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules that bind a history, in ms. Some are shorter than a site's, so that more
    happens in a short time."""

    hold_max_ms: int = 5_000
    stop_ms: int = 200
    gang_ms: int = 3_000
    save_ms: int = 600
    restore_ms: int = 100
    drain_ms: int = 2_000
    cancel_ms: int = 3_000
    visible_ms: int = 3_000
    early_ms: int = 250
    contact_ms: int = 3_000
    config_apply_ms: int = 2_000
    rollback_slack_ms: int = 250
    heartbeat_ms: int = 800


@dataclass(frozen=True, slots=True)
class Capacity:
    """Thousandths of a core, MB, GPUs."""

    cpu: int = 4_000
    memory_mb: int = 16_384
    gpu: int = 1


@dataclass(frozen=True, slots=True)
class Kind:
    """What is the same for all incarnations of a worker on one machine."""

    service: str
    labels: tuple[str, ...]
    capacity: Capacity = Capacity()
    guards: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """What the tasks of a step do; `fails` runs of each task fail first (-1: all)."""

    work_ms: int
    cpu: int
    memory_mb: int = 64
    gpu: int = 0
    fails: int = 0
    checkpoints: bool = False
    gang: int = 1
    lasts: bool = False
    group: str = ""  # what shares its checkpoints: the task, or its gang
    align_ms: int = 0  # it ends at a multiple of this time on its worker's clock (0: as soon as it is done)
