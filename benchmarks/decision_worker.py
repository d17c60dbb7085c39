"""Model workers for `decision_model`: they guard their capacity, run tasks and list ends, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.decision_load import WorkerPlan
from flintfield.agent.events import Answer, AnswerKind, Hold, RunStart, RunStop, WorkerRequest
from flintfield.jobs.messages import End, Run, RunResult


@dataclass(slots=True)
class ModelRun:
    """A run that goes on."""

    name: str
    run: int
    begun_ms: float
    ends_ms: float
    how: RunResult
    cpu: int
    memory_mb: int
    gpu: int


@dataclass(slots=True)
class Work:
    """What a start is to do: how long it takes there, how it ends, what it asks for."""

    takes_ms: float
    how: RunResult
    cpu: int
    memory_mb: int
    gpu: int


@dataclass(slots=True)
class ModelWorker:
    """One worker. `work` tells what a task does on it; `at` calls back later."""

    plan: WorkerPlan
    work: Callable[[str, int, WorkerPlan], Work]
    at: Callable[[float, Callable[[], None]], None]
    now: Callable[[], float]
    runs: dict[str, ModelRun] = field(default_factory=dict)
    ends: list[End] = field(default_factory=list)
    waiting: list[tuple[float, Callable[[Answer], None]]] = field(default_factory=list)
    last_seen: int = 0
    number: int = 0
    looks: int = 0
    refused: int = 0

    def serve(self, request: WorkerRequest, answer: Callable[[Answer], None]) -> None:
        """Take a call; `answer` is called at once or later."""
        match request:
            case RunStart():
                answer(self._start(request))
            case RunStop():
                if request.task in self.runs:
                    self._end(self.runs[request.task], RunResult.STOPPED)
                answer(Answer(AnswerKind.OK, int(self.now())))
            case Hold():
                self._hold(request, answer)

    def _start(self, request: RunStart) -> Answer:
        now = int(self.now())
        if request.task in self.runs:
            return Answer(AnswerKind.OK, now)
        work = self.work(request.task, request.run, self.plan)
        used = (
            sum(run.cpu for run in self.runs.values()),
            sum(run.memory_mb for run in self.runs.values()),
            sum(run.gpu for run in self.runs.values()),
        )
        fits = (
            used[0] + work.cpu <= self.plan.cpu
            and used[1] + work.memory_mb <= self.plan.memory_mb
            and used[2] + work.gpu <= self.plan.gpu
        )
        if not fits:
            self.refused += 1
            return Answer(AnswerKind.ROOM, now)
        run = ModelRun(
            request.task,
            request.run,
            self.now(),
            self.now() + work.takes_ms,
            work.how,
            work.cpu,
            work.memory_mb,
            work.gpu,
        )
        self.runs[request.task] = run
        self.at(work.takes_ms, lambda: self._due(run))
        return Answer(AnswerKind.OK, now)

    def _due(self, run: ModelRun) -> None:
        if self.runs.get(run.name) is run:
            self._end(run, run.how)

    def _end(self, run: ModelRun, how: RunResult) -> None:
        del self.runs[run.name]
        self.number += 1
        self.ends.append(End(self.number, run.name, run.run, how, ""))
        for _, answer in self.waiting:
            answer(self._lists())
        self.waiting.clear()

    def _hold(self, request: Hold, answer: Callable[[Answer], None]) -> None:
        self.looks += 1
        self.last_seen = max(self.last_seen, request.last_seen)
        self.ends = [end for end in self.ends if end.number > self.last_seen]
        if self.ends or not request.wait_ms:
            answer(self._lists())
            return
        entry = (self.now(), answer)
        self.waiting.append(entry)
        self.at(request.wait_ms, lambda: self._waited(entry))

    def _waited(self, entry: tuple[float, Callable[[Answer], None]]) -> None:
        if entry in self.waiting:
            self.waiting.remove(entry)
            entry[1](self._lists())

    def _lists(self) -> Answer:
        now = self.now()
        running = tuple(
            Run(run.name, run.run, "", int(100 * (now - run.begun_ms) / max(1.0, run.ends_ms - run.begun_ms)))
            for run in self.runs.values()
        )
        return Answer(AnswerKind.OK, int(now), running, tuple(self.ends))
