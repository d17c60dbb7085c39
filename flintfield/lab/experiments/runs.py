"""One run: a job played by an engine, and judged as it goes."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Literal, cast

import msgspec

from flintfield.lab import scenario as scenarios
from flintfield.lab.judge import Judge
from flintfield.lab.log import AnyRecord, encode_line
from flintfield.lab.verdict import Verdict

Engine = Literal["virtual", "sockets"]
FLOOR, TOP = "random", "omniscient"
CLOSE = 0.10  # the least divisor: floor and top nearer than this say little (so does the operators' bench)


class RunError(Exception):
    """A run that could not begin; one line tells why."""


class Job(msgspec.Struct, frozen=True):
    """What is played: all that bears on a run's outcome, beside the code."""

    scenario: scenarios.Scenario
    seed: int
    engine: Engine = "virtual"
    chooser: str = "flintfield"
    plant: str = ""  # a planted fault's name

    def key(self) -> str:
        """Names the job among a sweep's results."""
        return hashlib.sha256(msgspec.json.encode(self, order="deterministic")).hexdigest()[:24]


def play(job: Job, on_record: Callable[[AnyRecord], None]) -> None:
    """Play the job; each record of its log is handed on as it is written.

    A `RunError` tells of a scheduler that does not start.
    """
    if job.engine == "sockets":
        from flintfield.lab import sockets
        from flintfield.lab.sockets import planted

        program = planted.command(job.plant) if job.plant else None
        try:
            sockets.play(job.scenario, job.seed, on_record=on_record, program=program)
        except sockets.StartError as error:
            raise RunError(f"{job.scenario.name}: {error}") from error
        return
    from flintfield.lab import virtual

    if job.plant:
        from flintfield.lab import faults

        virtual.play(job.scenario, job.seed, job.chooser, make=faults.maker(job.plant), on_record=on_record,
                     reducer=faults.reducer(job.plant))
    else:
        virtual.play(job.scenario, job.seed, job.chooser, on_record=on_record)


def run(job: Job, log_file: str | Path | None = None) -> Verdict:
    """Play and judge the job; its log is kept in `log_file` if one is named, else nowhere."""
    judge = Judge()
    with _keeper(log_file) as keep:
        def each(record: AnyRecord) -> None:
            judge.take(record)
            if keep:
                keep(record)

        play(job, each)
    return judge.verdict()


@contextmanager
def _keeper(log_file: str | Path | None) -> Iterator[Callable[[AnyRecord], None] | None]:
    if log_file is None:
        yield None
        return
    with open(log_file, "wb") as file:
        yield lambda record: cast(None, file.write(encode_line(record)))


def share(goal: float, floor: float, top: float) -> float:
    """Where a goal stands between floor (0) and top (1)."""
    return 1.0 - (top - goal) / max(top - floor, CLOSE)


def with_yardsticks(verdict: Verdict, goals: dict[str, float]) -> Verdict:
    """The verdict with the goals of the yardsticks that were played beside it, and its share between
    them."""
    between = None
    if FLOOR in goals and TOP in goals:
        between = share(verdict.service.goal, goals[FLOOR], goals[TOP])
    return msgspec.structs.replace(verdict, yardsticks=goals, share=between)


def as_json(verdict: Verdict) -> dict[str, Any]:
    """The one object that the command line prints: service raw and as a share, each rule with its
    violations."""
    from flintfield.lab.judge.findings import RULES

    told: dict[str, Any] = msgspec.to_builtins(verdict)
    violations = told.pop("violations")
    broken = told.pop("broken")
    told["rules"] = {rule: {"kept": not broken.get(rule), "broken": broken.get(rule, 0),
                            "violations": [v for v in violations if v["rule"] == rule]} for rule in RULES}
    told["kept"] = verdict.kept
    return told
