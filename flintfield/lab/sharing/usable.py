"""How much of a limit can be used where the demand is: in calm, in a split, after its heal; and the cost.

`python -m flintfield.lab.sharing.usable` prints one JSON object a row.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any

from flintfield.lab.sharing.world import Net, World
from flintfield.sharing.limits import Limit

OVER = 1.3  # times the limit is asked for, evenly spaced


class Demand:
    """Asks for each limit at one instance, or at all in turn, `OVER` times the limit."""

    def __init__(self, world: World, at: Callable[[], list[int]]) -> None:
        self._world, self._at = world, at
        for limit in world.limits:
            self._next(limit, 0)

    def _next(self, limit: Limit, number: int) -> None:
        world, places = self._world, self._at()
        if places:
            world.attempt(world.instances[places[number % len(places)]], limit.name)
        gap = limit.window_ms / limit.rights / OVER
        world.at(world.now + gap, lambda: self._next(limit, number + 1))


def share_used(world: World, seconds: float, places: set[int] | None = None) -> float:
    """Run so long; the part of all limits together that was used, at these places or anywhere."""
    before = dict(world.granted)
    world.run(world.now + seconds * 1000)
    used = sum(count - before.get(key, 0) for key, count in world.granted.items()
               if places is None or key[1] in places)
    return used / sum(limit.rights * seconds * 1000 / limit.window_ms for limit in world.limits)


def measure(places: int, limits: int = 1, rights: int = 240, seed: int = 1) -> dict[str, Any]:
    """One fleet: calm with all demand at one, its move, even demand, a split in halves and its heal."""
    named = [Limit(f"l{i}", rights, 1_000.0) for i in range(limits)]
    world = World(places, named, seed, net=Net(), is_new=False)
    hot = [0]
    Demand(world, lambda: hot)
    told: dict[str, Any] = {"places": places, "limits": limits, "rights": rights}
    world.run(2_000)
    told["all at one"] = share_used(world, 3)
    before, since = {i.place: i.sent_bytes for i in world.instances}, world.now
    world.run(world.now + 3_000)
    rates = world.bytes_a_second(since, before)
    told["bytes a second, mean"], told["most"] = sum(rates) / places, max(rates)
    hot[:] = [places - 1]
    told["first second after it moved"] = share_used(world, 1)
    told["second second"] = share_used(world, 1)
    half = set(range(places // 2))
    world.cuts |= {(a, b) for a in range(places) for b in range(places) if (a in half) != (b in half)}
    told["split, first 4 s, at the one"] = share_used(world, 4)
    told["split, then"] = share_used(world, 3)
    told["its side's part"] = (places - len(half)) / places
    world.cuts.clear()
    told["3 s after the heal"] = (share_used(world, 3), share_used(world, 1))[1]
    hot[:] = list(range(places))
    world.run(world.now + 2_000)
    told["even"] = share_used(world, 3)
    told["passed"] = sum(len(p) for p in world.passed.values())
    return {k: round(v, 3) if isinstance(v, float) else v for k, v in told.items()}


if __name__ == "__main__":
    rows = [(3, 1, 60), (5, 1, 100), (12, 1, 240), (40, 1, 800), (40, 20, 800)]
    for row in [*rows, (200, 1, 4_000)] if "--large" in sys.argv else rows:
        print(json.dumps(measure(*row)), flush=True)
