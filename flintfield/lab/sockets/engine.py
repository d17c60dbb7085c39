"""The engine on sockets: one run of a scenario against real processes, in real time over loopback.

Theory of operation. The world is the same pure model that the virtual engine moves; here alarms of the event
loop wake it, and what it says goes out on sockets. The schedulers are processes like those in service
(`supervisor.py`); `machines.py` holds the worker nodes, `troubles.py` does what the schedule says. The log is
written from what passes on the sockets, by one onlooker with one clock, and put in order of time at the end.
`validity.py` says whether the run says anything; if not, `End.void` says why.
"""

from __future__ import annotations

import asyncio
import math
import resource
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path

import uvloop

from flintfield.lab import platform
from flintfield.lab.log import AnyRecord, Begin, Class, End, Log
from flintfield.lab.scenario import Scenario
from flintfield.lab.sockets.beside import Beside, Deeds, Nothing
from flintfield.lab.sockets.callers import Callers
from flintfield.lab.sockets.context import HOLD_MS, Run
from flintfield.lab.sockets.errors import StartError
from flintfield.lab.sockets.machines import Machines
from flintfield.lab.sockets.nodes import SWEEP_MS
from flintfield.lab.sockets.processes import PROGRAM, SAMPLE_S
from flintfield.lab.sockets.proxy import Choose
from flintfield.lab.sockets.rude import Rude
from flintfield.lab.sockets.supervisor import Supervisor
from flintfield.lab.sockets.tasks import Tasks
from flintfield.lab.sockets.timing import Alarm, Punctuality
from flintfield.lab.sockets.troubles import Troubles, in_time
from flintfield.lab.sockets.validity import Validity
from flintfield.lab.world import Clients, Do, Fleet, Front, draw_clients, draw_fleet, schedule

SOCKETS_MS = 50.0  # every time limit is that much longer on sockets: clients listen so long past theirs
SPARE_DESCRIPTORS = 2_000  # for jobs and clients
FLUSH_S = 0.05
LOAD_S = 1.0
OVER_S = 0.05  # between two looks whether the run is over


def play(scenario: Scenario, seed: int, *, on_record: Callable[[AnyRecord], None] | None = None,
         program: Sequence[str] | None = None, folder: Path | None = None,
         ways: Callable[[str], Choose] | None = None, beside: Beside | None = None) -> Log:
    """Play a scenario on sockets and return its event log.

    `on_record` sees each record in order of time, some tenths of a second late; the log that is returned is
    empty then.
    `program` is the command that starts a scheduler (`python -m flintfield` if None). `folder` keeps the
    schedulers' configurations and output. `ways` puts a fault proxy between each scheduler and each node:
    from a node's name to what befalls the connections to it. `beside` starts and ends with the run. A
    `StartError` tells of a program that does not start.
    """
    with tempfile.TemporaryDirectory(prefix="flintfield-lab-") as passing:
        engine = _Engine(scenario, seed, on_record, program or PROGRAM, folder or Path(passing), ways,
                         beside or Nothing())
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(engine.play())


class _Engine:
    """One run."""

    def __init__(self, scenario: Scenario, seed: int, on_record: Callable[[AnyRecord], None] | None,
                 program: Sequence[str], folder: Path, ways: Callable[[str], Choose] | None,
                 beside: Beside) -> None:
        names = [platform.scheduler_name(i) for i in range(scenario.schedulers.count)]
        zones = platform.zones_of(scenario)
        self.scenario, self.seed, self.beside = scenario, seed, beside
        self.run = run = Run(scenario, seed, names, zones, on_record, ways)
        run.report_fields = platform.REPORT_FIELDS
        self.punctuality = Punctuality(run.clock)
        self.validity = Validity(self.punctuality)
        run.ledger.also = self.validity.take
        self.tasks = Tasks()
        self.fleet: Fleet = draw_fleet(scenario, run.streams)
        self.machines = Machines(run)
        self.front = Front(zones, scenario.front.notice_ms, run.streams.of("front"))
        self.supervisor = Supervisor(run, seed, self.front, self.machines.directory, self.punctuality,
                                     beside, program, folder)
        self.schedulers, addresses = self.supervisor.schedulers, self.supervisor.addresses
        self.clients: Clients = draw_clients(scenario, run.streams, self.fleet.capacity)
        self.clients.slack_ms += SOCKETS_MS
        self.callers = Callers(run, self.clients, self.front, addresses,
                               lambda place: self.schedulers[place].serves)
        self.rude = Rude(addresses, scenario.classes[0].name, run.streams.of("sockets/rude"))
        self.troubles = Troubles(run, self.machines, self.supervisor, self.front, self.rude, self.tasks)

    # -------------------------------------------------------------- the whole

    async def play(self) -> Log:
        """From the start of the processes to the last record."""
        self._get_descriptors()
        self._begin_record()
        try:
            self.machines.directory.open()
            for machine in self.fleet.machines:
                await self.machines.start_listed(machine)
            await self.beside.open(self.run, self.schedulers, self._deeds())
            if void := await self.supervisor.start_all():
                return self._finish(void)
            self._set_off()
            await self._until_over()
            for scheduler in self.schedulers:
                scheduler.sample()
            return self._finish(
                self.validity.void(self.run.clock(), self.run.oddities, self.schedulers))
        finally:
            await self._clear_away()

    def _deeds(self) -> Deeds:
        clock, front, supervisor = self.run.clock, self.front, self.supervisor
        return Deeds(
            kill=supervisor.kill,
            term=supervisor.terminate,
            restart=lambda place: self.tasks.start(supervisor.restart(place)),
            out=lambda place: front.out(clock(), place),
            up=lambda place: front.up(clock(), place),
            notice=lambda place: front.died(clock(), place))

    def _get_descriptors(self) -> None:
        """Raise the limit as far as this run needs it; a `StartError` if that cannot be.

        Each scheduler has a listening socket at each party, held twice, and may keep a connection to it.
        """
        schedulers, nodes = len(self.schedulers), len(self.fleet.machines)
        replaced = sum(d.do is Do.NODE_NEW for d in schedule(self.scenario, self.fleet, self.run.streams))
        needs = 3 * schedulers * (nodes + replaced + 1) + SPARE_DESCRIPTORS
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if needs > hard != resource.RLIM_INFINITY:
            raise StartError(f"{schedulers} schedulers and {nodes} nodes take {needs} descriptors, found "
                             f"{hard} (ulimit -Hn)")
        if needs > soft != resource.RLIM_INFINITY:
            resource.setrlimit(resource.RLIMIT_NOFILE, (needs, hard))

    def _begin_record(self) -> None:
        scenario, rules = self.scenario, self.scenario.rules
        classes = tuple(Class(c.name, c.worth, c.aim_ms, c.stretch, c.deadline_ms, c.effect)
                        for c in scenario.classes)
        goal = scenario.goal
        self.run.record(Begin(
            0.0, scenario.name, self.seed, "sockets", "flintfield", len(self.schedulers),
            scenario.length_s * 1000.0, classes, scenario.load.worth_by_work, rules.drain_grace_ms,
            rules.answer_slack_ms, rules.fall_multiple, rules.fall_ms, goal.whole, goal.worst_window,
            goal.worst_class, goal.window_ms))

    def _set_off(self) -> None:
        """The clients begin."""
        run = self.run
        run.clock.begin()
        for alarm in run.alarms:
            alarm.again()
        for place, at in enumerate(platform.start_times(self.scenario, run.streams)):
            run.later(at / 1000, lambda place=place: self.front.up(run.clock(), place))  # type: ignore[misc]
        deeds = schedule(self.scenario, self.fleet, run.streams)
        self.troubles.deeds = in_time(deeds, self.supervisor.start_ms)
        run.alarms.append(alarm := Alarm(run.clock, self.troubles.next_at, self.troubles.do_due))
        alarm.arm()
        self.beside.set_off()
        self.callers.begin()
        self.punctuality.restart()
        self.supervisor.begin_count()
        self.tasks.start(self.punctuality.watch())
        self.tasks.repeat(LOAD_S, self.machines.sample)
        self.tasks.repeat(SAMPLE_S, self.supervisor.sample)
        self.tasks.repeat(SWEEP_MS / 1000, self.machines.sweep)
        self.tasks.repeat(FLUSH_S, lambda: run.ledger.flush(run.clock() - HOLD_MS))

    async def _until_over(self) -> None:
        """Until all arrivals are in and answered, or the tail is over."""
        length = self.scenario.length_s * 1000.0
        most = length + self.scenario.tail_s * 1000.0
        while (now := self.run.clock()) < most and (now < length or self.clients.busy):
            await asyncio.sleep(OVER_S)

    def _finish(self, void: str) -> Log:
        run = self.run
        cpu = {s.name: round(s.usage.cpu_ms, 1) for s in self.schedulers}
        cpu["engine"] = round(self.punctuality.cpu_ms, 1)
        run.ledger.flush(math.inf)
        void = void or self.validity.excuse(End(run.at(), "", cpu, run.ledger.count))
        run.record(End(run.at(), void, cpu, run.ledger.count))
        run.ledger.flush(math.inf)
        return run.log

    async def _clear_away(self) -> None:
        await self.beside.close()
        self.rude.stop()
        self.callers.stop()
        for alarm in self.run.alarms:
            alarm.stop()
        self.tasks.cancel()
        self.supervisor.kill_all()
        await self.machines.clear_away()
        await self.supervisor.all_gone()
        self.run.addresses.close()
