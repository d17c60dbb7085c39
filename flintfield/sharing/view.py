"""What a page of the operators tells of each limit."""

from __future__ import annotations

from typing import Any

from flintfield.sharing.counts import window_of
from flintfield.sharing.holding import Holding
from flintfield.sharing.state import Sharing


def view(state: Sharing, now: float) -> list[dict[str, Any]]:
    """What a page tells of each limit: rights, our part, what is lent and held, spent and refused."""
    told = []
    for holding in sorted(state.by_name.values(), key=lambda h: h.limit.name):
        limit = holding.limit
        told.append({
            "name": limit.name, "rights": limit.rights, "window_ms": limit.window_ms,
            "kind": "pool" if limit.is_pool else "rate", "part": holding.part, "floor": holding.floor,
            "usable": state.own_part(now, holding), "lent": holding.book.out(now), "held": holding.held(now),
            "occupied": holding.occupied(now), "spent": holding.spent, "refused": holding.refused,
            "fleet": _interval(state, now, holding),
            "wanted": holding.demand.need(now, limit.window_ms, holding.occupied(now)),
        })
    return told


def _interval(state: Sharing, now: float, holding: Holding) -> dict[str, Any]:
    told = state.tallies.total(now, holding.limit, state.places)
    return {"window": window_of(now), "low": told.low, "high": told.high if told.high >= 0 else None,
            "oldest_ms": round(min(told.oldest_ms, 1e9), 1), "unheard": list(told.unheard)}
