"""The store's behaviour, on a simulated disk and on a real one."""

from __future__ import annotations

import random
import struct
import threading
import time
from collections.abc import Callable
from pathlib import Path

import anyio
import pytest

from benchmarks.store_crash import SimClock, contents, deliver, pending
from flintfield.store import (ALWAYS, NEVER, Batch, Busy, Closed, Committed, DiskFull, Failed, Locked,
                              Outcome, Settings, SnapshotTooOld, StoreError, StoreFull, TooLarge, open_store,
                              within_ms)
from flintfield.store.loop import open_async
from support.store_work import disk_of, engine_on, files_of, put, seal, work_off


# --- batches, keyspaces, ranges


def test_batch_over_keyspaces_is_there_whole() -> None:
    engine = engine_on()
    put(engine, Batch().put("jobs", b"a", b"1").put("queue", b"a", b"2").put("jobs", b"b", b"3"))
    put(engine, Batch().delete("jobs", b"a").put("queue", b"a", b"4").put("queue", b"a", b"5"))
    assert contents(engine) == {("queue", b"a"): b"5", ("jobs", b"b"): b"3"}
    assert contents(engine_on(files_of(engine))) == contents(engine)


def test_ranges_in_order_and_in_reverse(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    numbers = list(range(700))  # more than one look at the index takes
    random.Random(1).shuffle(numbers)
    for number in numbers:
        store.write(Batch().put("jobs", struct.pack(">I", number), b"%d" % number), NEVER)
    keys = [struct.pack(">I", number) for number in range(700)]
    assert list(store.keys("jobs")) == keys
    assert list(store.keys("jobs", reverse=True)) == keys[::-1]
    assert list(store.keys("jobs", keys[5], keys[600], limit=300)) == keys[5:305]
    assert list(store.scan("jobs", keys[2], keys[4])) == [(keys[2], b"2"), (keys[3], b"3")]
    assert list(store.keys("jobs", prefix=b"\0\0\1")) == keys[256:512]
    assert (store.count("jobs"), store.spaces(), store.count("none")) == (700, ["jobs"], 0)
    store.close()


@pytest.mark.parametrize("wrong", [
    lambda: Batch().put("Jobs", b"k", b""), lambda: Batch().put("jobs", b"", b""),
    lambda: Batch().put("jobs", b"k" * 1_025, b""), lambda: Batch().put("jobs", b"k", bytes(1 << 24 | 1)),
    lambda: Batch().put("jobs", b"k", b"", ttl_ms=0)])
def test_limits_are_told(wrong: Callable[[], Batch]) -> None:
    with pytest.raises(TooLarge):
        wrong()


def test_batch_never_spans_segments() -> None:
    """One that does not fit begins the next segment; one larger than a segment has one of its own."""
    engine = engine_on()
    for key, size in ((b"a", 2_000), (b"b", 2_000), (b"c", 9_000), (b"d", 0)):
        put(engine, Batch().put("jobs", key, bytes(size)))
    sizes = sorted(len(data) for name, data in files_of(engine).items() if name.endswith(".seg"))
    assert len(sizes) == 4 and sizes[-1] > 9_000
    assert sorted(key for _, key in contents(engine_on(files_of(engine)))) == [b"a", b"b", b"c", b"d"]


# --- durability


def test_group_shares_a_sync() -> None:
    engine = engine_on()
    before = engine.counters.syncs
    put(engine, *(Batch().put("jobs", b"%d" % number, b"") for number in range(10)))
    assert engine.counters.syncs == before + 1


def test_interval_is_synced_when_due() -> None:
    clock, told = SimClock(), list[Outcome]()
    engine = engine_on(clock=clock)
    batch = pending(Batch().put("jobs", b"a", b""), told)
    batch.durability = within_ms(100)
    engine.commit([batch], deliver)
    assert told == [Committed(1)] and engine.log.synced < engine.log.end.offset and engine.due == 100
    clock.advance(99)
    engine.tick(deliver)
    assert engine.log.synced < engine.log.end.offset
    clock.advance(1)
    engine.tick(deliver)
    assert engine.log.synced == engine.log.end.offset and engine.due is None


def test_nothing_is_acknowledged_after_a_failed_sync() -> None:
    """And what only the page cache holds then is written anew, or it would go at the next power cut."""
    engine = engine_on()
    disk = disk_of(engine)
    put(engine, Batch().put("jobs", b"a", b"1"))
    disk.plan.failed_syncs = frozenset((disk.syncs,))
    assert isinstance(put(engine, Batch().put("jobs", b"b", b"2"))[0], Failed)
    assert isinstance(put(engine, Batch().put("jobs", b"c", b"3"))[0], Failed)
    assert contents(engine) == {("jobs", b"a"): b"1"}
    there = contents(engine_on(disk))
    assert there == {("jobs", b"a"): b"1", ("jobs", b"b"): b"2"}
    assert all(contents(engine_on(disk.after_cut(random.Random(seed)))) == there for seed in range(20))


def test_full_disk_refuses_and_goes_on() -> None:
    engine = engine_on()
    disk = disk_of(engine)
    disk.plan.room = sum(map(len, disk.files().values())) + 300
    told = put(engine, Batch().put("jobs", b"a", bytes(100)), Batch().put("jobs", b"b", bytes(500)))
    assert all(isinstance(outcome, DiskFull) for outcome in told) and contents(engine) == {}
    disk.plan.room = None
    assert put(engine, Batch().put("jobs", b"b", b"1")) == [Committed(1)]
    assert contents(engine_on(files_of(engine))) == {("jobs", b"b"): b"1"}


def test_full_store_takes_deletes_and_overwrites() -> None:
    engine = engine_on(settings=Settings(most_entries=2))
    put(engine, Batch().put("jobs", b"a", b""), Batch().put("jobs", b"b", b""))
    assert isinstance(put(engine, Batch().put("jobs", b"c", b""))[0], StoreFull)
    assert put(engine, Batch().put("jobs", b"a", b"1")) == [Committed(3)]
    put(engine, Batch().delete("jobs", b"a"))
    assert put(engine, Batch().put("jobs", b"c", b"")) == [Committed(5)]


# --- snapshots


def test_snapshot_outlives_the_segments_it_reads() -> None:
    engine = engine_on()
    put(engine, *(Batch().put("jobs", b"%02d" % number, b"old") for number in range(30)))
    seal(engine)
    with engine.reading.snapshot() as view:
        for _ in range(3):
            put(engine, *(Batch().put("jobs", b"%02d" % number, bytes(100)) for number in range(30)))
        put(engine, *(Batch().delete("jobs", b"%02d" % number) for number in range(15)))
        work_off(engine)
        assert "00000001.seg" not in files_of(engine)
        assert list(view.scan("jobs")) == [(b"%02d" % number, b"old") for number in range(30)]
        assert view.get("jobs", b"03") == b"old" and engine.reading.get("jobs", b"03") is None
    for _ in range(2):
        put(engine, Batch().put("jobs", b"x", b""))
    assert engine.reading.index.kept == 0


def test_snapshot_that_holds_too_much_is_given_up() -> None:
    engine = engine_on(settings=Settings(most_past=10))
    put(engine, *(Batch().put("jobs", b"%02d" % number, b"old") for number in range(30)))
    view = engine.reading.snapshot()
    put(engine, *(Batch().put("jobs", b"%02d" % number, b"new") for number in range(30)))
    with pytest.raises(SnapshotTooOld):
        view.get("jobs", b"03")
    assert engine.reading.index.kept <= 10


# --- time to live


def test_expired_stays_expired_when_the_clock_jumps_back() -> None:
    """In the running store, after a restart, and after a compaction took the expired entry away."""
    clock = SimClock()
    engine = engine_on(clock=clock)
    put(engine, Batch().put("jobs", b"a", b"older"))
    put(engine, Batch().put("jobs", b"a", b"1", ttl_ms=1_000).put("jobs", b"b", b"2"))
    clock.advance(999)
    assert engine.reading.get("jobs", b"a") == b"1"
    clock.advance(1)
    put(engine, Batch().put("jobs", b"c", b"3"))
    for back in (500, 50_000):
        clock.wall_ms -= back
        assert engine.reading.get("jobs", b"a") is None and not engine.reading.has("jobs", b"a")
        assert list(engine.reading.keys("jobs")) == [b"b", b"c"]
    again = engine_on(files_of(engine), clock=clock)
    assert list(again.reading.keys("jobs")) == [b"b", b"c"]
    seal(again)
    work_off(again)
    assert list(engine_on(files_of(again), clock=clock).reading.keys("jobs")) == [b"b", b"c"]


def test_expired_entries_leave_memory() -> None:
    clock = SimClock()
    engine = engine_on(clock=clock)
    put(engine, *(Batch().put("jobs", b"%d" % number, b"", ttl_ms=1_000) for number in range(50)))
    put(engine, Batch().put("jobs", b"7", b"", ttl_ms=9_000))
    clock.advance(3_000)
    engine.tick(deliver)
    assert engine.reading.index.entries == 1 and list(engine.reading.keys("jobs")) == [b"7"]


# --- compaction


def test_space_after_overwriting_is_bounded() -> None:
    engine = engine_on()
    for turn in range(10):
        for number in range(60):
            put(engine, Batch().put("jobs", b"%02d" % number, bytes([turn]) * 100))
            work_off(engine, 0.3)
    live = sum(usage.bytes for usage in engine.reading.index.usage.values())
    segments = sum(len(data) for name, data in files_of(engine).items() if name.endswith(".seg"))
    assert segments <= 2 * live + 3_000  # one active segment


def test_deletes_leave_the_disk_in_the_end() -> None:
    """Also beside entries that live for ever and are older than all of them."""
    engine = engine_on()
    put(engine, *(Batch().put("jobs", b"for ever %d" % number, bytes(100)) for number in range(20)))
    for number in range(400):
        put(engine, Batch().put("jobs", b"%d" % number, bytes(50)))
        put(engine, Batch().delete("jobs", b"%d" % number))
        work_off(engine, 0.3)
    assert sum(len(data) for data in files_of(engine).values()) < 15_000


def test_full_disk_in_a_compaction_leaves_all_as_it_was() -> None:
    engine = engine_on()
    for _ in range(3):
        put(engine, *(Batch().put("jobs", b"%02d" % number, bytes(100)) for number in range(40)))
    before, disk = contents(engine), disk_of(engine)
    for segment in list(engine.hints.missing):
        list(engine.hints.late(segment))
    names = set(disk.names())
    disk.plan.room = sum(map(len, disk.files().values())) + 700
    with pytest.raises(OSError):
        work_off(engine)
    assert set(disk.names()) == names and contents(engine) == before
    disk.plan.room = None
    work_off(engine)
    assert contents(engine) == before and contents(engine_on(files_of(engine))) == before


def test_power_cut_at_each_call_of_a_compaction() -> None:
    engine = engine_on()
    for turn in range(4):
        put(engine, *(Batch().put("jobs", b"%02d" % number, bytes([turn]) * 60) for number in range(20)))
    put(engine, *(Batch().delete("jobs", b"%02d" % number) for number in range(5)))
    expected, cuts, chance = contents(engine), 0, random.Random(1)

    def look(disk: object) -> None:
        nonlocal cuts
        for _ in range(5):
            cuts += 1
            assert contents(engine_on(disk_of(engine).after_cut(chance))) == expected

    disk_of(engine).hook = look
    work_off(engine)
    assert cuts > 100 and engine.compaction.figures.compactions


# --- threads and the event loop


def test_many_writers_one_order(tmp_path: Path) -> None:
    store = open_store(tmp_path, Settings(segment_bytes=50_000, small_bytes=10_000))
    numbers: list[int] = []

    def write(writer: int) -> None:
        for turn in range(60):
            numbers.append(store.write(Batch().put("jobs", b"%d" % writer, b"%d" % turn), ALWAYS))
            assert store.get("jobs", b"%d" % writer) == b"%d" % turn
            list(store.scan("jobs"))

    threads = [threading.Thread(target=write, args=(writer,)) for writer in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(numbers) == list(range(1, 961))
    assert store.stats().groups <= 960
    store.close()
    again = open_store(tmp_path)
    assert dict(again.scan("jobs")) == {b"%d" % writer: b"59" for writer in range(16)}
    assert again.stats().opened.hints_missing == 0
    again.close()


def test_what_is_due_is_synced_though_nobody_writes(tmp_path: Path) -> None:
    """The waiting caller writes itself, and the writer's thread must hear of it."""
    store = open_store(tmp_path)
    for number in range(3):
        store.write(Batch().put("jobs", b"a", b""), within_ms(30))
        end = time.monotonic() + 5
        while store.stats().syncs <= number and time.monotonic() < end:
            time.sleep(0.005)
        assert store.stats().syncs == number + 1
    store.close()


def test_second_opener_is_refused(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    with pytest.raises(Locked):
        open_store(tmp_path)
    store.close()
    store.close()
    with pytest.raises(Closed):
        store.write(Batch().put("jobs", b"a", b""), ALWAYS)
    open_store(tmp_path).close()


def test_broken_callbacks_harm_nobody_else(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    raised: list[str] = []

    def write_again(_: Outcome) -> None:
        try:
            store.write(Batch().put("jobs", b"b", b""), NEVER)
        except RuntimeError as error:
            raised.append(str(error))
            raise

    store.submit(Batch().put("jobs", b"a", b""), NEVER, write_again)
    assert store.write(Batch().put("jobs", b"c", b""), ALWAYS) == 2
    assert "submit instead" in raised[0] and store.stats().callbacks_failed == 1
    store.close()


def test_interrupted_commit_fails_the_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nobody waits for ever, and what was written is not built upon."""
    engine = engine_on()

    def interrupt(*_: object) -> None:
        raise KeyboardInterrupt

    monkeypatch.setattr(engine.reading.index, "put", interrupt)
    told: list[Outcome] = []
    with pytest.raises(KeyboardInterrupt):
        engine.commit([pending(Batch().put("jobs", b"a", b""), told)], deliver)
    assert engine.log.failed and isinstance(put(engine, Batch().put("jobs", b"b", b""))[0], Failed)


def test_outcomes_on_the_event_loop_in_order(tmp_path: Path) -> None:
    async def play() -> None:
        store = await open_async(tmp_path, Settings(waiting_bytes=2_000))
        told: list[Outcome] = []
        here = threading.get_ident()

        def done(outcome: Outcome) -> None:
            assert threading.get_ident() == here
            told.append(outcome)

        refused = 0
        for number in range(200):
            try:
                store.submit(Batch().put("jobs", b"%03d" % number, bytes(100)), ALWAYS, done)
            except Busy:
                refused += 1
        last = await store.write(Batch().put("jobs", b"last", b""), ALWAYS)
        assert told == [Committed(number) for number in range(1, last)] and refused == 201 - last
        assert await store.fetch("jobs", b"last") == b"" == store.get("jobs", b"last")
        store.submit(Batch().put("jobs", b"x", b""), NEVER, done)
        await store.aclose()
        assert told[-1] == Committed(last + 1)
        with pytest.raises(StoreError):
            await store.write(Batch().put("jobs", b"y", b""), ALWAYS)

    anyio.run(play)
