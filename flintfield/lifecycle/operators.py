"""The operators' INI file, named on the command line. Its sections are passed to the features that own them.

A section turns its feature on; without one the feature is off and the program behaves as if it did not exist.
Faults raise an `OperatorsError` that names `[section] key`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, fields, make_dataclass
from typing import Any

from flintfield.base.ini import OperatorsError, read_file
from flintfield.base.config import Config
from flintfield.lifecycle.units import CONFIGURED, UNITS, find_feature
from flintfield.units.interface import Feature, Given, Host, Unit


@dataclass(frozen=True, slots=True)
class Chosen:
    """A feature that is turned on, with the parsed content of its sections."""

    feature: Feature
    given: Given

    def build(self, host: Host) -> Unit:
        """Build the unit of the feature."""
        return self.feature.build(host, self.given)


Operators = make_dataclass("Operators", [(name, Any, None) for name in UNITS], frozen=True, slots=True)
"""A field for the first word of each section: the feature, under its first such word, or None."""


def read_operators(path: str | None) -> Any:
    """Read the file into `Operators`; all features are off if `path` is None."""
    return Operators(**({} if path is None else _choose(read_file(path))))


def chosen(operators: Any, config: Config | None = None) -> Sequence[Chosen]:
    """The features that are on, in the order of the lists, including those turned on by `config`."""
    found = [getattr(operators, item.name) for item in fields(operators)]
    for place, names in CONFIGURED.items() if config else ():
        if any(getattr(config, name) is not None for name in names):
            feature = find_feature(place)
            found.append(Chosen(feature, feature.read({})))
    return [one for one in found if one]


def _choose(raw: Mapping[str, Mapping[str, str]]) -> dict[str, Chosen]:
    by_place: dict[str, dict[str, Mapping[str, str]]] = {}
    for title, keys in raw.items():
        place = UNITS.get(title.partition(".")[0])
        if place is None:
            raise OperatorsError(f"[{title}]: found an unknown section, expected one of {', '.join(UNITS)}")
        by_place.setdefault(place, {})[title] = keys
    features: dict[str, Feature] = {}
    wanted = list(by_place)
    while wanted:
        if (place := wanted.pop()) not in features:
            features[place] = find_feature(place)
            wanted += [UNITS[name] for name in features[place].needs]
    first_words = {place: name for name, place in reversed(list(UNITS.items()))}
    return {first_words[place]: Chosen(feature, feature.read(by_place.get(place, {})))
            for place, feature in features.items()}
