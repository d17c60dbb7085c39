"""Changes to a scenario by key path, as `load.level=0.9` or `trouble.0.part=0.3`.

The value is written as in TOML; what is no TOML value is a text. The whole scenario is checked again, so
that an error names the key as a faulty file would.
"""

from __future__ import annotations

import itertools
import tomllib
from collections.abc import Sequence
from typing import Any

import msgspec

from flintfield.lab.scenario import Scenario, ScenarioError, check

Change = tuple[str, Any]
"""A key path and its new value."""

INSTEAD: dict[str, Change] = {
    "load.level": ("load.per_s", None), "load.per_s": ("load.level", None), "fleet.nodes": ("fleet.node", []),
}
"""Keys that stand for the same thing: when one is changed, the other is taken away."""


def value_of(text: str) -> Any:
    """The value that a text stands for."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def change_of(text: str) -> Change:
    """Read `key.path=value`; a `ScenarioError` if it has another form."""
    key, equals, value = text.partition("=")
    if not equals or not key:
        raise ScenarioError(f"{text}: found no '=', expected KEY.PATH=VALUE")
    return key.strip(), value_of(value.strip())


def axis_of(text: str) -> tuple[str, list[Any]]:
    """Read `key.path=value,value,...`; a `ScenarioError` if it has another form."""
    key, equals, values = text.partition("=")
    if not equals or not key:
        raise ScenarioError(f"{text}: found no '=', expected KEY.PATH=VALUE,VALUE,...")
    inside = value_of(f"[{values}]")
    listed = inside if isinstance(inside, list) else [value_of(v.strip()) for v in values.split(",")]
    return key.strip(), listed


def changed(scenario: Scenario, changes: Sequence[Change]) -> Scenario:
    """The scenario with the changes made; a `ScenarioError` names the key of one that cannot be."""
    if not changes:
        return scenario
    tree = _tree(scenario)
    for path, value in changes:
        _set(tree, path, value)
        if path in INSTEAD:
            _set(tree, *INSTEAD[path])
    try:
        made = msgspec.convert(tree, Scenario)
    except msgspec.ValidationError as error:
        word, _, at = str(error).partition(" - at `$")
        raise ScenarioError(f"{scenario.name}: {at.rstrip('`').lstrip('.') or 'top'}: {word}") from error
    check(made, scenario.name)
    return made


def _tree(value: Any) -> Any:
    """All keys with their values, the defaults too, so that a path can be followed to any of them."""
    if isinstance(value, msgspec.Struct):
        config = value.__struct_config__
        tag = {config.tag_field: config.tag} if config.tag_field else {}
        return tag | {f: _tree(getattr(value, f)) for f in value.__struct_fields__}
    return [_tree(v) for v in value] if isinstance(value, list | tuple) else value


def _set(tree: Any, path: str, value: Any) -> None:
    steps = path.split(".")
    free = steps[:-1][:2] == ["schedulers", "settings"]  # the operators' own names stand there
    at = tree
    for i, step in enumerate(steps):
        if isinstance(at, list):
            if not step.isdigit() or int(step) >= len(at):
                raise ScenarioError(f"{path}: found {step!r}, expected a place from 0 to {len(at) - 1}")
        elif not isinstance(at, dict) or (step not in at and not (free and i >= 2)):
            names = ", ".join(sorted(at)) if isinstance(at, dict) else "nothing below a single value"
            raise ScenarioError(f"{path}: found {step!r}, expected one of: {names}")
        key: Any = int(step) if isinstance(at, list) else step
        if i == len(steps) - 1:
            at[key] = value
        else:
            at = at.setdefault(key, {}) if isinstance(at, dict) else at[key]


def grid(axes: Sequence[tuple[str, list[Any]]]) -> list[tuple[Change, ...]]:
    """All combinations of the axes' values, the last axis moving fastest."""
    names = [name for name, _ in axes]
    return [tuple(zip(names, values, strict=True)) for values in itertools.product(*(v for _, v in axes))]


def seeds_of(text: str) -> list[int]:
    """Read seeds as `7`, `1-30` or `1-5,9`; a `ScenarioError` if it has another form."""
    seeds: list[int] = []
    for part in text.split(","):
        first, dash, last = part.partition("-")
        if not first.isdigit() or (dash and not last.isdigit()) or (dash and int(last) < int(first)):
            raise ScenarioError(f"seeds: found {part!r}, expected a number or FIRST-LAST")
        seeds.extend(range(int(first), int(last or first) + 1))
    return list(dict.fromkeys(seeds))
