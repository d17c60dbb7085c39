"""What commands print: tables for people, JSON for programs."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import json
from collections.abc import Sequence
from typing import Any

GAP = "  "
MS_IN_S = 1_000


def as_json(value: Any) -> str:
    """The value as a JSON text: dataclasses as objects, members of enums by their names in lower case."""
    return json.dumps(_plain(value), indent=2, sort_keys=True)


def _plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {field.name: _plain(getattr(value, field.name)) for field in dataclasses.fields(value)}
    if isinstance(value, dict):
        return {str(key): _plain(item) for key, item in value.items()}
    if isinstance(value, tuple | list):
        return [_plain(item) for item in value]
    if isinstance(value, enum.Enum):
        return word(value)
    return value


def word(member: enum.Enum) -> str:
    """An enum's member in a table."""
    return member.name.lower().replace("_", " ")


def table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Columns of equal width, a line of titles on top; numbers stand at the right."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [max(len(line[column]) for line in [list(titles), *texts]) for column in range(len(titles))]
    right = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(titles))
    ]
    lines = []
    for line in [list(titles), *texts]:
        cells = (
            cell.rjust(width) if at_right else cell.ljust(width)
            for cell, width, at_right in zip(line, widths, right, strict=True)
        )
        lines.append(GAP.join(cells).rstrip())
    return "\n".join(lines)


def duration(length_ms: int) -> str:
    """A length of time; "unknown" below 0."""
    if length_ms < 0:
        return "unknown"
    if length_ms < MS_IN_S:
        return f"{length_ms} ms"
    seconds = length_ms // MS_IN_S
    if seconds < 120:
        return f"{length_ms / MS_IN_S:.1f} s"
    return str(datetime.timedelta(seconds=seconds))


def moment(wall_ms: int) -> str:
    """A time of day (UTC); "" for 0 and below, which stand for unknown."""
    if wall_ms <= 0:
        return ""
    at = datetime.datetime.fromtimestamp(wall_ms / MS_IN_S, datetime.UTC)
    return at.strftime("%Y-%m-%d %H:%M:%S.") + f"{wall_ms % MS_IN_S:03d}"
