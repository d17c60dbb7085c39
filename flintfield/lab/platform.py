"""What a scheduler is told at its start, in the operators' words, so that every engine tells the same.

`configuration` makes the JSON object that `LB_CONFIG` names for a real process; the virtual engine reads the
same object with the same reader.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Any

from flintfield.lab.scenario import Scenario, merged
from flintfield.lab.world import Line, Streams

REPORT_FIELDS = ("lat_ms", "rif", "q", "x0")
EFFECTS = {"safe": "free", "unsafe": "single_shot"}
LIFECYCLES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}
MOST_HELD = 20_000
ADVICE_MS = 2_000.0
"""The longest Retry-After that clients follow."""


def scheduler_name(place: int) -> str:
    """What the scheduler at that place is called."""
    return f"s{place:02d}"


def zones_of(scenario: Scenario) -> list[str]:
    """The zone of each scheduler."""
    return scenario.schedulers.zones or [scenario.zones[i % len(scenario.zones)]
                                         for i in range(scenario.schedulers.count)]


def start_times(scenario: Scenario, streams: Streams) -> list[float]:
    """When each scheduler is ready, in ms from the run's start."""
    given = scenario.schedulers
    draws = streams.of("start")
    drawn = [draws.uniform(0, given.start_spread_ms) for _ in range(given.count)]
    return given.start_at_ms or drawn


def seed_of(seed: int, place: int, life: int) -> int:
    """The seed of a scheduler's decisions, another one at each start."""
    digest = hashlib.blake2b(f"{seed}/{place}/{life}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "little")


def settings(scenario: Scenario, place: int) -> dict[str, Any]:
    """The settings of the scheduler at that place, as the simulator's first message would hold them."""
    given, rules, fleet = scenario.schedulers, scenario.rules, scenario.fleet
    count = given.told_count or given.count
    made: dict[str, Any] = {
        "areas": list(scenario.zones), "az": scenario.zones.index(zones_of(scenario)[place]),
        "clients": {"marks_retry": scenario.clients.marks_retry},
        "family": "jobs",
        "family_info": {
            "class_kind": [-1] * len(scenario.classes),
            "class_priority": [c.priority for c in scenario.classes],
            "class_stretch": [c.stretch for c in scenario.classes],
            "progress_ms": fleet.progress_ms, "queue_order": fleet.order, "report_x0": "free slots",
            "tells_start": fleet.tells_start,
        },
        "limits": {
            "conn_idle_ms": fleet.conn_idle_ms, "dial_timeout_ms": fleet.dial_timeout_ms,
            "max_attempts": rules.max_attempts, "max_retry_after_ms": ADVICE_MS, "may_cancel": True,
            "most_held": MOST_HELD, "probes": True, "retry_after": scenario.clients.honours_advice > 0,
            "second_copies": False,
        },
        "me": place % count, "replicas_of_me": count, "membership_mode": "subscribe",
        "parties": [{"name": o.name, "allowance_per_s": o.allowance_per_s, "portion": o.share}
                    for o in scenario.load.owners],
        "over_share_worth": 0.1,
        "report": {"fields": list(REPORT_FIELDS), "how": "on_probe"},
        "request_classes": [{
            "name": c.name, "aim_ms": c.aim_ms, "hard_limit_ms": c.deadline_ms, "worth": c.worth,
            "late_worth": 0.0, "effect": EFFECTS[c.effect], "group": "all", "window_ms": 5_000.0,
            "stream": False,
        } for c in scenario.classes],
        "resolution_ms": 2.0,
        "rules": {
            "answer_slack_ms": rules.answer_slack_ms, "ask_within_ms": rules.ask_within_ms,
            "cold_from": rules.cold_from, "drain_grace_ms": rules.drain_grace_ms, "fall_ms": rules.fall_ms,
            "ramp_time_ms": rules.cold_ms, "tip_multiple": rules.fall_multiple,
        },
        "shapes": [k.name for k in fleet.kinds], "tier": 0, "tiers": ["workers"],
        "weight_kind": fleet.weights, "worth_by": "work" if scenario.load.worth_by_work else "request",
    }
    return merged(made, given.settings)


def list_line(line: Line, epoch_ms: float, address: str | None = None) -> dict[str, Any]:
    """A line of discovery's list in its wire form; `epoch_ms` is the run's start in Unix ms."""
    machine = line.machine
    return {
        "instanceId": machine.name, "hostPort": address or f"{machine.name}:1", "zone": machine.zone,
        "machineType": machine.kind.name, "cell": machine.cell, "lifecycle": LIFECYCLES[line.state],
        "weight": machine.weight, "startedAtMs": epoch_ms + line.started_at if line.started_at > 0 else 0,
    }


def configuration(scenario: Scenario, place: int, *, seed: int, life: int = 0, listen: str = "127.0.0.1:0",
                  discovery: str = "127.0.0.1:1", version: int = 0,
                  known: Iterable[dict[str, Any]] = ()) -> dict[str, Any]:
    """All that a scheduler's process is told: the object of the file that `LB_CONFIG` names."""
    return {
        "name": scheduler_name(place), "listen": listen, "discovery": discovery,
        "seed": f"{seed_of(seed, place, life):x}", "settings": settings(scenario, place),
        "known": {"generation": version, "reset": True, "instances": list(known)},
    }
