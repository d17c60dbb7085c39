"""The real program with a fault planted: `python -m flintfield.lab.sockets.planted FAULT`.

The faults are those that judge the judge on the virtual engine (`flintfield.lab.faults`). Here a fault stands
in for the reducer or the decisions before `python -m flintfield` imports them, so it sits between the real
shell and the real core, and what it does is seen on sockets alone.
"""

from __future__ import annotations

import runpy
import sys

from flintfield.decision import policy
from flintfield.lab.faults import FAULTS, maker, reducer as tampered
from flintfield.memory import reducer

BAD_FAULT = 2


def command(fault: str) -> tuple[str, ...]:
    """What starts a scheduler with that fault."""
    return (sys.executable, "-m", __name__, fault)


def main(fault: str = "") -> None:
    """Run one real scheduler with that fault until SIGTERM or SIGINT."""
    if fault not in FAULTS:
        print(f"planted: found {fault!r}, expected one of {', '.join(FAULTS)}", file=sys.stderr)
        sys.exit(BAD_FAULT)
    if make := maker(fault):
        vars(policy)["Dispatcher"] = make
    vars(reducer)["reduce"] = tampered(fault)
    sys.argv = ["flintfield"]
    runpy.run_module("flintfield", run_name="__main__")


if __name__ == "__main__":
    main(*sys.argv[1:2])
