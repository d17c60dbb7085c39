"""Types that all tables of a scenario share, and the error that names a key."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Ms = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class ScenarioError(Exception):
    """A scenario that cannot be played; the text is one line that names file and key."""


class Spec(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A table of the file; a key that it does not have is an error."""
