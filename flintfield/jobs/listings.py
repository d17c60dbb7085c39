"""Processes a worker's listing: ended runs, running runs, and runs that are missing from both lists.

Ends are durable before `last_seen` advances past them. A run in neither list has vanished if its order was
answered early enough before the listing was requested, or if it was placed in an older epoch than the one the
worker is fenced by. Both checks allow for the time that a stop may take, and both need a complete listing.
"""

from __future__ import annotations

from functools import partial

from flintfield.jobs.ends import RunEnds
from flintfield.jobs.messages import AgentReport, End, Run as ListedRun, RunResult
from flintfield.jobs.model import Run
from flintfield.jobs.occurrences import gang_is_complete
from flintfield.jobs.moves import Moves
from flintfield.jobs.runs import Ending
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import RunState, TaskState
from flintfield.jobs.worker_record import WorkerRecord

EXAMINE_MS = 300  # shortest interval between two checks of progress
DONE_RUN_MS = 1_500  # a run of a task that is done is stopped if it does not end by itself within this time

_ENDINGS = {
    RunResult.DONE: Ending.DONE,
    RunResult.FAILED: Ending.FAILED,
    RunResult.STOPPED: Ending.STOPPED,
    RunResult.LAPSED: Ending.LAPSED,
    RunResult.BROKEN: Ending.BROKEN,
    RunResult.ALONE: Ending.ALONE,
}


class Listings:
    """Processes the lists of a report."""

    def __init__(self, state: DispatcherState, ends: RunEnds, moves: Moves) -> None:
        self._state = state
        self._ends = ends
        self._moves = moves

    def process_ends(self, record: WorkerRecord, report: AgentReport) -> None:
        """Process all reported ends; `last_seen` advances only up to the first gap in their numbers."""
        if report.finished:
            record.no_ends_stamp = None
        elif record.no_ends_stamp is None:
            record.no_ends_stamp = report.stamp_ms
        contiguous_up_to = None
        for end in sorted(report.finished, key=lambda each: each.number):
            if end.number > record.processed_ends:
                self._process_end(record, end)
            if contiguous_up_to is None or end.number == contiguous_up_to + 1:
                contiguous_up_to = end.number
        if contiguous_up_to is not None and contiguous_up_to > record.processed_ends:
            record.processed_ends = contiguous_up_to
            self._state.after_write(partial(self._advance_last_seen, record, contiguous_up_to))

    def _process_end(self, record: WorkerRecord, end: End) -> None:
        run = record.runs.get((end.task, end.run))
        if run is None or run.state is RunState.PLACING:
            return  # already released, or its job is forgotten
        if end.how is RunResult.DONE:
            self._state.service(record.worker.service).progress[record.instance] = self._state.now_ms
        self._ends.resolve(run, _ENDINGS[end.how], end.saved)

    def _advance_last_seen(self, record: WorkerRecord, number: int) -> None:
        record.last_seen = max(record.last_seen, number)

    def process_listing(self, record: WorkerRecord, report: AgentReport) -> None:
        """Process the list of runs, after the ends: an ended run is no longer listed as running."""
        if report.listing_stamp < 0 or report.listing_stamp <= record.listing_stamp:
            return
        record.listing_stamp = report.listing_stamp
        listed = {(each.task, each.run): each for each in report.running}
        ended = {(each.task, each.run) for each in report.finished}
        self._stop_strays(record, listed)
        complete = _is_complete(record, report)
        self._moves.begin_checks()
        check_progress = self._state.now_ms - record.examined_ms >= EXAMINE_MS
        if check_progress:
            record.examined_ms = self._state.now_ms
        for key, run in list(record.runs.items()):
            each = listed.get(key)
            if each is not None:
                if check_progress or run.state is not RunState.RUNNING:
                    self._note_running(record, run, each, report.listing_stamp)
            elif run.state is RunState.CLOSED or key in ended:
                continue
            else:
                self._not_listed(record, run, report, complete)

    def _note_running(self, record: WorkerRecord, run: Run, listed: ListedRun, stamp: int) -> None:
        now = self._state.now_ms
        if run.state is RunState.PLACING:
            return
        before = run.percent
        run.seen_running(now, listed.percent)
        if run.answered_stamp is None and run.state is RunState.RUNNING:
            run.answered_stamp = stamp
        if listed.percent > before:
            self._state.service(record.worker.service).progress[record.instance] = now
        if listed.saved and listed.saved != run.task.checkpoint:
            self._ends.save_checkpoint(run.task, listed.saved)
        if run.state is RunState.RUNNING and self._should_stop(run, now):
            self._ends.runs.stop(run)
        else:
            self._moves.check(record, run)

    def _should_stop(self, run: Run, now: int) -> bool:
        task = run.task
        if task.job.ended or not gang_is_complete(task.step, run.number):
            return True
        over = task.step.occurrence.finished or task.state is TaskState.DONE
        if not over:
            return False
        if task.done_ms < 0:
            task.done_ms = now
        return now - task.done_ms > DONE_RUN_MS

    def _not_listed(self, record: WorkerRecord, run: Run, report: AgentReport, complete: bool) -> None:
        """Handle a run that the worker lists neither as running nor as ended."""
        settled = report.listing_stamp - self._state.bounds.settle_ms
        certain = complete and report.fenced_epoch == self._state.epoch
        if certain and run.answered_stamp is not None and settled >= run.answered_stamp:
            self._resolve_vanished(run)
        elif run.state is RunState.INHERITED:
            if certain and record.fence_stamp is not None and settled >= record.fence_stamp:
                self._resolve_vanished(run)
            elif run.task.job.ended or not gang_is_complete(run.task.step, run.number):
                self._ends.runs.stop(run)
            elif not record.draining and run.task.state is TaskState.PLACED:
                self._ends.runs.order_start(run, record)

    def _resolve_vanished(self, run: Run) -> None:
        self._state.counters.vanished_runs += 1
        self._ends.resolve(run, Ending.VANISHED, "")

    def _stop_strays(self, record: WorkerRecord, listed: dict[tuple[str, int], ListedRun]) -> None:
        for key in [key for key in record.unknown_runs if key not in listed]:
            record.forget_order(record.unknown_runs.pop(key))
        for key in listed:
            if key not in record.runs and key not in record.blocked_runs and key not in record.unknown_runs:
                self._state.counters.strays += 1
                record.unknown_runs[key] = self._ends.runs.order_stray_stop(record, *key)


def _is_complete(record: WorkerRecord, report: AgentReport) -> bool:
    """Whether a run in neither list has ended or never began.

    An agent that does not tell may have dropped ends of this listing that were durable before it came, and so
    hide that the worker left others out. Its listing counts if it was requested after a report without ends,
    and no end has been reported since.
    """
    if report.complete_listing:
        return True
    return record.no_ends_stamp is not None and report.listing_stamp >= record.no_ends_stamp
