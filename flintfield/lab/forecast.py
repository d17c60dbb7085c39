"""A plan for a lost site held against a run: what was forecast to be kept, and what was."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from flintfield.lab import virtual
from flintfield.lab.judge.court import Judge
from flintfield.lab.judge.service import Wish
from flintfield.lab.log import AnyRecord
from flintfield.lab.scenario import Scenario, SiteLoss
from flintfield.lab.world import Streams, draw_clients, draw_fleet
from flintfield.sites.plan import Class, Plan, Site, plan_for

RATE_MS = 4_000.0  # the load is measured over so long
SETTLE_MS = 3_000.0  # after the loss, until the fleet serves what it then can


@dataclass(frozen=True, slots=True)
class Forecast:
    """By class: the part of the asked worth that the plan keeps, and that was served in time."""

    plan: Plan
    planned: dict[str, float]
    happened: dict[str, float]


def sites_of(scenario: Scenario, seed: int, until_ms: float) -> tuple[list[Site], list[Class]]:
    """Sites and classes as a file would name them, measured up to then: capacities, and by class the
    arrivals of the last `RATE_MS` with the mean work and the zones of all before."""
    streams = Streams(seed)
    fleet = draw_fleet(scenario, streams)
    wishes = [w for w in draw_clients(scenario, streams, fleet.capacity).wishes if w.at < until_ms]
    load: dict[str, dict[str, float]] = {zone: {} for zone in scenario.zones}
    for cls in scenario.classes:
        ours = [w for w in wishes if w.cls.name == cls.name]
        late = sum(w.at >= until_ms - RATE_MS for w in ours) / RATE_MS
        for zone in scenario.zones:
            part = sum(w.work * w.slots for w in ours if w.zone == zone) / max(1, len(ours))
            load[zone][cls.name] = late * part
    sites = [Site(zone, sum(m.capacity for m in fleet.machines if m.zone == zone), load[zone])
             for zone in scenario.zones]
    classes = [Class(c.name, c.worth if scenario.load.worth_by_work else c.worth / c.work_ms)
               for c in scenario.classes]
    return sites, classes


def forecast(scenario: Scenario, seed: int) -> Forecast:
    """Plan for the scenario's first loss, play it, and compare from `SETTLE_MS` after it to its end."""
    loss = next(t for t in scenario.trouble if isinstance(t, SiteLoss))
    sites, classes = sites_of(scenario, seed, loss.at_s * 1_000.0)
    plan = plan_for(sites, classes, [loss.zone])
    begins, ends = loss.at_s * 1_000.0 + SETTLE_MS, (loss.at_s + loss.for_s) * 1_000.0
    asked: dict[str, float] = {}
    got: dict[str, float] = {}

    def each(wish: Wish) -> None:
        if begins <= wish.first_at < ends:
            asked[wish.cls.name] = asked.get(wish.cls.name, 0.0) + wish.worth
            if wish.outcome == "in_time":
                got[wish.cls.name] = got.get(wish.cls.name, 0.0) + wish.worth

    judge = Judge(on_wish=each)
    take: Callable[[AnyRecord], None] = judge.take
    virtual.play(scenario, seed, on_record=take)
    judge.verdict()
    happened = {name: got.get(name, 0.0) / worth for name, worth in asked.items()}
    return Forecast(plan, dict(plan.kept), happened)
