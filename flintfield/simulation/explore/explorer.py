"""Breadth-first search through the states of a small world."""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Protocol


class SmallWorld(Protocol):
    """A state of the world; it is never changed, `after` makes the next one."""

    def actions(self) -> Sequence[str]:
        """What may happen next."""

    def after(self, action: str) -> SmallWorld:
        """The state that this leads to."""

    def key(self) -> Hashable:
        """The same for states from which the same may follow."""

    def broken(self) -> str:
        """What must not be, or ""."""


@dataclass(frozen=True, slots=True)
class Explored:
    """What was seen. `complete` tells that nothing more can happen beyond the depth."""

    depth: int
    states: int
    transitions: int
    complete: bool
    seconds: float
    broken: str = ""
    path: tuple[str, ...] = ()

    def __str__(self) -> str:
        told = f"depth {self.depth}: {self.states} states, {self.transitions} transitions"
        told += f" in {self.seconds:.1f} s" + (", all there are" if self.complete else "")
        found = f"broken: {self.broken} by {list(self.path)}" if self.broken else "nothing broken"
        return f"{told}; {found}"


def explore(
    start: SmallWorld, depth: int, tell: Callable[[str], None] = lambda _: None, most_states: int = 1_000_000
) -> Explored:
    """Look at every state that so many actions can lead to; ends at the first one that is broken."""
    began_s = time.monotonic()
    seen: set[Hashable] = {start.key()}
    level: list[tuple[SmallWorld, tuple[str, ...]]] = [(start, ())]
    transitions = 0
    reached = 0
    while level and reached < depth and len(seen) < most_states:
        reached += 1
        later: list[tuple[SmallWorld, tuple[str, ...]]] = []
        for world, path in level:
            for action in world.actions():
                transitions += 1
                child = world.after(action)
                fault = child.broken()
                if fault:
                    return Explored(
                        reached,
                        len(seen),
                        transitions,
                        False,
                        time.monotonic() - began_s,
                        fault,
                        (*path, action),
                    )
                key = child.key()
                if key not in seen:
                    seen.add(key)
                    later.append((child, (*path, action)))
        level = later
        tell(f"depth {reached}: {len(seen)} states, {transitions} transitions")
    return Explored(reached, len(seen), transitions, not level, time.monotonic() - began_s)
