"""Sending of branches to next hops, and the end of branches."""

from __future__ import annotations

from flintfield.decision.interface import (
    NEVER_RAN, AttemptEnded, AttemptProgress, Outcome, State as Lifecycle, WorkerId,
)
from flintfield.memory.answering import Answering
from flintfield.memory.messages import (
    BranchEnded, BranchNoted, DropBranch, End, Ending, Reach, Route, Verdict, WriteBranch,
)
from flintfield.memory.state import Branch, BranchTimer, Transaction

OUTCOMES = {
    End.DONE: Outcome.OK, End.FAILED: Outcome.ERROR, End.DECLINED: Outcome.FULL, End.LOST: Outcome.RESET,
}


HOP_FAULTS = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.UNSENT,
                        Outcome.RESET})
"""Outcomes of branches and probes that indicate a fault at a next hop; a full next hop has no fault."""


# What a broken connection proves, by the progress of the attempt. Once the last byte may have been sent, the
# job may have run (RESET). An attempt that was never started says nothing about the next hop.
BROKEN_OUTCOMES = {Reach.UNTRIED: Outcome.MOOT, Reach.DIALLING: Outcome.CONNECT_FAILED,
                   Reach.WRITING: Outcome.UNSENT}


def outcome_of(ending: Ending) -> Outcome:
    """The outcome that an ending proves."""
    if ending.end is End.BROKEN:
        return BROKEN_OUTCOMES.get(ending.reach, Outcome.RESET)
    return OUTCOMES[ending.end]


class Branching(Answering):
    """The attempts of a transaction."""

    def _open_branch(self, rid: int, number: int) -> tuple[Transaction, Branch] | None:
        """The branch if it has not ended; messages for ended branches are counted and ignored."""
        transaction = self.state.transactions.get(rid)
        if transaction is None or transaction.branches[number].ended:
            self.state.counters["branches.late_word"] += 1
            return None
        return transaction, transaction.branches[number]

    def _ready_route(self, transaction: Transaction, branch: Branch) -> Route | None:
        """The route of the branch if its request may still be written; else None.

        Checked just before the first byte, because a drain may have started, and its grace period passed,
        during the connect or the disk write.
        """
        route = self.state.routes.get(branch.worker)
        if route is None or route.entry.state is not Lifecycle.READY or transaction.answered:
            return None
        return None if branch.worker in self.state.barred else route

    def _write_request(self, transaction: Transaction, number: int) -> None:
        branch = transaction.branches[number]
        route = self._ready_route(transaction, branch)
        if route is None:
            if branch.held:
                self.effects.append(DropBranch(transaction.rid, number))
            self._end_branch(transaction, number, Outcome.MOOT)
            return
        self.state.counters["branches.written"] += 1
        branch.written = True
        if self.state.jobs:
            self.state.jobs.run(transaction.submission.name, route.name)
            if not branch.held:
                self._write_record(transaction.submission.name)
        self.effects.append(WriteBranch(transaction.rid, number, transaction.submission,
                                        max(1.0, transaction.deadline - self.now)))

    def branch_noted(self, message: BranchNoted) -> None:
        if found := self._open_branch(message.rid, message.branch):
            if self.state.jobs and message.share and not found[0].answered:
                self.state.jobs.note(found[0].submission.name, message.share)
            self._events.append(AttemptProgress(message.rid, message.branch, found[1].worker, message.started,
                                     message.share))

    def branch_ended(self, message: BranchEnded) -> None:
        if found := self._open_branch(message.rid, message.branch):
            ending = message.ending
            outcome = outcome_of(ending)
            if outcome is Outcome.OK:
                self._answer(message.rid, Verdict.SERVED, ending.result)
            self._end_branch(found[0], message.branch, outcome, ending)

    def _end_branch(self, transaction: Transaction, number: int, outcome: Outcome,
                    ending: Ending | None = None) -> None:
        branch = transaction.branches[number]
        branch.ended, branch.never_ran = True, outcome in NEVER_RAN
        if branch.timed:
            self.state.timers.cancel(BranchTimer(transaction.rid, number))
        at_work = any(b.written and not b.ended for b in transaction.branches)
        if self.state.jobs and not transaction.answered:
            self._track_branch_end(transaction, branch, outcome, at_work)
        self.state.counters[f"branches.ended.{outcome.value}"] += 1
        self._record_error(branch.worker, outcome)
        report = ending.report if ending else None
        self._events.append(AttemptEnded(transaction.rid, number, branch.worker, outcome,
                                         self.now - branch.opened, transaction.answered, report))
        self._forget_settled(transaction)

    def _track_branch_end(self, transaction: Transaction, branch: Branch, outcome: Outcome,
                          at_work: bool) -> None:
        jobs, name = self.state.jobs, transaction.submission.name
        assert jobs is not None
        never_ran = outcome in NEVER_RAN or not branch.written
        if not never_ran:
            jobs.mark_possibly_run(name)
        if not at_work:
            jobs.wait(name)
            if never_ran and (branch.written or branch.held):
                self._write_record(name)  # reverts the record that the branch was sent

    def _record_error(self, worker: WorkerId, outcome: Outcome) -> None:
        if outcome in HOP_FAULTS and worker in self.state.routes:
            self.state.last_errors[worker] = self.now, outcome.value

    def _drop_branch(self, transaction: Transaction, number: int, outcome: Outcome) -> None:
        self.effects.append(DropBranch(transaction.rid, number))
        self._end_branch(transaction, number, outcome)
