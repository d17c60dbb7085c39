"""What goes wrong in a scenario, and when."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from flintfield.lab.scenario.fleet import Node
from flintfield.lab.scenario.types import Ms, Positive, Share, Spec


class Trouble(Spec, tag_field="kind"):
    """Something goes wrong at `at_s`, for `for_s` seconds. Troubles may overlap."""

    at_s: Ms
    for_s: Ms = 0.0


class DeployStep(Spec):
    """At `at_s` nodes are told to drain, and new ones start."""

    at_s: Ms
    stop: list[int]  # by place in the fleet
    start: list[Node] = field(default_factory=list)  # empty: one like each that stops


class RollStep(Spec):
    """At `at_s` schedulers are taken out, to be restarted."""

    at_s: Ms
    stop: list[int]


class Deploy(Trouble, tag="deploy"):
    """Nodes are replaced, a batch at a time: told to drain, ended, started cold under a new name."""

    part: Share = 0.9  # of the fleet
    batch: Share = 0.15  # of the fleet at a time
    drain_s: Positive = 4.0
    steps: list[DeployStep] = field(default_factory=list)  # empty: drawn


class SchedulerRoll(Trouble, tag="scheduler-roll"):
    """Schedulers are restarted, a batch at a time; `graceful` ones get SIGTERM and their time to settle."""

    part: Share = 0.9
    batch: Share = 0.3
    down_s: Ms = 0.5
    told_s: Ms = 1.0  # the front sends it nothing new that long before it ends
    graceful: bool = False
    steps: list[RollStep] = field(default_factory=list)  # empty: drawn


class Crash(Trouble, tag="crash"):
    """Nodes' processes die together and come back cold, under the same name and address, after `for_s`."""

    part: Share = 0.2
    nodes: list[int] = field(default_factory=list)  # by place in the fleet; empty: drawn


class Vanish(Trouble, tag="vanish"):
    """Machines fall silent, connections stay open; after `for_s` they are back with their processes anew."""

    part: Share = 0.1
    nodes: list[int] = field(default_factory=list)


class SiteLoss(Trouble, tag="site-loss"):
    """All that stands in a zone goes down together and comes back after `for_s`, its worker nodes cold.

    `silent`: machines vanish with open connections, else processes die. `schedulers`: its schedulers die with
    it. `back`: the share of its worker nodes that comes back. The front sends its clients elsewhere once it
    notices.
    """

    zone: str = ""
    silent: bool = False
    schedulers: bool = False
    back: Share = 1.0


class Slow(Trouble, tag="slow"):
    """Nodes run `factor` times slower."""

    part: Share = 0.2
    factor: Positive = 4.0
    nodes: list[int] = field(default_factory=list)


class Stall(Trouble, tag="stall"):
    """Nodes stand still (a pause of the process) and go on where they were."""

    part: Share = 0.1
    nodes: list[int] = field(default_factory=list)


class FailClass(Trouble, tag="fail-class"):
    """Nodes fail a share of one class's jobs at once and look free for it."""

    part: Share = 0.1
    cls: str = ""
    share: Share = 1.0
    nodes: list[int] = field(default_factory=list)


class FalseFull(Trouble, tag="false-full"):
    """Nodes answer full to a share of jobs although they have room."""

    part: Share = 0.1
    share: Share = 0.5
    nodes: list[int] = field(default_factory=list)


class DiscoveryGone(Trouble, tag="discovery-gone"):
    """Discovery answers nobody; it comes back with its version, or `anew` and counts from nothing."""

    anew: bool = False


class DiscoveryMoved(Trouble, tag="discovery-moved"):
    """Discovery moves; each scheduler is told by SIGHUP within `for_s`."""


class WatchPause(Trouble, tag="watch-pause"):
    """Watches of all schedulers pause for `pause_ms` between two calls: just under or over 200 ms."""

    pause_ms: Positive = 190.0


class ZoneCut(Trouble, tag="zone-cut"):
    """A zone is cut off from the others: nothing passes, nothing is reset; `one_way`: only out of it."""

    zone: str = ""
    one_way: bool = False


class Resets(Trouble, tag="resets"):
    """A share of attempts' connections is reset at a random byte, on the way there or back."""

    share: Share = 0.05


class Surge(Trouble, tag="surge"):
    """The load is `factor` times the usual; of one owner alone if named."""

    factor: Positive = 2.0
    owner: str = ""


class BadClients(Trouble, tag="bad-clients"):
    """Clients that send nonsense, repeat at once what was refused and hold connections; `per_s` requests."""

    per_s: Positive = 100.0
    connections: Annotated[int, Meta(ge=0)] = 100


AnyTrouble = (
    Deploy | SchedulerRoll | Crash | Vanish | SiteLoss | Slow | Stall | FailClass | FalseFull | DiscoveryGone
    | DiscoveryMoved | WatchPause | ZoneCut | Resets | Surge | BadClients
)
