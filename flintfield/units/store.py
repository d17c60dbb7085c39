"""The embedded store as a unit, and its first users: the jobs' records, and what the decisions have learned.

What a record says and which step waits for it is `memory/job_records.py`'s; here records are written, and at
the start read back into the table of jobs. `docs/store-users.md` is the operators' page.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

import anyio
import msgspec

from flintfield.base.ini import FOLDER, OperatorsError, Section, number, word
from flintfield.decision.interface import Effect as MayRepeat
from flintfield.decision.learned import export_learned, restore_learned
from flintfield.memory.jobs import JobRecord
from flintfield.memory.job_records import Ledger
from flintfield.memory.messages import (
    WriteRecords, RecordsFailed, RecordsWritten, StoredJob, RetryRecords, UnitMessage,
)
from flintfield.memory.reducer import Turn
from flintfield.store import ALWAYS, Batch, Committed, Outcome, StoreError, within_ms
from flintfield.units.interface import Feature, Given, Host, Unit
from flintfield.units.storage import Storage

Made = TypeVar("Made")
JOBS, MODULE = "jobs", "module"  # keyspaces
LEARNED, PROBE = b"learned", b"probe"  # keys in `module`
BEHIND_MS = 1_000  # how long a record for which nothing waits may stay unsynced
GATHER_S = 0.05  # how long a record for which nothing waits is held back, to be written with others
TRY_S = 1.0  # between two tries to write again after a failure
FORM = 1  # of a record; a later form is skipped and counted


@dataclass(frozen=True, slots=True)
class StoreOn:
    """Where the store is, how long a step waits for it, and what is done where it does not come in time."""

    dir: str
    wait_ms: float = 250.0
    sync_ms: float = 0.0
    unkept: str = "refuse"
    snapshot_s: float = 2.0
    young_s: float = 30.0


SECTION = Section("store", StoreOn, {
    "dir": FOLDER, "wait_ms": number(1, 10_000), "sync_ms": number(0, 60_000),
    "unkept": word("refuse", "serve"), "snapshot_s": number(0, 3_600), "young_s": number(0, 86_400),
})


class Row(msgspec.Struct, array_like=True, frozen=True):
    """A job's record as it is on disk; its key is the id."""

    form: int
    kind: str
    state: str
    instance: str | None
    outcome: str | None
    ran: bool
    sure: bool
    at: int  # on the store's clock


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """What the decision module had learned, and when, on the store's clock."""

    at: int
    learned: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Recall(UnitMessage):
    """What an earlier run of the program had learned, and how old that is."""

    learned: dict[str, Any]
    age_s: float


def job_of(name: str, row: Row, ended: float) -> JobRecord:
    """A job of an earlier run: one that had not ended there is interrupted, and will not end any more."""
    if row.outcome is not None:
        return JobRecord(name, row.kind, "ended", row.instance, None, row.outcome, ended)
    return JobRecord(name, row.kind, "interrupted", row.instance, ended=ended, ran=row.ran or not row.sure)


class StoreUnit(Unit):
    """Opens the store, reads it, and carries out what the ledger asks for."""

    def __init__(self, host: Host, given: Given) -> None:
        told = given.one(SECTION)
        if told is None:  # another feature needs the store
            raise OperatorsError(f"[store] dir: found nothing, expected {FOLDER.expected}")
        self._host, self._given = host, told
        try:
            self._storage = Storage(told.dir)
        except (StoreError, OSError) as error:
            raise OperatorsError(f"[store] dir: found {told.dir!r}, expected a folder that can be opened as "
                                 f"a store: {error}") from error
        host.lent["store"] = self._storage
        self._urgent = within_ms(int(told.sync_ms)) if told.sync_ms else ALWAYS
        self._behind = within_ms(BEHIND_MS)
        self._told_down = False
        self._gathered: list[WriteRecords] = []
        self._some = anyio.Event()  # something is gathered
        self._hurried = False  # a step waits for some of it
        jobs = host.state.jobs
        assert jobs is not None  # the feature needs job status
        self._restored = self._restore()
        guarded = frozenset(
            name for name, cls in zip(host.config.class_names, host.config.settings.classes, strict=True)
            if cls.effect is MayRepeat.UNSAFE)
        host.state.ledger = Ledger(guarded, jobs.keep_ms, told.wait_ms, told.unkept == "refuse", jobs.most)

    # ------------------------------------------------------------ at the start

    def _restore(self) -> dict[str, int]:
        """Read the records into the table, the newest if there are more than it takes; what was found."""
        host, store, jobs = self._host, self._storage.read, self._host.state.jobs
        assert jobs is not None
        now, there = store.clock.now(), host.clock()
        rows: list[tuple[int, str, Row]] = []
        for key, value in store.scan(JOBS):
            row = _read(value, Row)
            if row is None or row.form != FORM:
                host.count("store.unread")
            elif now - row.at < jobs.keep_ms:
                rows.append((row.at, key.decode(), row))
        rows.sort(key=lambda found: found[:2])
        surplus = max(0, len(rows) - jobs.most)
        for at, name, row in rows[surplus:]:
            jobs.restore(job_of(name, row, there - (now - at)))
        self._clear([name for _, name, _ in rows[:surplus]])
        lost = [row for _, _, row in rows[surplus:] if row.outcome is None]
        return {"jobs": len(rows) - surplus, "interrupted": len(lost),
                "may_have_run": sum(row.ran or not row.sure for row in lost)}

    def _clear(self, names: list[str]) -> None:
        """Guards against a store that outgrows a table which was made smaller."""
        if names:
            batch = Batch()
            for name in names:
                batch.delete(JOBS, name.encode())
            self._storage.submit(batch, self._behind, lambda _: None)

    # -------------------------------------------------------------- in service

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        """The ledger's writing."""
        return {WriteRecords: self._keep}

    def handlers(self) -> Mapping[type, Callable[[Turn, Any], None]]:
        """The module takes up what it had learned."""
        return {Recall: self._recall}

    def _keep(self, effect: WriteRecords) -> None:
        self._gathered.append(effect)
        if effect.urgent and not self._hurried:
            self._hurried = True  # once for all that this turn of the loop asks for
            asyncio.get_running_loop().call_soon(self._write)
        elif len(self._gathered) == 1:
            self._some.set()

    def _write(self) -> None:
        """Hand in all that was gathered as one batch: of several records of a job the last counts."""
        effects, self._gathered = self._gathered, []
        hurried, self._hurried = self._hurried, False
        at, batch = self._storage.read.clock.now(), Batch()
        for effect in effects:
            for record in effect.records:
                _put(batch, record, at)
            for name in effect.gone:
                batch.delete(JOBS, name.encode())
        if not len(batch):
            batch.put(MODULE, PROBE, b"")
        tickets = tuple(effect.ticket for effect in effects)

        def done(outcome: Outcome) -> None:
            self._note(outcome)
            self._host.tell(
                RecordsWritten(tickets) if isinstance(outcome, Committed) else RecordsFailed(tickets))

        try:
            self._storage.submit(batch, self._urgent if hurried else self._behind, done)
        except StoreError as error:
            done(error)

    async def _gather(self) -> None:
        """Guards against a commit, and two changes of threads, for each record for which nobody waits."""
        while True:
            await self._some.wait()
            await anyio.sleep(GATHER_S)
            self._some = anyio.Event()
            if self._gathered:
                self._write()

    def _note(self, outcome: Outcome) -> None:
        """Tell once that the disk does not take what it is given, and once that it does again."""
        if isinstance(outcome, Committed):
            if self._told_down:
                self._told_down = False
                self._host.errors.line("store writes again", dir=self._given.dir)
        elif not self._told_down:
            self._told_down = True
            self._host.errors.line("store failed", dir=self._given.dir, error=outcome)

    def _recall(self, turn: Turn, message: Recall) -> None:
        try:
            found = restore_learned(turn.state.dispatcher, message.learned)
        except ValueError as error:
            self._host.errors.line("nothing recalled", error=error)
            return
        self._host.log.info("recalled", age_s=round(message.age_s, 1), workers=found.workers,
                            left_out=found.left_out)

    async def run(self) -> None:
        """Recall what is young, then take snapshots, and try again what failed."""
        self._host.start(self._gather)
        self._host.log.info("restored", **self._restored)
        self._take_up()
        due = self._given.snapshot_s
        while True:
            await anyio.sleep(TRY_S)
            if self._storage.failed:
                await self._open_anew()
            self._host.tell(RetryRecords())
            due -= TRY_S
            if self._given.snapshot_s and due <= 0:
                due = self._given.snapshot_s
                self._save()

    async def _open_anew(self) -> None:
        try:
            await self._storage.reopen()
        except (StoreError, OSError) as error:
            self._host.count("store.reopen_failed")
            self._note(error if isinstance(error, StoreError) else StoreError(str(error)))
        else:
            self._host.count("store.reopened")

    def _take_up(self) -> None:
        store = self._storage.read
        saved = _read(store.get(MODULE, LEARNED) or b"", Snapshot)
        if saved is None:
            return
        age_s = (store.clock.now() - saved.at) / 1000
        if age_s <= self._given.young_s:
            self._host.tell(Recall(saved.learned, age_s))

    def _save(self) -> None:
        """Have what the module has learned written, if the disk is well."""
        ledger = self._host.state.ledger
        if ledger is None or not ledger.up:
            return
        batch = Batch()
        saved = Snapshot(self._storage.read.clock.now(), export_learned(self._host.state.dispatcher))
        batch.put(MODULE, LEARNED, msgspec.msgpack.encode(saved))
        try:
            self._storage.submit(batch, self._behind, self._note)
        except StoreError as error:
            self._note(error)

    async def close(self) -> None:
        """Write the last snapshot and all that was submitted, and let the folder go."""
        if self._given.snapshot_s:
            self._save()
        if self._gathered:
            self._write()
        await self._storage.close()


def _put(batch: Batch, record: StoredJob, at: int) -> None:
    row = Row(FORM, record.kind, record.state, record.instance, record.outcome, record.ran, record.sure, at)
    key = record.name.encode()
    if record.keep_ms >= 1:
        batch.put(JOBS, key, msgspec.msgpack.encode(row), ttl_ms=int(record.keep_ms))
    else:
        batch.delete(JOBS, key)


def _read(value: bytes, kind: type[Made]) -> Made | None:
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


FEATURE = Feature((SECTION,), StoreUnit, needs=("jobstatus",))
