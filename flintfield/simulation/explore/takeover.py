"""The takeover of a dispatcher, as a small world: one task, one worker, its agent, a dispatcher and its
successors.

Orders to the worker may get no answer and be carried out at any later time, or never; writes become durable
when they like; the dispatcher may end with any of its open writes durable; messages between it and the
agent may wait; the agent may start again. The worker must never hold two runs of the task, nor begin one
after a run was noted as done.

The state machines hold callbacks and can't be copied, so a state is played anew from its path, and told
apart from others by a fingerprint of all that they hold.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from flintfield.simulation.explore.takeover_budget import Budget
from flintfield.simulation.explore.takeover_play import Play


@dataclass(frozen=True)
class TakeoverWorld:
    """A state, as the path that leads to it."""

    budget: Budget = field(default_factory=Budget)
    path: tuple[str, ...] = ()

    def _play(self) -> Play:
        play = Play(self.budget)
        for action in self.path:
            play.do(action)
        return play

    def actions(self) -> list[str]:
        """What may happen next."""
        return self._play().actions()

    def after(self, action: str) -> TakeoverWorld:
        """The state that this leads to."""
        return Reached(self.budget, (*self.path, action))

    def key(self) -> Hashable:
        """The same for states from which the same may follow."""
        return self._play().key()

    def broken(self) -> str:
        """What must not be."""
        return self._play().broken()


class Reached(TakeoverWorld):
    """A state whose play is done once; what is asked of it is kept."""

    def __init__(self, budget: Budget, path: tuple[str, ...]) -> None:
        super().__init__(budget, path)
        play = self._play()
        object.__setattr__(self, "_actions", play.actions())
        object.__setattr__(self, "_key", play.key())
        object.__setattr__(self, "_broken", play.broken())

    def actions(self) -> list[str]:
        """As it was when the state was reached."""
        actions: list[str] = self.__dict__["_actions"]
        return actions

    def key(self) -> Hashable:
        """As it was when the state was reached."""
        key: Hashable = self.__dict__["_key"]
        return key

    def broken(self) -> str:
        """As it was when the state was reached."""
        broken: str = self.__dict__["_broken"]
        return broken
