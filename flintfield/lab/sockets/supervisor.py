"""The schedulers' processes of a run on sockets: started, asked whether they are ready, watched and ended."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from flintfield.lab import platform
from flintfield.lab.log import SchedulerState, Trouble
from flintfield.lab.sockets.addresses import LISTEN, Address, text
from flintfield.lab.sockets.beside import Beside
from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.directory import Directory
from flintfield.lab.sockets.errors import StartError
from flintfield.lab.sockets.processes import Scheduler
from flintfield.lab.sockets.timing import BEFORE_MS, Punctuality
from flintfield.lab.sockets.wire import dial, head_of
from flintfield.lab.world import Front

READY_PAUSE_S = 0.02  # between two questions whether a scheduler is ready
READY_DIAL_S = 0.2
START_WITHIN_MS = BEFORE_MS - 1_000.0  # schedulers become ready before the clients begin
END_S = 2.0  # how long schedulers may take to end after the run


class Supervisor:
    """All schedulers of a run."""

    def __init__(self, run: Run, seed: int, front: Front, directory: Directory, punctuality: Punctuality,
                 beside: Beside, program: Sequence[str], folder: Path) -> None:
        self._run, self._seed, self._front, self._directory = run, seed, front, directory
        self._punctuality, self._beside = punctuality, beside
        told = run.scenario.schedulers
        names = [platform.scheduler_name(i) for i in range(told.count)]
        zones = platform.zones_of(run.scenario)
        hosts = [run.addresses.host(i, LISTEN) for i in range(told.count)]
        self.addresses: list[Address] = [(host, run.addresses.hold(host)) for host in hosts]
        self.schedulers = [Scheduler(i, names[i], zones[i], self.addresses[i], folder / names[i], program,
                                     (told.memory_mb, told.sockets)) for i in range(told.count)]
        self._lives = [0] * told.count
        self._sampled_at = 0.0
        self.start_ms = 0.0  # what a start took, the longest of all

    # ------------------------------------------------------------------ starts

    async def start_all(self) -> str:
        """Start all schedulers and wait until they are ready; else why the run is void.

        A `StartError` tells of a process that ended at its start.
        """
        places = range(len(self.schedulers))
        await asyncio.gather(*(self._start(i) for i in places))
        took = await asyncio.gather(*(self._ready(i, START_WITHIN_MS) for i in places))
        late = [s for s, ms in zip(self.schedulers, took, strict=True) if ms is None]
        if ended := [s for s in late if not s.alive]:
            raise StartError(f"{ended[0].name}: its process ended at its start: {ended[0].last_words()}")
        if late:
            return f"schedulers that did not become ready: {', '.join(s.name for s in late)}"
        self.start_ms = max(ms for ms in took if ms is not None)
        return ""

    async def restart(self, place: int) -> None:
        """Start a new process once the last is over; clients return when it is ready."""
        await self.schedulers[place].gone()
        await self._start(place)
        if await self._ready(place, BEFORE_MS) is not None:
            self._front.up(self._run.clock(), place)

    async def _start(self, place: int) -> None:
        scheduler = self.schedulers[place]
        config = self._config(place) | {"known": self._directory.started(place)}
        self._lives[place] += 1
        self._run.record(SchedulerState(self._run.at(), scheduler.name, "up", scheduler.zone))
        await scheduler.start(config, self._ended, self._beside.arguments(place))
        self._beside.started(place)

    def _config(self, place: int) -> dict[str, Any]:
        """What it is told; `known` is added at a start."""
        scheduler = self.schedulers[place]
        config = platform.configuration(
            self._run.scenario, place, seed=self._seed, life=self._lives[place],
            listen=text(scheduler.address), discovery=self._directory.address(place))
        config["limits"] = {"cores": 1.0, "memory_mb": scheduler.memory_mb, "sockets": scheduler.sockets}
        return config

    async def _ready(self, place: int, within_ms: float) -> float | None:
        """Ask until it is ready; how long that took, None if it did not come to it in that time."""
        clock = self._run.clock
        began = clock()
        question = head_of(b"GET", b"/ready", [(b"Host", b"origin.svc")])
        scheduler = self.schedulers[place]
        while scheduler.alive and clock() - began < within_ms:
            if end := await dial(self.addresses[place], clock, READY_DIAL_S):
                response = await end.send(question)
                end.close()
                if response.status == 200:
                    scheduler.be_ready()
                    return clock() - began
            await asyncio.sleep(READY_PAUSE_S)
        return None

    def reload(self, place: int) -> None:
        """Tell a scheduler by SIGHUP that its configuration has changed."""
        scheduler = self.schedulers[place]
        if scheduler.alive:
            scheduler.configure(self._config(place))
            scheduler.reload()

    # -------------------------------------------------------------------- ends

    def _ended(self, scheduler: Scheduler, code: int) -> None:
        """A scheduler's process is over."""
        if not scheduler.killed:
            self._run.record(SchedulerState(self._run.at(), scheduler.name, "ended"))
        self._front.died(self._run.clock(), scheduler.place)
        self._beside.ended(scheduler.place)

    def terminate(self, place: int) -> None:
        """Send SIGTERM, and write it down."""
        scheduler = self.schedulers[place]
        if scheduler.alive:
            self._run.record(SchedulerState(self._run.at(), scheduler.name, "stopping"))
            scheduler.signal(signal.SIGTERM)

    def kill(self, place: int) -> None:
        """Send SIGKILL, and write it down."""
        scheduler = self.schedulers[place]
        if scheduler.alive:
            self._run.record(SchedulerState(self._run.at(), scheduler.name, "killed"))
            scheduler.signal(signal.SIGKILL)

    def kill_all(self) -> None:
        """The run is over."""
        for scheduler in self.schedulers:
            scheduler.signal(signal.SIGKILL)

    async def all_gone(self) -> None:
        """Wait until all processes are over, each for `END_S` at the most."""
        for scheduler in self.schedulers:
            try:
                await asyncio.wait_for(scheduler.gone(), END_S)
            except TimeoutError:
                continue

    # ----------------------------------------------------------------- looks

    def begin_count(self) -> None:
        """The clients begin: what schedulers used before does not count."""
        for scheduler in self.schedulers:
            scheduler.begin_count()

    def sample(self) -> None:
        """Note what each has used since the last look; one that is over its memory is killed."""
        since, self._sampled_at = self._sampled_at, self._run.clock()
        for scheduler in self.schedulers:
            self._punctuality.waited(scheduler.name, since, scheduler.sample())
            if scheduler.serves and scheduler.over_memory:
                word = f"{scheduler.name} held more than {scheduler.memory_mb} MB and was killed"
                self._run.record(Trouble(self._run.at(), "memory", True, word))
                scheduler.kill_unasked()
