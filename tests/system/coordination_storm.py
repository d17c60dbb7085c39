"""Random faults in a simulated cluster, and the check that it recovers afterwards."""

from __future__ import annotations

from functools import partial

from .coordination_world import RESTART_MS, Machine, Violation, World

RECOVERY_MS = 12_000  # the longest permitted time for a full recovery; the documented limit is 12 s
MAX_FAULT_MS = 4_000


class RandomFaults:
    """Injects faults and client work, chosen with the world's random generator."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.rng = world.rng
        self.log: list[str] = []
        self.faults = {
            self.kill_one: 4,
            self.kill_all: 1,
            self.power_off_all: 1,
            self.wipe_one: 4,
            self.wipe_leader: 2,
            self.freeze: 3,
            self.cut_one: 3,
            self.cut_one_way: 2,
            self.heal: 8,
            self.bad_links: 2,
            self.slow_disk: 2,
            self.resign: 2,
            self.step_clock: 1,
            self.failing_disk: 1,
        }

    def inject(self, duration_ms: int) -> None:
        """Inject faults and start client work for this time."""
        world = self.world
        end_ms = world.now_ms + duration_ms
        next_fault_ms = world.now_ms + 500
        while world.now_ms < end_ms:
            world.run_for(self.rng.randint(5, 60))
            self._start_client_work()
            if world.now_ms >= next_fault_ms:
                next_fault_ms = world.now_ms + self.rng.choice((20, 150, 600, 1_500, 2_500))
                fault = self.rng.choices(list(self.faults), list(self.faults.values()))[0]
                self.log.append(f"{world.now_ms} {fault.__name__}")
                fault()

    def recover_and_check(self) -> None:
        """End all faults, and check that the cluster recovers and stays stable."""
        world = self.world
        self.heal()
        for machine in world.machines:
            machine.platter.stalled_until_ms = 0
            machine.platter.failing = False
            if machine.process is None:
                world.after(RESTART_MS, partial(world.restart, machine))
        world.run_for(MAX_FAULT_MS)  # syncs and freezes in progress end by themselves
        if not world.run_for(RECOVERY_MS, world.settled):
            raise Violation("the cluster did not settle after the faults ended")
        elections_before = len(world.judge.elections)
        for _ in range(20):
            world.run_for(100)
            self._start_client_work()
        acked_before = len(world.judge.acked)
        for process in world.processes():
            world.read(process)
        world.write()
        world.run_for(1_000)
        if len(world.judge.acked) <= acked_before - 1 or len(world.judge.elections) != elections_before:
            raise Violation("no progress, or a needless election, after the faults ended")
        self._check_known()

    def _check_known(self) -> None:
        for process in self.world.processes():
            known = process.node.known()
            if known is None or self.world.now_ms - known[1] > 1_000:
                raise Violation(f"{process.machine.name} last confirmed its value at {known and known[1]}")
            self.world.judge.read(known[0], self.world.judge.required)
            view = process.node.leader
            leader = self.world.leader()
            if view is None or leader is None or view.address != leader.address:
                raise Violation(f"{process.machine.name} does not know the leader: {view}")

    def _start_client_work(self) -> None:
        world = self.world
        for _ in range(self.rng.randint(0, 3)):
            world.write()
        processes = world.processes()
        if processes and self.rng.random() < 0.3:
            world.change(self.rng.choice(processes))
        if processes and self.rng.random() < 0.3:
            world.read(self.rng.choice(processes))

    # The faults.

    def _machine(self) -> Machine:
        return self.rng.choice(self.world.machines)

    def kill_one(self) -> None:
        self.world.kill(self._machine(), self.rng.choice((50, RESTART_MS, 4_000)))

    def kill_all(self) -> None:
        for machine in self.world.machines:
            self.world.kill(machine, self.rng.randint(100, 900))

    def power_off_all(self) -> None:
        for machine in self.world.machines:
            self.world.kill(machine, self.rng.randint(800, 3_000), power=True)

    def wipe_one(self) -> None:
        if self.world.settled():
            self.world.wipe(self.rng.choice([m for m in self.world.machines if m.counts]))

    def wipe_leader(self) -> None:
        leader = self.world.leader()
        if leader is not None and self.world.settled():
            self.world.wipe(leader.machine)

    def freeze(self) -> None:
        self.world.freeze(self._machine(), self.rng.choice((300, 1_200, 4_000)))

    def cut_one(self) -> None:
        machine = self._machine()
        self.world.cut([machine], [other for other in self.world.machines if other is not machine])

    def cut_one_way(self) -> None:
        one, other = self.rng.sample(self.world.machines, 2)
        self.world.network.weather.cuts.add((one.address, other.address))

    def heal(self) -> None:
        self.world.heal()

    def bad_links(self) -> None:
        weather = self.world.network.weather
        weather.lost, weather.late, weather.doubled = 0.05, 0.05, 0.05

    def slow_disk(self) -> None:
        self._machine().platter.stalled_until_ms = self.world.now_ms + self.rng.choice((200, 1_500, 4_000))

    def failing_disk(self) -> None:
        platter = self._machine().platter
        platter.failing = True
        self.world.after(2_000, lambda: setattr(platter, "failing", False))

    def resign(self) -> None:
        leader = self.world.leader()
        if leader is not None and leader.runs():
            leader.loop.create_task(leader.node.resign())
            self.world.after(500, lambda: self._restart_after_resignation(leader.machine))

    def _restart_after_resignation(self, machine: Machine) -> None:
        if machine.process is not None:
            self.world.kill(machine)

    def step_clock(self) -> None:
        self._machine().wall_step_ms = self.rng.choice((-4_000, 0, 0, 3_000))


def run_scenario(
    seed: int, duration_ms: int = 20_000, replicas: int = 3, clients: int = 1, tolerance: int = 1
) -> RandomFaults:
    """Run the foundation, a phase of random faults and the recovery. Raises `Violation` with the seed."""
    world = World(seed, replicas, clients, tolerance=tolerance)
    random_faults = RandomFaults(world)
    try:
        world.start_all()
        if not world.run_for(4_000, world.settled):
            raise Violation("the core was not founded in time")
        random_faults.inject(duration_ms)
        random_faults.recover_and_check()
    except Exception as error:
        raise Violation(
            f"seed {seed}, {world.now_ms} ms, {error!r}, faults {random_faults.log[-12:]}"
        ) from error
    return random_faults
