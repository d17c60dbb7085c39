"""Moves tasks to other workers by stopping their runs: stalled runs, slow workers, draining workers.

A stop keeps the newest checkpoint. Moves of stalled and slow runs are limited per task and per second, so
that a stall of the whole cluster does not cause every task to be moved.
"""

from __future__ import annotations

from flintfield.jobs.demands import demand_of, can_place
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.estimates import SLOWNESS_STEP, estimate_ms, left_ms, pace_of, step_towards
from flintfield.jobs.model import Run
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import RunState, TaskState
from flintfield.jobs.worker_record import WorkerRecord
from flintfield.placement.interface import Demand

MAX_MOVES = 3  # per task
COMPLETE_PERCENT = 100
STALL_MS = 1_500  # a shorter time without progress is not significant
STALL_SHARE = 0.3  # of the estimate, if that is longer
RECENT_PROGRESS_MS = 6_000  # progress of other workers in the service rules out a fault of the system itself
SLOW_WORKER = 2.5  # slowness of a worker, as a multiple of the usual
SLOW_RUN = 2.0
MOVE_COST_MS = 600  # time for stop, placement, start and restore
MAX_MOVED_TIME_SHARE = 0.6  # longest time after a move, as a share of the remaining time without it
MOVES_PER_SECOND = 4.0
MAX_MOVE_BURST = 8.0
LEAVE_MARGIN_MS = 500  # time for a stop and its end before the worker leaves
FORCED_STOP_MS = 1_200


class Moves:
    """Moves runs off stalled, slow and draining workers."""

    def __init__(self, state: DispatcherState, ends: RunEnds) -> None:
        self._state = state
        self._ends = ends
        self._allowance = MAX_MOVE_BURST
        self._allowed_at_ms = state.now_ms
        self._rooms: dict[tuple[object, ...], bool] = {}  # by step, and by demand: whether another has room

    def begin_checks(self) -> None:
        """Begin the checks of one worker's runs; runs of the same demand share one look at all workers."""
        self._rooms.clear()

    # Stalls and slow workers

    def check(self, record: WorkerRecord, run: Run) -> None:
        """Check a listed run, and move it if it has stalled or is far too slow on its worker."""
        if run.task.step.spec.long_running or run.state is not RunState.RUNNING:
            return
        self._update_pace(record, run)
        if self._stalled(record, run) or self._too_slow(record, run):
            self._move(run)

    def _update_pace(self, record: WorkerRecord, run: Run) -> None:
        pace = pace_of(run, self._state.now_ms)
        if pace is None or run.percent_at_ms != self._state.now_ms:
            return
        paces = self._state.paces
        route = run.task.job.route
        record.slowness = step_towards(record.slowness, paces.usual(route) / pace, SLOWNESS_STEP)
        paces.note(route, pace)

    def _stalled(self, record: WorkerRecord, run: Run) -> bool:
        if _waits_for_gang(run):
            return False
        now = self._state.now_ms
        limit = max(STALL_MS, STALL_SHARE * estimate_ms(run))
        if run.task.step.spec.gang and run.percent == 0:
            limit = max(limit, self._state.bounds.gang_ms)
        if now - run.percent_at_ms < limit:
            return False
        progress = self._state.service(record.worker.service).progress
        stalled_since_ms = run.percent_at_ms + STALL_MS // 2
        return any(
            at >= stalled_since_ms and now - at <= RECENT_PROGRESS_MS
            for name, at in progress.items()
            if name != record.instance
        )

    def _too_slow(self, record: WorkerRecord, run: Run) -> bool:
        if record.slowness < SLOW_WORKER:
            return False
        now = self._state.now_ms
        usual = self._state.paces.usual(run.task.job.route)
        pace = pace_of(run, now)
        if pace is None or usual / pace < SLOW_RUN:
            return False
        stay = left_ms(run, now, usual)
        remaining_share = (100 - run.percent) / 100 if run.task.step.spec.checkpoints else 1.0
        elsewhere_ms = remaining_share * estimate_ms(run) / usual + MOVE_COST_MS
        return elsewhere_ms < MAX_MOVED_TIME_SHARE * stay and self._has_room_elsewhere(run)

    def _move(self, run: Run) -> None:
        if run.task.moves >= MAX_MOVES or not self._take_allowance():
            return
        run.task.moves += 1
        run.suspect = True
        self._state.counters.stalled_runs += 1
        self._ends.runs.stop(run)

    def _take_allowance(self) -> bool:
        now = self._state.now_ms
        gained = (now - self._allowed_at_ms) / 1_000 * MOVES_PER_SECOND
        self._allowance = min(MAX_MOVE_BURST, self._allowance + gained)
        self._allowed_at_ms = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _has_room_elsewhere(self, run: Run) -> bool:
        by_step = (id(run.task.step), run.task.avoid)
        room = self._rooms.get(by_step)
        if room is None:
            room = self._rooms[by_step] = self._has_room_for(run)
        return room

    def _has_room_for(self, run: Run) -> bool:
        demand = demand_of(run.task)
        group = demand.group if demand.max_per_worker else None
        key = (demand.service, demand.resources, demand.needs, group, demand.avoided_instances)
        room = self._rooms.get(key)
        if room is None:
            room = self._rooms[key] = self._find_room_elsewhere(run.instance, demand)
        return room

    def _find_room_elsewhere(self, instance: str, demand: Demand) -> bool:
        workers = self._state.service(demand.service).workers
        return any(
            name != instance and name not in demand.avoided_instances and can_place(worker, demand)
            for name, worker in workers.items()
        )

    # Draining workers

    def evacuate(self, record: WorkerRecord, most: int) -> int:
        """Stop runs that can't end before the draining worker leaves, once another worker has room.

        Stops at most so many; returns how many were stopped.
        """
        self.begin_checks()
        stopped = 0
        time_left = record.leaves_ms - self._state.now_ms
        for run in list(record.runs.values()):
            if stopped >= most:
                break
            if not self._should_leave(run, time_left):
                continue
            last_chance = run.task.step.spec.checkpoints and time_left < FORCED_STOP_MS
            if last_chance or self._has_room_elsewhere(run):
                self._ends.runs.stop(run)
                stopped += 1
        return stopped

    def _should_leave(self, run: Run, time_left_ms: int) -> bool:
        """Whether the run does not end before its worker leaves."""
        task = run.task
        if run.state not in (RunState.RUNNING, RunState.ORDERED) or task.state is not TaskState.PLACED:
            return False
        if task.step.spec.long_running:
            return True
        usual = self._state.paces.usual(task.job.route)
        return left_ms(run, self._state.now_ms, usual) + LEAVE_MARGIN_MS >= time_left_ms


def _waits_for_gang(run: Run) -> bool:
    """Whether the run is complete but other members aren't: a gang ends as a whole, so it stays at 100 %."""
    if not run.task.step.spec.gang or run.percent < COMPLETE_PERCENT:
        return False
    return any(
        other.percent < COMPLETE_PERCENT for other in run.task.step.open_runs() if other.number == run.number
    )
