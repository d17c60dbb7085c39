"""Requests as they come, and callers that leave."""

from __future__ import annotations

from flintfield.decision.interface import Gone, Request
from flintfield.memory.keeping import Keeping
from flintfield.memory.messages import CallerLeft, JobOpened, Submitted, Untracked, Verdict
from flintfield.memory.state import DeadlineDue, Transaction

DEADLINE_MARGIN_MS = 10.0  # deadlines count from the caller's send, which we see later; a loop may run late


class Taking(Keeping):
    """The beginning of a transaction."""

    def submitted(self, message: Submitted) -> None:
        state, given = self.state, message.submission
        state.counters[f"requests.taken.{given.class_name}"] += 1
        # Guards against a kill that finds unanswered what was taken after the program was told to end.
        deadline = min(self.now + max(0.0, given.wait_ms - DEADLINE_MARGIN_MS), state.settle_by)
        if state.admission:
            deadline = min(deadline, state.admission.latest(self.now, given))
        transaction = Transaction(message.rid, given, self.now, deadline)
        state.transactions[message.rid] = transaction
        state.timers.set(deadline, DeadlineDue(message.rid))  # first of all: whatever fails, this answers
        if given.name in state.names:
            # Guards against a second copy of one job: the first one of this id is still in work.
            state.counters["requests.same_id"] += 1
            self._answer(message.rid, Verdict.FAILED)
            return
        if given.name in state.elsewhere:
            # Guards against two at once in two processes: another one of this scheduler has it in work.
            state.counters["requests.open_elsewhere"] += 1
            self._answer(message.rid, Verdict.FAILED)
            return
        ledger = state.ledger
        if ledger and state.jobs and ledger.forbids(given.class_name, state.jobs.find(self.now, given.name)):
            # Guards against a second run of a job that an earlier run of the program had let out.
            state.counters["requests.interrupted_id"] += 1
            self._answer(message.rid, Verdict.FAILED)
            return
        state.names[given.name] = message.rid
        if state.linked:
            self.effects.append(JobOpened(given.name))
        tracked = self._track(transaction)
        if ledger and ledger.refuses(given.class_name, tracked):
            self._refuse_unkept(message.rid)
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
        """Take the job into the table, where there is one; whether it is there."""
        jobs, given = self.state.jobs, transaction.submission
        if jobs is None:
            return False
        if not jobs.take(self.now, given.name, given.class_name):
            self.state.counters["jobs.untracked"] += 1
            self.effects.append(Untracked(given.name))
            return False
        if self.state.ledger and jobs.evicted:
            self.effects += self.state.ledger.forget(jobs.evicted)
        self._keep(given.name)
        return True

    def give_way(self, rid: int) -> None:
        """Another process has the same job in work: give up ours, if nothing of it was let out."""
        transaction = self.state.transactions[rid]
        if transaction.answered or any(b.written for b in transaction.branches):
            return
        self.state.counters["requests.open_elsewhere"] += 1
        self._answer(rid, Verdict.FAILED)
        self._events.append(Gone(rid))

    def caller_left(self, message: CallerLeft) -> None:
        transaction = self.state.transactions.get(message.rid)
        if transaction is None or transaction.answered:
            return
        self.state.counters[f"requests.left.{transaction.submission.class_name}"] += 1
        self._answer(message.rid, Verdict.FAILED)  # should it only have ended its sending, it still gets one
        self._events.append(Gone(message.rid))
