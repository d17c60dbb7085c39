"""The faults of a history, as data: so that a failing history can be replayed with fewer of them."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

WIPE_ALONE_MS = 6_000  # before and after a lost disk, no other replica is in trouble: more was never promised
LEADER = "leader"  # as a target: whoever leads at that moment
ALL = "all"  # as the other machines of `WIPE_AND_POWER`: those that don't count as well


class FaultKind(enum.Enum):
    """What goes wrong."""

    KILL_SCHEDULER = "kill_scheduler"
    STOP_SCHEDULER = "stop_scheduler"  # SIGTERM
    POWER = "power"  # a scheduler's machine loses power
    WIPE = "wipe"  # and its disk; with commas: several at once; back up to `amount` ms later
    WIPE_AND_POWER = "wipe_and_power"  # and all other replicas (or machines, `other`) lose power with them
    KILL_CORE = "kill_core"  # all schedulers at once
    POWER_CORE = "power_core"
    KILL_ALL_SCHEDULERS = (
        "kill_all_schedulers"  # all schedulers at once, back in any order within `amount` ms of one another
    )
    POWER_ALL = "power_all"  # every machine of the system: schedulers and agents
    SEED_TURNOVER = "seed_turnover"  # the settings name other seeds (`target`, with commas), SIGHUP to all
    FREEZE = "freeze"  # a scheduler or agent
    CUT = "cut"  # two machines from each other
    CUT_ONE_WAY = "cut_one_way"
    SPLIT = "split"  # some machines (`other`, with commas) from all others
    LOSSY = "lossy"  # the network loses, delays and doubles messages
    DISK_STALL = "disk_stall"
    DISK_FAIL = "disk_fail"
    DISK_FULL = "disk_full"
    WALL_STEP = "wall_step"
    KILL_AGENT = "kill_agent"
    STOP_AGENT = "stop_agent"
    CRASH_WORKER = "crash_worker"
    DRAIN_WORKER = "drain_worker"
    DEREGISTER_WORKER = "deregister_worker"  # it deregisters first, serves on for the length, and ends
    DARK_WORKER = "dark_worker"  # neither does nor answers what it is told
    UNHEALTHY_WORKER = "unhealthy_worker"
    LATE_ORDERS = "late_orders"
    LOST_ANSWERS = "lost_answers"
    LATE_BEATS = "late_beats"


LOSING_DISKS = frozenset({FaultKind.WIPE, FaultKind.WIPE_AND_POWER})


class Trigger(enum.Enum):
    """What a fault waits for from its time on."""

    NONE = "at once"
    ACK = "after an acknowledgement"
    START = "after a start"
    NOTED = "after an end was taken note of"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: what, when, where (`other` for the second machine of a cut), for how long, how badly."""

    kind: FaultKind
    at_ms: int
    target: str = ""
    other: str = ""
    length_ms: int = 0
    amount: float = 0.0
    trigger: Trigger = Trigger.NONE

    @property
    def lost_disks(self) -> tuple[str, ...]:
        """The machines that lose their disks."""
        return tuple(self.target.split(",")) if self.kind in LOSING_DISKS else ()

    def __str__(self) -> str:
        where = f"{self.target}-{self.other}" if self.other else self.target
        return (
            f"{self.at_ms:6d} ms  {self.kind.value} {where} for {self.length_ms} ms, {self.amount:.2f}, "
            f"{self.trigger.value}"
        )


_EVERYWHERE = (
    FaultKind.KILL_CORE,
    FaultKind.POWER_CORE,
    FaultKind.KILL_ALL_SCHEDULERS,
    FaultKind.POWER_ALL,
    FaultKind.LOSSY,
    FaultKind.SPLIT,
    FaultKind.WIPE_AND_POWER,
)


def keep_promise(drawn: Iterable[Fault], replicas: list[str], diskless: bool) -> tuple[Fault, ...]:
    """Leave out what the system has never promised to bear.

    That is a lost disk beside other losses in the core, and more lost disks at once than are tolerated.
    Where nothing has a disk, each end of a replica's process loses its state.
    """
    drawn = [fault for fault in drawn if len(fault.lost_disks) <= tolerated_losses(len(replicas))]
    losing = set(LOSING_DISKS)
    if diskless:
        drawn = [
            fault
            for fault in drawn
            if fault.kind
            not in (
                FaultKind.KILL_CORE,
                FaultKind.POWER_CORE,
                FaultKind.KILL_ALL_SCHEDULERS,
                FaultKind.POWER_ALL,
                FaultKind.WIPE_AND_POWER,
            )
        ]
        losing |= {FaultKind.KILL_SCHEDULER, FaultKind.STOP_SCHEDULER, FaultKind.POWER}
    kept: list[Fault] = []
    for fault in sorted(drawn, key=lambda fault: fault.kind not in losing):
        near = [
            other
            for other in kept
            if _touches_core(other, replicas)
            and _near(fault, other)
            and (fault.kind in losing or other.kind in losing)
        ]
        if not (_touches_core(fault, replicas) and near):
            kept.append(fault)
    return tuple(sorted(kept, key=lambda fault: fault.at_ms))


def tolerated_losses(replicas: int) -> int:
    """The number of replicas that may lose their disks at once."""
    return (replicas - 1) // 2


def _touches_core(fault: Fault, replicas: list[str]) -> bool:
    return (
        fault.kind in _EVERYWHERE
        or fault.target in replicas
        or fault.other in replicas
        or fault.target == LEADER
        or any(name in replicas for name in fault.lost_disks)
    )


def _near(one: Fault, other: Fault) -> bool:
    if one.trigger is not Trigger.NONE or other.trigger is not Trigger.NONE:
        return True  # nobody knows when
    return (
        one.at_ms <= other.at_ms + other.length_ms + WIPE_ALONE_MS
        and other.at_ms <= one.at_ms + one.length_ms + WIPE_ALONE_MS
    )
