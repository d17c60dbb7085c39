"""What the commands of `flintfield lab` share: options, exit codes, and how bad input is told.

Exit codes: 0 all rules kept, 1 a rule broke, 2 bad input, 3 the run is void.
"""

from __future__ import annotations

import functools
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NoReturn, TypeVar

import click
import msgspec

from flintfield.lab import scenario as scenarios
from flintfield.lab.experiments.runs import RunError
from flintfield.lab.judge import LogError
from flintfield.lab.scenario import Scenario, ScenarioError
from flintfield.lab.verdict import Verdict

KEPT, BROKE, BAD_INPUT, VOID = 0, 1, 2, 3
OUT = "lab-out"

Command = TypeVar("Command", bound=Callable[..., Any])

ENGINE = click.option("--engine", type=click.Choice(["virtual", "sockets"]), default="virtual",
                      show_default=True)
SEEDS = click.option("--seeds", default="1-10", show_default=True, help="as 7, 1-30 or 1-5,9")
CHOOSER = click.option("--chooser", default="flintfield", show_default=True, help="who decides")
SET = click.option("--set", "changes", multiple=True, metavar="KEY=VALUE",
                   help="change a key of the scenario")
JSON = click.option("--json", "as_object", is_flag=True, help="print one JSON object")
PROCESSES = click.option("--processes", type=click.IntRange(min=0), default=0, help="0: one for each core")


def reports_bad_input(command: Command) -> Command:
    """Tell bad input in one line, with its exit code."""
    @functools.wraps(command)
    def wrapped(*args: Any, **given: Any) -> Any:
        try:
            return command(*args, **given)
        except (ScenarioError, LogError, RunError) as error:
            print(f"flintfield lab: {error}", file=sys.stderr)
            sys.exit(VOID if isinstance(error, RunError) else BAD_INPUT)

    return wrapped  # type: ignore[return-value]


def print_object(value: Any) -> None:
    """Print a value as one JSON object."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=1))


def end_by(verdicts: Iterable[Verdict]) -> NoReturn:
    """Leave with the code of what was seen."""
    seen = list(verdicts)
    if any(v.violations for v in seen):
        sys.exit(BROKE)
    sys.exit(VOID if any(v.void for v in seen) else KEPT)


def load_scenario(name: str, changes: Sequence[str] = ()) -> Scenario:
    """The scenario of that name or file, with these `KEY=VALUE` changes; raises `ScenarioError`."""
    from flintfield.lab.experiments.settings import change_of, changed

    return changed(scenarios.load(name), [change_of(c) for c in changes])


def runs_at_once(engine: str, processes: int) -> int:
    """Runs at once: one on sockets, where each needs the machine for itself to keep time."""
    return 1 if engine == "sockets" else processes


def check_chooser(*names: str) -> None:
    """Raise `ScenarioError` for a chooser that is not known."""
    from flintfield.lab.choosers import NAMES

    for name in names:
        if name not in ("flintfield", *NAMES):
            raise ScenarioError(f"chooser: found {name!r}, expected flintfield, {', '.join(NAMES)}")
