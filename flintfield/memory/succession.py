"""What the reducer takes in from other processes of this scheduler (`handover/core.py` says what they tell).

A newer process takes up what the older one has learned and what it sent to cold next hops of late. While both
are there, the cold budgets are the newer one's alone, and a job id that is open in one is not started by the
other: the newer gives way, unless the job was let out already.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from flintfield.decision.learned import learned, recall, spent, take_spent
from flintfield.decision.values import value
from flintfield.memory.messages import UnitEffect, UnitMessage

if TYPE_CHECKING:
    from flintfield.memory.reducer import Turn
    from flintfield.memory.state import State


@value
class Inherited(UnitMessage):
    """What the process before us has learned and spent, as `figures_of` made it."""

    figures: Any


@value
class IdsElsewhere(UnitMessage):
    """Job ids that other processes have opened and closed; `older`: they were there before us."""

    opened: tuple[str, ...]
    closed: tuple[str, ...]
    older: bool


@value
class Stands(UnitMessage):
    """Whether others are linked to us, whether one of them is newer, and whether the newest serves."""

    linked: bool
    newer: bool
    newer_ready: bool


@value
class Nothing(UnitEffect):
    """What was inherited could not be read, and why."""

    why: str


def figures_of(state: State, now: float) -> dict[str, Any]:
    """What a newer process is to take up, as plain values."""
    return {"learned": learned(state.dispatcher), "spent": spent(state.dispatcher, now)}


class Succession:
    """The reducer's handlers; `stand` has the decision module told anew who is out and whose the cold are."""

    def __init__(self, stand: Callable[[Turn], None]) -> None:
        self._stand = stand

    def inherited(self, turn: Turn, message: Inherited) -> None:
        """Take up the figures."""
        dispatcher = turn.state.dispatcher
        try:
            recall(dispatcher, message.figures["learned"])
            take_spent(dispatcher, message.figures["spent"])
        except (ValueError, KeyError, TypeError) as error:
            turn.effects.append(Nothing(str(error)))
        else:
            turn.state.counters["handover.inherited"] += 1

    def elsewhere(self, turn: Turn, message: IdsElsewhere) -> None:
        """Jobs of others come and go."""
        state = turn.state
        ids: Counter[str] = state.elsewhere
        ids.update(message.opened)
        ids.subtract(message.closed)
        for name in message.closed:
            if ids[name] <= 0:
                del ids[name]
        for name in message.opened if message.older else ():
            if (rid := state.names.get(name)) is not None:
                turn.give_way(rid)

    def stands(self, turn: Turn, message: Stands) -> None:
        """Others come and go."""
        state = turn.state
        state.linked, state.newer_ready = message.linked, message.newer_ready
        if state.newer is not message.newer:
            state.newer = message.newer
            self._stand(turn)
