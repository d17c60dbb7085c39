"""One thing that a history proves to be wrong."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """`name` is the invariant that broke, or `rule/NAME`; `at` in ms; `word` one sentence for people."""

    name: str
    at: float
    word: str
