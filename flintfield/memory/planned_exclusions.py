"""Next hops excluded by the maintenance plan: the message and its handler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flintfield.decision.values import value
from flintfield.memory.messages import UnitMessage, worker_of

if TYPE_CHECKING:
    from flintfield.memory.reducer import Turn

RETENTION_MS = 600_000.0  # how long a return is reported; far longer than the warm-up of a worker node


@value
class PlannedExclusions(UnitMessage):
    """The complete set of worker nodes, by name, that the plan excludes from now on."""

    nodes: frozenset[str]


def stand(turn: Turn) -> None:
    """Update `State.barred` and inform the decision module of all excluded next hops."""
    turn.state.barred = turn.state.orders.all()
    turn.ask(turn.state.orders.told(turn.state.newer))


def plan_bars(turn: Turn, message: PlannedExclusions) -> None:
    """Replace the nodes that the plan excludes; readmitted nodes count as cold from now on."""
    orders = turn.state.orders
    before, now = orders.by_plan, frozenset(worker_of(name) for name in message.nodes)
    orders.planned_returns = {w: at for w, at in orders.planned_returns.items()
                              if w not in now and turn.now - at < RETENTION_MS}
    orders.planned_returns.update((worker, turn.now) for worker in before - now)
    orders.by_plan = now
    turn.state.counters["orders.planned"] += len(now - before)
    turn.state.counters["orders.plan_back"] += len(before - now)
    stand(turn)
    turn.close_barred_connections()
