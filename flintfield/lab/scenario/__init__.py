"""Scenarios: what a run plays, as TOML, read and checked in one place.

A scenario is concrete: all figures stand in it, and a seed draws only what differs from run to run (arrivals,
works, hints, jitter, speeds within `speed_cv`, whom a trouble hits). Each component of the model draws from a
`numpy.random.SeedSequence` child of its own, named by the component, so that one node more changes no other's
draws.

All times are milliseconds unless a key ends in `_s`; work is milliseconds of a standard core (speed 1). A
file may name a shipped scenario under `extends`: then it holds only what differs, table by table; a list
stands for the whole list. `load(path)` reads a file, `check(scenario)` says what msgspec's types can not,
`library()` names what ships. An error is a `ScenarioError` of one line: file, key path, what was found and
what was expected.
"""

from __future__ import annotations

from flintfield.lab.scenario.checks import check
from flintfield.lab.scenario.fleet import Fleet, Kind, Node, Reports
from flintfield.lab.scenario.reading import MOST_EXTENDED, dump, library, load, merged, parse
from flintfield.lab.scenario.requests import Clients, Load, Owner, RequestClass
from flintfield.lab.scenario.surroundings import Discovery, Front, Goal, Network, Rules, Schedulers, Sharing
from flintfield.lab.scenario.troubles import (
    AnyTrouble, BadClients, Crash, Deploy, DeployStep, DiscoveryGone, DiscoveryMoved, FailClass,
    FalseFull, Resets, RollStep, SchedulerRoll, SiteLoss, Slow, Stall, Surge, Trouble, Vanish, WatchPause,
    ZoneCut,
)
from flintfield.lab.scenario.types import Count, Ms, Positive, ScenarioError, Share, Spec
from flintfield.lab.scenario.whole import Scenario

__all__ = [
    "MOST_EXTENDED", "AnyTrouble", "BadClients", "Clients", "Count", "Crash", "Deploy", "DeployStep",
    "Discovery", "DiscoveryGone", "DiscoveryMoved", "FailClass", "FalseFull", "Fleet", "Front", "Goal",
    "Kind", "Load", "Ms", "Network", "Node", "Owner", "Positive", "Reports", "RequestClass", "Resets",
    "RollStep", "Rules", "Scenario", "ScenarioError", "SchedulerRoll", "Schedulers", "Share", "Sharing",
    "SiteLoss", "Slow", "Spec", "Stall", "Surge", "Trouble", "Vanish", "WatchPause", "ZoneCut", "check",
    "dump", "library", "load", "merged", "parse",
]
