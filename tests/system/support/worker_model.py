"""A worker that follows the users' protocol, as a model without I/O and with the clock handed in.

`WorkerModel` takes the fields of the three calls and answers them as (status, fields). Time is its own steady
clock in whole ms; every method brings the model up to that time first.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from .worker_plan import Bounds, Capacity, RunPlan, plan_of_spec

Fields = dict[str, object]


class RunState(enum.Enum):
    """Where a run stands."""

    WAITING = "waiting"  # for the others of its gang
    WORKING = "working"
    STOPPING = "stopping"


@dataclass(slots=True)
class ModelRun:
    """A run on the worker; `work_from` is when its work began, less what a checkpoint saved."""

    task: str
    run: int
    plan: RunPlan
    started_ms: int
    saved: str
    state: RunState = RunState.WORKING
    work_from: int = 0
    ends_at: int | None = None
    stop_at: int = 0

    @property
    def gang_key(self) -> tuple[str, int]:
        """What the members of one gang run have in common: the step and the run number."""
        return self.task.rpartition(".")[0], self.run


@dataclass(slots=True)
class Log:
    """What tests judge by: all starts and ends, with the worker's clock."""

    starts: list[tuple[int, str, int]] = field(default_factory=list)
    ends: list[tuple[int, str, int, str]] = field(default_factory=list)
    rejected: list[tuple[str, str]] = field(default_factory=list)  # task, reason
    taken_note_of: list[tuple[int, int]] = field(default_factory=list)  # numbers of ends, by `lastSeen`
    listed: list[tuple[int, int]] = field(default_factory=list)  # the highest number of an end, when first


class WorkerModel:
    """One incarnation of a worker."""

    def __init__(
        self,
        instance: str,
        now: int,
        bounds: Bounds | None = None,
        capacity: Capacity | None = None,
        guards: bool = False,
        plan: Callable[[str, str], RunPlan] = plan_of_spec,
    ) -> None:
        self.instance = instance
        self.bounds = bounds or Bounds()
        self.capacity = capacity or Capacity()
        self.guards = guards
        self.plan = plan
        self.now = now
        self.fence = 0
        self.expires_ms = 0
        self.last_seen = 0
        self.runs: dict[str, ModelRun] = {}
        self.log = Log()
        self._highest_over: dict[str, int] = {}  # highest run stopped or ended, by task
        self._finished: list[list[object]] = []
        self._last_number = 0

    # The calls.

    def start(self, now: int, fields: Fields) -> tuple[int, Fields]:
        """`/-/run-start`."""
        self.advance(now)
        task, run = fields.get("task"), fields.get("runId")
        spec, expires = fields.get("spec"), fields.get("expiresMs")
        if not (
            isinstance(task, str)
            and isinstance(run, int)
            and isinstance(spec, str)
            and isinstance(expires, int)
        ):
            return 400, self._with_clock({"error": "task, runId, spec and expiresMs are wanted"})
        if not self._take_fence(fields):
            return self._reject(task, "fence")
        self._extend(expires)
        known = self.runs.get(task)
        if known is not None and known.run == run:
            return 200, self._with_clock({})
        if run <= self._highest_over.get(task, 0) or known is not None:
            return self._reject(task, "old")
        if self.expires_ms <= now:
            return self._reject(task, "late")
        plan = self.plan(task, spec)
        if self.guards and not self._fits(plan):
            return self._reject(task, "room")
        self._begin(task, run, plan, str(fields.get("checkpointed", "")))
        return 200, self._with_clock({})

    def stop(self, now: int, fields: Fields) -> tuple[int, Fields]:
        """`/-/run-stop`."""
        self.advance(now)
        task, run = fields.get("task"), fields.get("runId")
        if not (isinstance(task, str) and isinstance(run, int)):
            return 400, self._with_clock({"error": "task and runId are wanted"})
        if not self._take_fence(fields):
            return self._reject(task, "fence")
        self._highest_over[task] = max(run, self._highest_over.get(task, 0))
        known = self.runs.get(task)
        if known is not None and known.run <= run and known.state is not RunState.STOPPING:
            known.saved = self._saved_now(known)
            known.state = RunState.STOPPING
            known.stop_at = now + self.bounds.stop_ms
        return 200, self._with_clock({})

    def hold(self, now: int, fields: Fields) -> tuple[int, Fields]:
        """The first part of `/-/hold`: 200, or a refusal. `lists` tells the lists when the wait is over."""
        self.advance(now)
        last_seen, wait_ms = fields.get("lastSeen", 0), fields.get("waitMs", 0)
        if not isinstance(last_seen, int) or not isinstance(wait_ms, int) or not 0 <= wait_ms <= 2_000:
            return 400, self._with_clock({"error": "lastSeen, or waitMs from 0 to 2000"})
        if not self._take_fence(fields):
            return self._reject("", "fence")
        expires = fields.get("expiresMs")
        if isinstance(expires, int):
            self._extend(expires)
        if last_seen > self.last_seen:
            self.last_seen = last_seen
            self.log.taken_note_of.append((self.now, last_seen))
        self._finished = [end for end in self._finished if int(str(end[0])) > self.last_seen]
        return 200, {}

    def lists(self, now: int) -> Fields:
        """Both lists, with the clock."""
        self.advance(now)
        running = [[run.task, run.run, run.saved, self._percent(run)] for run in self.runs.values()]
        highest = int(str(self._finished[:500][-1][0])) if self._finished else 0
        if highest > (self.log.listed[-1][1] if self.log.listed else 0):
            self.log.listed.append((self.now, highest))
        return self._with_clock({"running": running, "finished": self._finished[:500]})

    @property
    def ends_to_tell(self) -> int:
        """How many ends are not forgotten."""
        return len(self._finished)

    @property
    def last_number(self) -> int:
        """The number of the newest end."""
        return self._last_number

    # Time.

    def next_event(self) -> int | None:
        """When something happens next by itself."""
        times = [time for run in self.runs.values() if (time := self._event_of(run)) is not None]
        if self.runs:
            times.append(self.expires_ms)
        return min(times, default=None)

    def advance(self, now: int) -> None:
        """Bring the model to this time, one event after the other."""
        while True:
            at = self.next_event()
            if at is None or at > now:
                break
            self.now = max(self.now, at)
            self._happen(at)
        self.now = max(self.now, now)

    def crash(self) -> None:
        """Everything is gone without a word."""
        self.runs.clear()

    def _event_of(self, run: ModelRun) -> int | None:
        if run.state is RunState.STOPPING:
            return run.stop_at
        if run.state is RunState.WAITING:
            return run.started_ms + self.bounds.gang_ms
        return run.ends_at

    def _happen(self, at: int) -> None:
        if self.expires_ms <= at:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
            return
        for run in list(self.runs.values()):
            if run.task not in self.runs or self._event_of(run) != at:
                continue
            if run.state is RunState.STOPPING:
                self._end(run, "stopped")
            elif run.state is RunState.WAITING:
                self._end(run, "alone")
            else:
                self._end(run, run.plan.how)

    def _end(self, run: ModelRun, how: str) -> None:
        del self.runs[run.task]
        self._highest_over[run.task] = max(run.run, self._highest_over.get(run.task, 0))
        self._last_number += 1
        saved = "" if how == "done" else run.saved
        self._finished.append([self._last_number, run.task, run.run, how, saved])
        self.log.ends.append((self.now, run.task, run.run, how))
        if run.plan.gang > 1 and how not in ("done", "lapsed", "alone"):
            for member in [other for other in self.runs.values() if other.gang_key == run.gang_key]:
                self._end(member, "broken")

    # Parts of the calls.

    def _take_fence(self, fields: Fields) -> bool:
        token = fields.get("fenceToken", 0)
        if not isinstance(token, int) or token < self.fence:
            return False
        self.fence = token
        return True

    def _extend(self, expires: int) -> None:
        self.expires_ms = max(self.expires_ms, min(expires, self.now + self.bounds.hold_max_ms))

    def _fits(self, plan: RunPlan) -> bool:
        used = [run.plan for run in self.runs.values()]
        return (
            sum(other.cpu for other in used) + plan.cpu <= self.capacity.cpu
            and sum(other.memory_mb for other in used) + plan.memory_mb <= self.capacity.memory_mb
            and sum(other.gpu for other in used) + plan.gpu <= self.capacity.gpu
        )

    def _begin(self, task: str, run: int, plan: RunPlan, saved: str) -> None:
        begun = ModelRun(task, run, plan, self.now, saved)
        self.runs[task] = begun
        self.log.starts.append((self.now, task, run))
        if plan.gang <= 1:
            self._work(begun)
            return
        begun.state = RunState.WAITING
        members = [other for other in self.runs.values() if other.gang_key == begun.gang_key]
        if len(members) >= plan.gang:
            for member in members:
                self._work(member)

    def _work(self, run: ModelRun) -> None:
        run.state = RunState.WORKING
        done_ms = int(run.saved, 16) if run.saved else 0
        restore_ms = self.bounds.restore_ms if run.saved else 0
        run.work_from = self.now + restore_ms - done_ms
        run.ends_at = run.work_from + run.plan.work_ms if run.plan.work_ms else None
        if run.ends_at is not None and run.plan.align_ms:
            run.ends_at += -run.ends_at % run.plan.align_ms

    def _saved_now(self, run: ModelRun) -> str:
        if not run.plan.checkpoints or run.state is not RunState.WORKING:
            return run.saved
        return f"{max(0, self.now - run.work_from):016x}"

    def _percent(self, run: ModelRun) -> int:
        if run.state is RunState.WAITING or not run.plan.work_ms:
            return 0
        worked_ms = max(0, self.now - run.work_from)
        if run.plan.checkpoints and worked_ms >= self.bounds.save_ms and run.state is RunState.WORKING:
            run.saved = f"{worked_ms // self.bounds.save_ms * self.bounds.save_ms:016x}"
        return min(99, 100 * worked_ms // run.plan.work_ms)

    def _reject(self, task: str, reason: str) -> tuple[int, Fields]:
        self.log.rejected.append((task, reason))
        return 409, self._with_clock({"reason": reason})

    def _with_clock(self, fields: Fields) -> Fields:
        return {"clockMs": self.now, **fields}
