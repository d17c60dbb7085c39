"""What a fleet is made of: the net, processes, and what must not be."""

from __future__ import annotations

from dataclasses import dataclass, field

from flintfield.maintenance.barring import Barring
from flintfield.maintenance.executor import Executor
from flintfield.maintenance.words import Word


@dataclass(slots=True)
class Net:
    """What befalls words."""

    loss: float = 0.0
    doubled: float = 0.0
    late: float = 0.0  # the share of words that come up to `late_ms` later
    late_ms: float = 0.0
    cut: set[tuple[str, str]] = field(default_factory=set)  # ways by machine


@dataclass(slots=True)
class Process:
    """One process: a scheduler or an executor."""

    name: str  # of its machine: `s0` or `x0`
    core: Barring | Executor
    alive: bool = True
    stopped: bool = False
    inbox: list[Word] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Broken:
    """Something that must not be."""

    at: float
    name: str
    what: str
