"""Maintenance: agreements as schedulers barred nodes, and "safe to touch" as worker nodes were sent to.

`agreement`: nodes that some instance said it bars, from one look to the next, are together more than a pool
has units for. `touch`: an executor called a node safe at two looks in a row, and between them a scheduler
sent there. `stuck`: faults have been over for `STUCK_S`, and a node is barred that no executor speaks of.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise

from flintfield.lab.fleet.history import Claim, History
from flintfield.lab.fleet.judge.finding import Finding
from flintfield.lab.log import Sent
from flintfield.maintenance.agreements import Book
from flintfield.maintenance.reading import parse

PAGE = "/maintenance"
STUCK_S = 10.0
Span = tuple[float, float, str, str]
"""From when to when, a node, and who said so."""


def check(history: History) -> Iterator[Finding]:
    """Nothing where no plan has maintenance."""
    if "maintenance" not in history.plan.sections:
        return
    by_name: dict[str, list[Claim]] = {}
    for claim in history.of_page(PAGE):
        by_name.setdefault(claim.name, []).append(claim)
    yield from _agreements(history, by_name)
    yield from _touched(history, by_name)
    yield from _stuck(history, by_name)


def book_of(history: History) -> Book:
    """What the instances were told."""
    import tomli_w

    nodes = [{"name": f"n{n:04d}", "slots": 1} for n in range(history.plan.played().fleet.nodes)]
    return parse(tomli_w.dumps({"nodes": nodes, **history.plan.maintenance}), history.plan.name)


def _barred(by_name: dict[str, list[Claim]]) -> Iterator[Span]:
    """When an instance surely barred a node: it said so at two looks in a row, in the same life."""
    for name, claims in by_name.items():
        for one, other in pairwise(claims):
            first, second = one.told["scheduler"], other.told["scheduler"]
            if first["life"] == second["life"]:
                for node in set(first["barred"]) & set(second["barred"]):
                    yield one.at, other.asked, node, name


def _agreements(history: History, by_name: dict[str, list[Claim]]) -> Iterator[Finding]:
    book = book_of(history)
    pools, weights = book.pools(), book.weights()
    moments = sorted([(since, 1, node) for since, until, node, _ in _barred(by_name) if until > since]
                     + [(until, -1, node) for since, until, node, _ in _barred(by_name) if until > since])
    out: dict[str, int] = {}
    found: set[tuple[str, tuple[str, ...]]] = set()
    for at, step, node in moments:
        out[node] = out.get(node, 0) + step
        gone = tuple(sorted(n for n, count in out.items() if count))
        for pool in pools:
            missing = sum(weights.get(n, {}).get(pool.name, 0) for n in gone)
            if missing > pool.units and (pool.name, gone) not in found:
                found.add((pool.name, gone))
                yield Finding("agreement", at, f"{missing} of {pool.name} are out ({', '.join(gone)}), "
                              f"{pool.units} may be")


def _touched(history: History, by_name: dict[str, list[Claim]]) -> Iterator[Finding]:
    sent: dict[str, list[Sent]] = {}
    for record in history.log.records:
        if isinstance(record, Sent):
            sent.setdefault(record.node, []).append(record)
    for name, claims in by_name.items():
        for one, other in pairwise(claims):
            for node in _safe(one) & _safe(other):
                for record in sent.get(node[0], ()):
                    if one.at < record.at < other.asked:
                        yield Finding("touch", record.at, f"{record.scheduler} sent to {node[0]}, which "
                                      f"{name} called safe to touch")


def _safe(claim: Claim) -> set[tuple[str, int, int]]:
    nodes = claim.told.get("executor", {}).get("nodes", [])
    return {(n["node"], n["life"], n["number"]) for n in nodes if n["safe_to_touch"]}


def _stuck(history: History, by_name: dict[str, list[Claim]]) -> Iterator[Finding]:
    if history.end - history.calm_since < STUCK_S * 1_000:
        return
    last = [claims[-1] for claims in by_name.values() if history.lived(claims[-1].name, history.calm_since,
                                                                       claims[-1].at)]
    known = {n["node"] for c in last for n in c.told.get("executor", {}).get("nodes", [])}
    for claim in last:
        for node in claim.told["scheduler"]["barred"]:
            if node not in known:
                yield Finding("stuck", claim.at, f"{claim.name} bars {node}, and no executor speaks of it")
