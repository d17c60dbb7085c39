"""What planners and forwarders tell each other: digests go up, plans come down.

All times are durations or stand on the clock of the forwarder that a message is from or for, so no clocks
need agree. Workers are the module's own numbers. `proof_of` is the digest of a plan as a forwarder has it
in force: blake2b over canonical MessagePack (rows and leases ascending by worker), 8 bytes.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable

import msgspec

MOST_ROWS = 512
"""Workers in one digest or plan: a forwarder deals with its part of the fleet and a few more, so this is for
some 400 workers a forwarder; at 60 bytes a row a message stays below 32 KiB."""
MOST_CLASSES = 64
VALID_MS = 3_000.0
"""How long a plan is in force after the digest that it answers: long enough for some lost answers at two a
second, short enough that prices are not of another load (a price moves by half in some 0.5 s)."""
LONGEST_VALID_MS = 10_000.0


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """What a forwarder sees of one worker."""

    worker: int
    held: float  # slots that its own attempts hold there, or wait for
    most: float  # most slots ever seen free; 0: none yet
    pace: float  # running time for a unit of cost; 0: not measured
    heard_ms: float  # since the worker's last word; negative: never
    is_home: bool = False


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What a forwarder tells all planners, a few times a second."""

    forwarder: str
    zone: int
    number: int  # ascending in one life
    at: float  # on the forwarder's clock: what answers it is valid from then on
    demand: float  # slots that its jobs hold or wait for, in the mean of some seconds
    seen: tuple[Seen, ...] = ()
    terms: tuple[tuple[int, int], ...] = ()  # for each planner's place the highest term it heard of
    in_force: tuple[int, int, int, str] | None = None  # place, term, number and proof of the plan in force


class Row(msgspec.Struct, frozen=True, array_like=True):
    """What a plan says of one worker."""

    worker: int
    share: float  # of the forwarder's traffic, over all rows 1
    price: float  # in units of the highest worth
    others: float  # slots that other forwarders hold there
    most: float  # most slots that anybody saw free; 0: not known
    pace: float  # running time for a unit of cost; 0: not measured
    heard_ms: float  # since anybody had a word of it; negative: never
    is_home: bool = False


class Lease(msgspec.Struct, frozen=True, array_like=True):
    """The part of a cold worker's budget that the forwarder may use beside its own until the plan ends."""

    worker: int
    part: float  # of the budget of each fall window


class Plan(msgspec.Struct, frozen=True, array_like=True):
    """What one planner tells one forwarder; with `base` above 0 only what differs from the plan of that
    number."""

    place: int  # of the planner, from 0
    term: int  # of its life: a later life has a higher one
    number: int  # ascending in a term, from 1
    answers: float  # `at` of the digest that it answers
    valid_ms: float  # from then on
    base: int = 0
    rows: tuple[Row, ...] = ()
    gone: tuple[int, ...] = ()  # workers of the base that are in this plan no more
    leases: tuple[Lease, ...] = ()  # all of them, also in a delta
    proof: str = ""


class NonsenseError(ValueError):
    """A message that no sound sender makes; the text says what is wrong with it."""


def proof_of(plan: Plan) -> str:
    """The digest of a whole plan."""
    body = (plan.place, plan.term, plan.number, plan.answers, plan.valid_ms, plan.rows, plan.leases)
    return hashlib.blake2b(msgspec.msgpack.encode(body), digest_size=8).hexdigest()


def sealed(plan: Plan) -> Plan:
    """A whole plan with its rows and leases in order, and its proof."""
    ordered = msgspec.structs.replace(
        plan, rows=tuple(sorted(plan.rows, key=lambda r: r.worker)),
        leases=tuple(sorted(plan.leases, key=lambda x: x.worker)), proof="")
    return msgspec.structs.replace(ordered, proof=proof_of(ordered))


def delta(plan: Plan, base: Plan) -> Plan:
    """The plan as what differs from an earlier one of the same planner and term."""
    before = {r.worker: r for r in base.rows}
    rows = tuple(r for r in plan.rows if before.get(r.worker) != r)
    gone = tuple(sorted(before.keys() - {r.worker for r in plan.rows}))
    return msgspec.structs.replace(plan, base=base.number, rows=rows, gone=gone)


def whole(change: Plan, base: Plan) -> Plan:
    """The whole plan that a delta makes of its base."""
    rows = {r.worker: r for r in base.rows}
    for worker in change.gone:
        rows.pop(worker, None)
    rows.update((r.worker, r) for r in change.rows)
    return msgspec.structs.replace(change, base=0, gone=(), rows=tuple(rows[w] for w in sorted(rows)))


def _check(name: str, value: float, low: float, high: float = 1e12) -> None:
    if not (math.isfinite(value) and low <= value <= high):
        raise NonsenseError(f"{name}: found {value!r}, expected {low:g} to {high:g}")


def _once(name: str, workers: Iterable[int]) -> None:
    seen: set[int] = set()
    for worker in workers:
        if worker in seen:
            raise NonsenseError(f"{name}: worker {worker} twice")
        seen.add(worker)


def check_plan(plan: Plan, part: float) -> None:
    """Raise a `NonsenseError` for a whole plan that cannot be right; `part`: the most that one planner may
    lease of a cold worker's budget."""
    _check("place", plan.place, 0, 1_000)
    _check("term", plan.term, 1, 1e15)
    _check("number", plan.number, 1)
    _check("answers", plan.answers, -1e15, 1e15)
    _check("valid_ms", plan.valid_ms, 0, LONGEST_VALID_MS)
    if len(plan.rows) > MOST_ROWS or len(plan.leases) > MOST_ROWS:
        found = max(len(plan.rows), len(plan.leases))
        raise NonsenseError(f"rows: found {found}, expected up to {MOST_ROWS}")
    _once("rows", (r.worker for r in plan.rows))
    _once("leases", (x.worker for x in plan.leases))
    for row in plan.rows:
        _check("share", row.share, 0, 1)
        _check("price", row.price, 0, 1)
        for name in ("others", "most", "pace"):
            _check(name, getattr(row, name), 0, 1e6)
        _check("heard_ms", row.heard_ms, -1)
    total = math.fsum(r.share for r in plan.rows)
    if plan.rows and abs(total - 1.0) > 1e-6:
        raise NonsenseError(f"shares: found a sum of {total:g}, expected 1")
    for lease in plan.leases:
        _check("lease", lease.part, 0, part + 1e-9)
    if proof_of(plan) != plan.proof:
        raise NonsenseError(f"proof: found {plan.proof!r}, expected {proof_of(plan)!r}")


def check_digest(digest: Digest) -> None:
    """Raise a `NonsenseError` for a digest that cannot be right."""
    if not 0 < len(digest.forwarder) <= 64:
        raise NonsenseError(f"forwarder: found {len(digest.forwarder)} characters, expected 1 to 64")
    _check("number", digest.number, 1)
    _check("at", digest.at, -1e15, 1e15)
    _check("demand", digest.demand, 0, 1e6)
    if len(digest.seen) > MOST_ROWS or len(digest.terms) > 1_000:
        raise NonsenseError(f"seen: found {len(digest.seen)}, expected up to {MOST_ROWS}")
    _once("seen", (s.worker for s in digest.seen))
    for seen in digest.seen:
        for name in ("held", "most", "pace"):
            _check(name, getattr(seen, name), 0, 1e6)
        _check("heard_ms", seen.heard_ms, -1)
