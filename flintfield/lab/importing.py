"""Scenarios from elsewhere: a day that the operators' simulator printed, or a capture of a scheduler in
service.

What cannot be read is a `ScenarioError` that names file, key, what was found and what was expected.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec

from flintfield.lab import scenario as sc
from flintfield.lab.capture_import import from_capture
from flintfield.lab.day_import import from_day

LARGEST = 1 << 30  # bytes of a file


def read(path: str | Path, rate: float = 1.0) -> sc.Scenario:
    """The scenario of a day or a capture; `rate` times its load."""
    where = str(path)
    try:
        if Path(path).stat().st_size > LARGEST:
            raise sc.ScenarioError(f"{where}: found more than {LARGEST} bytes, expected a day or a capture")
        text = Path(path).read_bytes()
    except OSError as error:
        raise sc.ScenarioError(f"{where}: cannot be read: {error}") from error
    try:
        whole = json.loads(text)
    except ValueError:
        whole = None
    if isinstance(whole, dict) and "tiers" in whole:
        made = from_day(whole, where)
    else:
        made = from_capture(text.splitlines(), where)
    load = made.load
    scaled = msgspec.structs.replace(load, level=load.level and load.level * rate,
                                     per_s=load.per_s and load.per_s * rate)
    made = msgspec.structs.replace(made, load=scaled)
    sc.check(made, where)
    return made
