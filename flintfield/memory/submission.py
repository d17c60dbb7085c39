"""Incoming requests, and callers that disconnect."""

from __future__ import annotations

from flintfield.decision.interface import ClientLeft, Request
from flintfield.memory.record_waits import Keeping
from flintfield.memory.messages import CallerLeft, JobOpened, Submitted, Untracked, Verdict
from flintfield.memory.state import DeadlineTimer, Transaction

DEADLINE_MARGIN_MS = 10.0  # deadlines count from the caller's send, before receipt; the event loop may lag


class Taking(Keeping):
    """Starts transactions and handles callers that disconnect."""

    def submitted(self, message: Submitted) -> None:
        state, given = self.state, message.submission
        state.counters[f"requests.taken.{given.class_name}"] += 1
        # While the program stops, requests are answered before the process is killed.
        deadline = min(self.now + max(0.0, given.wait_ms - DEADLINE_MARGIN_MS), state.settle_by)
        if state.admission:
            deadline = min(deadline, state.admission.latest(self.now, given))
        transaction = Transaction(message.rid, given, self.now, deadline)
        state.transactions[message.rid] = transaction
        state.timers.set(deadline, DeadlineTimer(message.rid))  # first, so that it is answered whatever fails
        if given.name in state.open_job_ids:
            # Prevents a second copy of a job: the first one with this id is still open.
            state.counters["requests.same_id"] += 1
            self._answer(message.rid, Verdict.FAILED)
            return
        if given.name in state.remote_job_ids:
            # Prevents two copies in two processes: another process of this scheduler has the job open.
            state.counters["requests.open_elsewhere"] += 1
            self._answer(message.rid, Verdict.FAILED)
            return
        ledger = state.ledger
        if ledger and state.jobs and ledger.forbids_rerun(given.class_name,
                                                          state.jobs.find(self.now, given.name)):
            # Prevents a second run of a job that may have run during an earlier run of the program.
            state.counters["requests.interrupted_id"] += 1
            self._answer(message.rid, Verdict.FAILED)
            return
        state.open_job_ids[given.name] = message.rid
        if state.linked:
            self.effects.append(JobOpened(given.name))
        tracked = self._track(transaction)
        if ledger and ledger.refuses(given.class_name, tracked):
            self._refuse_unrecorded(message.rid)
            return
        if state.admission and (away := state.admission.admit(self.now, message.rid, given)) is not None:
            state.counters["requests.limited"] += 1
            self._answer(message.rid, Verdict.REFUSED, retry_after_ms=away, limited=True)
            return
        if len(state.transactions) > state.most_held:
            self._answer(message.rid, Verdict.REFUSED, retry_after_ms=state.limits.max_retry_after_ms)
            return
        self._events.append(Request(message.rid, given.cls, deadline, given.tenant, given.key, given.cost_ms,
                                    slots=given.slots, memory=given.memory, repeat=given.repeat))

    def _track(self, transaction: Transaction) -> bool:
        """Add the job to the job table, if there is one; return whether it was added."""
        jobs, given = self.state.jobs, transaction.submission
        if jobs is None:
            return False
        if not jobs.take(self.now, given.name, given.class_name):
            self.state.counters["jobs.untracked"] += 1
            self.effects.append(Untracked(given.name))
            return False
        if self.state.ledger and jobs.evicted:
            self.effects += self.state.ledger.forget(jobs.evicted)
        self._write_record(given.name)
        return True

    def give_way(self, rid: int) -> None:
        """Fail our copy of a job that another process has open, unless it was sent or answered already."""
        transaction = self.state.transactions[rid]
        if transaction.answered or any(b.written for b in transaction.branches):
            return
        self.state.counters["requests.open_elsewhere"] += 1
        self._answer(rid, Verdict.FAILED)
        self._events.append(ClientLeft(rid))

    def caller_left(self, message: CallerLeft) -> None:
        transaction = self.state.transactions.get(message.rid)
        if transaction is None or transaction.answered:
            return
        self.state.counters[f"requests.left.{transaction.submission.class_name}"] += 1
        self._answer(message.rid, Verdict.FAILED)  # it may only have closed its sending side
        self._events.append(ClientLeft(message.rid))
