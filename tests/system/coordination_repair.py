"""How long it takes from the loss of a replica until the core bears the next one, in virtual time.

    python -m tests.system.coordination_repair --worlds 1000 --jobs 8

The core bears the next losses when a leader's lease holds and so many members of the newest set are alive,
active and at the leader's position that a majority is left after the promised number of losses. Times are ms
from the loss, those of machines that are started again or anew included: `RESTART_MS` and `NEWCOMER_MS`.
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

NEWCOMER_MS = 1_000  # from a loss for good until an empty machine starts at another address
GRACE_MS = 4_500  # from SIGTERM until the process ends
DISK_TROUBLE_MS = 2_000
SLOW_SYNC_MS = (120, 270)  # 30 times as long as usual
LONGEST_MS = 20_000
SETTLING_MS = 1_000
WRITES = 40
NOT_WHOLE = -1
"""In place of a time: the core was not whole again within `LONGEST_MS`."""


class Repair(enum.Enum):
    """What is lost, and how it comes back."""

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
    """A core and what it promises."""

    replicas: int
    losses: int


SIZES = (Size(3, 1), Size(4, 1), Size(5, 2), Size(8, 2))


def bears_losses(world: World, losses: int) -> bool:
    """Whether a majority of the newest set is left after this many losses."""
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
    whole = 0
    for process in world.processes():
        host = process.node._host
        replica = host.replica if host is not None else None
        if replica is None or replica.serving is None or replica.serving.version != core.version:
            continue
        progress = state.followers.get(replica.identity)
        whole += progress is not None and progress.acked >= state.committed
    return whole >= core.majority + losses


def repair_ms(repair: Repair, size: Size, seed: int) -> int:
    """From the loss until the core bears the next ones, or `NOT_WHOLE`."""
    world = World(seed, size.replicas, tolerance=size.losses)
    world.start_all()
    assert world.run_for(LONGEST_MS, partial(bears_losses, world, size.losses)), "not founded"
    for _ in range(WRITES):
        world.write()
        world.run_for(SETTLING_MS // WRITES)
    lost_ms = _strike(world, repair)
    if not world.run_for(LONGEST_MS, partial(bears_losses, world, size.losses)):
        return NOT_WHOLE
    return world.now_ms - lost_ms


def _strike(world: World, repair: Repair) -> int:
    """Bring the loss about; returns when it began to count."""
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
            world.after(NEWCOMER_MS, partial(_newcomer, world))
        case Repair.PLANNED:
            return _replace_as_planned(world, victim)
        case Repair.RESTARTED_IN_TRANSFER:
            world.wipe(victim)
            world.run_for(RESTART_MS + world.rng.randint(20, 400))
            world.kill(victim)
        case _:
            _trouble_a_disk(world, repair, victim, others)
    world.run_for(1)
    return lost_ms


def _trouble_a_disk(world: World, repair: Repair, victim: Machine, others: list[Machine]) -> None:
    """A disk is lost, and one disk has trouble from then on."""
    world.wipe(victim)
    other = world.rng.choice([machine for machine in others if machine is not victim])
    match repair:
        case Repair.STALLED_DISK:
            other.platter.stalled_until_ms = world.now_ms + DISK_TROUBLE_MS
        case Repair.SLOW_DISK:
            _slow_down(world, other.platter)
        case Repair.FULL_DISK:
            _fill(world, other.platter)
        case Repair.OWN_DISK_SLOW:
            _slow_down(world, victim.platter)
        case Repair.OWN_DISK_FULL:
            _fill(world, victim.platter)


def _slow_down(world: World, platter: Platter) -> None:
    """Syncs take 30 times as long for a while."""
    usual_ms = platter.sync_ms
    platter.sync_ms = SLOW_SYNC_MS
    world.after(DISK_TROUBLE_MS, partial(setattr, platter, "sync_ms", usual_ms))


def _fill(world: World, platter: Platter) -> None:
    """Nothing becomes durable for a while."""
    platter.failing = True
    world.after(DISK_TROUBLE_MS, partial(setattr, platter, "failing", False))


def _replace_as_planned(world: World, victim: Machine) -> int:
    """A newcomer stands beside it, SIGTERM comes, the process ends after its grace period."""
    _newcomer(world)
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


def _newcomer(world: World) -> None:
    machine = Machine(len(world.machines), True, False)
    machine.first_start = False
    world.machines.append(machine)
    world.start(machine)


def _measure(job: tuple[Repair, Size, int]) -> int:
    return repair_ms(*job)


def main() -> None:
    """Print a line for each kind of repair and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--worlds", type=int, default=100, help="of each kind and size")
    parser.add_argument("--jobs", type=int, default=1, help="processes")
    parser.add_argument("--repair", type=Repair, choices=list(Repair), help="of this kind only")
    given = parser.parse_args()
    with multiprocessing.get_context("spawn").Pool(given.jobs) as pool:
        for repair in [given.repair] if given.repair else Repair:
            for size in SIZES:
                jobs = [(repair, size, seed) for seed in range(given.worlds)]
                times = sorted(pool.imap_unordered(_measure, jobs, chunksize=4))
                never = times.count(NOT_WHOLE)
                whole = times[never:]
                middle = statistics.median(whole) if whole else NOT_WHOLE
                print(
                    f"{repair.value:45} {size.replicas} replicas, {size.losses} to lose: "
                    f"median {middle:5.0f} ms, worst {times[-1]:5} ms, never {never}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
