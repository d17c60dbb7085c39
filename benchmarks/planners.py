"""Planners against today's schedulers and the all-seeing chooser, in virtual time, seed by seed.

    python -m benchmarks.planners --forwarders 20 --nodes 60 --seeds 10 [--case calm --case killed ...]

A row for each case and chooser: the means over seeds of the goal and of the whole run's service, the mean
difference of the goal to today's schedulers on the same seeds with the half-width of its 95% interval,
probes, and rules broken over all seeds. Cases that differ in what the planners suffer alone share the runs
of the other choosers. `--out FILE` keeps each run as a line of JSON; what is there already is not played
again. Two runs at a time.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from time import process_time
from typing import Any

import msgspec

from flintfield.lab import planners, scenario as scenarios
from flintfield.lab.judge import Judge
from flintfield.lab.log import AnyRecord, ProbeSeen
from flintfield.lab.planners import Outage, Setup, Split
from flintfield.lab.virtual import play

CHOOSERS = ("flintfield", "planned", "omniscient")
LENGTH_S = 20.0
ALL = (0, 1, 2)

CASES: dict[str, tuple[dict[str, Any], Setup]] = {
    "calm": ({}, Setup()),
    "busy": ({"load": {"level": 0.9}}, Setup()),
    "overload": ({"load": {"level": 1.1}}, Setup()),
    "deploy": ({"trouble": [{"kind": "deploy", "at_s": 6.0, "for_s": 10.0, "part": 0.5}]}, Setup()),
    "nodes-die": ({"trouble": [{"kind": "crash", "at_s": 8.0, "for_s": 4.0, "part": 0.25}]}, Setup()),
    "killed": ({}, Setup(outages=(Outage(8.0, 60.0, ALL),))),
    "never": ({}, Setup(outages=(Outage(0.0, 60.0, ALL),))),
    "never-deploy": (
        {"trouble": [{"kind": "deploy", "at_s": 6.0, "for_s": 10.0, "part": 0.5}]},
        Setup(outages=(Outage(0.0, 60.0, ALL),)),
    ),
    "restarted": ({}, Setup(outages=(Outage(8.0, 11.0, ALL),))),
    "sleeping": ({}, Setup(outages=(Outage(6.0, 14.0, (0,), killed=False),))),
    "split": ({}, Setup(splits=(Split(6.0, 60.0, (0,)),))),
    "stale-1s": ({}, Setup(stale_ms=1_000.0)),
    "stale-2s": ({}, Setup(stale_ms=2_000.0)),
    "stale-5s": ({}, Setup(stale_ms=5_000.0)),
    "stale-30s": ({}, Setup(stale_ms=30_000.0)),
}
"""What differs from calm, and what the planners suffer."""


def make_scenario(case: str, forwarders: int, nodes: int, level: float) -> scenarios.Scenario:
    """The fleet of `nodes-200`, so large, with the case's troubles."""
    raw = {
        "extends": "nodes-200",
        "name": f"planners-{case}",
        "about": "A run of benchmarks/planners.py.",
        "length_s": LENGTH_S,
        "load": {"level": level},
        "schedulers": {"count": forwarders},
        "fleet": {"nodes": nodes},
        "discovery": {"lines_per_s": 20_000.0},
        "trouble": [],
    }
    return scenarios.parse(msgspec.toml.encode(scenarios.merged(raw, CASES[case][0])).decode(), case)


def run(case: str, chooser: str, seed: int, forwarders: int, nodes: int, level: float) -> dict[str, Any]:
    """One run, judged."""
    judge, probes = Judge(), 0

    def take(record: AnyRecord) -> None:
        nonlocal probes
        probes += isinstance(record, ProbeSeen)
        judge.take(record)

    scenario, began = make_scenario(case, forwarders, nodes, level), process_time()
    cost: dict[str, Any] = {}
    if chooser == "planned":
        cost = msgspec.to_builtins(planners.play(scenario, seed, CASES[case][1], take)[1])
    else:
        play(scenario, seed, chooser, on_record=take)
    verdict = judge.verdict()
    return {
        "case": case,
        "chooser": chooser,
        "seed": seed,
        "fleet": [forwarders, nodes, level],
        "goal": verdict.service.goal,
        "whole": verdict.service.whole,
        "worst_window": verdict.service.worst_window,
        "probes": probes,
        "broken": dict(verdict.broken),
        "cpu_s": process_time() - began,
        "cost": cost,
    }


def mean_and_width(values: list[float]) -> tuple[float, float]:
    """The mean and the half-width of its 95% interval (normal; none for a single value)."""
    if len(values) < 2:
        return values[0], math.nan
    return statistics.mean(values), 1.96 * statistics.stdev(values) / math.sqrt(len(values))


def table(runs: list[dict[str, Any]], names: list[str]) -> str:
    """The runs as a table in Markdown."""
    lines = [
        "| case | chooser | seeds | goal | against today's | whole | probes | rules broken |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for case in names:
        today = {
            r["seed"]: r["goal"]
            for r in runs
            if CASES[r["case"]][0] == CASES[case][0] and r["chooser"] == CHOOSERS[0]
        }
        for chooser in CHOOSERS:
            own = [r for r in runs if r["case"] == case and r["chooser"] == chooser]
            if not own:
                continue
            pairs = [r["goal"] - today[r["seed"]] for r in own if r["seed"] in today]
            gain = "{:+.4f} ± {:.4f}".format(*mean_and_width(pairs)) if pairs else "-"
            broken = sum(sum(r["broken"].values()) for r in own)
            means = [statistics.mean(r[key] for r in own) for key in ("goal", "whole", "probes")]
            lines.append(
                f"| {case} | {chooser} | {len(own)} | {means[0]:.4f} | {gain} | {means[1]:.4f} "
                f"| {means[2]:.0f} | {broken} |"
            )
    return "\n".join(lines)


def is_first(case: str, names: list[str]) -> bool:
    """Whether no earlier case plays the same scenario: the other choosers are played there."""
    return CASES[case][0] not in [CASES[name][0] for name in names[: names.index(case)]]


def main() -> None:
    """Play the cases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--forwarders", type=int, default=20)
    parser.add_argument("--nodes", type=int, default=60)
    parser.add_argument("--level", type=float, default=0.7)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--case", action="append", choices=list(CASES))
    parser.add_argument("--chooser", action="append", choices=CHOOSERS)
    parser.add_argument("--out")
    given = parser.parse_args()
    names, fleet = given.case or list(CASES), (given.forwarders, given.nodes, given.level)
    out = Path(given.out) if given.out else None
    runs = [json.loads(line) for line in out.read_text().splitlines()] if out and out.exists() else []
    runs = [r for r in runs if tuple(r["fleet"]) == fleet]
    known = {(r["case"], r["chooser"], r["seed"]) for r in runs}
    jobs = [
        (case, chooser, seed)
        for seed in range(1, given.seeds + 1)
        for case in names
        for chooser in given.chooser or CHOOSERS
        if chooser == "planned" or is_first(case, names)
    ]
    with ProcessPoolExecutor(2) as pool:
        for made in [pool.submit(run, *job, *fleet) for job in jobs if job not in known]:
            runs.append(made.result())
            if out:
                with out.open("a", encoding="utf-8") as file:
                    file.write(json.dumps(runs[-1]) + "\n")
    print(table(runs, names))


if __name__ == "__main__":
    main()
