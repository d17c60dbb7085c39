"""The runs that stand-in workers hold, and the gangs whose members stretch over several of them."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from flintfield.simulation.plans import Capacity, Plan
from flintfield.simulation.record import RunSeen

Owner = TypeVar("Owner")  # the worker that holds a run
WORKED_DIGITS = 8  # of a checkpoint's text: the work that it saves, in ms, as a hexadecimal number


class Phase(enum.Enum):
    """Where a run stands."""

    WAITING = "waiting"  # for the others of its gang
    WORKING = "working"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Held:
    """A run that the worker holds; its times are the worker's clock."""

    seen: RunSeen
    plan: Plan
    begun: float
    saved: str
    phase: Phase = Phase.WORKING
    work_from: float = 0.0  # when its work began, less what its checkpoint saved
    ends_at: float | None = None
    stop_at: float = 0.0

    @property
    def gang(self) -> tuple[str, int]:
        """What the members of one run of a gang have in common."""
        return self.step, self.seen.run

    @property
    def step(self) -> str:
        """The step (of one time) that the task belongs to."""
        return self.seen.task.rpartition(".")[0]

    def work(self, clock_ms: float, restore_ms: float) -> None:
        """Its work begins, from its checkpoint where there is one."""
        self.phase = Phase.WORKING
        saved_ms = int(self.saved[:WORKED_DIGITS], 16) if self.saved else 0
        self.work_from = clock_ms + (restore_ms if self.saved else 0) - saved_ms
        self.ends_at = self.work_from + self.plan.work_ms
        if self.plan.align_ms:
            self.ends_at += -self.ends_at % self.plan.align_ms
        if self.plan.lasts and self.plan.fails == 0:
            self.ends_at = None

    def checkpoint(self, clock_ms: float, period_ms: float = 0.0) -> str:
        """Save what is done of its work, in whole periods if there are any.

        Returns the text of the checkpoint, empty where it is no newer than the last one.
        """
        if not self.plan.checkpoints or self.phase is not Phase.WORKING:
            return ""
        worked_ms = clock_ms - self.work_from
        if period_ms:
            worked_ms = worked_ms // period_ms * period_ms
            if worked_ms <= 0:
                return ""
        text = f"{max(0, int(worked_ms)):08x}{_checksum(self.plan.group):08x}"
        if self.saved[:WORKED_DIGITS] >= text[:WORKED_DIGITS]:
            return ""
        self.saved = text
        return text

    def percent(self, clock_ms: float) -> int:
        """How much of its work is done, below 100."""
        if self.phase is Phase.WAITING or self.plan.work_ms <= 0:
            return 0
        return int(min(99.0, max(0.0, 100 * (clock_ms - self.work_from) / self.plan.work_ms)))


def fits(plans: Iterable[Plan], capacity: Capacity) -> bool:
    """Whether these have room together."""
    cpu = memory_mb = gpu = 0
    for plan in plans:
        cpu += plan.cpu
        memory_mb += plan.memory_mb
        gpu += plan.gpu
    return cpu <= capacity.cpu and memory_mb <= capacity.memory_mb and gpu <= capacity.gpu


def _checksum(text: str) -> int:
    """A number from a text, the same in every process."""
    number = 0
    for character in text.encode():
        number = (number * 131 + character) & 0xFFFFFFFF
    return number


class Gangs(Generic[Owner]):
    """Which members of gangs are present, over all workers."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, int], list[tuple[Owner, Held]]] = {}

    def present(self, key: tuple[str, int]) -> list[tuple[Owner, Held]]:
        """All that are held now."""
        return list(self._members.get(key, ()))

    def add(self, worker: Owner, held: Held) -> None:
        """A member has begun."""
        self._members.setdefault(held.gang, []).append((worker, held))

    def remove(self, held: Held) -> None:
        """A member is over."""
        members = self._members.get(held.gang, [])
        self._members[held.gang] = [each for each in members if each[1] is not held]
