"""The runs that stand-in workers hold, and the gangs whose members stretch over several of them."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Generic, TypeVar

from flintfield.simulation.plans import Plan
from flintfield.simulation.record import RunSeen

Owner = TypeVar("Owner")  # the worker that holds a run


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
        return self.seen.task.rpartition(".")[0], self.seen.run


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
