"""The single answer of a transaction, and the record of its job."""

from __future__ import annotations

from flintfield.memory.job_records import PendingAnswer
from flintfield.memory.messages import Answer, FrontAnswer, JobClosed, WriteRecords, StoredJob, Verdict
from flintfield.memory.state import DeadlineTimer, RecordTimer, Transaction
from flintfield.memory.turn import TurnBase


class Answering(TurnBase):
    """Sends each transaction's answer exactly once."""

    def _record(self, name: str) -> StoredJob | None:
        """The current record of a job; None if the job table lacks it or no records are written."""
        state, ledger = self.state, self.state.ledger
        job = state.jobs.find(self.now, name) if state.jobs else None
        if job is None or ledger is None:
            return None
        transaction = state.transactions.get(state.open_job_ids.get(name, 0))
        left = transaction.deadline - self.now if transaction and job.outcome is None else 0.0
        return ledger.record(job, transaction.submission.class_name if transaction else None, left)

    def _owns_id(self, transaction: Transaction) -> bool:
        """Whether its job id refers to it; false for a second request with the id of an open job."""
        return self.state.open_job_ids.get(transaction.submission.name) == transaction.rid

    def _answer(self, rid: int, verdict: Verdict, body: bytes = b"", retry_after_ms: float = 0.0,
                limited: bool = False) -> None:
        transaction = self.state.transactions.get(rid)
        if transaction is None or transaction.answered:
            return
        transaction.answered = True
        pending = False
        if self.state.jobs and self._owns_id(transaction):
            self.state.jobs.end(self.now, transaction.submission.name, verdict.value)
            pending = self._write_final_record(transaction, verdict, body)
        self.state.counters[f"answers.{verdict.value}.{transaction.submission.class_name}"] += 1
        if not pending:
            self._send_answer(rid, verdict, body, retry_after_ms, limited)
        self._forget_settled(transaction)

    def _send_answer(self, rid: int, verdict: Verdict, body: bytes = b"", retry_after_ms: float = 0.0,
                     limited: bool = False) -> None:
        # While stopping, served callers keep their connections until the final phase; others are closed.
        transaction = self.state.transactions.get(rid)
        if transaction and transaction.submission.front:
            ran = any(b.written and not b.never_ran for b in transaction.branches)
            self.effects.append(FrontAnswer(transaction.submission.front, rid, verdict, body, retry_after_ms,
                                            ran))
            return
        close = self.state.closes_connections or (
            self.state.stopping and (verdict is not Verdict.SERVED or self.now >= self.final_close_at()))
        self.effects.append(Answer(rid, verdict, body, retry_after_ms, close, limited))

    def _forget_settled(self, transaction: Transaction) -> None:
        if transaction.settled():
            self.state.transactions.pop(transaction.rid, None)
            self.state.timers.cancel(DeadlineTimer(transaction.rid))
            if self.state.admission:
                self.state.admission.settled(transaction.rid)
            if self._owns_id(transaction):
                del self.state.open_job_ids[transaction.submission.name]
                if self.state.linked:
                    self.effects.append(JobClosed(transaction.submission.name))

    def _write_record(self, name: str) -> None:
        if self.state.ledger:
            self.effects += self.state.ledger.keep(name, self._record(name))

    def _write_final_record(self, transaction: Transaction, verdict: Verdict, body: bytes) -> bool:
        """Write the record of a job's end; return whether the answer waits for it."""
        ledger, name, kind = self.state.ledger, transaction.submission.name, transaction.submission.class_name
        # A front that submitted the job keeps its own record, on which its answer relies.
        waits_for_none = verdict is not Verdict.SERVED or bool(transaction.submission.front)
        if ledger is None or waits_for_none or kind not in ledger.guarded:
            self._write_record(name)
            return False
        pending = PendingAnswer(transaction.rid, verdict, body)
        keeps = ledger.keep(name, self._record(name), pending=pending)
        self._wait_for_records(keeps, min(ledger.wait_ms, transaction.deadline - self.now))
        return bool(keeps)

    def _wait_for_records(self, keeps: list[WriteRecords], wait_ms: float) -> None:
        self.effects += keeps
        for keep in keeps:
            self.state.timers.set(self.now + wait_ms, RecordTimer(keep.ticket))

    def _refuse_unrecorded(self, rid: int) -> None:
        """Refuse a job that can't be recorded, so that records with `sure` stay reliable."""
        self.state.counters["store.refused"] += 1
        self._answer(rid, Verdict.REFUSED, retry_after_ms=self.state.limits.max_retry_after_ms)
