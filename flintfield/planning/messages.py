"""Messages between forwarders and planners: forwarders send digests, planners answer with plans.

All times are durations, or on the clock of the forwarder that sends or receives the message, so clocks need
not be synchronised. Workers are identified by the decision module's numbers. `proof_of` is the checksum of a
whole plan: blake2b over canonical MessagePack (rows and leases ascending by worker), 8 bytes.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

import msgspec

MAX_ROWS = 512
"""Limit on the workers in one digest or plan. A forwarder uses its part of the fleet and a few more workers,
so this allows some 400 workers per forwarder; at 60 bytes a row a message stays below 32 KiB."""
MOST_CLASSES = 64
VALID_MS = 3_000.0
"""How long a plan is valid after the digest that it answers: long enough to survive some lost answers at two
a second, short enough that its prices still match the load (a price moves by half in some 0.5 s)."""
LONGEST_VALID_MS = 10_000.0


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """A forwarder's observations of one worker."""

    worker: int
    held: float  # slots that the forwarder's own attempts hold or wait for
    most: float  # largest number of free slots seen; 0: none yet
    pace: float  # running time for a unit of cost; 0: not measured
    heard_ms: float  # since the worker's last message; negative: never
    is_home: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """A forwarder's report to all planners, sent several times a second."""

    forwarder: str
    zone: int
    number: int  # ascending while the process runs
    at: float  # on the forwarder's clock; the validity of a plan that answers it starts here
    demand: float  # slots that its jobs hold or wait for, averaged over some seconds
    seen: tuple[Seen, ...] = ()
    terms: tuple[tuple[int, int], ...] = ()  # by planner place: the highest term seen
    in_force: tuple[int, int, int, str] | None = None  # place, term, number and proof of the plan in force


class Row(msgspec.Struct, frozen=True, array_like=True):
    """The entry of a plan for one worker."""

    worker: int
    share: float  # of the forwarder's traffic; the sum over all rows is 1
    price: float  # in units of the highest worth
    others: float  # slots that other forwarders hold there
    most: float  # largest number of free slots that any forwarder saw; 0: unknown
    pace: float  # running time for a unit of cost; 0: not measured
    heard_ms: float  # since any forwarder had a message from it; negative: never
    is_home: bool = False


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """A part of a cold worker's budget that the forwarder may use, beside its own, until the plan expires."""

    worker: int
    part: float  # of the budget of each fall window


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """A plan of one planner for one forwarder; if `base` is above 0, only the differences from the plan of
    that number."""

    place: int  # of the planner, from 0
    term: int  # of the planner's incarnation; a later one has a higher term
    number: int  # ascending in a term, from 1
    answers: float  # `at` of the digest that it answers
    valid_ms: float  # from `answers` on
    base: int = 0
    rows: tuple[Row, ...] = ()
    gone: tuple[int, ...] = ()  # workers of the base plan that are not in this plan
    leases: tuple[Lease, ...] = ()  # always complete, also in a delta
    proof: str = ""


class InvalidMessageError(ValueError):
    """A message is invalid; the text says why."""


def proof_of(plan: Plan) -> str:
    """The digest of a whole plan."""
    body = (plan.place, plan.term, plan.number, plan.answers, plan.valid_ms, plan.rows, plan.leases)
    return hashlib.blake2b(msgspec.msgpack.encode(body), digest_size=8).hexdigest()


def with_proof(plan: Plan) -> Plan:
    """A whole plan with its rows and leases sorted, and its checksum in `proof`."""
    ordered = msgspec.structs.replace(
        plan, rows=tuple(sorted(plan.rows, key=lambda r: r.worker)),
        leases=tuple(sorted(plan.leases, key=lambda each: each.worker)), proof="")
    return msgspec.structs.replace(ordered, proof=proof_of(ordered))


def delta(plan: Plan, base: Plan) -> Plan:
    """The plan encoded as differences from an earlier one of the same planner and term."""
    base_rows = {r.worker: r for r in base.rows}
    rows = tuple(r for r in plan.rows if base_rows.get(r.worker) != r)
    gone = tuple(sorted(base_rows.keys() - {r.worker for r in plan.rows}))
    return msgspec.structs.replace(plan, base=base.number, rows=rows, gone=gone)


def apply_delta(difference: Plan, base: Plan) -> Plan:
    """The whole plan that results from applying a delta to its base."""
    rows = {r.worker: r for r in base.rows}
    for worker in difference.gone:
        rows.pop(worker, None)
    rows.update((r.worker, r) for r in difference.rows)
    return msgspec.structs.replace(difference, base=0, gone=(), rows=tuple(rows[w] for w in sorted(rows)))


def _check_range(name: str, value: float, low: float, high: float = 1e12) -> None:
    if not (math.isfinite(value) and low <= value <= high):
        raise InvalidMessageError(f"{name}: found {value!r}, expected {low:g} to {high:g}")


def _check_unique(name: str, workers: Iterable[int]) -> None:
    seen: set[int] = set()
    for worker in workers:
        if worker in seen:
            raise InvalidMessageError(f"{name}: worker {worker} appears more than once")
        seen.add(worker)


def check_plan(plan: Plan, max_lease_part: float) -> None:
    """Raise a `InvalidMessageError` for an invalid whole plan; `max_lease_part`: the largest part of a cold
    worker's budget that one planner may lease."""
    _check_range("place", plan.place, 0, 1_000)
    _check_range("term", plan.term, 1, 1e15)
    _check_range("number", plan.number, 1)
    _check_range("answers", plan.answers, -1e15, 1e15)
    _check_range("valid_ms", plan.valid_ms, 0, LONGEST_VALID_MS)
    if len(plan.rows) > MAX_ROWS or len(plan.leases) > MAX_ROWS:
        found = max(len(plan.rows), len(plan.leases))
        raise InvalidMessageError(f"rows: found {found}, expected up to {MAX_ROWS}")
    _check_unique("rows", (r.worker for r in plan.rows))
    _check_unique("leases", (each.worker for each in plan.leases))
    for row in plan.rows:
        _check_range("share", row.share, 0, 1)
        _check_range("price", row.price, 0, 1)
        for name in ("others", "most", "pace"):
            _check_range(name, getattr(row, name), 0, 1e6)
        _check_range("heard_ms", row.heard_ms, -1)
    total = math.fsum(r.share for r in plan.rows)
    if plan.rows and abs(total - 1.0) > 1e-6:
        raise InvalidMessageError(f"shares: found a sum of {total:g}, expected 1")
    for lease in plan.leases:
        _check_range("lease", lease.part, 0, max_lease_part + 1e-9)
    if proof_of(plan) != plan.proof:
        raise InvalidMessageError(f"proof: found {plan.proof!r}, expected {proof_of(plan)!r}")


def check_digest(digest: Digest) -> None:
    """Raise a `InvalidMessageError` for an invalid digest."""
    if not 0 < len(digest.forwarder) <= 64:
        raise InvalidMessageError(f"forwarder: found {len(digest.forwarder)} characters, expected 1 to 64")
    _check_range("number", digest.number, 1)
    _check_range("at", digest.at, -1e15, 1e15)
    _check_range("demand", digest.demand, 0, 1e6)
    if len(digest.seen) > MAX_ROWS or len(digest.terms) > 1_000:
        raise InvalidMessageError(f"seen: found {len(digest.seen)}, expected up to {MAX_ROWS}")
    _check_unique("seen", (s.worker for s in digest.seen))
    for seen in digest.seen:
        for name in ("held", "most", "pace"):
            _check_range(name, getattr(seen, name), 0, 1e6)
        _check_range("heard_ms", seen.heard_ms, -1)
