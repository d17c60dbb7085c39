"""Names of scenarios that are made from other things."""

from __future__ import annotations

import re


def name_of(text: str) -> str:
    """A scenario's name made of any text."""
    return re.sub(r"[^a-z0-9+.-]+", "-", text.lower()).strip("-.+")[:64] or "imported"
