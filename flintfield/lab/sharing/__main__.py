"""`python -m flintfield.lab.sharing FIRST COUNT [FAULT]`: histories in all cores, and what they came to."""

from __future__ import annotations

import contextlib
import json
import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

from flintfield.lab.sharing.histories import planted, play

CHUNK = 200


def some(first: int, count: int, fault: str = "") -> Counter[str]:
    """Histories from that seed on, summed up; of the seeds that passed a limit the first is told."""
    told: Counter[str] = Counter()
    with planted(fault) if fault else contextlib.nullcontext():
        for seed in range(first, first + count):
            played = play(seed)
            told.update(histories=1, passed=played.passed > 0, instants=played.passed,
                        miscounted=played.miscounted, lent=played.lent, borrowed=played.returned,
                        spent=played.spent, refused=played.refused)
            if (played.passed or played.miscounted) and not told["seed"]:
                told["seed"] = seed
    return told


def main(first: int, count: int, fault: str = "") -> int:
    """Play them and print the sum; 1 if a limit was passed."""
    began = time.monotonic()
    total: Counter[str] = Counter()
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        starts = range(first, first + count, CHUNK)
        counts = [min(CHUNK, first + count - start) for start in starts]
        for told in pool.map(some, starts, counts, [fault] * len(counts)):
            seed = total["seed"] or told["seed"]
            total.update(told)
            total["seed"] = seed
    print(json.dumps(dict(total) | {"fault": fault, "seconds": round(time.monotonic() - began, 1)}))
    return 1 if total["passed"] or total["miscounted"] else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:4]))
