"""Steps that wait for a record on disk, or for permission of the front that submitted a job."""

from __future__ import annotations

from collections.abc import Iterable

from flintfield.decision.interface import Outcome
from flintfield.memory.attempts import Branching
from flintfield.memory.job_records import PendingAnswer, PendingBranch, PendingStep
from flintfield.memory.messages import (
    BranchUp, WritePermission, HoldBranch, RecordsFailed, RecordsWritten, AskWritePermission, Route,
    RetryRecords,
)
from flintfield.memory.state import RecordTimer, Transaction


class Keeping(Branching):
    """Handles completed tickets of the ledger; memory/job_records.py has the rules."""

    def branch_up(self, message: BranchUp) -> None:
        if (found := self._open_branch(message.rid, message.branch)) is None:
            return
        transaction, branch = found
        if branch.held:
            return
        route = self._ready_route(transaction, branch)
        if route and transaction.submission.front:
            branch.held = True
            self.effects += [HoldBranch(transaction.rid, message.branch),
                             AskWritePermission(
                                 transaction.submission.front, transaction.rid, message.branch)]
        else:
            self._write_request_recorded(transaction, message.branch, route)

    def _write_request_recorded(self, transaction: Transaction, number: int, route: Route | None) -> None:
        """Write a branch's request, after its record is on disk if its job is guarded."""
        ledger = self.state.ledger
        if route and ledger and transaction.submission.class_name in ledger.guarded:
            self._hold_for_record(transaction, number, route.name)
        else:
            self._write_request(transaction, number)

    def front_allows(self, message: WritePermission) -> None:
        """The front that submitted the job has recorded that it is sent, or could not."""
        if (found := self._open_branch(message.rid, message.branch)) is None or found[1].written:
            return
        if message.allowed:
            self._write_request_recorded(found[0], message.branch, self._ready_route(*found))
            return
        self._refuse_unrecorded(message.rid)
        self._drop_branch(found[0], message.branch, Outcome.MOOT)

    def _hold_for_record(self, transaction: Transaction, number: int, route: str) -> None:
        """Write the record that the branch is sent, and hold the branch until that is durable."""
        ledger = self.state.ledger
        assert ledger is not None
        name, pending = transaction.submission.name, PendingBranch(transaction.rid, number)
        keeps = ledger.keep(name, self._record(name), pending=pending, next_hop=route)
        if not keeps:
            self._continue_unrecorded(pending)
            return
        if not transaction.branches[number].held:
            transaction.branches[number].held = True
            self.effects.append(HoldBranch(transaction.rid, number))
        self._wait_for_records(keeps, ledger.wait_ms)

    def kept(self, message: RecordsWritten) -> None:
        ledger = self.state.ledger
        self._cancel_record_timers(message.tickets)
        for pending in ledger.kept(message.tickets) if ledger else ():
            if isinstance(pending, PendingAnswer):
                self._send_answer(pending.rid, pending.verdict, pending.body)
            elif transaction := self._open_transaction(pending):
                self._write_request(transaction, pending.branch)
        if ledger:
            self.effects += ledger.catch_up(self._record)

    def keep_failed(self, message: RecordsFailed) -> None:
        if ledger := self.state.ledger:
            self._cancel_record_timers(message.tickets)
            self.state.counters["store.failed"] += 1
            for pending in ledger.failed(message.tickets):
                self._continue_unrecorded(pending)

    def _cancel_record_timers(self, tickets: Iterable[int]) -> None:
        for ticket in tickets:
            self.state.timers.cancel(RecordTimer(ticket))

    def _record_timed_out(self, ticket: int) -> None:
        """Continue without the record when its wait times out, so that a stalled disk blocks no step."""
        if self.state.ledger and (pending := self.state.ledger.time_out_wait(ticket)):
            self.state.counters["store.waits_cut"] += 1
            self._continue_unrecorded(pending)

    def _open_transaction(self, pending: PendingBranch) -> Transaction | None:
        """The transaction of the branch, if the branch has not ended."""
        transaction = self.state.transactions.get(pending.rid)
        return transaction if transaction and not transaction.branches[pending.branch].ended else None

    def _continue_unrecorded(self, pending: PendingStep) -> None:
        """Continue a step whose record could not be written in time."""
        ledger = self.state.ledger
        if isinstance(pending, PendingAnswer):
            self.state.counters["store.ends_unkept"] += 1
            self._send_answer(pending.rid, pending.verdict, pending.body)
        elif ledger and (transaction := self._open_transaction(pending)):
            if not ledger.promise:
                self.state.counters["store.branches_unkept"] += 1
                self._write_request(transaction, pending.branch)
                return
            self._refuse_unrecorded(pending.rid)
            self._drop_branch(transaction, pending.branch, Outcome.MOOT)

    def try_keep(self, _: RetryRecords) -> None:
        if self.state.ledger:
            self.effects += self.state.ledger.probe()
