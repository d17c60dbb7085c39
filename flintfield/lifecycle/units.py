"""The list of units: the first word of a section's name, and where the feature is declared that owns it.

A feature is imported when the operators' file has a section of its own. A new one is a line here.
"""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module

from flintfield.units.interface import Feature

UNITS: Mapping[str, str] = {
    "jobstatus": "flintfield.units.jobstatus:FEATURE",
    "access": "flintfield.units.access:FEATURE",
    "capture": "flintfield.units.capture:FEATURE",
    "statuspage": "flintfield.units.statuspage:FEATURE",
}
"""In the order in which units are built and asked. Sections of one feature name the same place."""


def find_feature(place: str) -> Feature:
    """Import the feature that is declared there."""
    module, _, name = place.partition(":")
    feature = getattr(import_module(module), name)
    assert isinstance(feature, Feature)
    return feature
