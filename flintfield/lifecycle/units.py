"""The list of units: the first word of a section's name, and where its feature is declared.

A feature is imported only if the operators' file has one of its sections. To add a feature, add a line here.
"""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module

from flintfield.base.ini import OperatorsError
from flintfield.units.interface import Feature

UNITS: Mapping[str, str] = {
    "jobstatus": "flintfield.units.jobstatus:FEATURE",
    "access": "flintfield.units.access:FEATURE",
    "capture": "flintfield.units.capture:FEATURE",
    "counts": "flintfield.units.counts:FEATURE",
    "statuspage": "flintfield.units.statuspage:FEATURE",
    "store": "flintfield.units.store:FEATURE",
    "queues": "flintfield.units.queues:FEATURE",
    "queue": "flintfield.units.queues:FEATURE",
    "membership": "flintfield.units.membership:FEATURE",
    "role": "flintfield.units.role:FEATURE",
    "sharing": "flintfield.units.sharing:FEATURE",
    "quota": "flintfield.units.sharing:FEATURE",
    "maintenance": "flintfield.units.maintenance:FEATURE",
}
"""In the order in which units are built and called. Sections of one feature have the same value."""


CONFIGURED: Mapping[str, tuple[str, ...]] = {
    "flintfield.units.operations:FEATURE": ("admin", "accept_fd"),
    "flintfield.units.upgrade:FEATURE": ("accept_fd",),
}
"""Features turned on by fields of the platform's configuration, if one is set. Built after the others."""


def find_feature(place: str) -> Feature:
    """Import the feature declared at `place`; raises `OperatorsError` if a required package is missing."""
    module, _, name = place.partition(":")
    try:
        feature = getattr(import_module(module), name)
    except ModuleNotFoundError as error:
        raise OperatorsError(f"[{module.rpartition('.')[2]}]: found no package {error.name}, expected what "
                             f"the requirements files name") from error
    assert isinstance(feature, Feature)
    return feature
