"""Processes agents' reports about workers: holds, listings, ends, order results and the release of capacity.

The rules for releasing capacity are in docs/system.md. Every report is answered, which grants a hold from the
report's stamp on. A worker that does not answer its agent gets no further hold, so that its runs end at a
known time.
"""

from __future__ import annotations

from functools import partial
from itertools import islice

from flintfield.jobs.ends import RunEnds
from flintfield.jobs.events import SendOrders
from flintfield.jobs.listings import Listings
from flintfield.jobs.messages import AgentOrders, AgentReport, WorkerState
from flintfield.jobs.model import Run
from flintfield.jobs.moves import Moves
from flintfield.jobs.orders import Orders
from flintfield.jobs.runs import Ending
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import RunState
from flintfield.jobs.worker_record import WorkerRecord, unknown_worker
from flintfield.placement.interface import Resources

MAX_GONE_REMEMBERED = 4_096  # removed incarnations; a late heartbeat must not add one again
FORGET_WORKER_MS = 600_000  # a silent worker without runs is forgotten after this time
IDENTIFY_MS = 2_500  # how long a restarted agent that does not know its worker is sent the worker's id
CHECK_PERIOD_MS = 150  # interval between checks of all workers
MAX_RELEASED_AT_ONCE = 500  # runs per tick, of all workers together; the next tick goes on
MAX_EVACUATED_AT_ONCE = 1_000  # runs per check, of all workers together


class Workers:
    """Processes reports, and timeouts of workers without reports."""

    def __init__(self, state: DispatcherState, ends: RunEnds, moves: Moves) -> None:
        self._state = state
        self._ends = ends
        self._moves = moves
        self._listings = Listings(state, ends, moves)
        self._last_check_ms = state.now_ms
        self._releasing = False  # whether runs of workers out of touch are still to be released
        self._orders = Orders(state, ends.runs, ends.resolve, self._remove_worker)

    # Reports

    def report(self, report: AgentReport) -> None:
        """Process a report and answer it."""
        if not report.subject or report.is_over:
            self._answer_without_worker(report)
            return
        if report.subject in self._state.removed_incarnations:
            self._answer_for_removed(report)
            return
        record = self._record(report)
        if report.boot == record.boot and report.stamp_ms < record.stamp_ms:
            return  # a newer report has already arrived
        fresh = self._note_agent_process(record, report)
        self._note_worker(record, report)
        self._listings.process_ends(record, report)  # before a result that tells that the worker is gone
        self._orders.results(record, report.results)
        if record.instance in self._state.removed_incarnations:
            self._answer_for_removed(report)
            return
        if fresh:
            self._orders.repeat_all(record)
        self._listings.process_listing(record, report)
        self._release_lapsed(record, report)
        self._finish_report(record, report)

    def _finish_report(self, record: WorkerRecord, report: AgentReport) -> None:
        """Grant a hold, and send what is to be sent."""
        self._grant(record, report)
        self.update_ready(record)
        self._state.send_to(record)

    def _answer_without_worker(self, report: AgentReport) -> None:
        state = self._state
        instance, last_seen = "", 0
        record = state.workers.get(state.by_machine.get(report.machine, ""))
        if record is not None and report.is_over and record.instance == report.instance:
            self._remove_worker(record)
            record = None
        if record is not None:
            record.connected = False
            self.update_ready(record)
            if self._may_identify(record, report):
                instance, last_seen = record.instance, record.last_seen
                record.granted_ms, record.granted_stamp = state.now_ms, report.stamp_ms
        self._answer(report, instance, last_seen, state.bounds.hold)

    def _answer_for_removed(self, report: AgentReport) -> None:
        """Acknowledge what an incarnation lists whose runs are all resolved, once that is durable.

        It is granted no hold: whatever it may still run is not wanted.
        """
        self._state.after_write(partial(self._answer, report, report.subject, report.last_end, 0))

    def _answer(self, report: AgentReport, instance: str, last_seen: int, hold_ms: int) -> None:
        """Answer a report without orders."""
        epoch = self._state.epoch
        orders = AgentOrders(epoch, instance, report.stamp_ms, hold_ms, last_seen, (), ())
        self._state.emit(SendOrders(report.machine, orders))

    def _may_identify(self, record: WorkerRecord, report: AgentReport) -> bool:
        """Whether to tell a restarted agent which worker it had, so that the worker's hold is extended."""
        now = self._state.now_ms
        if report.boot == record.boot or record.blocked_runs:
            return False
        if record.unidentified_boot != report.boot:
            record.unidentified_boot, record.unidentified_since_ms = report.boot, now
        return now - record.unidentified_since_ms < IDENTIFY_MS

    def _record(self, report: AgentReport) -> WorkerRecord:
        state = self._state
        instance = report.subject
        record = state.workers.get(instance)
        if record is None or state.by_machine.get(report.machine) != instance:
            self._drop_earlier_incarnations(report.machine, instance)
            state.by_machine[report.machine] = instance
        if record is None:
            record = WorkerRecord(unknown_worker(instance, report.machine), False, state.now_ms)
            state.workers[instance] = record
        return record

    def _drop_earlier_incarnations(self, machine: str, instance: str) -> None:
        """Remove earlier incarnations on the machine; once another has replaced them, they run nothing."""
        for record in list(self._state.workers.values()):
            if record.worker.machine == machine and record.instance != instance:
                self._remove_worker(record)

    def _note_agent_process(self, record: WorkerRecord, report: AgentReport) -> bool:
        """Record the agent's boot; returns whether a restart or reconnect requires orders to be repeated."""
        if not record.known or record.boot != report.boot:
            record.agent_restarted(report.boot)
            record.fence_stamp = None
            record.listing_stamp = -1
            record.no_ends_stamp = None
            for run in record.runs.values():
                if run.answered_stamp is not None:
                    run.answered_stamp = report.stamp_ms
            record.connected = False
        record.known = True
        record.stamp_ms = report.stamp_ms
        fresh = not record.connected
        record.connected = True
        if record.fence_stamp is None and report.fenced_epoch == self._state.epoch:
            record.fence_stamp = report.stamp_ms
        return fresh

    def _note_worker(self, record: WorkerRecord, report: AgentReport) -> None:
        record.silent = report.silent_ms > self._state.bounds.silent_ms
        record.state_known = report.worker is not None
        if report.worker is not None:
            self._note_state(record, report.worker)
        elif report.deregistered and not record.draining:
            record.draining, record.leaves_ms = True, self._state.now_ms

    def _note_state(self, record: WorkerRecord, reported: WorkerState) -> None:
        """Record the state that the worker's newest heartbeat told."""
        state = self._state
        worker = record.worker
        capacity = Resources(reported.cpu, reported.memory_mb, reported.gpu)
        if worker.service != reported.service:
            state.service(worker.service).workers.pop(worker.instance, None)
            worker.service = reported.service
        if worker.capacity != capacity:
            worker.capacity = capacity
            state.service(worker.service).dirty = True
        state.service(worker.service).workers[worker.instance] = worker
        state.placeable[worker.instance] = worker
        worker.zone = reported.zone
        labels = frozenset(reported.labels)
        if worker.labels != labels:
            worker.labels = labels
            worker.rack = rack_of(reported.labels)
            self._note_distances(record)
        if reported.draining and (not record.draining or reported.remaining_ms != record.remaining_ms):
            record.leaves_ms = state.now_ms + reported.remaining_ms
        record.draining = reported.draining
        record.remaining_ms = reported.remaining_ms

    def _note_distances(self, record: WorkerRecord) -> None:
        """Mark the runs that are away from their data; the records of inherited runs do not tell."""
        for run in record.runs.values():
            affinity = run.task.step.spec.affinity
            if affinity and record.worker.rack != affinity:
                run.duration_factor = self._state.bounds.far_x

    # Holds

    def _release_lapsed(self, record: WorkerRecord, report: AgentReport) -> None:
        """Release the answered runs of a worker whose holds have all lapsed."""
        if report.lapsed:
            for run in list(record.runs.values()):
                if run.answered_stamp is not None and run.answered_stamp < report.stamp_ms:
                    self._release(record, run)

    def _grant(self, record: WorkerRecord, report: AgentReport) -> None:
        if record.silent or record.blocked_runs:
            return
        record.granted_ms = self._state.now_ms
        record.granted_stamp = report.stamp_ms

    def _release_unreachable(self) -> None:
        """Release the runs of workers whose last hold is certainly over, a part of them in each tick."""
        state = self._state
        left = MAX_RELEASED_AT_ONCE
        self._releasing = False
        for record in list(state.workers.values()):
            if not record.runs or state.now_ms - record.granted_ms < state.bounds.empty_after_ms:
                continue
            for run in list(islice(record.runs.values(), left)):
                self._release(record, run)
                left -= 1
            self._releasing = self._releasing or bool(record.runs)

    def _release(self, record: WorkerRecord, run: Run) -> None:
        """Resolve a run that is certainly over; a stop order blocks a start order still in flight."""
        if run.state is RunState.CLOSED:
            return
        if run.state is not RunState.PLACING:
            key = (run.name, run.number)
            record.blocked_runs[key] = self._ends.runs.order_stray_stop(record, *key)
        self._state.counters.lost_runs += 1
        self._ends.resolve(run, Ending.LOST, "")

    def _remove_worker(self, record: WorkerRecord) -> None:
        """Remove an incarnation that runs nothing any more, and resolve its runs."""
        state = self._state
        state.workers.pop(record.instance, None)
        state.removed_incarnations[record.instance] = None
        if len(state.removed_incarnations) > MAX_GONE_REMEMBERED:
            state.removed_incarnations.popitem(last=False)
        if state.by_machine.get(record.worker.machine) == record.instance:
            del state.by_machine[record.worker.machine]
        record.worker.ready = False
        state.service(record.worker.service).workers.pop(record.instance, None)
        state.placeable.pop(record.instance, None)
        state.service(record.worker.service).progress.pop(record.instance, None)
        for run in list(record.runs.values()):
            if run.state is not RunState.CLOSED:  # the end of another member of its gang may have closed it
                state.counters.lost_runs += 1
                self._ends.resolve(run, Ending.LOST, "")
        record.runs.clear()
        state.placement.forget(record.instance)

    # Readiness and time

    def lost(self, machine: str) -> None:
        """Handle the loss of the connection to an agent."""
        record = self._state.workers.get(self._state.by_machine.get(machine, ""))
        if record is None:
            return
        record.connected = False
        record.connection_lost()
        self.update_ready(record)

    def update_ready(self, record: WorkerRecord) -> None:
        """Update whether tasks may be placed on the worker."""
        state = self._state
        held = state.now_ms < record.granted_ms + state.bounds.hold // 2
        ready = (
            record.connected
            and record.state_known
            and held
            and not record.draining
            and not record.silent
            and not record.blocked_runs
            and not record.unknown_runs
            and state.now_ms >= record.paused_until_ms
        )
        if ready and not record.worker.ready:
            state.service(record.worker.service).dirty = True
        record.worker.ready = ready

    def tick(self) -> None:
        """Release runs that are certainly over, repeat unanswered orders, forget long-silent workers."""
        state = self._state
        if state.now_ms - self._last_check_ms < CHECK_PERIOD_MS and not self._releasing:
            return
        self._last_check_ms = state.now_ms
        self._release_unreachable()
        evacuations = MAX_EVACUATED_AT_ONCE
        for record in list(state.workers.values()):
            age = state.now_ms - record.granted_ms
            if record.connected:
                self._orders.repeat_late(record)
                if record.draining and record.runs:
                    evacuations -= self._moves.evacuate(record, evacuations)
            elif not record.runs and age >= FORGET_WORKER_MS:
                self._remove_worker(record)
                continue
            self.update_ready(record)


def rack_of(labels: tuple[str, ...]) -> str:
    """The label that names the rack; labels start with the kind of the worker, followed by the rack."""
    return labels[1] if len(labels) > 1 else ""
