"""A scenario from a capture of a scheduler in service.

It gives the load (classes, rates over time, what the hints tell of the works) and the fleet as discovery
listed it; true speeds it does not know. What cannot be read is a `ScenarioError`.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any

from flintfield.lab import scenario as sc
from flintfield.lab.scenario_names import name_of

WINDOW_S = 5.0  # of a capture's rate
NO_HINT_MS, NO_HINT_CV = 700.0, 1.0  # work of a class whose requests bring no hints


def from_capture(lines: Iterable[bytes], where: str = "capture") -> sc.Scenario:
    """The scenario of a capture: its lines are JSON objects, a header first."""
    header: dict[str, Any] | None = None
    servers: dict[str, dict[str, Any]] = {}
    requests: list[dict[str, Any]] = []
    for line in lines:
        try:
            told = json.loads(line)
            record = told["record"]
        except (ValueError, KeyError, TypeError):
            continue  # a damaged line, or the marks round a record in a log
        if record == "header":
            header = header or told
            servers |= {s["instanceId"]: s for s in told.get("servers", [])}
        elif record == "discovery":
            servers |= {s["instanceId"]: s for s in told.get("instances", [])}
        elif record == "request":
            requests.append(told)
    if header is None:
        raise sc.ScenarioError(f"{where}: found no header, expected a day (JSON) or a capture's lines")
    if not requests or not servers:
        lacks = "requests" if not requests else "worker nodes"
        raise sc.ScenarioError(f"{where}: found no {lacks}, expected a capture of a scheduler at work")
    try:
        return _captured(header, list(servers.values()), requests)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise sc.ScenarioError(f"{where}: found records that cannot be read ({error!r}), expected those of "
                               "a capture") from error


def _captured(header: dict[str, Any], servers: list[dict[str, Any]],
              requests: list[dict[str, Any]]) -> sc.Scenario:
    settings = header["settings"]
    began = min(r["at"] for r in requests)
    length_s = max(WINDOW_S, (max(r["at"] for r in requests) - began) / 1_000)
    per_s = len(requests) / length_s
    windows = math.ceil(length_s / WINDOW_S)
    counts = [0] * windows
    for r in requests:
        counts[min(windows - 1, int((r["at"] - began) / 1_000 / WINDOW_S))] += 1
    shape = tuple(((i + 0.5) * WINDOW_S, max(0.01, n / WINDOW_S / per_s)) for i, n in enumerate(counts))
    zones = tuple(settings.get("areas") or ["a"])
    family, rules = settings.get("family_info", {}), settings.get("rules", {})
    classes = [_captured_class(i, c, family, [r for r in requests if r["cls"] == i])
               for i, c in enumerate(settings["request_classes"])]
    kinds, nodes = _captured_fleet(settings, servers, zones)
    return sc.Scenario(
        name=name_of(f"capture-{header.get('scheduler', '')}"), about="Imported from a capture: its load.",
        length_s=length_s, zones=zones, fleet=sc.Fleet(kinds=kinds, node=nodes),
        classes=[c for c in classes if c], load=sc.Load(per_s=per_s, shape=shape),
        schedulers=sc.Schedulers(count=1),
        rules=sc.Rules(drain_grace_ms=rules.get("drain_grace_ms", 400.0),
                       answer_slack_ms=rules.get("answer_slack_ms", 8.0)))


def _captured_class(place: int, given: dict[str, Any], family: dict[str, Any],
                    requests: list[dict[str, Any]]) -> sc.RequestClass | None:
    if not requests:
        return None
    hints = [r["hint_ms"] for r in requests if r.get("hint_ms")]
    mean = sum(hints) / len(hints) if hints else NO_HINT_MS
    spread = math.sqrt(sum((h - mean) ** 2 for h in hints) / len(hints)) / mean if hints else NO_HINT_CV
    stretches = family.get("class_stretch", [])
    return sc.RequestClass(
        name=given["name"], share=float(len(requests)), work_ms=mean, cv=spread,
        aim_ms=given["aim_ms"], deadline_ms=given["hard_limit_ms"], worth=given.get("worth", 1.0),
        stretch=stretches[place] if place < len(stretches) else 0.0,
        effect="safe" if given.get("effect") == "free" else "unsafe")


def _captured_fleet(settings: dict[str, Any], servers: list[dict[str, Any]],
                    zones: tuple[str, ...]) -> tuple[list[sc.Kind], list[sc.Node]]:
    """Machines as listed; with no word of cores, a weight is taken for them."""
    shapes = settings.get("shapes") or ["machine"]
    kinds: dict[str, sc.Kind] = {}
    nodes = []
    for server in servers:
        if server["lifecycle"] != "in_service":
            continue
        kind = shapes[min(int(server["kind"]), len(shapes) - 1)]
        cores = max(1, round(server.get("weight", 1.0)))
        kinds.setdefault(kind, sc.Kind(name=kind, cores=cores, slots=cores))
        nodes.append(sc.Node(kind=kind, zone=zones[min(int(server["zone"]), len(zones) - 1)]))
    return list(kinds.values()), nodes
