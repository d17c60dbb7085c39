"""The real program with a fault of sharing's core planted: `python -m flintfield.lab.fleet.planted JSON ...`.

JSON is an object from an instance's name, or `all`, to a fault of `flintfield.lab.sharing.histories.FAULTS`.
What follows are the program's own arguments. It is for judging the judge of fleet trials.
"""

from __future__ import annotations

import contextlib
import json
import os
import runpy
import sys

from flintfield.lab.sharing.histories import FAULTS, planted

BAD_FAULT = 2


def main(told: str, arguments: list[str]) -> None:
    """Run one real scheduler with its fault until SIGTERM or SIGINT."""
    faults = json.loads(told)
    fault = faults.get(os.environ.get("LB_NAME", ""), faults.get("all", ""))
    if fault and fault not in FAULTS:
        print(f"planted: found {fault!r}, expected one of {', '.join(FAULTS)}", file=sys.stderr)
        sys.exit(BAD_FAULT)
    sys.argv = ["flintfield", *arguments]
    with planted(fault) if fault else contextlib.nullcontext():
        runpy.run_module("flintfield", run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
