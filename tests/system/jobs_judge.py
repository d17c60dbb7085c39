"""Checks the service's guarantees against the runs on model workers and the answers to clients."""

from __future__ import annotations

import itertools
import json
from dataclasses import dataclass, field
from typing import Any

from flintfield.jobs.messages import Method

from .jobs_worker import ObservedRun
from .jobs_world import WALL_0, ClientAnswer, World

MAX_ATTEMPTS = 2  # of the routes in `World`
CANCEL_MS = 3_000
DRAIN_MS = 2_000


@dataclass
class Judge:
    """Checks the guarantees on what workers and clients observed."""

    world: World
    faults: list[str] = field(default_factory=list)

    def check(self) -> list[str]:
        """Return all violations."""
        by_task: dict[str, list[ObservedRun]] = {}
        for seen in self.world.seen:
            by_task.setdefault(seen.task, []).append(seen)
        for task, runs in by_task.items():
            self._check_single_run(task, runs)
            self._check_order(task, runs, by_task)
            self._check_attempts(task, runs)
            self._check_requested(task, runs)
        self._check_capacity()
        self._check_drain()
        self._check_reported_states(by_task)
        return self.faults

    def _step(self, task: str) -> dict[str, Any]:
        job, _, step, _ = task.split(".")
        found: dict[str, Any] = self.world.jobs[job]["steps"][int(step)]
        return found

    def _check_single_run(self, task: str, runs: list[ObservedRun]) -> None:
        if self._step(task).get("speculative"):
            return
        ordered = sorted(runs, key=lambda seen: seen.start)
        for before, after in itertools.pairwise(ordered):
            if before.end is None or before.end > after.start + 1:
                self.faults.append(
                    f"TWICE {task}: run {before.run} until {before.end}, {after.run} from {after.start}"
                )
        for done in [
            seen for seen in runs if seen.how == "done" and seen.acknowledged and seen.end is not None
        ]:
            for other in runs:
                if other.start > (done.end or 0):
                    self.faults.append(f"TWICE {task}: run {other.run} after {done.run} was done")

    def _check_order(self, task: str, runs: list[ObservedRun], by_task: dict[str, list[ObservedRun]]) -> None:
        job, number, step, _ = task.split(".")
        body = self.world.jobs[job]
        first = min(seen.start for seen in runs)
        if body.get("repeatCount"):
            due = body["firstRunMs"] + int(number) * body["intervalMs"]
            if WALL_0 + first < due:
                self.faults.append(f"ORDER {task}: {due - WALL_0 - first} ms early")
        for earlier in self._step(task).get("dependsOn", ()):
            spec = body["steps"][earlier]
            names = [f"{job}.{number}.{earlier}.{index}" for index in range(spec["count"])]
            ends = [self._done_at(name, by_task) for name in names]
            reached = min(ends) if spec.get("gang") else max(ends)
            if reached > first:
                self.faults.append(f"ORDER {task}: started before step {earlier} was done")

    def _done_at(self, task: str, by_task: dict[str, list[ObservedRun]]) -> float:
        ends = [seen.end for seen in by_task.get(task, ()) if seen.how == "done" and seen.end is not None]
        return min(ends, default=float("inf"))

    def _check_attempts(self, task: str, runs: list[ObservedRun]) -> None:
        if self._step(task).get("longRunning"):
            return
        for seen in runs:
            failed = [
                other
                for other in runs
                if other.how == "failed"
                and other.acknowledged
                and other.end is not None
                and other.end < seen.start
            ]
            if len(failed) >= MAX_ATTEMPTS:
                self.faults.append(f"BUDGET {task}: run {seen.run} after {len(failed)} failed")

    def _check_requested(self, task: str, runs: list[ObservedRun]) -> None:
        job = task.partition(".")[0]
        cancelled = self.world.cancelled_at.get(job)
        for seen in runs:
            if seen.spec != self.world.jobs[job]["spec"]:
                self.faults.append(f"UNASKED {task}: spec {seen.spec!r}")
            if cancelled is None or seen.late:
                continue
            if seen.start > cancelled + CANCEL_MS:
                self.faults.append(f"UNASKED {task}: started {seen.start - cancelled} ms after the cancel")

    def _check_capacity(self) -> None:
        for worker in {id(seen.worker): seen.worker for seen in self.world.seen}.values():
            mine = [seen for seen in self.world.seen if seen.worker is worker]
            for seen in mine:
                at = seen.start
                concurrent = [
                    each for each in mine if each.start <= at and (each.end is None or each.end > at)
                ]
                cpu = sum(self._step(each.task).get("cpu", 0) for each in concurrent)
                if cpu > worker.capacity.cpu:
                    self.faults.append(f"LIMIT {worker.instance}: {cpu} at {at} with {seen.task}")

    def _check_drain(self) -> None:
        for seen in self.world.seen:
            if seen.draining_since is None or seen.late:
                continue
            if seen.start > seen.draining_since + DRAIN_MS:
                self.faults.append(f"DRAIN {seen.task}: {seen.start - seen.draining_since} ms after")

    def _check_reported_states(self, by_task: dict[str, list[ObservedRun]]) -> None:
        for received in self.world.client_answers:
            if received.method is not Method.STATUS or received.answer.status != 200:
                continue
            state = json.loads(received.answer.body)["state"]
            if state == "completed":
                self._check_completed(received, by_task)
            elif state == "cancelled" and received.job not in self.world.cancelled_at:
                self.faults.append(f"LOST {received.job}: cancelled by nobody")

    def _check_completed(self, received: ClientAnswer, by_task: dict[str, list[ObservedRun]]) -> None:
        body = self.world.jobs[received.job]
        for number in range(max(1, body.get("repeatCount", 0))):
            for index, step in enumerate(body["steps"]):
                names = [f"{received.job}.{number}.{index}.{each}" for each in range(step["count"])]
                ends = [self._done_at(name, by_task) for name in names]
                if (min(ends) if step.get("gang") else max(ends)) > received.at:
                    self.faults.append(f"MIXED {received.job}: shown as completed before step {index} was")
