"""Scenarios as TOML: files, the shipped library, and what a file extends."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Any

import msgspec

from flintfield.lab.scenario.checks import check
from flintfield.lab.scenario.types import ScenarioError
from flintfield.lab.scenario.whole import Scenario

MOST_EXTENDED = 4
"""How many files deep `extends` goes: guards against files that extend each other."""


def load(path: str | Path) -> Scenario:
    """Read and check a scenario file, or the shipped one of that name."""
    shipped = library()
    where = str(path)
    try:
        text = shipped[where].read_text("utf-8") if where in shipped else Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{where}: cannot be read: {error}") from error
    return parse(text, where)


def parse(text: str, where: str = "scenario") -> Scenario:
    """Read and check a scenario's text; `where` names it in errors."""
    try:
        raw = msgspec.toml.decode(text.encode())
        scenario = msgspec.convert(_extended(raw, where), Scenario)
    except msgspec.ValidationError as error:
        word, _, at = str(error).partition(" - at `$")
        raise ScenarioError(f"{where}: {at.rstrip('`').lstrip('.') or 'top'}: {word}") from error
    except msgspec.DecodeError as error:
        raise ScenarioError(f"{where}: {' '.join(str(error).split())}") from error
    check(scenario, where)
    return scenario


def _extended(raw: dict[str, Any], where: str, depth: int = 0) -> dict[str, Any]:
    """What a file holds, over the shipped scenario that it extends, if any."""
    if (name := raw.pop("extends", None)) is None:
        return raw
    shipped = library()
    if name not in shipped or depth >= MOST_EXTENDED:
        raise ScenarioError(f"{where}: extends: found {name!r}, expected one of {', '.join(shipped)}")
    base = msgspec.toml.decode(shipped[name].read_bytes())
    return merged(_extended(base, name, depth + 1), raw)


def merged(base: dict[str, Any], more: dict[str, Any]) -> dict[str, Any]:
    """The base with other values on top, table by table."""
    over = dict(base)
    for key, value in more.items():
        below = over.get(key)
        over[key] = merged(below, value) if isinstance(below, dict) and isinstance(value, dict) else value
    return over


def dump(scenario: Scenario) -> str:
    """The scenario as a file's text; reading it gives the same scenario."""
    return msgspec.toml.encode(scenario).decode()


def library() -> dict[str, Path]:
    """The shipped scenarios: their files by name."""
    folder = resources.files("flintfield.lab") / "scenarios"
    if not folder.is_dir():
        return {}
    files = sorted((p for p in folder.iterdir() if p.name.endswith(".toml")), key=lambda p: p.name)
    return {p.name.removesuffix(".toml"): Path(str(p)) for p in files}
