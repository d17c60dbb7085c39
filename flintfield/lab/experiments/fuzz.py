"""Fuzz: random scenarios within stated ranges, until a rule breaks, a run fails or the time is up.

Trial `i` of a seed is drawn from that seed's i-th child stream: it is the same whatever was played before,
so that `draw(base, ranges, seed, i)` gives a failing scenario again.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from flintfield.lab.experiments.pool import Players
from flintfield.lab.experiments.runs import Engine, Job
from flintfield.lab.experiments.settings import changed
from flintfield.lab.scenario import AnyTrouble, Scenario, ScenarioError, Trouble
from flintfield.lab.verdict import Verdict


class Choose(msgspec.Struct, forbid_unknown_fields=True):
    """One of these."""

    choose: list[Any]


Range = tuple[int | float, int | float] | Choose
"""Lowest and highest, or a choice."""


class Ranges(msgspec.Struct, forbid_unknown_fields=True):
    """What is drawn: keys of the scenario by path, and troubles by kind with their own keys."""

    vary: dict[str, Range] = {}
    troubles: tuple[int, int] = (1, 3)
    kind: dict[str, dict[str, Range]] = {}


def read_ranges(path: str | Path | None = None) -> Ranges:
    """Read ranges, or the shipped ones; a `ScenarioError` names file and key."""
    shipped = resources.files("flintfield.lab.experiments") / "ranges.toml"
    try:
        text = Path(path).read_bytes() if path else shipped.read_bytes()
        ranges = msgspec.toml.decode(text, type=Ranges)
    except OSError as error:
        raise ScenarioError(f"{path}: cannot be read: {error.strerror}") from error
    except msgspec.ValidationError as error:
        word, _, at = str(error).partition(" - at `$")
        raise ScenarioError(f"{path or 'ranges'}: {at.rstrip('`').lstrip('.') or 'top'}: {word}") from error
    except msgspec.DecodeError as error:
        raise ScenarioError(f"{path}: {' '.join(str(error).split())}") from error
    kinds = {t.__struct_config__.tag: t.__struct_fields__ for t in AnyTrouble.__args__}
    for kind, keys in ranges.kind.items():
        if kind not in kinds:
            raise ScenarioError(f"{path}: kind.{kind}: found {kind!r}, expected one of "
                                f"{', '.join(sorted(kinds))}")
        for key in keys:
            if key not in kinds[kind]:
                raise ScenarioError(f"{path}: kind.{kind}.{key}: found {key!r}, expected one of "
                                    f"{', '.join(kinds[kind])}")
    if ranges.troubles[1] > 0 and not ranges.kind:
        raise ScenarioError(f"{path}: kind: found no kind of trouble, expected at least one")
    return ranges


def draw(base: Scenario, ranges: Ranges, seed: int, trial: int) -> Scenario:
    """The scenario of one trial."""
    rng = np.random.default_rng(np.random.SeedSequence(seed, spawn_key=(trial,)))
    made = changed(base, [(path, _draw(rng, within)) for path, within in ranges.vary.items()])
    low, high = ranges.troubles
    kinds = sorted(ranges.kind)
    troubles = []
    for _ in range(int(rng.integers(low, high + 1))):
        kind = kinds[int(rng.integers(len(kinds)))]
        table = {key: _draw(rng, within) for key, within in ranges.kind[kind].items()}
        table.setdefault("at_s", round(float(rng.uniform(0, 0.7 * made.length_s)), 2))
        troubles.append(msgspec.convert(table | {"kind": kind}, AnyTrouble))
    troubles.sort(key=lambda t: t.at_s)
    return msgspec.structs.replace(made, name=f"fuzz-{seed}-{trial}", trouble=troubles, seed=trial,
                                   about=f"Drawn from {base.name}, seed {seed}, trial {trial}.")


def _draw(rng: np.random.Generator, within: Range) -> Any:
    if isinstance(within, Choose):
        return within.choose[int(rng.integers(len(within.choose)))]
    low, high = within
    if isinstance(low, int) and isinstance(high, int):
        return int(rng.integers(low, high + 1))
    return round(float(rng.uniform(low, high)), 3)


def fuzz(base: Scenario, ranges: Ranges, seed: int, players: Players, *, first: int = 0,
         engine: Engine = "virtual", plant: str = "", go_on: Callable[[int], bool] = lambda trials: True,
         ) -> Iterator[tuple[Job, Verdict]]:
    """Play trial after trial; each is given as it ends, and the caller stops when it has seen enough.

    `go_on` is asked before each trial, with the number handed out so far.
    """
    def jobs() -> Iterator[Job]:
        for trial in itertools.count(first):
            if not go_on(trial - first):
                return
            scenario = draw(base, ranges, seed, trial)
            yield Job(scenario, scenario.seed, engine, plant=plant)

    yield from players.play_all(jobs())


def troubles_of(scenario: Scenario) -> str:
    """The troubles in a few words, for people."""
    return ", ".join(f"{kind_of(t)} at {t.at_s:g} s" for t in scenario.trouble) or "no trouble"


def kind_of(trouble: Trouble) -> str:
    """A trouble's kind as files name it."""
    return str(trouble.__struct_config__.tag)
