"""The faults of a history, as data: so that a failing history can be replayed with fewer of them."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

WIPE_ALONE_MS = 6_000  # before and after a lost disk, no other replica is in trouble: more was never promised

SHORT_MS = (200, 2_500)
LONG_MS = (2_500, 7_000)  # longer than a hold, so that it may lapse


class FaultKind(enum.Enum):
    """What goes wrong."""

    KILL_SCHEDULER = "kill_scheduler"
    STOP_SCHEDULER = "stop_scheduler"  # SIGTERM
    POWER = "power"  # a scheduler's machine loses power
    WIPE = "wipe"  # and its disk
    KILL_CORE = "kill_core"  # all schedulers at once
    POWER_CORE = "power_core"
    FREEZE = "freeze"  # a scheduler or agent
    CUT = "cut"  # two machines from each other
    CUT_ONE_WAY = "cut_one_way"
    ISOLATE = "isolate"  # a machine from all others
    LOSSY = "lossy"  # the network loses, delays and doubles messages
    DISK_STALL = "disk_stall"
    DISK_FAIL = "disk_fail"
    DISK_FULL = "disk_full"
    WALL_STEP = "wall_step"
    KILL_AGENT = "kill_agent"
    STOP_AGENT = "stop_agent"
    CRASH_WORKER = "crash_worker"
    DRAIN_WORKER = "drain_worker"
    DARK_WORKER = "dark_worker"  # neither does nor answers what it is told
    UNHEALTHY_WORKER = "unhealthy_worker"
    LATE_ORDERS = "late_orders"
    LOST_ANSWERS = "lost_answers"
    LATE_BEATS = "late_beats"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: what, when, where (`other` for the second machine of a cut), for how long, how badly."""

    kind: FaultKind
    at_ms: int
    target: str = ""
    other: str = ""
    length_ms: int = 0
    amount: float = 0.0

    def __str__(self) -> str:
        where = f"{self.target}-{self.other}" if self.other else self.target
        return f"{self.at_ms:6d} ms  {self.kind.value} {where} for {self.length_ms} ms, {self.amount:.2f}"


_K = FaultKind
_OF_SCHEDULER = (_K.KILL_SCHEDULER, _K.STOP_SCHEDULER, _K.POWER, _K.FREEZE, _K.ISOLATE, _K.DISK_STALL,
                 _K.DISK_FAIL, _K.DISK_FULL, _K.WALL_STEP)
_OF_AGENT = (_K.KILL_AGENT, _K.STOP_AGENT, _K.FREEZE, _K.ISOLATE)
_OF_WORKER = (_K.CRASH_WORKER, _K.DRAIN_WORKER, _K.DARK_WORKER, _K.UNHEALTHY_WORKER, _K.LATE_ORDERS,
              _K.LATE_ORDERS, _K.LOST_ANSWERS, _K.LATE_BEATS)


def draw(rng: random.Random, replicas: list[str], schedulers: list[str], agents: list[str], diskless: bool,
         from_ms: int, until_ms: int) -> tuple[Fault, ...]:
    """Faults of a history, in the order of their times."""
    drawn = [_one(rng, replicas, schedulers, agents, from_ms, until_ms) for _ in range(rng.randint(2, 9))]
    if diskless:
        drawn = [fault for fault in drawn if fault.kind not in (_K.KILL_CORE, _K.POWER_CORE)]
    if rng.random() < 0.2:
        drawn.append(Fault(_K.WIPE, rng.randint(from_ms + 1_500, until_ms), rng.choice(replicas),
                           length_ms=rng.randint(200, 1_200)))
    return tuple(sorted(_keep_promise(drawn, replicas, diskless), key=lambda fault: fault.at_ms))


def _one(rng: random.Random, replicas: list[str], schedulers: list[str], agents: list[str],
         from_ms: int, until_ms: int) -> Fault:
    at_ms = rng.randint(from_ms, until_ms)
    draw_kind = rng.random()
    length_ms = rng.randint(*rng.choice((SHORT_MS, SHORT_MS, LONG_MS)))
    if draw_kind < 0.3:
        kind = rng.choice(_OF_SCHEDULER)
        amount = rng.choice((-6_000.0, -2_000.0, 3_000.0, 8_000.0))
        return Fault(kind, at_ms, rng.choice(replicas), "", length_ms, amount)
    if draw_kind < 0.45:
        return Fault(rng.choice(_OF_AGENT), at_ms, rng.choice(agents), "", length_ms)
    if draw_kind < 0.75:
        return Fault(rng.choice(_OF_WORKER), at_ms, rng.choice(agents), "", length_ms, rng.uniform(0.1, 0.7))
    if draw_kind < 0.9:
        kind = rng.choice((_K.CUT, _K.CUT_ONE_WAY))
        one, other = rng.sample(schedulers + agents, 2)
        return Fault(kind, at_ms, one, other, length_ms)
    if draw_kind < 0.95:
        return Fault(_K.LOSSY, at_ms, "", "", length_ms, rng.uniform(0.02, 0.3))
    return Fault(rng.choice((_K.KILL_CORE, _K.POWER_CORE)), at_ms, "", "", rng.randint(100, 900))


def _keep_promise(drawn: list[Fault], replicas: list[str], diskless: bool) -> list[Fault]:
    """Leave out what the system has never promised to bear: a lost disk beside other losses in the core.

    Where nothing has a disk, each end of a replica's process loses its state.
    """
    losing = {_K.WIPE}
    if diskless:
        losing |= {_K.KILL_SCHEDULER, _K.STOP_SCHEDULER, _K.POWER}
    kept: list[Fault] = []
    for fault in sorted(drawn, key=lambda fault: fault.kind not in losing):
        touches = _touches_core(fault, replicas)
        near = [other for other in kept if _touches_core(other, replicas) and _near(fault, other)
                and (fault.kind in losing or other.kind in losing)]
        if not (touches and near):
            kept.append(fault)
    return kept


def _touches_core(fault: Fault, replicas: list[str]) -> bool:
    everywhere = (_K.KILL_CORE, _K.POWER_CORE, _K.LOSSY)
    return fault.kind in everywhere or fault.target in replicas or fault.other in replicas


def _near(one: Fault, other: Fault) -> bool:
    return (one.at_ms <= other.at_ms + other.length_ms + WIPE_ALONE_MS
            and other.at_ms <= one.at_ms + one.length_ms + WIPE_ALONE_MS)
