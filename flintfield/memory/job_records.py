"""Job records that outlive the process, and the steps that wait until a record is on disk.

Rules:

1. No I/O. A write is an effect (`WriteRecords`) with a ticket; its completion is a message (`RecordsWritten`,
   `RecordsFailed`) with the same ticket. All tickets complete, in the order in which they were issued,
   many at once.
2. A *guarded* job belongs to a class that must not be sent again. Two of its steps wait: the first byte of a
   branch waits for the record of the next hop that it is sent to, and the answer `served` waits for the
   record of the job's end. Nothing else waits for a disk.
3. No wait is longer than `wait_ms`. When a wait times out or a write fails, the ledger is *down* until a
   write succeeds: no step waits, and nothing is written but a probe that tests whether writes succeed.
4. Writes skipped while it is down are remembered by job name, for at most as many names as the job table
   holds, and the then current records are written once it is up. Every record has a time to live, so a
   record whose deletion was missed expires.

Theory of operation. This is write-ahead logging: the record that an effect may happen is durable before the
effect leaves the process (for pages of a database: Mohan et al., ARIES, 1992). When a branch proves never to
have run, its record is reverted without waiting: until that is on disk the job counts as one that may have
run, which is safe.

Guarantees of a record. `sure` means that its job is never sent without a record of that. Then `ran = false`
on disk means that no next hop received a byte of the job. This holds for guarded jobs if `promise` is on,
because a job whose record can't be written is then refused. Without `promise` the job is sent regardless, and
no record is sure. Rejected alternative: send jobs unrecorded while the disk fails, and treat records as sure
while it works; after a kill at that moment nothing shows which of the two applied.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from itertools import islice

from flintfield.memory.jobs import JobRecord
from flintfield.memory.messages import WriteRecords, StoredJob, Verdict

MAX_PENDING_TICKETS = 4_096  # pending tickets; with this many the disk counts as stalled
CATCH_UP_BATCH = 256  # records per write when catching up after the ledger was down


@dataclass(frozen=True, slots=True)
class PendingBranch:
    """A branch whose request is written once its record is durable."""

    rid: int
    branch: int


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """A final answer that is sent once the job's record is durable."""

    rid: int
    verdict: Verdict
    body: bytes


PendingStep = PendingBranch | PendingAnswer


@dataclass(slots=True)
class _Ticket:
    names: tuple[str, ...]
    pending: PendingStep | None


class Ledger:
    """Pending tickets and missed writes; only the reducer calls it."""

    def __init__(self, guarded: frozenset[str], keep_ms: float, wait_ms: float, promise: bool,
                 most_missed: int) -> None:
        self.guarded, self.promise = guarded, promise  # names of classes
        self.wait_ms = wait_ms
        self._most_missed = most_missed
        self.up = True
        self._keep_ms = keep_ms
        self._last_ticket = 0
        self._pending: dict[int, _Ticket] = {}
        self._missed: dict[str, None] = {}  # names of jobs whose record on disk is out of date

    def refuses(self, kind: str, tracked: bool) -> bool:
        """Whether a job of that class must be refused now because no record of it could be written."""
        return self.promise and kind in self.guarded and not (self.up and tracked)

    def forbids_rerun(self, kind: str, known: JobRecord | None) -> bool:
        """Whether a job must not be sent because its id may have run during an earlier run of the program."""
        if known is None or known.state != "interrupted" or not known.ran:
            return False
        return kind in self.guarded or known.kind in self.guarded

    def keep(self, name: str, record: StoredJob | None, *, pending: PendingStep | None = None,
             next_hop: str | None = None) -> list[WriteRecords]:
        """Write a job's current record, or one that says it is sent to a next hop; nothing if the ledger is
        down. If `record` is None the record on disk is deleted."""
        if record and next_hop is not None:
            record = replace(record, state="running", instance=next_hop, ran=True)
        records, gone = ((record,), ()) if record else ((), (name,))
        return self._write((name,), records, gone, pending)

    def _write(self, names: tuple[str, ...], records: tuple[StoredJob, ...], gone: tuple[str, ...],
               pending: PendingStep | None) -> list[WriteRecords]:
        self.up = self.up and len(self._pending) < MAX_PENDING_TICKETS
        if not self.up:
            self._mark_missed(names)
            return []
        self._last_ticket += 1
        self._pending[self._last_ticket] = _Ticket(names, pending)
        return [WriteRecords(self._last_ticket, records, gone, pending is not None)]

    def _mark_missed(self, names: tuple[str, ...]) -> None:
        self._missed.update(dict.fromkeys(names))
        while len(self._missed) > self._most_missed:  # the oldest is the likeliest to have left the table
            del self._missed[next(iter(self._missed))]

    def record(self, job: JobRecord, class_name: str | None, left_ms: float) -> StoredJob:
        """The record of a job, given the class of its open transaction, if there is one, and the time that
        transaction has left."""
        sure = self.promise and class_name in self.guarded
        return StoredJob(job.name, job.kind, job.state, job.instance, job.outcome,
                       job.ran or job.state == "running", sure, max(0.0, left_ms) + self._keep_ms)

    # ---------------------------------------------------------- completions

    def kept(self, tickets: Iterable[int]) -> list[PendingStep]:
        """Complete successful tickets and return the steps that waited; the caller calls `catch_up` next."""
        self.up = True
        back = [found for ticket in tickets if (found := self._pending.pop(ticket, None))]
        return [found.pending for found in back if found.pending]

    def failed(self, tickets: Iterable[int]) -> list[PendingStep]:
        """Complete failed tickets and return the steps that waited for them."""
        self.up = False
        back = [found for ticket in tickets if (found := self._pending.pop(ticket, None))]
        for found in back:
            self._mark_missed(found.names)
        return [found.pending for found in back if found.pending]

    def time_out_wait(self, ticket: int) -> PendingStep | None:
        """Time out the wait for a pending ticket and return the step that waited, if any."""
        found = self._pending.get(ticket)
        if found is None or found.pending is None:
            return None
        self.up = False
        pending, found.pending = found.pending, None
        return pending

    def probe(self) -> list[WriteRecords]:
        """Test whether writes succeed again, unless a pending ticket will show it."""
        if self.up or self._pending:
            return []
        self._last_ticket += 1
        self._pending[self._last_ticket] = _Ticket((), None)
        return [WriteRecords(self._last_ticket, (), (), True)]

    def catch_up(self, record_of: Callable[[str], StoredJob | None]) -> list[WriteRecords]:
        """Write a batch of missed records; each completed ticket triggers the next batch."""
        names = tuple(islice(self._missed, CATCH_UP_BATCH))
        if not names:
            return []
        for name in names:
            del self._missed[name]
        records = tuple(r for n in names if (r := record_of(n)))
        there = {r.name for r in records}
        return self._write(names, records, tuple(n for n in names if n not in there), None)

    def forget(self, name: str) -> list[WriteRecords]:
        """Delete the record of a job that left the table."""
        return self._write((name,), (), (name,), None)
