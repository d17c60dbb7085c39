"""Faults of the dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from flintfield.dispatch import service
from flintfield.jobs.addresses import JobAddress
from flintfield.jobs import intake
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.events import CallArrived
from flintfield.jobs.listings import Listings
from flintfield.jobs.messages import AgentReport, Method, OrderResult, Outcome
from flintfield.jobs.orders import Orders
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.restore import Restore
from flintfield.jobs.runs import Ending, Runs
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.worker_record import WorkerRecord
from flintfield.jobs.workers import Workers
from flintfield.simulation.planted.patch import Patch


def place_before_durable() -> list[Patch]:
    """Start orders leave before the placement is durable."""
    hasty: dict[int, list[Callable[[], None]]] = {}
    after_write, flush = DispatcherState.after_write, DispatcherState.flush

    def put_off(self: DispatcherState, action: Callable[[], None]) -> None:
        if getattr(getattr(action, "func", None), "__name__", "") == "_placement_durable":
            hasty.setdefault(id(self), []).append(action)
        else:
            after_write(self, action)

    def flush_after(self: DispatcherState) -> Any:
        for action in hasty.pop(id(self), []):
            action()
        return flush(self)

    return [Patch(DispatcherState, "after_write", put_off), Patch(DispatcherState, "flush", flush_after)]


def know_jobs_by_id_alone() -> list[Patch]:
    """A job is found by its ID whatever the queue."""
    return [Patch(intake, "names_job", lambda request, address, job, configuration: True)]


def accept_before_durable() -> list[Patch]:
    """Jobs are acknowledged before they are durable."""

    class Hasty(intake.Intake):
        def _submit_new(self, call: int, address: JobAddress, route: Any, body: bytes) -> None:
            super()._submit_new(call, address, route, body)
            if address.job_id in self._state.jobs:
                self._answer(call, 200)

    return [Patch(Dispatcher, "__init__", _with_parts(Dispatcher.__init__, "_intake", Hasty))]


def _with_parts(make: Callable[..., None], attribute: str, kind: type) -> Callable[..., None]:
    def made(self: Any, *arguments: Any, **options: Any) -> None:
        make(self, *arguments, **options)
        getattr(self, attribute).__class__ = kind

    return made


def advance_last_seen_early() -> list[Patch]:
    """LastSeen passes ends that are not durable."""
    process_ends = Listings.process_ends

    def early(self: Listings, record: WorkerRecord, report: AgentReport) -> None:
        process_ends(self, record, report)
        record.last_seen = max(record.last_seen, record.processed_ends)

    return [Patch(Listings, "process_ends", early)]


def decide_before_confirmed() -> list[Patch]:
    """A new dispatcher decides by whatever its process knows: no configuration, the terms of acceptances."""

    def made(*arguments: Any, configuration_confirmed: bool) -> Dispatcher:
        return Dispatcher(*arguments)

    def left_out(self: Restore, job_id: str, record: Any) -> None:
        return

    return [Patch(service, "Dispatcher", made), Patch(Restore, "_queue", left_out)]


def one_epoch_for_all() -> list[Patch]:
    """The fencing token never rises, so late orders of an earlier dispatcher are not fenced off."""

    def made(epoch: int, *arguments: Any, **options: Any) -> Dispatcher:
        return Dispatcher(1, *arguments, **options)

    return [Patch(service, "Dispatcher", made)]


def silence_is_stopped() -> list[Patch]:
    """A stop without an answer counts as carried out."""
    result = Orders._handle_result

    def taken(self: Orders, record: WorkerRecord, pending: Any, told: OrderResult) -> None:
        if pending.stop is not None and told.outcome is Outcome.UNKNOWN:
            told = OrderResult(told.order, Outcome.DONE, told.stamp_ms)
        result(self, record, pending, told)

    return [Patch(Orders, "_handle_result", taken)]


def unanswered_is_not_started() -> list[Patch]:
    """A start without an answer counts as not carried out, and the task is placed again."""

    def not_started(self: Orders, record: WorkerRecord, pending: Any, run: Any, outcome: Outcome) -> None:
        self._resolve(run, Ending.REFUSED, "")

    return [Patch(Orders, "_handle_start_not_executed", not_started)]


def free_at_silence() -> list[Patch]:
    """Runs of a worker are given up when its agent's connection ends, before their hold is over."""
    lost = Workers.lost

    def give_up(self: Workers, machine: str) -> None:
        lost(self, machine)
        record = self._state.workers.get(self._state.by_machine.get(machine, ""))
        if record is not None:
            for run in list(record.runs.values()):
                self._release(record, run)

    return [Patch(Workers, "lost", give_up)]


def free_at_stop() -> list[Patch]:
    """Capacity counts as free when a stop is ordered, not when the end is listed."""
    order_stop = Runs.order_stop

    def stop(self: Runs, run: Any, record: WorkerRecord) -> None:
        order_stop(self, run, record)
        worker = record.worker
        if run.resources.cpu:
            worker.used = worker.used.minus(run.resources)
            run.resources = type(run.resources)()

    return [Patch(Runs, "order_stop", stop)]


def repeat_is_new() -> list[Patch]:
    """A job that is handed in again is taken for a new one."""
    call = intake.Intake.call

    def forget_and_call(self: intake.Intake, event: CallArrived) -> None:
        request = event.request
        if request.method is Method.SUBMIT:
            self._state.jobs.pop(request.path.rpartition("/")[2], None)
        call(self, event)

    return [Patch(intake.Intake, "call", forget_and_call)]


def ignore_dependencies() -> list[Patch]:
    """All steps of a job begin at once."""
    open_occurrence = Readiness.open

    def open_all(self: Readiness, job: Any, number: int) -> Any:
        occurrence = open_occurrence(self, job, number)
        for step in occurrence.steps:
            self.open_step(step)
        return occurrence

    return [Patch(Readiness, "open", open_all)]


def forget_failures() -> list[Patch]:
    """A failed run does not count against the task's attempts."""
    return [Patch(RunEnds, "_out_of_attempts", lambda self, step, task: False)]


def late_cancel() -> list[Patch]:
    """What still runs of a job that has ended is not stopped."""
    return [
        Patch(RunEnds, "_stop_all", lambda self, runs: None),
        Patch(Runs, "stop_all", lambda self, runs: None),
        Patch(Listings, "_should_stop", lambda self, run, now: False),
    ]
