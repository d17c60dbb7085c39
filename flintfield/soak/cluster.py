"""The processes of a soak run: started, ended and started again as the plan says, and watched meanwhile."""

from __future__ import annotations

import asyncio
import random
import re
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from flintfield.console.local.machines import GRACE_S, Machine, Role
from flintfield.console.local.processes import Processes, worker_name
from flintfield.console.rpc_client import core_size, is_listening
from flintfield.coordination.timing import LEASE_MS
from flintfield.soak.plan import Action, ActionKind, Plan
from flintfield.soak.record import Record, StopSeen, Trouble
from flintfield.soak.worker_events import WorkerEvents

START_S = 60.0  # for the whole cluster, on a busy machine
POLL_S = 0.05
WATCH_S = 0.2
INTERPRETER_START_S = 5.0
INTERPRETER_POLL_S = 0.005
STOP_PATIENCE_S = 10.0 + GRACE_S  # then a process that got SIGTERM counts as one that does not end
RELOAD_SPREAD_S = 1.0  # within which all processes are told of other seeds
RESTART_SPREAD_S = 0.8  # within which all processes come back
MOST_FAULT_CHARACTERS = 2_000
LONG_TURN = re.compile(r'"long_turn".*"turn_ms": (\d+)')


def is_fault(line: str) -> bool:
    """Whether a line of a log tells of an error, a traceback, or an event that took half of the lease."""
    if '"level": "ERROR"' in line or "Traceback" in line:
        return True
    turn = LONG_TURN.search(line)
    return turn is not None and int(turn.group(1)) >= LEASE_MS // 2


class ClusterFailed(Exception):
    """The cluster did not come to work at its first start."""


class SoakCluster:
    """Machines by name, their seeds, and what is done to them."""

    def __init__(
        self, folder: Path, plan: Plan, machines: tuple[Machine, ...], record: Record, rng: random.Random
    ) -> None:
        self.machines = {machine.name: machine for machine in machines}
        self._plan = plan
        self._record = record
        self._rng = rng
        self._processes = Processes(folder)
        self._workers: list[str] = []
        self._worker_of: dict[str, str] = {}  # by the name of its agent's machine
        self._seeds = tuple(machine.control for machine in machines if machine.replica)
        self._started_s = {name: 0.0 for name in self.machines}
        self._last_trouble_s = {name: 0.0 for name in self.machines}

    @property
    def schedulers(self) -> list[Machine]:
        """All machines that clients reach."""
        return [machine for machine in self.machines.values() if machine.role is Role.SCHEDULER]

    @property
    def running(self) -> int:
        """How many processes run, workers counted."""
        return self._processes.running

    # The first start, and the end.

    async def start(self) -> None:
        """Start everything; raises `ClusterFailed`."""
        first, *replicas = [machine for machine in self.machines.values() if machine.replica]
        for machine in replicas:
            self._processes.start_machine(machine, self._seeds, bootstrap=True)
        for machine in replicas:
            await self._until(partial(is_listening, machine.rpc))
        self._processes.start_machine(first, self._seeds, bootstrap=True)
        addresses = [machine.rpc for machine in self.schedulers]
        await self._until(lambda: core_size(addresses) == 1 + len(replicas))
        others = [machine for machine in self.machines.values() if not machine.replica]
        for index, machine in enumerate(others):
            self._processes.start_machine(machine, self._seeds, bootstrap=True)
            if machine.role is Role.AGENT:
                self._processes.start_worker(machine, index, tells_runs=True)
                self._workers.append(worker_name(index))
                self._worker_of[machine.name] = worker_name(index)

    async def _until(self, reached: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + START_S
        while not await asyncio.to_thread(reached):
            if time.monotonic() > deadline_s:
                raise ClusterFailed("the core was not founded in time")
            await asyncio.sleep(POLL_S)

    def end(self) -> None:
        """Stop everything; note who did not end well, and errors in the logs."""
        self._processes.stop()
        for name in self.machines:
            code = self._processes.exit_code(name)
            if code != 0:
                self._record.faults.append(f"{name} ended with {code} at the end")
        for name in (*self.machines, *self._workers):
            for line in self._processes.log(name).splitlines():
                if is_fault(line):
                    self._record.errors.append(f"{name}: {line[:MOST_FAULT_CHARACTERS]}")
        self._record.worker_events = self.worker_events()

    def worker_events(self) -> WorkerEvents:
        """What the workers have run up to now."""
        events = WorkerEvents()
        for name in self._workers:
            events.read(name, self._processes.log(name))
        return events

    async def watch(self) -> None:
        """Note processes that end though nobody told them to, and start them again; until cancelled."""
        while True:
            for process in self._processes.unexpected_ends():
                process.expected_end = True
                code = process.handle.returncode
                age_s = time.monotonic() - self._started_s.get(process.name, 0.0)
                self._record.faults.append(f"{process.name} ended with {code}, {age_s:.2f} s old")
                if process.name in self.machines:
                    self._begin(self.machines[process.name])
            await asyncio.sleep(WATCH_S)

    # What is done.

    async def carry_out(self, action: Action) -> None:
        """Do it, with the new start that belongs to it."""
        begin_s = time.monotonic()
        await self._do(action)
        if action.kind is not ActionKind.LEAVE:
            self._record.actions_s.append((begin_s, time.monotonic()))

    async def _do(self, action: Action) -> None:
        match action.kind:
            case ActionKind.TERMINATE | ActionKind.TERMINATE_TWICE:
                await self._terminate(action)
            case ActionKind.KILL:
                await self._kill(action.target, action.length_s)
            case ActionKind.FREEZE:
                await self._freeze(action)
            case ActionKind.RELOAD:
                await self._send(action.target, signal.SIGHUP)
            case ActionKind.NAME_SEEDS:
                await self._name_seeds(action.seeds)
            case ActionKind.KILL_ALL:
                await self._kill_all(list(self.machines), action.length_s)
            case ActionKind.KILL_CORE:
                await self._kill_all([machine.name for machine in self.schedulers], action.length_s)
            case ActionKind.LEAVE:
                await self._send(self._worker_of[action.target], signal.SIGUSR1)

    def _begin(self, machine: Machine) -> None:
        if self._processes.exit_code(machine.name) is None:
            return  # another series has started it
        self._processes.start_machine(machine, self._seeds, bootstrap=False)
        self._started_s[machine.name] = time.monotonic()

    async def _send(self, name: str, number: signal.Signals) -> bool:
        """Send a signal that a service handles, from the moment on at which it can.

        In the first tenths of a second the interpreter itself starts, and any signal ends it: no code of ours
        runs by then.
        """
        deadline_s = time.monotonic() + INTERPRETER_START_S
        while not self._processes.handles(name, number):
            if self._processes.exit_code(name) is not None or time.monotonic() > deadline_s:
                return False
            await asyncio.sleep(INTERPRETER_POLL_S)
        return self._processes.send(name, number, ends=number is signal.SIGTERM)

    async def _terminate(self, action: Action) -> None:
        name = action.target
        began_s = time.monotonic()
        if not await self._send(name, signal.SIGTERM):
            return
        if action.kind is ActionKind.TERMINATE_TWICE:
            await asyncio.sleep(self._rng.uniform(0.0, 0.5))
            await self._send(name, signal.SIGTERM)  # by now it may be a new life, started by another series
        while self._processes.exit_code(name) is None and time.monotonic() - began_s < STOP_PATIENCE_S:
            await asyncio.sleep(POLL_S)
        if self._last_trouble_s[name] < began_s:
            code = self._processes.exit_code(name)
            self._record.stops.append(StopSeen(name, time.monotonic() - began_s, code))
        await asyncio.sleep(action.length_s)
        self._begin(self.machines[name])

    async def _kill(self, name: str, down_s: float) -> None:
        if self._processes.exit_code(name) is not None:
            return
        begin_s = time.monotonic()
        self._last_trouble_s[name] = begin_s
        self._processes.kill(name)
        await asyncio.sleep(down_s)
        self._begin(self.machines[name])
        self._note_trouble(name, begin_s)

    async def _kill_all(self, names: list[str], down_s: float) -> None:
        spread = [self._rng.uniform(0.0, RESTART_SPREAD_S) for _ in names]
        await asyncio.gather(
            *(self._kill(name, down_s + later_s) for name, later_s in zip(names, spread, strict=True))
        )

    async def _freeze(self, action: Action) -> None:
        begin_s = time.monotonic()
        if not self._processes.send(action.target, signal.SIGSTOP):
            return
        self._last_trouble_s[action.target] = begin_s
        await asyncio.sleep(action.length_s)
        self._processes.send(action.target, signal.SIGCONT)
        self._note_trouble(action.target, begin_s)

    def _note_trouble(self, name: str, begin_s: float) -> None:
        self._last_trouble_s[name] = time.monotonic()
        self._record.troubles.append(Trouble(name, begin_s, time.monotonic()))

    async def _name_seeds(self, names: tuple[str, ...]) -> None:
        self._seeds = tuple(self.machines[name].control for name in names)
        for machine in self.machines.values():
            self._processes.write_settings(machine, self._seeds)
        told = list(self.machines)
        self._rng.shuffle(told)
        for name in told:
            await asyncio.sleep(RELOAD_SPREAD_S / len(told))
            await self._send(name, signal.SIGHUP)
