"""A play of a local cluster from its first start to a verdict."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from pathlib import Path

from flintfield.console.local.calls import PREFIX, CallFailed, Caller
from flintfield.console.local.job_kinds import JobKind, configuration, job_kinds
from flintfield.console.local.machines import Machine, Role, free_port_block, plan_machines
from flintfield.console.local.processes import Processes
from flintfield.console.rpc_client import NobodyAnswers, core_size, find_leader, is_listening
from flintfield.runtime.clock import wall_ms

START_S = 30.0  # until the first configuration is taken
START_POLL_S = 0.1
PERIOD_S = 0.25
LOOK_S = 2.0  # for one call about a job; then it is looked at again in the next period
KILL_AFTER_S = 1.0  # from the last submission
RESTART_S = 1.0  # from the kill
ENDED = ("completed", "failed", "cancelled")
RUNNING = "running"
OPEN = "open"  # no answer yet


class PlayFailed(Exception):
    """The cluster did not come to work, or lost a process; the text says how."""


@dataclass(slots=True)
class PlayedJob:
    """A submitted job as its client sees it; seconds of the steady clock."""

    id: str
    kind: JobKind
    submitted_s: float
    state: str = OPEN
    ended_s: float = 0.0
    cancel_sent: bool = False

    @property
    def ended(self) -> bool:
        """Whether it has reached an end."""
        return self.state in ENDED

    @property
    def as_expected(self) -> bool:
        """Whether it has ended as its kind must."""
        return self.state == self.kind.end


@dataclass(slots=True)
class Snapshot:
    """What the live table shows."""

    elapsed_s: float
    leader: str
    epoch: int
    running: int
    jobs: list[PlayedJob]
    events: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Options:
    """`rounds`: how many jobs of each kind; `timeout_s`: for the jobs, from the first submission."""

    rounds: int = 1
    kill_leader: bool = False
    timeout_s: float = 60.0
    stay: bool = False  # run on after the verdict, until interrupted


class Play:
    """One cluster, its jobs, and what became of them."""

    def __init__(self, folder: Path, options: Options, show: Callable[[Snapshot], None]) -> None:
        self._options = options
        self._show = show
        self._rng = random.Random()
        self.machines = plan_machines(free_port_block(self._rng))
        schedulers = [machine for machine in self.machines if machine.role is Role.SCHEDULER]
        self._seeds = tuple(machine.control for machine in schedulers if machine.replica)
        self._rpc = [machine.rpc for machine in schedulers]
        self._client = Caller([machine.front for machine in schedulers])
        self._operator = Caller([machine.control for machine in schedulers])
        self._processes = Processes(folder)
        self._snapshot = Snapshot(0.0, "", 0, 0, [])
        self._started_s = time.monotonic()
        self._killed: tuple[Machine, float] | None = None
        self._all_submitted_s = 0.0
        self._unanswered = 0  # looks at the jobs that ended without an answer

    @property
    def jobs(self) -> list[PlayedJob]:
        """The jobs so far."""
        return self._snapshot.jobs

    def run(self) -> bool:
        """Start everything, have all jobs done, stop everything; returns the verdict.

        Raises `PlayFailed` where the cluster itself is at fault.
        """
        try:
            self._start()
            self._configure()
            self._submit()
            self._follow()
            if self._options.stay:
                self._stay()
        except CallFailed as error:
            raise PlayFailed(str(error)) from error
        finally:
            self._processes.stop()
        return all(job.as_expected for job in self.jobs)

    def _start(self) -> None:
        """The first seed, which founds the core, starts once the other replicas listen: on a busy machine
        processes come up seconds apart, and the founder waits for the others for a few seconds only."""
        replicas = [machine for machine in self.machines if machine.replica]
        others = [machine for machine in self.machines if not machine.replica]
        for machine in replicas[1:]:
            self._processes.start_machine(machine, self._seeds, bootstrap=True)
        for machine in replicas[1:]:
            self._await(partial(is_listening, machine.rpc), f"{machine.name} listens")
        self._processes.start_machine(replicas[0], self._seeds, bootstrap=True)
        self._await(lambda: core_size(self._rpc) == len(replicas), f"a core of {len(replicas)} replicas")
        for machine in others:
            self._processes.start_machine(machine, self._seeds, bootstrap=True)
        for index, machine in enumerate(machine for machine in others if machine.role is Role.AGENT):
            self._processes.start_worker(machine, index)
        self._note(f"{self._processes.running} processes started, core of {len(replicas)} replicas")

    def _await(self, reached: Callable[[], bool], what: str) -> None:
        deadline_s = time.monotonic() + START_S
        while not reached():
            self._check_processes()
            if time.monotonic() > deadline_s:
                raise PlayFailed(f"not reached within {START_S:.0f} s: {what}")
            time.sleep(START_POLL_S)

    def _configure(self) -> None:
        headers = {"X-Base-Version": "0"}
        reply = self._operator.call("POST", "/-/Config.Replace", configuration(1), headers, START_S)
        if reply.status != HTTPStatus.OK:
            raise PlayFailed(f"the configuration was answered by {reply.status}")
        self._note("configuration 1 acknowledged")

    def _submit(self) -> None:
        for _ in range(self._options.rounds):
            for kind in job_kinds(wall_ms()):
                self._submit_one(kind)
        self._all_submitted_s = time.monotonic()
        self._note(f"{len(self.jobs)} jobs accepted")

    def _submit_one(self, kind: JobKind) -> None:
        job = PlayedJob(f"{self._rng.getrandbits(64):016x}", kind, time.monotonic())
        reply = self._client.call("POST", PREFIX + job.id, kind.body, within_s=START_S)
        if reply.status >= HTTPStatus.MULTIPLE_CHOICES:
            raise PlayFailed(f"job {kind.name} was answered by {reply.status}: {reply.fields}")
        self.jobs.append(job)

    def _follow(self) -> None:
        deadline_s = time.monotonic() + self._options.timeout_s
        while time.monotonic() < deadline_s:
            self._look_at_jobs()
            self._kill_and_restart()
            self._check_processes()
            self._refresh()
            if all(job.ended for job in self.jobs) and not self._kill_outstanding():
                return
            time.sleep(PERIOD_S)
        self._note(f"not done after {self._options.timeout_s:.0f} s")

    def _stay(self) -> None:
        """Let the cluster run on until the user interrupts it."""
        seeds = ",".join(self._rpc)
        self._note(f"the cluster stays; ask it with --at {seeds}; Ctrl-C ends it")
        with suppress(KeyboardInterrupt):
            while True:
                self._check_processes()
                time.sleep(PERIOD_S)

    def _look_at_jobs(self) -> None:
        """Ask for all open jobs, as far as anybody answers."""
        try:
            for job in self.jobs:
                self._look_at(job)
        except CallFailed:
            self._unanswered += 1

    def _look_at(self, job: PlayedJob) -> None:
        if job.ended:
            return
        due_s = job.submitted_s + job.kind.cancel_after_s
        if job.kind.cancel_after_s and not job.cancel_sent and time.monotonic() >= due_s:
            reply = self._client.call("DELETE", PREFIX + job.id, within_s=LOOK_S)
            job.cancel_sent = reply.status < HTTPStatus.MULTIPLE_CHOICES
        reply = self._client.call("GET", PREFIX + job.id, within_s=LOOK_S)
        job.state = str(reply.fields.get("state", f"status {reply.status}"))
        if job.ended:
            job.ended_s = time.monotonic()

    def _kill_outstanding(self) -> bool:
        """Whether a kill, or the restart after it, is still to come."""
        return self._options.kill_leader and (self._killed is None or self._killed[1] > 0.0)

    def _kill_and_restart(self) -> None:
        now_s = time.monotonic()
        if self._killed is not None:
            machine, due_s = self._killed
            if due_s and now_s >= due_s:
                self._processes.start_machine(machine, self._seeds, bootstrap=False)
                self._killed = (machine, 0.0)
                self._note(f"{machine.name} started again")
            return
        under_way = any(job.state == RUNNING for job in self.jobs)
        if not self._options.kill_leader or not under_way or now_s < self._all_submitted_s + KILL_AFTER_S:
            return
        leader = self._leader_machine()
        if leader is not None:
            self._processes.kill(leader.name)
            self._killed = (leader, time.monotonic() + RESTART_S)
            self._note(f"{leader.name}, the dispatcher, killed")

    def _leader_machine(self) -> Machine | None:
        self._refresh()
        return next((machine for machine in self.machines if machine.name == self._snapshot.leader), None)

    def _check_processes(self) -> None:
        for process in self._processes.unexpected_ends():
            raise PlayFailed(f"{process.name} ended with {process.handle.returncode}; see {process.log}")

    def _refresh(self) -> None:
        snapshot = self._snapshot
        snapshot.elapsed_s = time.monotonic() - self._started_s
        snapshot.running = self._processes.running
        try:
            leader = find_leader(self._rpc)
        except NobodyAnswers:
            leader = None
        snapshot.leader = leader.name if leader is not None else ""
        snapshot.epoch = leader.epoch if leader is not None else 0
        self._show(snapshot)

    def _note(self, text: str) -> None:
        self._snapshot.events.append(f"{time.monotonic() - self._started_s:5.1f} s  {text}")
        self._refresh()
