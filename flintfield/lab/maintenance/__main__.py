"""`python -m flintfield.lab.maintenance FIRST COUNT [FAULT]`: drawn histories on all cores."""

from __future__ import annotations

import json
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat

from flintfield.lab.maintenance.histories import Played, planted, play

PIECE = 50


def play_some(first: int, count: int, fault: str | None) -> list[Played]:
    """So many histories one after the other."""
    with planted(fault):
        return [play(seed) for seed in range(first, first + count)]


def main() -> None:
    """Play, and print what was found."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    fault = sys.argv[3] if len(sys.argv) > 3 else None
    began = time.perf_counter()
    firsts = range(first, first + count, PIECE)
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        played = [one for some in pool.map(play_some, firsts, (min(PIECE, first + count - f) for f in firsts),
                                           repeat(fault)) for one in some]
    broken = [p for p in played if p.broken]
    names = {name for p in broken for name in p.broken}
    print(json.dumps({
        "first": first, "count": count, "fault": fault, "s": round(time.perf_counter() - began, 1),
        "broken": {name: sum(name in p.broken for p in broken) for name in sorted(names)},
        "seeds": [[p.seed, *p.broken, p.first] for p in broken[:5]],
        "all_done": round(sum(p.done == p.wanted and not p.left for p in played) / len(played), 4),
        "not_done": [p.seed for p in played if p.done != p.wanted or p.left][:10],
        "full": round(sum(p.most >= 0.99 for p in played) / len(played), 4),
    }))


if __name__ == "__main__":
    main()
