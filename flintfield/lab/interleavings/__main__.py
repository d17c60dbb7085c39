"""`python -m flintfield.lab.interleavings [NAME ...]`: play worlds, all by default; a JSON object a line.

Starts itself anew under `frontrun`, which has to be there before anything with a lock is imported. Exit code
1: a world did not hold, or a planted fault was not found.
"""

from __future__ import annotations

import json
import os
import sys
import time

PREEMPTIONS = 2
ATTEMPTS, MOST_STEPS = 60, 40_000  # where orders are drawn: how many, and the bytecodes of one
WITHIN_S = 20.0  # for one world; what was explored until then is told
INSIDE = "FLINTFIELD_INTERLEAVINGS"


def play(names: list[str]) -> int:
    """Within frontrun: play these worlds."""
    import frontrun

    from flintfield.lab.interleavings.worlds import FAULTS, WORLDS

    known, failed = WORLDS | FAULTS, False
    for name in names or list(known):
        if name not in known:
            print(f"interleavings: found {name!r}, expected one of {', '.join(known)}", file=sys.stderr)
            return 2
        world, began = known[name], time.perf_counter()
        how: dict[str, object] = {"clock": "virtual", "preemption_bound": PREEMPTIONS}
        if world.drawn:
            how = {"strategy": "random", "seed": 1, "max_attempts": ATTEMPTS, "max_ops": MOST_STEPS}
        result = frontrun.explore(
            setup=world.setup, workers=list(world.workers), invariant=world.holds, detect_io=False,
            total_timeout=WITHIN_S, reproduce_on_failure=3, trace_packages=["flintfield.*"], **how)
        took = time.perf_counter() - began
        wrong = result.property_holds is not (name not in FAULTS)  # None, where it can't tell, is wrong too
        failed = failed or wrong
        print(json.dumps({"world": name, "planted": name in FAULTS, "holds": result.property_holds,
                          "explored": result.num_explored, "all": not world.drawn and took < WITHIN_S,
                          "s": round(took, 2),
                          "told": (result.explanation or "")[:600]}), flush=True)
    return int(failed)


def main() -> None:
    """Start anew under frontrun, or play."""
    if os.environ.get(INSIDE):
        sys.exit(play(sys.argv[1:]))
    os.environ[INSIDE] = "1"
    program = os.path.join(os.path.dirname(sys.executable), "frontrun")
    os.execv(program, [program, sys.executable, "-m", "flintfield.lab.interleavings", *sys.argv[1:]])


if __name__ == "__main__":
    main()
