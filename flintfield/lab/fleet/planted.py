"""The real program with faults of sharing planted: `python -m flintfield.lab.fleet.planted JSON ...`.

JSON is an object from an instance's name, or `all`, to a fault of `flintfield.lab.sharing.histories.FAULTS`,
`hearsay_faults.FAULTS` or `MAINTENANCE`, or to several with `+` between them.
What follows are the program's own arguments. It is for judging the judge of fleet trials.
"""

from __future__ import annotations

import contextlib
import json
import os
import runpy
import sys
from typing import Any, cast
from unittest import mock

from flintfield.escrow.interface import Account
from flintfield.lab.sharing import hearsay_faults, histories
from flintfield.maintenance import choosing
from flintfield.units import maintenance

BAD_FAULT = 2
MAINTENANCE: dict[str, tuple[object, str, object]] = {
    # A scheduler that confirms bars and sends all the same; an executor that takes out what it can't pay for,
    # in two pieces.
    "bars-unheeded": (maintenance, "plan_bars", lambda turn, message: None),
    "unpaid": (Account, "lacking", lambda self, units: {}),
    "unpressed": (choosing.Choosing, "_pressed", lambda self, now: dict.fromkeys(self.account.pools, -1_000)),
}


def main(told: str, arguments: list[str]) -> None:
    """Run one real scheduler with its fault until SIGTERM or SIGINT."""
    faults = json.loads(told)
    named = faults.get(os.environ.get("LB_NAME", ""), faults.get("all", ""))
    known = histories.FAULTS | hearsay_faults.FAULTS | MAINTENANCE
    sys.argv = ["flintfield", *arguments]
    with contextlib.ExitStack() as stack:
        for fault in filter(None, named.split("+")):
            if fault not in known:
                print(f"planted: found {fault!r}, expected one of {', '.join(known)}", file=sys.stderr)
                sys.exit(BAD_FAULT)
            stack.enter_context(mock.patch.object(*cast(Any, known[fault])))
        runpy.run_module("flintfield", run_name="__main__")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:])
