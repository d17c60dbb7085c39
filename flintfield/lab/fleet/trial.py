"""One trial: relays, faults and claims beside a run of the sockets engine.

What the instances are told: each plan's sections, and for `[membership]` a port of their own, the relay's
address as `advertise`, and the first `SEEDS` relays as seeds; for `[statuspage]` a port that the trial reads.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from flintfield.lab import sockets
from flintfield.lab.fleet.history import Claim, FaultSeen, History, ProcessSeen
from flintfield.lab.fleet.judge import Outcome, judge_trial
from flintfield.lab.fleet.net import Net
from flintfield.lab.fleet.plan import Between, Kill, Plan, Reset, Stop, Term
from flintfield.lab.fleet.relay import Relays, Seat
from flintfield.lab.fleet.schedule import Deed, deeds_of
from flintfield.lab.platform import zones_of
from flintfield.lab.sockets.addresses import Address, text
from flintfield.lab.sockets.beside import Deeds
from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.processes import PROGRAM, Scheduler
from flintfield.lab.sockets.wire import dial, head_of
from flintfield.lab.world import Streams

SEEDS = 2
RELAY = 3  # the party's number of an instance's relay, among its loopback addresses
DIAL_S, PAGE_S = 0.5, 1.0  # for a claim; a page that takes longer is not told


class Trial:
    """Stands beside one run."""

    def __init__(self, plan: Plan, seed: int, folder: Path) -> None:
        self.plan, self._folder = plan, folder
        scenario = plan.played()
        streams = Streams(seed)
        self._net_rng, self._relay_rng = _rng(streams, "fleet/net"), _rng(streams, "fleet/relay")
        zones = zones_of(scenario)
        self.history = History(plan, [], zones)
        self._tasks: set[asyncio.Task[None]] = set()
        self._status: list[Address] = []
        self._inis: list[Path] = []

    # ----------------------------------------------------------- beside the run

    async def open(self, run: Run, schedulers: Sequence[Scheduler], deeds: Deeds) -> None:
        """Take the relays' addresses and write the operators' files."""
        self._run, self._schedulers, self._deeds = run, schedulers, deeds
        history = self.history
        history.instances = list(run.names)
        zone_of = dict(zip(run.names, history.zones, strict=True))
        self.net = Net(self._net_rng, lambda a, b: run.network.passes(zone_of[a], zone_of[b]))
        history.carried = self.net.carried
        seats = [self._seat(run, place) for place in range(run.schedulers)]
        self.relays = Relays(self.net, seats, run.clock, self._pids, self._relay_rng)
        self._status = [(s.own[0], run.addresses.hold(s.own[0])) for s in seats]
        self._inis = [self._write_ini(seat, seats, status) for seat, status in zip(
            seats, self._status, strict=True)]
        await self.relays.open()

    def _seat(self, run: Run, place: int) -> Seat:
        own, relay = self._schedulers[place].address[0], run.addresses.host(place, RELAY)
        hold = run.addresses.hold
        return Seat(run.names[place], (own, hold(own)), (relay, hold(relay)))

    def _pids(self) -> dict[str, int]:
        return {s.name: s.pid for s in self._schedulers if s.alive}

    def _write_ini(self, seat: Seat, seats: list[Seat], status: Address) -> Path:
        own: dict[str, dict[str, Any]] = {
            "membership": {"port": seat.own[1], "advertise": text(seat.relay),
                           "seeds": ", ".join(text(s.relay) for s in seats[:SEEDS])},
            "statuspage": {"port": status[1]},
        }
        if "maintenance" in self.plan.sections:
            own["maintenance"] = self._maintenance(seat, seats)
        lines: list[str] = []
        for title, keys in self.plan.sections.items():
            told = own.get(title, {}) | keys
            lines += [f"[{title}]", *(f"{key} = {_written(value)}" for key, value in told.items()), ""]
        path = self._folder / f"{seat.name}.ini"
        path.write_text("\n".join(lines))
        return path

    def _maintenance(self, seat: Seat, seats: list[Seat]) -> dict[str, Any]:
        """The first `places` instances are executors; the file has the scenario's nodes, of one slot each."""
        import tomli_w

        names = [f"n{number:04d}" for number in range(self.plan.played().fleet.nodes)]
        path = self._folder / "maintenance.toml"
        path.write_text(tomli_w.dumps({"nodes": [{"name": n, "slots": 1} for n in names],
                                       **self.plan.maintenance}))
        told: dict[str, Any] = {"file": str(path), "schedulers": ", ".join(s.name for s in seats)}
        place = self.history.instances.index(seat.name)
        if place < int(self.plan.sections["maintenance"].get("places", 1)):
            told["place"] = place
        return told

    def arguments(self, place: int) -> Sequence[str]:
        """The operators' file of that instance."""
        return ("--ini", str(self._inis[place]))

    def started(self, place: int) -> None:
        """A process was started."""
        self._process(place, "up")

    def ended(self, place: int) -> None:
        """A process is over."""
        self._process(place, "down")

    def _process(self, place: int, state: Any) -> None:
        self.history.processes.append(ProcessSeen(self._run.clock(), self._run.names[place], state))

    def set_off(self) -> None:
        """Faults and claims begin."""
        loop = asyncio.get_running_loop()
        # Before time 0: the clock was set.
        self.history.processes = [replace(seen, at=min(seen.at, 0.0)) for seen in self.history.processes]
        for deed in deeds_of(self.plan, self.history.instances, self.history.zones):
            loop.call_later(deed.at / 1000, self._do, deed)
        if "statuspage" in self.plan.sections:
            for place in range(self._run.schedulers):
                for page in self.plan.pages:
                    self._go(self._ask(place, page))

    async def close(self) -> None:
        """Nothing more passes; who is stopped goes on, so that it can end."""
        history, run = self.history, self._run
        history.end, history.epoch_ms = run.clock(), run.clock.epoch_ms
        history.refused_with = run.refused_with
        for task in list(self._tasks):
            task.cancel()
        if hasattr(self, "relays"):
            self.history.unclaimed = self.relays.unclaimed
            self.relays.close()

    def _go(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---------------------------------------------------------------- faults

    def _do(self, deed: Deed) -> None:
        begins = deed.act == "begin"
        match deed.fault:
            case Reset():
                if begins:
                    self.relays.reset(deed.pairs)
            case Between() as fault:
                if begins:
                    self.net.begin(deed.number, deed.pairs, fault)
                else:
                    self.net.over(deed.number)
            case Kill() | Term() | Stop() as fault:
                for name in deed.who:
                    self._befall(self.history.instances.index(name), fault, begins)
        self.history.faults.append(FaultSeen(self._run.clock(), deed.act, deed))

    def _befall(self, place: int, fault: Kill | Term | Stop, begins: bool) -> None:
        scheduler = self._schedulers[place]
        match fault, begins:
            case Kill(), True:
                self._deeds.kill(place)
            case Term(), True:
                self._deeds.out(place)
                self._deeds.term(place)
            case Stop(), True if scheduler.alive:
                scheduler.signal(signal.SIGSTOP)
                self._process(place, "stopped")
                self._deeds.notice(place)
            case Stop(), False if scheduler.alive:
                scheduler.signal(signal.SIGCONT)
                self._process(place, "on")
                self._deeds.up(place)
            case (Kill() | Term()), False:
                self._deeds.restart(place)

    # ---------------------------------------------------------------- claims

    async def _ask(self, place: int, page: str) -> None:
        """Read a page again and again."""
        question = head_of(b"GET", page.encode(), [(b"Host", b"trial")])
        period = self.plan.claims_ms / 1000
        await asyncio.sleep(period * place / self._run.schedulers)
        while True:
            if self._schedulers[place].alive:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._ask_once(place, page, question), PAGE_S)
            await asyncio.sleep(period)

    async def _ask_once(self, place: int, page: str, question: bytes) -> None:
        asked = self._run.clock()
        end = await dial(self._status[place], self._run.clock, DIAL_S)
        if end is None:
            return
        try:
            response = await end.send(question)
        finally:
            end.close()
        if response.status == 200:
            told = msgspec.json.decode(response.body)
            self.history.claims.append(Claim(asked, response.at, self._run.names[place], page, told))


def play(plan: Plan, seed: int, folder: Path) -> Outcome:
    """Play a trial and judge it; `folder` keeps configurations and output of the instances."""
    folder.mkdir(parents=True, exist_ok=True)
    trial = Trial(plan, seed, folder)
    program: Sequence[str] = PROGRAM
    if plan.planted:
        program = (sys.executable, "-m", "flintfield.lab.fleet.planted",
                   msgspec.json.encode(plan.planted).decode())
    log = sockets.play(plan.played(), seed, program=program, folder=folder, beside=trial)
    return judge_trial(log, trial.history)


def _rng(streams: Streams, name: str) -> random.Random:
    return random.Random(int(streams.of(name).uniform(0, 2**53)))


def _written(value: Any) -> str:
    return {True: "on", False: "off"}.get(value, str(value)) if isinstance(value, bool) else str(value)
