"""The processes of a history on their machines, and the faults that befall them."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from functools import partial

from flintfield.agent.events import Event, Heartbeat
from flintfield.simulation import worker_faults
from flintfield.simulation.agent import AgentProcess
from flintfield.simulation.disk import Platter
from flintfield.simulation.faults import ALL, LEADER, Fault, FaultKind, Trigger, tolerated_losses
from flintfield.simulation.fleet import Fleet
from flintfield.simulation.links import SLOW_BYTES_PER_MS
from flintfield.simulation.plans import Bounds
from flintfield.simulation.record import Record, Trouble
from flintfield.simulation.scenario import Scenario
from flintfield.simulation.scheduler import Core, SchedulerProcess
from flintfield.simulation.world import Machine, World
from flintfield.simulation.worker import PlanOf

RPC_PORT = 7_000
START_SPREAD_MS = 300.0
RESTART_MS = 250.0
LATER_MS = (0.0, 2_000.0)  # how much later than a lost disk's machine the others may come back
STRIKE_MS = (0.0, 4.0)  # from what a fault waits for to the fault
GRACE_MS = 1_500.0
SETTLE_MS = 1_500.0  # of trouble after a fault is over: reconnecting, a takeover
FOREVER_MS = 1e12


class Cluster:
    """Schedulers, agents and workers."""

    def __init__(
        self, world: World, record: Record, scenario: Scenario, bounds: Bounds, plan_of: PlanOf
    ) -> None:
        self.world = world
        self.record = record
        self.scenario = scenario
        self.bounds = bounds
        self._rng: random.Random = world.draw()
        self.fleet = Fleet(world, record, bounds, plan_of, self.signal, world.draw())
        self.fleet.calls.prompt_answer_ms = scenario.prompt_answer_ms
        names = scenario.schedulers
        for number, name in enumerate(names):
            world.add_machine(name, f"10.0.0.{number}:{RPC_PORT}")
        for name in scenario.slow_schedulers:
            world.network.links.limit(name, SLOW_BYTES_PER_MS)
        seeds = tuple(world.machines[name].address for name in names[:3])
        tolerance = tolerated_losses(scenario.replicas)
        record.core = frozenset(names[: scenario.replicas])
        self._armed: list[Fault] = []
        self._core = Core(seeds, record.core, scenario.diskless, tolerance, bounds)
        for number, name in enumerate(scenario.agents):
            world.add_machine(name, f"10.0.1.{number}:{RPC_PORT}")
        self._apply: dict[FaultKind, Callable[[Fault], None]] = {
            FaultKind.KILL_SCHEDULER: lambda fault: self._kill(fault.target, fault.length_ms, power=False),
            FaultKind.POWER: lambda fault: self._kill(fault.target, fault.length_ms, power=True),
            FaultKind.STOP_SCHEDULER: self._stop_scheduler,
            FaultKind.WIPE: self._wipe,
            FaultKind.WIPE_AND_POWER: self._wipe_and_power,
            FaultKind.KILL_CORE: lambda fault: self._kill_core(fault, power=False),
            FaultKind.POWER_CORE: lambda fault: self._kill_core(fault, power=True),
            FaultKind.KILL_ALL_SCHEDULERS: self._kill_all_schedulers,
            FaultKind.POWER_ALL: self._power_all,
            FaultKind.SEED_TURNOVER: self._name_seeds,
            FaultKind.FREEZE: self._freeze,
            FaultKind.CUT: lambda fault: self._cut(fault, both=True),
            FaultKind.CUT_ONE_WAY: lambda fault: self._cut(fault, both=False),
            FaultKind.SPLIT: self._split,
            FaultKind.LOSSY: self._lossy,
            FaultKind.DISK_STALL: self._disk,
            FaultKind.DISK_FAIL: self._disk,
            FaultKind.DISK_FULL: self._disk,
            FaultKind.WALL_STEP: self._wall_step,
            FaultKind.KILL_AGENT: lambda fault: self._kill(fault.target, fault.length_ms, power=False),
            FaultKind.STOP_AGENT: self._stop_agent,
            FaultKind.CRASH_WORKER: lambda fault: self.fleet.crash(self.fleet.spots[fault.target]),
            FaultKind.DRAIN_WORKER: lambda fault: self.fleet.drain(self.fleet.spots[fault.target]),
            FaultKind.DEREGISTER_WORKER: self._deregister_worker,
            FaultKind.DARK_WORKER: self._worker,
            FaultKind.UNHEALTHY_WORKER: self._worker,
            FaultKind.LATE_ORDERS: self._worker,
            FaultKind.LOST_ANSWERS: self._worker,
            FaultKind.LATE_BEATS: self._worker,
        }

    def start(self) -> None:
        """The very first start of everything, in any order; faults and workers follow."""
        for name in [*self.scenario.schedulers, *self.scenario.agents]:
            self.world.after(self._rng.uniform(0, START_SPREAD_MS), partial(self._start, name))
        for name, kind in zip(self.scenario.agents, self.scenario.workers, strict=True):
            self.fleet.add(name, kind, self._heartbeat_to(name))
        for fault in self.scenario.faults:
            self.world.at(fault.at_ms, partial(self._arm, fault))

    def _start(self, name: str) -> None:
        machine = self.world.machines[name]
        if machine.process is not None:
            return
        self.world.note(f"{name} starts")
        if name in self.scenario.schedulers:
            SchedulerProcess(self.world, machine, self._core, first_start=machine.lives == 0)
        else:
            AgentProcess(self.world, machine, self.fleet, self._core.seeds, self.bounds)

    def _heartbeat_to(self, name: str) -> Callable[[Event], bool]:
        machine = self.world.machines[name]

        def deliver(event: Event) -> bool:
            process = machine.process
            if not isinstance(process, AgentProcess):
                return False
            process.loop.call_soon(process.deliver, event)
            return not isinstance(event, Heartbeat) or self.world.now_ms >= machine.frozen_until_ms

        return deliver

    def scheduler(self, name: str) -> SchedulerProcess | None:
        """The living process there, if it listens."""
        process = self.world.machines[name].process
        if isinstance(process, SchedulerProcess) and process.handlers is not None:
            return process
        return None

    # Faults.

    def _arm(self, fault: Fault) -> None:
        if fault.trigger is Trigger.NONE:
            self.apply(fault)
        else:
            self._armed.append(fault)

    def signal(self, trigger: Trigger) -> None:
        """Something was seen that a fault may wait for: it strikes within a few ms."""
        struck = [fault for fault in self._armed if fault.trigger is trigger]
        for fault in struck[:1]:
            self._armed.remove(fault)
            self.world.after(self._rng.uniform(*STRIKE_MS), partial(self.apply, fault))

    def apply(self, fault: Fault) -> None:
        """Let it happen now."""
        if LEADER in fault.target.split(","):
            fault = dataclasses.replace(fault, target=fault.target.replace(LEADER, self._leader()))
        self.world.note(f"fault: {fault.kind.value} {fault.target} {fault.other} for {fault.length_ms} ms")
        self._apply[fault.kind](fault)

    def _leader(self) -> str:
        """Who leads now, or one of those who may."""
        for name in self.scenario.schedulers:
            process = self.scheduler(name)
            if process is not None and process.dispatch.leads:
                return name
        return self._rng.choice(sorted(self.record.core))

    def _troubled(self, machine: str, length_ms: float) -> None:
        """Note a span of trouble; "" stands for all machines."""
        now = self.world.now_ms
        trouble = Trouble(machine, now, now + length_ms + SETTLE_MS)
        self.record.troubles.append(trouble)
        if machine in self.record.core or machine == "":
            self.record.core_troubles.append(trouble)

    def _kill(self, name: str, length_ms: float, power: bool) -> None:
        machine = self.world.machines[name]
        self._troubled(name, length_ms)
        if machine.process is not None:
            machine.process.kill(power)
        self.world.after(max(RESTART_MS, length_ms), lambda: self._start(name))

    def _kill_core(self, fault: Fault, power: bool) -> None:
        for name in self.scenario.schedulers:
            self._kill(name, fault.length_ms, power)

    def _kill_all_schedulers(self, fault: Fault) -> None:
        for name in self.scenario.schedulers:
            self._kill(name, fault.length_ms + self._rng.uniform(0, fault.amount), power=False)

    def _power_all(self, fault: Fault) -> None:
        """Every machine goes at once; they come back in any order, within `amount` ms of one another."""
        for name in [*self.scenario.schedulers, *self.scenario.agents]:
            self._kill(name, fault.length_ms + self._rng.uniform(0, fault.amount), power=True)

    def _name_seeds(self, fault: Fault) -> None:
        """The settings name other seeds: who lives is told by SIGHUP, who starts later reads them."""
        machines = self.world.machines
        seeds = tuple(machines[name].address for name in fault.target.split(","))
        self._core = dataclasses.replace(self._core, seeds=seeds)
        for machine in machines.values():
            process = machine.process
            if isinstance(process, SchedulerProcess | AgentProcess):
                process.post(process.set_seeds, seeds)

    def _wipe(self, fault: Fault) -> None:
        for name in dict.fromkeys(fault.lost_disks):
            later_ms = self._rng.uniform(0, fault.amount) if fault.amount else 0.0
            self._kill(name, fault.length_ms + later_ms, power=True)
            self.world.machines[name].platter = Platter()

    def _wipe_and_power(self, fault: Fault) -> None:
        others = set(self.record.core)
        if fault.other == ALL:
            others |= {*self.scenario.schedulers, *self.scenario.agents}
        for name in sorted(others.difference(fault.lost_disks)):
            self._kill(name, fault.length_ms + self._rng.uniform(*LATER_MS), power=True)
        self._wipe(fault)

    def _stop_scheduler(self, fault: Fault) -> None:
        process = self.scheduler(fault.target)
        self._troubled(fault.target, GRACE_MS + fault.length_ms)
        if process is not None:
            process.stop(GRACE_MS)
            self.world.after(GRACE_MS + RESTART_MS, lambda: self._start(fault.target))

    def _stop_agent(self, fault: Fault) -> None:
        process = self.world.machines[fault.target].process
        self._troubled(fault.target, GRACE_MS + fault.length_ms)
        if isinstance(process, AgentProcess):
            process.stop()
            self.world.after(GRACE_MS + RESTART_MS, lambda: self._start(fault.target))

    def _freeze(self, fault: Fault) -> None:
        self._troubled(fault.target, fault.length_ms)
        self.world.machines[fault.target].frozen_until_ms = self.world.now_ms + fault.length_ms

    def _cut(self, fault: Fault, both: bool) -> None:
        pairs = [(fault.target, fault.other)]
        if both:
            pairs.append((fault.other, fault.target))
        self._troubled(fault.target, fault.length_ms)
        self._troubled(fault.other, fault.length_ms)
        self._cut_pairs(pairs, fault.length_ms)

    def _split(self, fault: Fault) -> None:
        """Cut the target, and the machines named beside it, from all others; clients reach both sides."""
        side = {fault.target, *filter(None, fault.other.split(","))}
        names = [*self.scenario.schedulers, *self.scenario.agents]
        pairs = [(one, other) for one in names for other in names if (one in side) != (other in side)]
        for name in sorted(side):
            self._troubled(name, fault.length_ms)
        self._cut_pairs(pairs, fault.length_ms)

    def _cut_pairs(self, pairs: list[tuple[str, str]], length_ms: float) -> None:
        weather = self.world.network.weather
        for pair in pairs:
            weather.cut(*pair)

        def join() -> None:
            for pair in pairs:
                weather.join(*pair)

        self.world.after(length_ms, join)

    def _lossy(self, fault: Fault) -> None:
        self._troubled("", fault.length_ms)
        weather = self.world.network.weather
        weather.lost, weather.late, weather.doubled = fault.amount / 2, fault.amount / 2, fault.amount / 4

        def end() -> None:
            weather.lost = weather.late = weather.doubled = 0.0

        self.world.after(fault.length_ms, end)

    def _disk(self, fault: Fault) -> None:
        platter = self.world.machines[fault.target].platter
        until_ms = self.world.now_ms + fault.length_ms
        self._troubled(fault.target, fault.length_ms)
        if fault.kind is FaultKind.DISK_STALL:
            platter.stalled_until_ms = until_ms
        elif fault.kind is FaultKind.DISK_FAIL:
            platter.failing_until_ms = until_ms
        else:
            platter.full_until_ms = until_ms

    def _wall_step(self, fault: Fault) -> None:
        machine: Machine = self.world.machines[fault.target]
        step_ms = int(fault.amount)
        machine.clock.wall_error_ms += step_ms
        self.record.wall_jumps = True
        self._troubled(fault.target, fault.length_ms)

        def back() -> None:
            machine.clock.wall_error_ms -= step_ms

        self.world.after(fault.length_ms, back)

    def _deregister_worker(self, fault: Fault) -> None:
        self.fleet.deregister(self.fleet.spots[fault.target], fault.length_ms)

    def _worker(self, fault: Fault) -> None:
        spot = self.fleet.spots[fault.target]
        self._troubled(fault.target, fault.length_ms)
        worker_faults.begin(spot, fault)
        self.world.after(fault.length_ms, lambda: worker_faults.end(spot, fault.kind))
