"""Next hops that operators or the maintenance plan exclude from new jobs. Part of `State`."""

from __future__ import annotations

from flintfield.decision.interface import OperatorOverrides, WorkerId


class Barred:
    """Excluded and readmitted next hops, by who ordered it; `State.barred` has all that are excluded."""

    __slots__ = ("by_hand", "by_plan", "manual_returns", "planned_returns")

    def __init__(self) -> None:
        self.by_hand: frozenset[WorkerId] = frozenset()
        self.by_plan: frozenset[WorkerId] = frozenset()
        self.manual_returns: tuple[tuple[WorkerId, float], ...] = ()
        self.planned_returns: dict[WorkerId, float] = {}

    def all(self) -> frozenset[WorkerId]:
        """All excluded next hops."""
        return self.by_hand | self.by_plan

    def told(self, newer: bool) -> OperatorOverrides:
        """The event for the decision module: excluded next hops, and readmitted ones with their times."""
        back, out = dict(self.planned_returns), self.all()
        for worker, at in self.manual_returns:
            back[worker] = max(at, back.get(worker, 0.0))
        return OperatorOverrides(
            tuple(sorted(out)), tuple((w, at) for w, at in back.items() if w not in out), newer)
