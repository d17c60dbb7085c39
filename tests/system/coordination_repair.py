"""Time from the loss of a replica until the core tolerates further losses, in virtual time.

    python -m tests.system.coordination_repair --worlds 1000 --jobs 8

The core tolerates further losses when a leader holds its lease and enough members of the newest core set are
alive, active and at the leader's position that a majority remains after the promised number of losses. Times
are in milliseconds from the loss and include the start of machines: `RESTART_MS` and `NEWCOMER_MS`.
"""

from __future__ import annotations

import argparse
import enum
import multiprocessing
import statistics
from dataclasses import dataclass
from functools import partial

from .coordination_disk import Platter
from .coordination_world import RESTART_MS, Machine, World

NEWCOMER_MS = 1_000  # from a permanent loss until an empty machine starts at another address
GRACE_MS = 4_500  # from SIGTERM until the process ends
DISK_FAULT_MS = 2_000
SLOW_SYNC_MS = (120, 270)  # 30 times the usual duration
REPAIR_TIMEOUT_MS = 20_000
WRITE_PHASE_MS = 1_000
WRITES = 40
NOT_REPAIRED = -1
"""Result if the core didn't tolerate further losses within `REPAIR_TIMEOUT_MS`."""


class Repair(enum.Enum):
    """The kind of loss, and how the replica is restored or replaced."""

    RESTARTED = "restarted"
    WIPED = "wiped"
    WIPED_LEADER = "wiped leader"
    NEW_NAME = "new name, new address"
    PLANNED = "planned: newcomer first, then SIGTERM"
    RESTARTED_IN_TRANSFER = "wiped, restarted in the midst of its transfer"
    STALLED_DISK = "wiped, while another's disk stalls"
    SLOW_DISK = "wiped, while another's disk is slow"
    FULL_DISK = "wiped, while another's disk is full"
    OWN_DISK_SLOW = "wiped, its new disk slow"
    OWN_DISK_FULL = "wiped, its new disk full at first"


@dataclass(frozen=True, slots=True)
class Size:
    """A core size and the number of losses that it must tolerate."""

    replicas: int
    losses: int


SIZES = (Size(3, 1), Size(4, 1), Size(5, 2), Size(8, 2))


def tolerates_losses(world: World, losses: int) -> bool:
    """Return whether a majority of the newest core set remains after this many losses."""
    leader = world.leader()
    core = max(
        (process.node.core for process in world.processes() if process.node.core is not None),
        key=lambda core: core.version,
        default=None,
    )
    if leader is None or leader.leadership is None or core is None:
        return False
    state = leader.leadership.leader
    if state.core.version != core.version:
        return False
    up_to_date = 0
    for process in world.processes():
        host = process.node._host
        replica = host.replica if host is not None else None
        if replica is None or replica.serving is None or replica.serving.version != core.version:
            continue
        progress = state.followers.get(replica.identity)
        up_to_date += progress is not None and progress.acked >= state.committed
    return up_to_date >= core.majority + losses


def repair_ms(repair: Repair, size: Size, seed: int) -> int:
    """Return the time from the loss until the core tolerates further losses, or `NOT_REPAIRED`."""
    world = World(seed, size.replicas, tolerance=size.losses)
    world.start_all()
    assert world.run_for(REPAIR_TIMEOUT_MS, partial(tolerates_losses, world, size.losses)), (
        "the first core set did not become operational in time"
    )
    for _ in range(WRITES):
        world.write()
        world.run_for(WRITE_PHASE_MS // WRITES)
    lost_ms = _cause_loss(world, repair)
    if not world.run_for(REPAIR_TIMEOUT_MS, partial(tolerates_losses, world, size.losses)):
        return NOT_REPAIRED
    return world.now_ms - lost_ms


def _cause_loss(world: World, repair: Repair) -> int:
    """Cause the loss and return the virtual time from which the repair time is measured."""
    leader = world.leader()
    assert leader is not None
    replicas = [machine for machine in world.machines if machine.counts]
    others = [machine for machine in replicas if machine is not leader.machine]
    victim = world.rng.choice(others)
    lost_ms = world.now_ms
    match repair:
        case Repair.RESTARTED:
            world.kill(victim)
        case Repair.WIPED:
            world.wipe(victim)
        case Repair.WIPED_LEADER:
            world.wipe(leader.machine)
        case Repair.NEW_NAME:
            _remove(world, victim)
            world.after(NEWCOMER_MS, partial(_start_newcomer, world))
        case Repair.PLANNED:
            return _planned_replacement(world, victim)
        case Repair.RESTARTED_IN_TRANSFER:
            world.wipe(victim)
            world.run_for(RESTART_MS + world.rng.randint(20, 400))
            world.kill(victim)
        case _:
            _wipe_with_disk_fault(world, repair, victim, others)
    world.run_for(1)
    return lost_ms


def _wipe_with_disk_fault(world: World, repair: Repair, victim: Machine, others: list[Machine]) -> None:
    """Wipe the victim, and make the victim's new disk or another replica's disk faulty."""
    world.wipe(victim)
    other = world.rng.choice([machine for machine in others if machine is not victim])
    match repair:
        case Repair.STALLED_DISK:
            other.platter.stalled_until_ms = world.now_ms + DISK_FAULT_MS
        case Repair.SLOW_DISK:
            _slow_down(world, other.platter)
        case Repair.FULL_DISK:
            _fail_syncs(world, other.platter)
        case Repair.OWN_DISK_SLOW:
            _slow_down(world, victim.platter)
        case Repair.OWN_DISK_FULL:
            _fail_syncs(world, victim.platter)


def _slow_down(world: World, platter: Platter) -> None:
    """Make syncs take 30 times as long for `DISK_FAULT_MS`."""
    normal_sync_ms = platter.sync_ms
    platter.sync_ms = SLOW_SYNC_MS
    world.after(DISK_FAULT_MS, partial(setattr, platter, "sync_ms", normal_sync_ms))


def _fail_syncs(world: World, platter: Platter) -> None:
    """Let all syncs fail for `DISK_FAULT_MS`."""
    platter.failing = True
    world.after(DISK_FAULT_MS, partial(setattr, platter, "failing", False))


def _planned_replacement(world: World, victim: Machine) -> int:
    """Start a newcomer, then resign the victim as on SIGTERM, and end it after its grace period."""
    _start_newcomer(world)
    world.run_for(NEWCOMER_MS)
    process = victim.process
    assert process is not None
    process.loop.create_task(process.node.resign())
    world.run_for(GRACE_MS)
    _remove(world, victim)
    return world.now_ms


def _remove(world: World, machine: Machine) -> None:
    world.kill(machine, None, power=True)
    machine.present = False


def _start_newcomer(world: World) -> None:
    machine = Machine(len(world.machines), True, False)
    machine.first_start = False
    world.machines.append(machine)
    world.start(machine)


def _measure(job: tuple[Repair, Size, int]) -> int:
    return repair_ms(*job)


def main() -> None:
    """Print one line for each kind of repair and each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--worlds", type=int, default=100, help="simulations per kind and size")
    parser.add_argument("--jobs", type=int, default=1, help="processes")
    parser.add_argument("--repair", type=Repair, choices=list(Repair), help="run only this kind of repair")
    options = parser.parse_args()
    with multiprocessing.get_context("spawn").Pool(options.jobs) as pool:
        for repair in [options.repair] if options.repair else Repair:
            for size in SIZES:
                jobs = [(repair, size, seed) for seed in range(options.worlds)]
                times = sorted(pool.imap_unordered(_measure, jobs, chunksize=4))
                never = times.count(NOT_REPAIRED)
                completed = times[never:]
                median_ms = statistics.median(completed) if completed else NOT_REPAIRED
                print(
                    f"{repair.value:45} {size.replicas} replicas, {size.losses} to lose: "
                    f"median {median_ms:5.0f} ms, worst {times[-1]:5} ms, never {never}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
