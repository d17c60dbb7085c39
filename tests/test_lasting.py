"""Job records on disk: the reducer with a ledger, and a disk that works, stalls or fails."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, strategies as st

from flintfield.decision.interface import NEVER_RAN, ListMode, State as Lifecycle
from flintfield.memory.jobs import JobRecord, Jobs
from flintfield.memory.job_records import MAX_PENDING_TICKETS, Ledger
from flintfield.memory.messages import (
    Answer, BranchEnded, BranchUp, CallerLeft, DropBranch, Effect, End, Ending, HoldBranch, WriteRecords,
    RecordsFailed, RecordsWritten, StoredJob, Message, OpenBranch, Reach, RouteUpdate, Submission, Submitted,
    RetryRecords, Verdict, TimerFired, WriteBranch,
)
from flintfield.memory.attempts import outcome_of
from flintfield.memory.state import BranchTimer, State
from test_memory import DONE, Memory, Script, only, route

BOOKING = "social-booking"
KEEP_MS, WAIT_MS = 60_000.0, 100.0
DECLINED = Ending(End.DECLINED, Reach.ANSWERED)


class Disk(Memory):
    """A reducer with a ledger, and a simulated disk; the test decides when tickets complete."""

    def __init__(self, promise: bool = True, most: int = 100, hops: int = 3) -> None:
        def prepare(state: State) -> None:
            state.jobs = Jobs(KEEP_MS, most)
            state.ledger = Ledger(frozenset({BOOKING}), KEEP_MS, WAIT_MS, promise, most)

        self.waiting: list[WriteRecords] = []
        self.on_disk: dict[str, StoredJob] = {}
        self.written_branches: dict[tuple[int, int], str] = {}  # their job ids
        super().__init__(hops, prepare)

    def take(self, message: Message) -> list[Effect]:
        if isinstance(message, BranchEnded) and outcome_of(message.ending) in NEVER_RAN:
            self.written_branches.pop((message.rid, message.branch), None)
        effects = super().take(message)
        for effect in effects:
            if isinstance(effect, WriteRecords):
                self.waiting.append(effect)
            elif isinstance(effect, WriteBranch):
                self._check_write(effect)
        for name in self.written_branches.values():
            record = self.on_disk.get(name)
            # After a restart no record may claim that the job did not run.
            assert record is None or record.ran or not record.sure or record.outcome
        return effects

    def _check_write(self, effect: WriteBranch) -> None:
        given = effect.submission
        self.written_branches[effect.rid, effect.branch] = given.name
        ledger = self.state.ledger
        if given.class_name == BOOKING and ledger and ledger.promise:
            worker = self.state.transactions[effect.rid].branches[effect.branch].worker
            record = self.on_disk[given.name]
            assert record.ran and record.instance == f"s-{worker}" and record.state == "running"

    def answer_disk(self, succeeds: bool = True, on_disk: bool = True) -> list[Effect]:
        """Complete the oldest ticket; a failed write may have reached the disk regardless (`on_disk`)."""
        if not self.waiting:
            return []
        keep = self.waiting.pop(0)
        if succeeds or on_disk:
            self.on_disk |= {r.name: r for r in keep.records}
            for name in keep.gone:
                self.on_disk.pop(name, None)
        return self.take(RecordsWritten((keep.ticket,)) if succeeds else RecordsFailed((keep.ticket,)))

    def settle(self) -> list[Effect]:
        """Complete all tickets successfully."""
        effects = []
        while self.waiting:
            effects += self.answer_disk()
        return effects

    def seen(self, name: str) -> tuple[str, str | None, bool]:
        record = self.on_disk[name]
        return record.state, record.outcome, record.ran


# --------------------------------------------------------- steps that wait for a record


def test_a_bookings_first_byte_and_served_answer_wait_for_their_records() -> None:
    disk = Disk()
    disk.submit(1, cls=1)
    disk.settle()
    assert disk.seen("1") == ("waiting", None, False)
    effects = disk.take(BranchUp(1, 0))
    assert [type(e) for e in effects] == [HoldBranch, WriteRecords] and only(effects, WriteRecords).urgent
    assert only(disk.answer_disk(), WriteBranch).branch == 0
    assert disk.seen("1") == ("running", None, True)
    effects = disk.take(BranchEnded(1, 0, DONE))
    assert not [e for e in effects if isinstance(e, Answer)] and only(effects, WriteRecords).urgent
    assert only(disk.answer_disk(), Answer) == Answer(1, Verdict.SERVED, b"result")
    assert disk.seen("1")[:2] == ("ended", "served") and not disk.state.transactions


def test_an_unguarded_job_waits_for_no_record_and_its_records_are_not_sure() -> None:
    disk = Disk()
    disk.submit(1)
    assert only(disk.take(BranchUp(1, 0)), WriteBranch)
    assert only(disk.take(BranchEnded(1, 0, DONE)), Answer)
    assert not any(keep.urgent for keep in disk.waiting)
    assert not any(record.sure for keep in disk.waiting for record in keep.records)
    disk.settle()
    assert disk.seen("1")[:2] == ("ended", "served")


def test_the_record_of_a_branch_is_reverted_only_if_it_never_ran() -> None:
    disk = Disk()
    disk.submit(1, cls=1)
    disk.take(BranchUp(1, 0))
    disk.settle()
    disk.take(BranchEnded(1, 0, DECLINED))
    disk.settle()
    assert disk.seen("1") == ("waiting", None, False)
    disk.take(BranchUp(1, 1))
    disk.settle()
    disk.take(BranchEnded(1, 1, Ending(End.LOST, Reach.ANSWERED)))
    disk.settle()
    assert disk.seen("1")[:2] == ("ended", "failed")


def test_a_drain_during_the_record_write_prevents_the_request() -> None:
    disk = Disk()
    branch = only(disk.submit(1, cls=1), OpenBranch)
    disk.take(BranchUp(1, 0))
    news = route(branch.address[1], Lifecycle.DRAINING)
    disk.take(RouteUpdate(ListMode.DELTA, 8, (news,), disk.state.calls))
    effects = disk.settle()
    assert only(effects, DropBranch) == DropBranch(1, 0)
    assert not [e for e in effects if isinstance(e, WriteBranch)]
    assert only(effects, OpenBranch).address != branch.address
    assert disk.seen("1") == ("waiting", None, False)


def test_a_disconnect_during_the_record_write_drops_the_branch() -> None:
    disk = Disk()
    disk.submit(1, cls=1)
    disk.take(BranchUp(1, 0))
    assert only(disk.take(CallerLeft(1)), DropBranch)
    disk.settle()
    assert not disk.all(WriteBranch) and disk.seen("1")[:2] == ("ended", "failed")


def test_a_declined_branch_does_not_clear_ran_set_by_an_earlier_one() -> None:
    disk = Disk()
    disk.submit(1)
    disk.take(BranchUp(1, 0))
    disk.take(BranchEnded(1, 0, Ending(End.LOST, Reach.ANSWERED)))
    disk.take(BranchUp(1, 1))
    disk.take(BranchEnded(1, 1, DECLINED))
    disk.settle()
    assert disk.seen("1") == ("waiting", None, True)


def test_a_timeout_before_the_write_is_no_error_of_the_next_hop() -> None:
    disk = Disk()
    disk.submit(1, cls=1)
    disk.take(BranchUp(1, 0))
    disk.state.timers.set(disk.now, BranchTimer(1, 0))
    disk.take(TimerFired())
    assert disk.state.counters["branches.ended.moot"] == 1 and not disk.state.last_errors


# -------------------------------------------------------------------------- disk failures


@pytest.mark.parametrize("how", ["fails", "stalls"])
def test_with_promise_unrecorded_bookings_are_refused_and_other_jobs_served(how: str) -> None:
    disk = Disk()
    disk.submit(1, cls=1)
    disk.settle()
    disk.take(BranchUp(1, 0))
    if how == "fails":
        disk.answer_disk(succeeds=False)
    else:
        disk.until(disk.now + WAIT_MS + 1)
    assert [a.verdict for a in disk.all(Answer)] == [Verdict.REFUSED]
    assert disk.all(DropBranch) == [DropBranch(1, 0)] and not disk.all(WriteBranch)
    disk.submit(2, cls=1)  # refused before any next hop is contacted
    assert [a.rid for a in disk.all(Answer)] == [1, 2] and disk.state.counters["store.refused"] == 2
    disk.submit(3)
    assert only(disk.take(BranchUp(3, 0)), WriteBranch)
    assert only(disk.take(BranchEnded(3, 0, DONE)), Answer)
    for _ in range(3):
        disk.settle()
        disk.take(RetryRecords())
    assert disk.seen("1")[:2] == ("ended", "refused") and disk.seen("3")[:2] == ("ended", "served")
    disk.submit(4, cls=1)
    disk.take(BranchUp(4, 0))
    assert disk.answer_disk() is not None and disk.settle() is not None
    assert [w.rid for w in disk.all(WriteBranch)] == [3, 4]


def test_without_promise_a_booking_is_sent_unrecorded_after_the_wait() -> None:
    disk = Disk(promise=False)
    disk.submit(1, cls=1)
    disk.settle()
    assert not disk.on_disk["1"].sure
    disk.take(BranchUp(1, 0))
    assert not disk.all(WriteBranch)
    disk.until(disk.now + WAIT_MS + 1)
    assert only(list(disk.effects), WriteBranch) and disk.state.counters["store.branches_unkept"] == 1
    assert only(disk.take(BranchEnded(1, 0, DONE)), Answer).verdict is Verdict.SERVED
    disk.submit(2, cls=1)
    assert [type(e) for e in disk.take(BranchUp(2, 0))] == [WriteBranch]  # the ledger is down: no wait
    assert disk.take(RetryRecords()) == []  # a pending ticket will show whether the disk works
    disk.settle()
    assert disk.seen("2") == ("running", None, True)


def test_a_served_answer_is_sent_after_its_maximum_wait() -> None:
    disk = Disk()
    disk.submit(1, cls=1)
    disk.take(BranchUp(1, 0))
    disk.settle()
    disk.take(BranchEnded(1, 0, DONE))
    began = disk.now
    disk.until(began + WAIT_MS + 1)
    assert only(list(disk.effects), Answer).verdict is Verdict.SERVED
    assert disk.state.counters["store.ends_unkept"] == disk.state.counters["store.waits_cut"] == 1
    disk.settle()
    assert len(disk.all(Answer)) == 1


def test_too_many_pending_tickets_count_as_a_stalled_disk() -> None:
    disk = Disk(most=10)
    for rid in range(1, MAX_PENDING_TICKETS):
        disk.submit(rid)
        disk.take(CallerLeft(rid))
    assert len(disk.waiting) <= MAX_PENDING_TICKETS
    before = len(disk.waiting)
    disk.submit(MAX_PENDING_TICKETS, cls=1)
    assert only([disk.effects[-1]], Answer).verdict is Verdict.REFUSED and len(disk.waiting) == before


def test_a_booking_is_refused_if_the_job_table_is_full() -> None:
    disk = Disk(most=1)
    disk.submit(1)
    assert only(disk.submit(2, cls=1), Answer).verdict is Verdict.REFUSED


def test_jobs_evicted_from_the_table_are_deleted_from_disk() -> None:
    disk = Disk(most=2)
    for rid in range(1, 5):
        disk.submit(rid)
        disk.take(CallerLeft(rid))
    disk.settle()
    assert sorted(disk.on_disk) == ["3", "4"]


# ------------------------------------------------------------------------- repeated jobs


def resubmit(disk: Disk, kind: str) -> Verdict | None:
    """Submit the id of an interrupted job; return the verdict if it is answered at once."""
    cls = 1 if kind == BOOKING else 0
    effects = disk.take(Submitted(9, Submission("old", b"POST", b"/", b"", cls, kind, 2000.0)))
    answers = [e for e in effects if isinstance(e, Answer)]
    return answers[0].verdict if answers else None


@pytest.mark.parametrize(("was", "ran", "now", "verdict"), [
    (BOOKING, True, BOOKING, Verdict.FAILED), (BOOKING, True, "match-list", Verdict.FAILED),
    ("match-list", True, BOOKING, Verdict.FAILED), ("match-list", True, "match-list", None),
    (BOOKING, False, BOOKING, None),
])
def test_an_interrupted_booking_that_may_have_run_is_never_sent_again(
    was: str, ran: bool, now: str, verdict: Verdict | None
) -> None:
    disk = Disk()
    assert disk.state.jobs
    disk.state.jobs.restore(JobRecord("old", was, "interrupted", "s-1", ended=disk.now - 10, ran=ran))
    assert resubmit(disk, now) is verdict
    assert bool([e for e in disk.all(OpenBranch) if e.rid == 9]) is (verdict is None)
    found = disk.state.jobs.find(disk.now, "old")
    assert found and found.state == ("waiting" if verdict is None else "interrupted")
    assert disk.state.counters["requests.interrupted_id"] == (verdict is not None)


# ----------------------------------------------------------------------- random sequences


@pytest.mark.parametrize("promise", [True, False])
@given(steps=st.lists(st.integers(0, 1999), max_size=120))
def test_random_sequences_leave_no_record_that_denies_a_possible_run(promise: bool, steps: list[int]) -> None:
    disk = Disk(promise, most=8)
    script = Script(disk)
    for n in steps:
        if n < 1000:
            script.step(n)
        elif n % 4 < 2:
            disk.answer_disk()
        elif n % 4 == 2:
            disk.answer_disk(succeeds=False, on_disk=n % 8 == 2)
        else:
            disk.take(RetryRecords())
    disk.until(disk.now + 2000)  # no ticket completes any more
    answers = disk.all(Answer)
    assert sorted(a.rid for a in answers) == list(range(1, script.rid + 1))
    assert not disk.state.transactions and disk.state.counters["defects"] == 0
    for _ in range(3):  # the disk works again, and the ledger catches up
        disk.settle()
        disk.take(RetryRecords())
    jobs = disk.state.jobs
    assert jobs and disk.state.ledger and disk.state.ledger.up
    for name, record in disk.on_disk.items():
        found = jobs.find(disk.now, name)
        assert found is None or (found.state, found.outcome) == (record.state, record.outcome)


def test_a_record_is_kept_for_the_time_left_plus_the_retention_time() -> None:
    disk = Disk()
    disk.submit(1, cls=1, wait_ms=2010.0)
    keep = disk.waiting[0]
    assert keep.records == (replace(keep.records[0], keep_ms=2000.0 + KEEP_MS),)
    disk.take(CallerLeft(1))
    assert disk.waiting[-1].records[0].keep_ms == KEEP_MS
