"""Workers as their agents report them: holds, listings, ends, answers to orders, and what is free again.

What is free is listed in docs/system.md. Every report is answered, and a hold granted from its stamp on;
a worker that answers nothing itself gets no further hold, so that its runs are over at a known time.
"""

from __future__ import annotations

from flintfield.jobs.ends import Ends
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

MAX_GONE_REMEMBERED = 4_096  # incarnations that are gone; a late heartbeat of one must not bring it back
FORGET_WORKER_MS = 600_000  # a silent worker without runs is forgotten after that
IDENTIFY_MS = 2_500  # how long an agent that knows of no worker is told which one it had
CHECK_PERIOD_MS = 150  # between two looks at all workers


class Workers:
    """Takes in reports, and the passing of time for workers that send none."""

    def __init__(self, state: DispatcherState, ends: Ends, moves: Moves) -> None:
        self._state = state
        self._ends = ends
        self._moves = moves
        self._listings = Listings(state, ends, moves)
        self._last_check_ms = state.now_ms
        self._orders = Orders(state, ends.runs, ends.resolve, self._remove_worker)

    # Reports

    def report(self, report: AgentReport) -> None:
        """Take in a report and answer it."""
        state = self._state
        told = report.worker
        if told is None or told.instance in state.gone:
            self._answer_without_worker(report)
            return
        record = self._record(report, told)
        if report.boot == record.boot and report.stamp_ms < record.stamp_ms:
            return  # passed by a newer one
        fresh = self._note_agent_process(record, report)
        self._note_worker(record, told, report)
        self._orders.results(record, report.results)
        if fresh:
            self._orders.repeat_all(record)
        self._listings.take_in(record, report)
        self._release_lapsed(record, report)
        self._grant(record, report)
        self.update_ready(record)
        state.send_to(record)

    def _answer_without_worker(self, report: AgentReport) -> None:
        state = self._state
        instance, last_seen = "", 0
        record = state.workers.get(state.by_machine.get(report.machine, ""))
        if record is not None:
            record.connected = False
            self.update_ready(record)
            if self._may_identify(record, report):
                instance, last_seen = record.instance, record.last_seen
                record.granted_ms, record.granted_stamp = state.now_ms, report.stamp_ms
        state.emit(
            SendOrders(
                report.machine,
                AgentOrders(state.epoch, instance, report.stamp_ms, state.bounds.hold, last_seen, (), ()),
            )
        )

    def _may_identify(self, record: WorkerRecord, report: AgentReport) -> bool:
        """Whether to tell a new life of the agent which worker it had, so that its hold goes on."""
        now = self._state.now_ms
        if report.boot == record.boot or record.barred:
            return False
        if record.unidentified_boot != report.boot:
            record.unidentified_boot, record.unidentified_since_ms = report.boot, now
        return now - record.unidentified_since_ms < IDENTIFY_MS

    def _record(self, report: AgentReport, told: WorkerState) -> WorkerRecord:
        state = self._state
        record = state.workers.get(told.instance)
        if record is None or state.by_machine.get(report.machine) != told.instance:
            self._drop_earlier_incarnations(report.machine, told.instance)
            state.by_machine[report.machine] = told.instance
        if record is None:
            record = WorkerRecord(unknown_worker(told.instance, report.machine), False, state.now_ms)
            state.workers[told.instance] = record
        return record

    def _drop_earlier_incarnations(self, machine: str, instance: str) -> None:
        """Another incarnation is there now, so that all earlier ones run nothing any more."""
        for record in list(self._state.workers.values()):
            if record.worker.machine == machine and record.instance != instance:
                self._remove_worker(record)

    def _note_agent_process(self, record: WorkerRecord, report: AgentReport) -> bool:
        """Whether this is a new life of the agent, or a new connection, so that orders are to be repeated."""
        if not record.known or record.boot != report.boot:
            record.boot = report.boot
            record.fence_stamp = None
            record.listing_stamp = -1
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

    def _note_worker(self, record: WorkerRecord, told: WorkerState, report: AgentReport) -> None:
        state = self._state
        worker = record.worker
        capacity = Resources(told.cpu, told.memory_mb, told.gpu)
        if worker.service != told.service:
            state.service(worker.service).workers.pop(worker.instance, None)
            worker.service = told.service
        if worker.capacity != capacity:
            worker.capacity = capacity
            state.service(worker.service).dirty = True
        state.service(worker.service).workers[worker.instance] = worker
        state.placeable[worker.instance] = worker
        worker.zone = told.zone
        labels = frozenset(told.labels)
        if worker.labels != labels:
            worker.labels = labels
            worker.rack = rack_of(told.labels)
            self._note_distances(record)
        if told.draining and (not record.draining or told.remaining_ms != record.remaining_ms):
            record.leaves_ms = state.now_ms + told.remaining_ms
        record.draining = told.draining
        record.remaining_ms = told.remaining_ms
        record.silent = report.silent_ms > state.bounds.silent_ms

    def _note_distances(self, record: WorkerRecord) -> None:
        """Which of the runs there are away from their data: those of an earlier dispatcher don't say."""
        for run in record.runs.values():
            affinity = run.task.step.spec.affinity
            if affinity and record.worker.rack != affinity:
                run.duration_factor = self._state.bounds.far_x

    # Holds

    def _release_lapsed(self, record: WorkerRecord, report: AgentReport) -> None:
        """Everything that the agent knew of at its last report is over."""
        if report.lapsed:
            for run in list(record.runs.values()):
                if run.answered_stamp is not None and run.answered_stamp < report.stamp_ms:
                    self._release(record, run)

    def _grant(self, record: WorkerRecord, report: AgentReport) -> None:
        if record.silent or record.barred:
            return
        record.granted_ms = self._state.now_ms
        record.granted_stamp = report.stamp_ms

    def _release(self, record: WorkerRecord, run: Run) -> None:
        """The run is over for certain; should its order still be under way there, it is barred."""
        if run.state is RunState.CLOSED:
            return
        if run.state is not RunState.PLACING:
            key = (run.name, run.number)
            record.barred[key] = self._ends.runs.order_stray_stop(record, *key)
        self._state.counters.lost_runs += 1
        self._ends.resolve(run, Ending.LOST, "")

    def _remove_worker(self, record: WorkerRecord) -> None:
        """This incarnation runs nothing any more."""
        state = self._state
        state.workers.pop(record.instance, None)
        state.gone[record.instance] = None
        if len(state.gone) > MAX_GONE_REMEMBERED:
            state.gone.popitem(last=False)
        if state.by_machine.get(record.worker.machine) == record.instance:
            del state.by_machine[record.worker.machine]
        record.worker.ready = False
        state.service(record.worker.service).workers.pop(record.instance, None)
        state.placeable.pop(record.instance, None)
        state.service(record.worker.service).progress.pop(record.instance, None)
        for run in list(record.runs.values()):
            state.counters.lost_runs += 1
            self._ends.resolve(run, Ending.LOST, "")
        record.runs.clear()
        state.placement.forget(record.instance)

    # Readiness and time

    def lost(self, machine: str) -> None:
        """The connection to the agent has closed."""
        record = self._state.workers.get(self._state.by_machine.get(machine, ""))
        if record is None:
            return
        record.connected = False
        record.unsent_starts, record.unsent_stops = [], []
        self.update_ready(record)

    def update_ready(self, record: WorkerRecord) -> None:
        """Whether tasks may be placed there now."""
        state = self._state
        held = state.now_ms < record.granted_ms + state.bounds.hold // 2
        ready = (
            record.connected
            and held
            and not record.draining
            and not record.silent
            and not record.barred
            and not record.strays
            and state.now_ms >= record.unwell_until_ms
        )
        if ready and not record.worker.ready:
            state.service(record.worker.service).dirty = True
        record.worker.ready = ready

    def tick(self) -> None:
        """Release what is over for certain, repeat what has no answer, forget who is long gone."""
        state = self._state
        if state.now_ms - self._last_check_ms < CHECK_PERIOD_MS:
            return
        self._last_check_ms = state.now_ms
        for record in list(state.workers.values()):
            age = state.now_ms - record.granted_ms
            if record.runs and age >= state.bounds.empty_after_ms:
                for run in list(record.runs.values()):
                    self._release(record, run)
            if record.connected:
                self._orders.repeat_late(record)
                if record.draining and record.runs:
                    self._moves.evacuate(record)
            elif not record.runs and age >= FORGET_WORKER_MS:
                self._remove_worker(record)
                continue
            self.update_ready(record)


def rack_of(labels: tuple[str, ...]) -> str:
    """The label that names the rack: its kind comes first, its rack after it."""
    return labels[1] if len(labels) > 1 else ""
