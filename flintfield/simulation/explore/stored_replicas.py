"""Replicas as values: what a replica has stored is all that tells one from another between two messages.

An explorer makes the program's state machine anew for each step from these records, and remembers the steps
that it has made.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache
from typing import Any

from flintfield.coordination.messages import Pair
from flintfield.coordination.model import CoreSet, Member, Position
from flintfield.coordination.replica import Replica
from flintfield.coordination.stored import format_store, ITEM_PREFIX
from flintfield.coordination.transfer import WholeState

Stored = tuple[tuple[bytes, bytes], ...]
REMEMBERED_STEPS = 400_000


def member(index: int) -> Member:
    """The member of a core set that this replica is; its identity is one more than its index."""
    return Member(f"m{index}", f"10.0.0.{index}:7000", "z", index + 1)


def formatted(index: int, founding: bool) -> Stored:
    """The records of a replica that has just started on an empty disk."""
    return changed((), format_store(index + 1, founding))


def replica(stored: Stored) -> Replica:
    """The replica with these records."""
    return Replica(dict(stored), 0, lambda: 0)


def changed(
    stored: Stored, changes: Iterable[Pair], replacement: Mapping[bytes, bytes] | Iterable[Pair] | None = None
) -> Stored:
    """The records after a step; `replacement` stands in place of all items of the ordered store."""
    items: dict[bytes, Any] = dict(stored)
    if replacement is not None:
        items = {key: value for key, value in items.items() if not key.startswith(ITEM_PREFIX)}
        items.update(replacement)
    for key, value in changes:
        if value is None:
            items.pop(key, None)
        else:
            items[key] = value
    return tuple(sorted(items.items()))


@lru_cache(maxsize=REMEMBERED_STEPS)
def step(stored: Stored, message: Any, now_ms: int) -> tuple[Stored, Any]:
    """What a replica with these records stores and answers."""
    done = replica(stored).step(now_ms, message)
    return changed(stored, done.changes, done.replacement), done.reply


@lru_cache(maxsize=REMEMBERED_STEPS)
def serving_version(stored: Stored) -> int:
    """The version of the set that it serves; 0: none."""
    serving = replica(stored).serving
    return serving.version if serving is not None else 0


@lru_cache(maxsize=REMEMBERED_STEPS)
def position(stored: Stored) -> Position:
    """Where it stands in the ordered store."""
    return replica(stored).follower.order.position


def activated(stored: Stored, core: CoreSet, state: WholeState, now_ms: int) -> Stored:
    """The records once it is active in that set with that state."""
    done = replica(stored).activate(now_ms, core, state)
    return changed(stored, done.changes, done.replacement)


def learned(stored: Stored, core: CoreSet) -> Stored:
    """The records once it knows of that set."""
    return changed(stored, replica(stored).learn(core))


def items_of(stored: Stored) -> frozenset[bytes]:
    """The keys of the ordered store."""
    return frozenset(key[len(ITEM_PREFIX) :] for key, _ in stored if key.startswith(ITEM_PREFIX))


def forget_steps() -> None:
    """Drop what was remembered of the replicas' steps: another fault is planted now."""
    for remembered in (step, serving_version, position):
        remembered.cache_clear()
