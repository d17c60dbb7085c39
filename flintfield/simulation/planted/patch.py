"""What a planted fault is made of."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Patch:
    """An attribute, and what takes its place."""

    owner: Any
    attribute: str
    value: Any
