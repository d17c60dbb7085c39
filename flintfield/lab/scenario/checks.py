"""What the types of a scenario can not say: keys that must agree with one another."""

from __future__ import annotations

from itertools import pairwise

from flintfield.lab.scenario.troubles import AnyTrouble, Deploy, FailClass, SiteLoss, Surge, ZoneCut
from flintfield.lab.scenario.types import ScenarioError
from flintfield.lab.scenario.whole import Scenario


def check(scenario: Scenario, where: str = "scenario") -> None:
    """Check what the types can not say; a `ScenarioError` names the key, and `where` the file."""
    checks = _Checks(scenario, where)
    checks.names()
    checks.fleet()
    checks.load()
    checks.schedulers()
    checks.shape()
    for i, trouble in enumerate(scenario.trouble):
        checks.trouble(f"trouble[{i}]", trouble)


class _Checks:
    """The checks of one scenario, table by table."""

    def __init__(self, scenario: Scenario, where: str) -> None:
        self._scenario, self._where = scenario, where
        self._kinds = {k.name for k in scenario.fleet.kinds}
        self._classes = {c.name for c in scenario.classes}
        self._owners = {o.name for o in scenario.load.owners}
        self._nodes = len(scenario.fleet.node) or scenario.fleet.nodes

    def _fail(self, key: str, found: object, expected: str) -> ScenarioError:
        return ScenarioError(f"{self._where}: {key}: found {found!r}, expected {expected}")

    def _check_zone(self, key: str, zone: str) -> None:
        zones = self._scenario.zones
        if zone not in zones:
            raise self._fail(key, zone, f"one of {', '.join(zones)}")

    def _check_places(self, key: str, places: list[int], count: int) -> None:
        for place in places:
            if not 0 <= place < count:
                raise self._fail(key, place, f"places from 0 to {count - 1}")

    def names(self) -> None:
        """Kinds and classes have names that differ."""
        kinds, classes = self._scenario.fleet.kinds, self._scenario.classes
        if len(self._kinds) < len(kinds):
            raise self._fail("fleet.kinds", sorted(k.name for k in kinds), "names that differ")
        if len(self._classes) < len(classes):
            raise self._fail("classes", sorted(c.name for c in classes), "names that differ")

    def fleet(self) -> None:
        """Nodes are either counted or named, and each named one has a kind and a zone."""
        fleet = self._scenario.fleet
        if bool(fleet.nodes) == bool(fleet.node):
            raise self._fail("fleet.nodes", fleet.nodes,
                             "a number of nodes, or a list under fleet.node, and not both")
        for i, node in enumerate(fleet.node):
            if node.kind not in self._kinds:
                raise self._fail(f"fleet.node[{i}].kind", node.kind,
                                 f"one of {', '.join(sorted(self._kinds))}")
            if node.zone is not None:
                self._check_zone(f"fleet.node[{i}].zone", node.zone)

    def load(self) -> None:
        """The load is a level or a rate, and zones' shares are one for each zone."""
        load, zones = self._scenario.load, self._scenario.zones
        if (load.level is None) == (load.per_s is None):
            raise self._fail("load", {"level": load.level, "per_s": load.per_s}, "either level or per_s")
        if load.zone_share and len(load.zone_share) != len(zones):
            raise self._fail("load.zone_share", load.zone_share, f"{len(zones)} figures, one a zone")

    def schedulers(self) -> None:
        """Lists of schedulers' figures have one entry for each."""
        schedulers = self._scenario.schedulers
        for name in ("zones", "start_at_ms", "clock_offset_ms"):
            each = getattr(schedulers, name)
            if each and len(each) != schedulers.count:
                raise self._fail(f"schedulers.{name}", each, f"{schedulers.count} entries, one a scheduler")
        for i, zone in enumerate(schedulers.zones):
            self._check_zone(f"schedulers.zones[{i}]", zone)

    def shape(self) -> None:
        """The load's shape goes forward in time."""
        shape = self._scenario.load.shape
        if not shape or any(a[0] >= b[0] for a, b in pairwise(shape)):
            raise self._fail("load.shape", shape, "pairs of second and factor, the seconds rising")

    def trouble(self, key: str, trouble: AnyTrouble) -> None:
        """A trouble begins within the run and names what there is."""
        length_s = self._scenario.length_s
        if trouble.at_s > length_s:
            raise self._fail(f"{key}.at_s", trouble.at_s, f"no more than length_s ({length_s:g})")
        self._check_places(f"{key}.nodes", getattr(trouble, "nodes", []), self._nodes)
        places = self._nodes if isinstance(trouble, Deploy) else self._scenario.schedulers.count
        for j, step in enumerate(getattr(trouble, "steps", [])):
            self._check_places(f"{key}.steps[{j}].stop", step.stop, places)
        if isinstance(trouble, FailClass) and trouble.cls not in self._classes:
            raise self._fail(f"{key}.cls", trouble.cls, f"one of {', '.join(sorted(self._classes))}")
        if isinstance(trouble, ZoneCut | SiteLoss):
            self._check_zone(f"{key}.zone", trouble.zone)
        if isinstance(trouble, Surge) and trouble.owner and trouble.owner not in self._owners:
            raise self._fail(f"{key}.owner", trouble.owner,
                             f"one of {', '.join(sorted(self._owners)) or 'load.owners'}")
