"""Runs processes of an older checkout beside processes of this one, and this build on the older build's data.

Usage, from the root, with the environment that `.ci/run` makes:

    python -m tools.mixed_builds [--folder DIR] OLD_CHECKOUT [CHECK ...]

Each check prints one line; exit code 0 if all pass, 1 otherwise. The checks:

    cluster   a local cluster of which a replica, the scheduler without a disk and two agents run the old
              build: a job of each kind, then a change of the configuration that every scheduler takes up
    disk      the old build plays a local cluster; this build starts on its settings and disks, still has its
              configuration and accepts the next one
    trial     schedulers in service that are members of one group and share limits, every second of the
              old build
    data      one scheduler of the old build writes a capture, a store and job records; this build replays the
              capture, checks the store and starts from it

A check fails if a process logs an error, a job does not end as it must, or data is lost.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from flintfield.console.local.calls import CallFailed, Caller
from flintfield.console.local.job_kinds import configuration, job_kinds
from flintfield.console.local.machines import Role
from flintfield.console.local.play import Options, Play, PlayFailed
from flintfield.console.local.processes import ClusterProcess, Processes
from flintfield.console.rpc_client import NobodyAnswers, NobodyLeads, ask_dispatcher, survey
from flintfield.lab import scenario as scenarios, sockets
from flintfield.lab.fleet import plan as plans
from flintfield.lab.fleet.judge import judge_trial
from flintfield.lab.fleet.trial import Trial
from flintfield.lab.sockets.beside import Deeds
from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.processes import Scheduler
from flintfield.observe.messages import Jobs
from flintfield.observe.questions import AskJobs
from flintfield.runtime.settings import VARIABLE

ROOT = Path(__file__).resolve().parents[1]
OLD_MACHINES = ("scheduler-2", "scheduler-4", "agent-1", "agent-3", "worker-1")
TRIALS = ("budgets", "judgements")
SEED = 1
TAKE_UP_S = 20.0  # until all schedulers go by a new configuration
END_S = 15.0
POLL_S = 0.2
SHOWN_CHARACTERS = 400  # of a process's output in an error
ERRORS = re.compile(r'"level": ?"(ERROR|error|CRITICAL|critical)"|Traceback')


class CheckFailed(Exception):
    """A check did not pass; the text says why."""


def _environment(checkout: Path) -> dict[str, str]:
    """Variables under which a process imports the code of a checkout before any other."""
    return {**os.environ, "PYTHONPATH": str(checkout)}


class MixedProcesses(Processes):
    """The processes of a local cluster, some of which run the old build."""

    def __init__(self, folder: Path, old: Path) -> None:
        super().__init__(folder)
        self._old = old

    def _begin(self, name: str, arguments: Sequence[str], variables: dict[str, str]) -> None:
        if name not in OLD_MACHINES:
            super()._begin(name, arguments, variables)
            return
        environment = {**_environment(self._old), **variables}
        log = self.folder / "logs" / f"{name}.log"
        with log.open("ab") as output:
            handle = subprocess.Popen(
                (sys.executable, "-m", *arguments),
                cwd=self._old,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self._by_name[name] = ClusterProcess(name, tuple(arguments), environment, log, handle)


class MixedPlay(Play):
    """A play of a cluster of two builds that ends with a change of the configuration."""

    def __init__(self, folder: Path, old: Path) -> None:
        super().__init__(folder, Options(), lambda _: None)
        self._processes = MixedProcesses(folder, old)

    def _follow(self) -> None:
        super()._follow()
        reply = self._operator.call("POST", "/-/Config.Replace", configuration(2), {"X-Base-Version": "1"})
        if reply.status != 200:
            raise PlayFailed(f"the second configuration was answered by {reply.status}")
        schedulers = sum(machine.role is Role.SCHEDULER for machine in self.machines)
        _await_version(self._rpc, 2, schedulers)


def _await_version(addresses: Sequence[str], version: int, schedulers: int) -> None:
    """Wait until so many schedulers report this version of the configuration."""
    deadline_s = time.monotonic() + TAKE_UP_S
    while time.monotonic() < deadline_s:
        try:
            found = asyncio.run(survey(addresses))
        except NobodyAnswers:
            time.sleep(POLL_S)
            continue
        versions = [status.configuration_version for status in found.processes.values() if status is not None]
        if versions.count(version) >= schedulers:
            return
        time.sleep(POLL_S)
    raise CheckFailed(f"fewer than {schedulers} schedulers reported configuration {version}")


def _end_of(process: subprocess.CompletedProcess[str]) -> str:
    return (process.stdout + process.stderr)[-SHOWN_CHARACTERS:]


def _check_logs(logs: Sequence[Path]) -> None:
    for log in logs:
        for line in log.read_text(errors="replace").splitlines():
            if ERRORS.search(line):
                raise CheckFailed(f"{log.name}: {line[:SHOWN_CHARACTERS]}")


def check_cluster(old: Path, folder: Path) -> str:
    """A cluster of both builds."""
    play = MixedPlay(folder, old)
    try:
        good = play.run()
    except (PlayFailed, CallFailed) as error:
        raise CheckFailed(str(error)) from error
    if not good:
        wrong = [f"{job.kind.name}: {job.state}" for job in play.jobs if not job.as_expected]
        raise CheckFailed(", ".join(wrong))
    _check_logs(sorted((folder / "logs").glob("*.log")))
    return f"{len(play.jobs)} jobs ended as they must, configuration 2 taken up by all schedulers"


def check_disk(old: Path, folder: Path) -> str:
    """This build on the settings and disks that a cluster of the old build left."""
    command = (sys.executable, "-m", "flintfield.programs.console", "local", "--folder", str(folder))
    played = subprocess.run(
        command, cwd=old, env=_environment(old), capture_output=True, text=True, check=False
    )
    if played.returncode:
        raise CheckFailed(f"the old build's own cluster failed: {_end_of(played)}")
    logs = folder / "logs-new"
    logs.mkdir()
    processes: list[subprocess.Popen[bytes]] = []
    settings = {path.stem: path for path in sorted((folder / "settings").glob("*.toml"))}
    rpc, control = [], []
    try:
        for name, path in settings.items():
            path.write_text(path.read_text().replace("bootstrap = true", "bootstrap = false"))
            fields = tomllib.loads(path.read_text())
            role = Role[fields["role"].upper()]
            if role is Role.SCHEDULER:
                rpc.append(f"{fields['ip']}:{fields['portRange'][0]}")
                control.append(fields["listen"]["control"])
            with (logs / f"{name}.log").open("ab") as output:
                processes.append(
                    subprocess.Popen(
                        (sys.executable, "-m", role.value),
                        cwd=ROOT,
                        env={**_environment(ROOT), VARIABLE: str(path)},
                        stdin=subprocess.DEVNULL,
                        stdout=output,
                        stderr=output,
                    )
                )
        _await_version(rpc, 1, len(rpc))
        kept = asyncio.run(ask_dispatcher(rpc, AskJobs("", False, 0, 1), Jobs)).total
        if kept != len(job_kinds(0)):
            raise CheckFailed(f"{kept} of {len(job_kinds(0))} jobs were found on the old disks")
        reply = Caller(control).call("POST", "/-/Config.Replace", configuration(2), {"X-Base-Version": "1"})
        if reply.status != 200:
            raise CheckFailed(f"configuration 2 was answered by {reply.status}: {reply.fields}")
        _await_version(rpc, 2, len(rpc))
    except (CallFailed, NobodyAnswers, NobodyLeads) as error:
        raise CheckFailed(str(error)) from error
    finally:
        _stop(processes)
    _check_logs(sorted(logs.glob("*.log")))
    return f"{len(rpc)} schedulers took {kept} jobs and configuration 1 from the old disks"


def _stop(processes: Sequence[subprocess.Popen[bytes]]) -> None:
    for process in processes:
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
    for process in processes:
        try:
            process.wait(END_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _launcher(folder: Path, old: Path, is_old: str) -> tuple[str, ...]:
    """A command that starts a scheduler in service from one of the two checkouts, by its `LB_NAME`."""
    path = folder / "launch.py"
    path.write_text(
        "import os, re, sys\n"
        f"checkout = {str(old)!r} if re.search({is_old!r}, os.environ['LB_NAME']) else {str(ROOT)!r}\n"
        "os.chdir(checkout)\n"
        "os.environ['PYTHONPATH'] = checkout\n"
        "os.execv(sys.executable, [sys.executable, '-m', 'flintfield', *sys.argv[1:]])\n"
    )
    return (sys.executable, str(path))


def check_trial(old: Path, folder: Path) -> str:
    """Schedulers in service of both builds that share limits and judgements over one membership group."""
    told = []
    for name in TRIALS:
        place = folder / name
        place.mkdir(parents=True)
        plan = plans.load(name)
        trial = Trial(plan, SEED, place)
        program = _launcher(place, old, r"[02468]$")
        log = sockets.play(plan.played(), SEED, program=program, folder=place, beside=trial)
        outcome = judge_trial(log, trial.history)
        if outcome.void:
            raise CheckFailed(f"{name}: void: {outcome.void}")
        if outcome.findings:
            raise CheckFailed(f"{name}: " + "; ".join(f"{f.name}: {f.word}" for f in outcome.findings[:3]))
        _check_logs(sorted(place.rglob("out.log")))
        told.append(f"{name}: {len(outcome.history.instances)} instances, nothing found")
    return ", ".join(told)


class _WithStore:
    """Stands beside a run and gives its schedulers an operators' file with capture, store and job records."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    async def open(self, run: Run, schedulers: Sequence[Scheduler], deeds: Deeds) -> None:
        """Write the files."""
        for place in range(len(schedulers)):
            store, capture = (self._folder / f"{part}-{place}" for part in ("store", "capture"))
            store.mkdir(exist_ok=True)
            capture.mkdir(exist_ok=True)
            self._ini(place).write_text(
                f"[jobstatus]\n[store]\ndir = {store}\nsnapshot_s = 0.5\n[capture]\ndir = {capture}\n"
            )

    def _ini(self, place: int) -> Path:
        return self._folder / f"operators-{place}.ini"

    def arguments(self, place: int) -> Sequence[str]:
        """Names the file of that scheduler."""
        return ("--ini", str(self._ini(place)))

    def started(self, place: int) -> None:
        """Nothing to do."""

    def ended(self, place: int) -> None:
        """Nothing to do."""

    def set_off(self) -> None:
        """Nothing to do."""

    async def close(self) -> None:
        """Nothing to do."""


def _events(log: Path) -> Iterator[dict[str, object]]:
    for line in log.read_text(errors="replace").splitlines():
        if line.startswith("{"):
            yield json.loads(line)


def _run(*arguments: str) -> str:
    """The output of this build's command line."""
    command = (sys.executable, "-c", "from flintfield.lifecycle.start import main; main()", *arguments)
    done = subprocess.run(
        command, cwd=ROOT, env=_environment(ROOT), capture_output=True, text=True, check=False
    )
    if done.returncode:
        raise CheckFailed(f"{' '.join(arguments)}: exit {done.returncode}: {_end_of(done)}")
    return done.stdout


def check_data(old: Path, folder: Path) -> str:
    """This build on the capture, the store and the job records of the old one."""
    scenario = scenarios.load("agem-calm")
    beside = _WithStore(folder)
    for build in ("old", "new"):
        place = folder / build
        place.mkdir()
        program = _launcher(place, old, "." if build == "old" else "^$")
        log = sockets.play(scenario, SEED, program=program, folder=place, beside=beside)
        _check_logs(sorted(place.rglob("out.log")))
        if build == "old":
            captured = [(path, path.read_bytes()) for path in sorted(folder.glob("capture-*/cap-*"))]
            stored = sorted(folder.glob("store-*"))
            for path in stored:
                _run("store", "check", str(path))
    if not captured:
        raise CheckFailed("the old build wrote no capture")
    for number, (path, data) in enumerate(captured):
        copy = folder / f"captured-{number}-{path.name}"
        copy.write_bytes(data)
        _run("replay", str(copy))  # raises where the new build would decide otherwise
    restored: dict[str, dict[str, object]] = {}
    for path in sorted((folder / "new").rglob("out.log")):
        for event in _events(path):
            if event.get("event") in ("restored", "recalled"):
                restored[str(event["event"])] = event
    if set(restored) != {"restored", "recalled"}:
        raise CheckFailed(f"the new build took up only {sorted(restored)} from the old store")
    return (
        f"{len(captured)} capture files replayed to the same decisions, "
        f"{len(stored)} stores checked, jobs restored: {restored['restored'].get('jobs')}, workers recalled: "
        f"{restored['recalled'].get('workers')}; {len(log.records)} records of the new build's run"
    )


CHECKS: dict[str, Callable[[Path, Path], str]] = {
    "cluster": check_cluster,
    "disk": check_disk,
    "trial": check_trial,
    "data": check_data,
}


def main() -> int:
    """Run the checks that are named, or all."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("old_checkout", type=Path)
    parser.add_argument("checks", nargs="*", metavar="CHECK", help=", ".join(CHECKS))
    parser.add_argument("--folder", type=Path, help="keeps settings, logs and data")
    arguments = parser.parse_args()
    if unknown := set(arguments.checks) - set(CHECKS):
        parser.error(f"unknown checks: {', '.join(sorted(unknown))}")
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="flintfield-mixed-"))
    random.seed(SEED)
    failed = 0
    for name in arguments.checks or CHECKS:
        place = folder.resolve() / name
        place.mkdir(parents=True)
        try:
            print(f"{name}: passed: {CHECKS[name](arguments.old_checkout.resolve(), place)}", flush=True)
        except CheckFailed as error:
            failed += 1
            print(f"{name}: FAILED: {error}", flush=True)
    print(f"settings, logs and data: {folder}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
