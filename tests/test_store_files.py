"""The store's files: cut anywhere, flipped, missing, killed; what opening, repair and the command line
say."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from benchmarks.store_crash import contents
from flintfield.cli.group import run_command
from flintfield.store import ALWAYS, Batch, Damaged, NewerFormat, open_store
from flintfield.store.format import (FRAME_HEAD, SEGMENT_HEAD, Frame, Scan, decode_segment_head,
                                     encode_segment_head, entries, salt_of)
from flintfield.store.inspection import verify
from flintfield.store.manifest import MANIFEST, Sealed, decode_manifest, encode_manifest, segment_name
from flintfield.store.recover import HOLDING
from flintfield.store.repair import Repaired, repair
from flintfield.store.simdisk import SimDisk
from support.store_work import Contents, engine_on, files_of, put, recorded, seal, work_off
from support.store_writer import SMALL, WRITERS, change

Files = dict[str, bytes]


def starts(files: Files) -> tuple[Contents, Repaired | None]:
    """Open a store, after a repair if it must be; its contents."""
    disk = SimDisk(random.Random(0), files)
    told = None
    try:
        engine = engine_on(disk)
    except Damaged as error:
        assert error.file in files and 0 <= error.offset <= len(files[error.file])
        disk.locked = False
        told = repair(disk)
        assert told.lost
        engine = engine_on(disk)
    assert not verify(disk).damage
    return contents(engine), told


def frames_of(name: str, data: bytes) -> list[Frame]:
    """The whole frames of a segment."""
    head = decode_segment_head(name, data)
    return list(Scan(lambda size, offset: data[offset:offset + size], len(data), SEGMENT_HEAD, head.crc,
                     salt_of(head.store, head.segment)))


def at_most(found: Contents, states: list[Contents]) -> bool:
    """Whether each entry was there once: nothing half-written, nothing made up."""
    return all(any(state.get(at) == value for state in states) for at, value in found.items())


@pytest.mark.parametrize("step", [13, pytest.param(1, marks=pytest.mark.slow)])  # every byte: about 10 s
def test_files_cut_at_any_byte(step: int) -> None:
    """Recovery always starts; what lay before the cut is there, and nothing that never was."""
    files, states = recorded(3, 66)
    repaired = 0
    manifest = decode_manifest(files[MANIFEST])
    active, newest = segment_name(manifest.active), newest_of(files)
    for name, data in files.items():
        for cut in range(0, len(data), step):
            found, told = starts({**files, name: data[:cut]})
            repaired += told is not None
            assert at_most(found, states)
            if name == active and cut >= manifest.synced:
                # Where a crash cuts: whole batches, in order, and no repair.
                assert found in states and told is None
            else:
                assert all(found[at] == value for at, value in states[-1].items()
                           if newest[at][0] != name or newest[at][1] <= cut)
    assert repaired


def newest_of(files: Files) -> dict[tuple[str, bytes], tuple[str, int]]:
    """Where each key's newest entry lies: its segment, and the end of its frame."""
    found: dict[tuple[str, bytes], tuple[int, str, int]] = {}
    for name, data in files.items():
        for frame in frames_of(name, data) if name.endswith(".seg") else ():
            for entry in entries(frame) if frame.kind in HOLDING else ():
                at = entry.name.decode(), entry.key
                found[at] = max(found.get(at, (0, "", 0)), (entry.seq, name, frame.end))
    return {at: (name, end) for at, (_, name, end) in found.items()}


def test_batches_before_a_cut_of_the_log_are_all_there() -> None:
    """Cut behind batch k, the store is as after batch k."""
    files, states = recorded(4, 9)
    name = segment_name(decode_manifest(files[MANIFEST]).active)
    frames = frames_of(name, files[name])
    assert len(frames) > 3
    for frame, following in zip(frames, [*frames[1:], None], strict=True):
        last = following.end - 1 if following else frame.end
        for cut in (frame.end, last):
            assert starts({**files, name: files[name][:cut]}) == (states[frame.seq], None)


def sealed_run() -> tuple[Files, Contents, Sealed]:
    """A store with a sealed segment of some batches, and what is in it."""
    engine = engine_on()
    for number in range(8):
        mark = b"%d" % number
        put(engine, Batch().put("jobs", b"k" + mark, mark * 40).put("jobs", b"both", mark))
    seal(engine)
    work_off(engine, 1.0)
    sealed = decode_manifest(files_of(engine)[MANIFEST]).sealed[0]
    return files_of(engine), contents(engine), sealed


def without_hints(files: Files) -> Files:
    """Opening then reads the segments."""
    return {name: data for name, data in files.items() if not name.endswith(".hint")}


def test_flipped_bits_are_found_where_they_are() -> None:
    """One or two bits, a length field's among them, in a segment that is durable: told with file and
    offset."""
    files, _, sealed = sealed_run()
    name, chance = segment_name(sealed.segment), random.Random(1)
    frames = frames_of(name, files[name])
    for turn in range(600):
        data, frame = bytearray(files[name]), chance.choice(frames)
        # Half of them in the length field: bits that a plausible length survives.
        among = range(frame.start + 4, frame.start + 7) if turn % 2 else range(frame.start, frame.end)
        for _ in range(chance.choice((1, 2))):
            data[chance.choice(among)] ^= 1 << chance.randrange(8)
        if data == files[name]:
            continue
        with pytest.raises(Damaged) as found:
            engine_on(without_hints({**files, name: bytes(data)}))
        assert (found.value.file, found.value.offset) == (name, frame.start)


def test_damaged_value_is_told_and_not_returned() -> None:
    files, there, sealed = sealed_run()
    name = segment_name(sealed.segment)
    at = files[name].index(b"3" * 40)
    data = bytearray(files[name])
    data[at] ^= 1
    engine = engine_on({**files, name: bytes(data)})  # its hint is whole: opening reads no values
    with pytest.raises(Damaged, match=name):
        engine.reading.get("jobs", b"k3")
    assert engine.reading.get("jobs", b"k4") == there["jobs", b"k4"]
    put(engine, *(Batch().put("jobs", b"k%d" % number, b"") for number in range(8) if number != 3))
    work_off(engine)  # compaction meets the damage, tells it, and leaves the segment as it is
    assert [error.file for error in engine.compaction.figures.damage] == [name] and name in files_of(engine)


def test_repair_keeps_what_is_whole_and_lists_what_is_lost() -> None:
    files, there, sealed = sealed_run()
    name = segment_name(sealed.segment)
    data = bytearray(files[name])
    data[files[name].index(b"3" * 40)] ^= 1
    disk = SimDisk(random.Random(0), without_hints({**files, name: bytes(data)}))
    told = repair(disk)
    assert [(key.space, key.key, key.seq) for one in told.lost for key in one.keys] == [("jobs", b"both", 4)]
    # The active segment is written anew too, without the zeros that were written ahead of the log.
    assert (told.lost[0].file, told.rewritten, told.kept_frames) == (name, [name, "00000002.seg"], 8)
    assert disk.files()[name] == bytes(data)
    del there["jobs", b"k3"]
    assert contents(engine_on(disk)) == there
    disk.locked = False
    assert repair(disk).lost == []


def test_missing_segment_is_told_and_repaired() -> None:
    files, _, sealed = sealed_run()
    name = segment_name(sealed.segment)
    del files[name]
    with pytest.raises(Damaged, match=f"{name}: offset 0: .*missing"):
        engine_on(files)
    disk = SimDisk(random.Random(0), files)
    told = repair(disk)
    lost = {key.key for one in told.lost for key in one.keys}
    assert lost == {b"both", *(b"k%d" % row for row in range(8))}
    assert contents(engine_on(disk)) == {("other", b"after"): b""}


@pytest.mark.parametrize("wrong", [b"", b"{}\n", None])
def test_lost_manifest_is_made_anew(wrong: bytes | None) -> None:
    files, states = recorded(5, 60)
    if wrong is None:
        del files[MANIFEST]
    else:
        files[MANIFEST] = wrong
    assert starts({**files, **({MANIFEST: b""} if wrong is None else {})})[0] == states[-1]


def test_leftovers_of_a_compaction_do_not_come_back_without_a_manifest() -> None:
    """A segment that was replaced and whose removal was lost holds puts whose deletes are gone."""
    engine = engine_on()
    put(engine, *(Batch().put("jobs", b"%d" % number, bytes(100)) for number in range(20)))
    put(engine, *(Batch().delete("jobs", b"%d" % number) for number in range(19)))
    seal(engine)
    before = files_of(engine)
    work_off(engine)
    files = {**before, **files_of(engine), MANIFEST: b""}
    assert len(files) > len(files_of(engine))
    assert starts(files)[0] == contents(engine)


def test_newer_format_is_refused() -> None:
    files, _ = recorded(1, 3)
    newer = msgspec.structs.replace(decode_manifest(files[MANIFEST]), format=2)
    with pytest.raises(NewerFormat, match="format 2 found, up to 1 known"):
        engine_on({**files, MANIFEST: encode_manifest(newer)})
    from flintfield.store import format as layout

    right, layout.VERSION = layout.VERSION, 9
    try:
        head = encode_segment_head(layout.LOG, 1, 7)
    finally:
        layout.VERSION = right
    with pytest.raises(NewerFormat):
        decode_segment_head("00000001.seg", head + bytes(FRAME_HEAD))


# --- a real process, killed


def kill_once(folder: Path, seed: int, after_s: float, told: dict[int, int]) -> None:
    """Run a writer, kill it, and take in what it told."""
    path = Path(__file__).parent / "support" / "store_writer.py"
    given = [sys.executable, str(path), str(folder), str(seed)]
    with subprocess.Popen(given, stdout=subprocess.PIPE) as process:
        assert process.stdout and process.stdout.readline() == b"open\n"
        time.sleep(after_s)
        os.kill(process.pid, signal.SIGKILL)
        for line in process.stdout:
            if line.endswith(b"\n"):
                writer, turn = map(int, line.split())
                told[writer] = max(told.get(writer, -1), turn)


def check_after_kill(folder: Path, seed: int, told: dict[int, int]) -> None:
    """Nothing acknowledged is lost, no batch is there in part, and at most one of each writer is there
    untold."""
    store = open_store(folder, SMALL)
    for writer in range(WRITERS):
        found = store.get("load", b"%d turn" % writer)
        turn = int(found) if found else -1
        assert told.get(writer, -1) <= turn <= told.get(writer, -1) + 1
        expected: dict[bytes, bytes] = {}
        for past in range(turn + 1):
            for key, value in change(seed, writer, past).items():
                if value is None:
                    expected.pop(key, None)
                else:
                    expected[key] = value
        assert dict(store.scan("load", prefix=b"%d " % writer)) == expected
        told[writer] = turn
    assert not store.stats().damage
    store.close()


@pytest.mark.parametrize("kills", [5, pytest.param(200, marks=pytest.mark.slow)])  # 200: about 3 minutes
def test_killed_process_loses_nothing_acknowledged(kills: int, tmp_path: Path) -> None:
    chance = random.Random(kills)
    for part in range(0, kills, 20):  # a store for every 20 kills, for the check goes through all its turns
        told: dict[int, int] = {}
        folder = tmp_path / str(part)
        for _ in range(min(20, kills - part)):
            kill_once(folder, part, chance.uniform(0.0, 0.4), told)
            check_after_kill(folder, part, told)


# --- the command line


def run(capsys: pytest.CaptureFixture[str], *given: object) -> tuple[int, str]:
    """Exit code and output of a command."""
    code = run_command(["store", *map(str, given)])
    told = capsys.readouterr()
    return code, told.out + told.err


def test_commands_on_a_live_store(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    store = open_store(tmp_path)
    for number in range(30):
        batch = Batch().put("jobs", b"%d" % number, b"value")
        store.write(batch.put("raw", b"\xff", b"\xfe", ttl_ms=60_000), ALWAYS)
    code, output = run(capsys, "dump", tmp_path, "--space", "jobs")
    assert code == 0
    assert json.loads(output.splitlines()[0]) == {"space": "jobs", "key": "0", "value": "value", "seq": 1}
    assert run(capsys, "verify", tmp_path)[0] == 0
    code, output = run(capsys, "stat", tmp_path, "--json")
    assert code == 0 and json.loads(output)["entries"] == {"jobs": 30, "raw": 1}
    code, output = run(capsys, "compact", tmp_path)
    assert code == 2 and output.startswith("flintfield: store: Locked: ")
    store.close()
    assert run(capsys, "compact", tmp_path)[0] == 0
    assert run(capsys, "repair", tmp_path) == (0, "note: the store is whole: nothing was changed\n"
                                          "1 segments kept, 0 rewritten with 0 frames\n")


def test_commands_tell_damage(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    store = open_store(tmp_path)
    store.write(Batch().put("jobs", b"a", b"1"), ALWAYS)
    store.close()
    path = tmp_path / "00000001.seg"
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(bytes(data))
    (tmp_path / "00000001.hint").unlink()
    code, output = run(capsys, "verify", tmp_path)
    assert code == 1 and "damage: 00000001.seg: offset 28: a frame's body fails its checksum" in output
    assert run(capsys, "dump", tmp_path)[0] == 2
    code, output = run(capsys, "repair", tmp_path)
    assert code == 1 and "lost: 00000001.seg: bytes 28 to " in output
    assert run(capsys, "verify", tmp_path)[0] == 0


def test_command_on_a_folder_without_a_store(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "letter").write_text("")
    for name in ("verify", "dump", "stat", "compact", "repair"):
        code, output = run(capsys, name, tmp_path)
        assert code == 2 and "NotAStore" in output
    assert sorted(path.name for path in tmp_path.iterdir()) in (["letter"], ["LOCK", "letter"])
