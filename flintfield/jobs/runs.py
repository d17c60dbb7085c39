"""Places, starts, stops and closes runs.

A placement is durable before its start order is sent, so that a successor knows every run that may exist. A
run occupies capacity on its worker from its placement until it is closed.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from functools import partial

from flintfield.jobs.messages import StartOrder, StopOrder
from flintfield.jobs.model import Job, Run, Task
from flintfield.jobs.occurrences import gang_is_complete
from flintfield.jobs.recorder import JobEvent
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState, RunState, TaskState
from flintfield.jobs.timing import Phase
from flintfield.jobs.worker_record import NO_BOOT, PendingOrder, WorkerRecord
from flintfield.placement.interface import Demand, Worker


MAX_STOPPED_AT_ONCE = 2_000  # when a job ends; the next tick goes on


class Ending(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"  # its worker crashed, or was unreachable until its hold had certainly expired
    VANISHED = "vanished"  # the worker answered the order but does not list the run
    UNSENT = "unsent"  # its start order was never sent
    REFUSED = "refused"  # the worker refused its start order


Resolve = Callable[[Run, Ending, str], None]


class Runs:
    """Operations on runs. `resolve` is called for runs whose end becomes certain here."""

    def __init__(self, state: DispatcherState, resolve: Resolve) -> None:
        self._state = state
        self._resolve = resolve
        self._to_stop: deque[Run] = deque()

    def place(self, task: Task, demand: Demand, worker: Worker, number: int, checkpoint: str) -> Run:
        """Place a run of a ready task on this worker; its start order is sent once that is durable."""
        state = self._state
        run = Run(
            task,
            number,
            worker.instance,
            worker.machine,
            state.epoch,
            task.step.resources,
            checkpoint,
            state.now_ms,
        )
        if demand.affinity and worker.rack != demand.affinity:
            run.duration_factor = state.bounds.far_x
        task.last_run = max(task.last_run, number)
        task.step.run_opened(run)
        task.become_placed()
        state.count_run(run)
        state.record(task.job, JobEvent.PLACED, run)
        if task.step.spec.speculative and not task.step.spec.gang:
            state.speculative[task] = None
        state.write_task(task)
        state.placement.note_start(demand, worker.instance, state.now_ms)
        state.after_write(partial(self._placement_durable, run))
        return run

    def _placement_durable(self, run: Run) -> None:
        if run.state is not RunState.PLACING:
            return
        record = self._state.record_of(run)
        if record is None or not record.worker.ready or not _may_start(run):
            self._resolve(run, Ending.UNSENT, "")
            return
        self._state.counters.starts += 1
        self.order_start(run, record)

    def order_start(self, run: Run, record: WorkerRecord) -> None:
        """Send the run's start order; idempotent."""
        state = self._state
        job = run.task.job
        text = job.spec.spec if job.spec is not None else ""
        fresh = run.state is RunState.PLACING
        boot = record.boot if fresh else NO_BOOT
        order = StartOrder(state.next_order(), run.name, run.number, text, run.checkpoint)
        record.forget_order(run.order)
        if run.ordered_ms < 0:
            state.timing.note(run.task.job, Phase.PLACEMENT, state.now_ms - run.placed_ms)
        run.order_sent(order.order, state.now_ms)
        job.started = True
        record.add_order(PendingOrder(run, state.now_ms, boot, start=order))
        state.send_to(record)

    def stop(self, run: Run) -> None:
        """Stop the run or prevent its start. Resolves it immediately if its start order was not sent yet."""
        if run.state is RunState.PLACING:
            self._resolve(run, Ending.UNSENT, "")
            return
        if run.state in (RunState.STOPPING, RunState.CLOSED):
            return
        record = self._state.record_of(run)
        if record is not None:
            self._state.record(run.task.job, JobEvent.STOPPING, run)
            self.order_stop(run, record)

    def stop_all(self, runs: list[Run]) -> None:
        """Stop runs, some at once and the others with the next ticks."""
        self._to_stop.extend(runs)
        self.stop_some()

    def stop_some(self) -> None:
        """Stop a part of the runs that are still to be stopped."""
        for _ in range(min(len(self._to_stop), MAX_STOPPED_AT_ONCE)):
            self.stop(self._to_stop.popleft())

    def order_stop(self, run: Run, record: WorkerRecord) -> None:
        """Send a stop order, possibly again."""
        record.forget_order(run.order)
        run.stop_ordered(self._send_stop(record, run.name, run.number, run))

    def order_stray_stop(self, record: WorkerRecord, name: str, number: int) -> int:
        """Stop a run that is in no table, or prevent its start; returns the order's number."""
        return self._send_stop(record, name, number, None)

    def _send_stop(self, record: WorkerRecord, name: str, number: int, run: Run | None) -> int:
        order = StopOrder(self._state.next_order(), name, number)
        record.add_order(PendingOrder(run, self._state.now_ms, stop=order))
        self._state.send_to(record)
        return order.order

    def close(self, run: Run) -> None:
        """Close a run whose end is certain, and free its resources."""
        record = self._state.record_of(run)
        if record is not None:
            record.forget_order(run.order)
        run.close()
        self._state.uncount_run(run)
        run.task.step.run_closed(run)


def _may_start(run: Run) -> bool:
    """Whether the run's start order may still be sent."""
    job: Job = run.task.job
    if job.state is not JobState.ACTIVE or run.task.state is not TaskState.PLACED:
        return False
    return gang_is_complete(run.task.step, run.number)
