"""The real program with a fault planted: `python -m flintfield.lab.sockets.planted FAULT`.

The faults are those that judge the judge on the virtual engine (`flintfield.lab.faults`); here they sit
between the real shell and the real reducer, and what they do is seen on sockets alone.
"""

from __future__ import annotations

import sys
from typing import Any

from flintfield.lab.faults import FAULTS, maker, reducer
from flintfield.lifecycle import program, start


def command(fault: str) -> tuple[str, ...]:
    """What starts a scheduler with that fault."""
    return (sys.executable, "-m", __name__, fault)


def main(fault: str) -> int:
    """Run one real scheduler with that fault until SIGTERM or SIGINT."""
    if fault not in FAULTS:
        print(f"planted: found {fault!r}, expected one of {', '.join(FAULTS)}", file=sys.stderr)
        return start.BAD_CONFIG
    tampered: dict[str, Any] = {"Dispatcher": maker(fault), "reduce": reducer(fault)}
    for name, stand_in in tampered.items():
        if stand_in:
            setattr(program, name, stand_in)
    return start.main([])


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:2]))
