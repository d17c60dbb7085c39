"""Processes the results of orders and repeats unanswered orders."""

from __future__ import annotations

from collections.abc import Callable

from flintfield.jobs.messages import OrderResult, Outcome
from flintfield.jobs.model import Run
from flintfield.jobs.runs import Ending, Resolve, Runs
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import RunState
from flintfield.jobs.worker_record import PendingOrder, WorkerRecord

REPEAT_MS = 3_000  # an unanswered order is sent again after this time
RETRY_MS = 500  # a stop that was not carried out is sent again after this time
REFUSAL_PAUSE_MS = 1_000  # no placements on a worker that refused an order for this time, plus jitter

_ANSWERED = (Outcome.DONE, Outcome.OLD)
_NOTHING_DONE = (Outcome.LATE, Outcome.ROOM, Outcome.DRAINING, Outcome.BUSY)
_PAUSING_OUTCOMES = (Outcome.BUSY, Outcome.UNKNOWN, Outcome.LATE, Outcome.BAD)


class Orders:
    """Handles order results. `gone` is called for incarnations that no longer exist."""

    def __init__(
        self, state: DispatcherState, runs: Runs, resolve: Resolve, gone: Callable[[WorkerRecord], None]
    ) -> None:
        self._state = state
        self._runs = runs
        self._resolve = resolve
        self._on_gone = gone

    def results(self, record: WorkerRecord, results: tuple[OrderResult, ...]) -> None:
        """Process the results of orders."""
        for result in results:
            pending = record.orders.get(result.order)
            if pending is not None:
                record.unanswered.discard(result.order)
                self._handle_result(record, pending, result)

    def _handle_result(self, record: WorkerRecord, pending: PendingOrder, result: OrderResult) -> None:
        if result.outcome is Outcome.GONE:
            self._on_gone(record)
        elif result.outcome is Outcome.FENCE:
            pending.sent_ms = self._state.now_ms  # a successor acts, or it answers a predecessor's order
        elif pending.run is None:
            self._stray_stop_result(record, pending, result)
        elif result.outcome in _ANSWERED:
            record.forget_order(result.order)
            pending.run.order_answered(result.stamp_ms, self._state.now_ms)
        elif pending.start is not None:
            self._handle_start_not_executed(record, pending, pending.run, result.outcome)
        else:
            self._pause_worker(record, result.outcome)
            pending.sent_ms = self._state.now_ms - REPEAT_MS + RETRY_MS

    def _stray_stop_result(self, record: WorkerRecord, pending: PendingOrder, result: OrderResult) -> None:
        """Handle the result of a stop of a run that is in no table: finish it, or repeat the stop."""
        if result.outcome not in _ANSWERED:
            pending.sent_ms = self._state.now_ms - REPEAT_MS + RETRY_MS
            return
        record.forget_order(result.order)
        stop = pending.stop
        if stop is not None and record.blocked_runs.get((stop.task, stop.run)) == result.order:
            del record.blocked_runs[stop.task, stop.run]

    def _handle_start_not_executed(
        self, record: WorkerRecord, pending: PendingOrder, run: Run, outcome: Outcome
    ) -> None:
        """Handle a start that was not carried out; if an earlier try still may be, stop the run first."""
        self._pause_worker(record, outcome)
        if outcome in _NOTHING_DONE and pending.boot == record.boot and run.state is RunState.ORDERED:
            self._resolve(run, Ending.REFUSED, "")
        elif run.state is not RunState.STOPPING:
            self._runs.order_stop(run, record)

    def _pause_worker(self, record: WorkerRecord, outcome: Outcome) -> None:
        if outcome in _PAUSING_OUTCOMES:
            pause = REFUSAL_PAUSE_MS * (1 + self._state.rng.random() / 2)
            record.paused_until_ms = self._state.now_ms + int(pause)

    # Repetition

    def repeat_all(self, record: WorkerRecord) -> None:
        """Resend all orders after a reconnect or restart of the agent, as earlier ones may be lost."""
        record.connection_lost()
        for pending in record.orders.values():
            self._send(record, pending)

    def repeat_late(self, record: WorkerRecord) -> None:
        """Resend orders that have been unanswered for too long."""
        for pending in record.orders.values():
            if self._state.now_ms - pending.sent_ms >= REPEAT_MS:
                self._send(record, pending)

    def _send(self, record: WorkerRecord, pending: PendingOrder) -> None:
        pending.sent_ms = self._state.now_ms
        record.send_again(pending)
        self._state.send_to(record)
