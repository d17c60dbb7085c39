"""The only place that changes the scheduler's state and calls the decision module.

`reduce(state, now, message)` is synchronous, does no I/O and reads no clock. It returns the effects of the
message in order. It is not reentrant.
"""

from __future__ import annotations

from flintfield.decision.interface import (
    Cancel, Effect as ClassEffect, ShutdownAnnounced, Fail, ClientLeft, Outcome, Probe, Probed, Refuse, Send,
    SetTimer, Timer, Watch,
)
from flintfield.memory.attempts import outcome_of
from flintfield.memory.worker_list import Listing
from flintfield.memory.messages import (
    BranchEnded, BranchNoted, BranchUp, CallerLeft, DiscoveryMoved, Effect, WritePermission, RecordsFailed,
    RecordsWritten, Message, OpenBranch, ProbeEnded, ProbeWorker, RouteCallFailed, RouteUpdate,
    StopRequested, Submitted, RetryRecords, Verdict, TimerFired,
)
from flintfield.memory.state import Branch, BranchTimer, DeadlineTimer, DecisionTimer, RecordTimer, State


def reduce(state: State, now: float, message: Message) -> list[Effect]:
    """Process one message and return the resulting effects."""
    turn = Turn(state, now)
    turn.take(message)
    return turn.effects


class Turn(Listing):
    """The processing of one message by the reducer."""

    def send(self, action: Send) -> None:
        transaction = self.state.transactions.get(action.rid)
        if transaction is None or transaction.answered:
            self._defect("send for an ended transaction", str(action.rid))
            return
        number, route = len(transaction.branches), self.state.routes.get(action.worker)
        branch = Branch(action.worker, route.address if route else ("", 0), self.now)
        transaction.branches.append(branch)
        if route is None or number >= self.state.limits.max_attempts or self.now >= transaction.deadline:
            self._end_branch(transaction, number, Outcome.MOOT)
            return
        if action.timeout_ms > 0:
            branch.timed = True
            self.state.timers.set(self.now + action.timeout_ms, BranchTimer(action.rid, number))
        self.state.counters["branches.opened"] += 1
        if number == 0 and self.now > transaction.taken:
            self.state.counters["requests.held"] += 1
        # Only safe jobs reuse connections: one may have broken while idle, in any way, and fail a booking.
        cls = self.state.dispatcher.settings.classes[transaction.submission.cls]
        self.effects.append(OpenBranch(action.rid, number, route.address, cls.effect is ClassEffect.SAFE))

    def refuse(self, action: Refuse) -> None:
        self._answer(action.rid, Verdict.REFUSED, retry_after_ms=action.retry_after_ms)

    def fail(self, action: Fail) -> None:
        self._answer(action.rid, Verdict.FAILED)

    def cancel(self, action: Cancel) -> None:
        transaction = self.state.transactions.get(action.rid)
        if transaction is not None and not transaction.branches[action.attempt].ended:
            self._drop_branch(transaction, action.attempt, Outcome.CANCELLED)

    def set_timer(self, action: SetTimer) -> None:
        self.state.timers.set(self.now + action.after_ms, DecisionTimer(action.token))

    def probe(self, action: Probe) -> None:
        route = self.state.routes.get(action.worker)
        if route is None:
            self._events.append(Probed(action.worker, Outcome.CONNECT_FAILED, 0.0))
            return
        self.state.counters["probes.sent"] += 1
        self.effects.append(ProbeWorker(action.worker, route.address))

    def probe_ended(self, message: ProbeEnded) -> None:
        outcome = outcome_of(message.ending)
        self.state.counters[f"probes.ended.{outcome.value}"] += 1
        self._record_error(message.worker, outcome)
        self._events.append(Probed(message.worker, outcome, message.took_ms, message.ending.report))

    def woke(self, _: TimerFired) -> None:
        while (due := self.state.timers.pop_due(self.now)) is not None:
            if isinstance(due, DecisionTimer):
                self._events.append(Timer(due.token))
            elif isinstance(due, BranchTimer):
                self._time_out_branch(due.rid, due.branch)
            elif isinstance(due, RecordTimer):
                self._record_timed_out(due.ticket)
            else:
                self._enforce_deadline(due.rid)
            self._run_events()

    def _time_out_branch(self, rid: int, number: int) -> None:
        transaction = self.state.transactions.get(rid)
        if transaction is not None and not transaction.branches[number].ended:
            branch = transaction.branches[number]
            held = branch.held and not branch.written  # delayed by our disk or a front, not by the next hop
            self._drop_branch(transaction, number, Outcome.MOOT if held else Outcome.TIMEOUT)

    def _enforce_deadline(self, rid: int) -> None:
        transaction = self.state.transactions.get(rid)
        if transaction is None:
            return
        for number in range(len(transaction.branches)):
            self._time_out_branch(rid, number)
        self._run_events()
        if not transaction.answered:
            # Rule 1, whatever the decision module does: every caller gets an answer.
            self._defect("overdue transaction", transaction.submission.name)
            self._answer(rid, Verdict.FAILED)
            self._events.append(ClientLeft(rid))

    def stop_asked(self, message: StopRequested) -> None:
        """Limit the deadlines of transactions without an open branch, to answer them before the kill."""
        state = self.state
        state.settle_by = message.settle_by
        for transaction in state.transactions.values():
            if not transaction.answered and all(b.ended for b in transaction.branches):
                transaction.deadline = min(transaction.deadline, message.settle_by)
                state.timers.set(transaction.deadline, DeadlineTimer(transaction.rid))
        self._events.append(ShutdownAnnounced(message.settle_by))


Turn.MESSAGES = {
    RouteUpdate: Turn.route_news, RouteCallFailed: Turn.route_call_failed, Submitted: Turn.submitted,
    CallerLeft: Turn.caller_left, BranchUp: Turn.branch_up, BranchNoted: Turn.branch_noted,
    BranchEnded: Turn.branch_ended, ProbeEnded: Turn.probe_ended, TimerFired: Turn.woke,
    StopRequested: Turn.stop_asked, DiscoveryMoved: Turn.discovery_moved,
    WritePermission: Turn.front_allows, RecordsWritten: Turn.kept, RecordsFailed: Turn.keep_failed,
    RetryRecords: Turn.try_keep,
}
Turn.ACTIONS = {
    Send: Turn.send, Refuse: Turn.refuse, Fail: Turn.fail, Cancel: Turn.cancel, Probe: Turn.probe,
    SetTimer: Turn.set_timer, Watch: Turn.watch,
}
