"""Messages from other processes of this scheduler, and their handlers (sent by `handover/core.py`).

A newer process inherits what the older one has learned and what it recently sent to cold next hops. While
both run, only the newer one uses the cold budgets, and a job id that is open in one is not started by the
other: the newer process fails its copy unless the job was already sent.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from flintfield.decision.learned import export_learned, restore_learned, cold_sends, restore_cold_sends
from flintfield.decision.values import value
from flintfield.memory.messages import UnitEffect, UnitMessage

if TYPE_CHECKING:
    from flintfield.memory.reducer import Turn
    from flintfield.memory.state import State


@value
class Inherited(UnitMessage):
    """What the previous process has learned and spent, as returned by `figures_of`."""

    figures: Any


@value
class RemoteJobIds(UnitMessage):
    """Job ids that other processes opened and closed; `older`: those processes started before this one."""

    opened: tuple[str, ...]
    closed: tuple[str, ...]
    older: bool


@value
class LinkStatus(UnitMessage):
    """Whether other processes are linked, whether one is newer, and whether the newest is ready."""

    linked: bool
    newer: bool
    newer_ready: bool


@value
class Nothing(UnitEffect):
    """The inherited figures could not be read; `why` gives the reason."""

    why: str


def figures_of(state: State, now: float) -> dict[str, Any]:
    """The figures that a newer process inherits, as plain values."""
    return {"learned": export_learned(state.dispatcher), "spent": cold_sends(state.dispatcher, now)}


class Succession:
    """The reducer's handlers; `stand` informs the decision module of excluded nodes and cold budgets."""

    def __init__(self, stand: Callable[[Turn], None]) -> None:
        self._stand = stand

    def inherited(self, turn: Turn, message: Inherited) -> None:
        """Load the inherited figures."""
        dispatcher = turn.state.dispatcher
        try:
            restore_learned(dispatcher, message.figures["learned"])
            restore_cold_sends(dispatcher, message.figures["spent"])
        except (ValueError, KeyError, TypeError) as error:
            turn.effects.append(Nothing(str(error)))
        else:
            turn.state.counters["handover.inherited"] += 1

    def elsewhere(self, turn: Turn, message: RemoteJobIds) -> None:
        """Update the job ids that are open in other processes."""
        state = turn.state
        ids: Counter[str] = state.remote_job_ids
        ids.update(message.opened)
        ids.subtract(message.closed)
        for name in message.closed:
            if ids[name] <= 0:
                del ids[name]
        for name in message.opened if message.older else ():
            if (rid := state.open_job_ids.get(name)) is not None:
                turn.give_way(rid)

    def stands(self, turn: Turn, message: LinkStatus) -> None:
        """Update which other processes are linked."""
        state = turn.state
        state.linked, state.newer_ready = message.linked, message.newer_ready
        if state.newer is not message.newer:
            state.newer = message.newer
            self._stand(turn)
