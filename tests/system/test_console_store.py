"""`store show` and `store repair` on disks that are whole, torn, damaged, empty."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester
from hypothesis import given, settings
from hypothesis import strategies as st

from flintfield.console.application import build
from flintfield.console.disk.chain import Damage, inspect
from flintfield.console.disk.repair import Refused, carry_out, plan_cut
from flintfield.coordination.storage import open_store
from flintfield.coordination.storage.format import FRAME_HEADER_BYTES, SEGMENT_HEADER_BYTES
from flintfield.coordination.storage.opening import draw_life

from .test_observe_process import replica_items

LIMIT_BYTES = 1 << 20
FILE = "ring-0000"


async def write(directory: str, batches: list[dict[bytes, bytes]], limit_bytes: int = LIMIT_BYTES) -> None:
    """Write each batch as a frame of its own."""
    store = open_store(directory, limit_bytes, draw=draw_life)
    await store.durable(0)
    for batch in batches:
        await store.durable(store.apply(list(batch.items())))
    await store.close()


class Disk(unittest.TestCase):
    """A folder with a replica's store."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.directory = folder.name

    def fill(self, more: int = 3) -> None:
        """A replica's records, then so many frames of one record."""
        batches = [replica_items(), *({b"s/j%d" % number: b"x" * 40} for number in range(more))]
        asyncio.run(write(self.directory, batches))

    def change(self, offset: int, data: bytes) -> None:
        """Damage the file."""
        with (Path(self.directory) / FILE).open("r+b") as file:
            file.seek(offset)
            file.write(data)

    def end(self) -> int:
        """Where the valid frames end."""
        return inspect(self.directory).segments[-1].end

    def run_command(self, name: str, options: str = "") -> CommandTester:
        """Run a command on the folder."""
        tester = CommandTester(build().find(name))
        tester.execute(f"{self.directory} {options}")
        return tester


class Whole(Disk):
    """Nothing is damaged."""

    def test_what_is_on_the_disk_is_what_a_process_starts_with(self) -> None:
        self.fill()
        found = inspect(self.directory)
        self.assertEqual(found.damage, Damage.NONE)
        assert found.items is not None
        self.assertEqual(len(found.items), len(replica_items()) + 3)
        self.assertEqual(found.segments[-1].frames, 5)  # the snapshot of the open, and four batches

    def test_a_log_of_many_files_is_whole(self) -> None:
        batches = [{b"s/j%d" % (number % 7): bytes(200)} for number in range(120)]
        asyncio.run(write(self.directory, [replica_items(), *batches], 64 << 10))
        found = inspect(self.directory)
        self.assertGreater(found.files, 2)
        self.assertEqual((found.damage, found.following), (Damage.NONE, ()))

    def test_reading_changes_nothing(self) -> None:
        self.fill()
        before = (Path(self.directory) / FILE).read_bytes()
        self.run_command("store show")
        self.assertEqual((Path(self.directory) / FILE).read_bytes(), before)
        self.assertEqual([path.name for path in Path(self.directory).iterdir()], [FILE])

    def test_show_tells_the_replica(self) -> None:
        self.fill()
        tester = self.run_command("store show")
        self.assertEqual(tester.status_code, 0)
        shown = tester.io.fetch_output()
        for text in (
            "identity        11",
            "promised epoch  5 to 12",
            "items stand at  5.40",
            "version 9",
            "5 open, 1 ended, 1 tasks",
        ):
            self.assertIn(text, shown)

    def test_show_tells_programs_the_same(self) -> None:
        self.fill()
        fields = json.loads(self.run_command("store show", "--json").io.fetch_output())
        self.assertEqual(fields["replica"]["identity"], 11)
        self.assertEqual(fields["damage"], "none")

    def test_there_is_nothing_to_repair(self) -> None:
        self.fill()
        self.assertIsNone(plan_cut(inspect(self.directory), force=False))
        self.assertEqual(self.run_command("store repair").status_code, 0)

    def test_a_folder_without_a_store_and_one_that_is_missing(self) -> None:
        found = inspect(self.directory)
        self.assertEqual((found.items, found.damage), (None, Damage.NONE))
        tester = CommandTester(build().find("store show"))
        self.assertEqual(tester.execute(f"{self.directory}/missing"), 2)
        self.assertFalse(Path(self.directory, "missing").exists())


class TornTail(Disk):
    """The newest frame is not whole."""

    def tear(self) -> None:
        """Damage the last frame's payload."""
        self.fill()
        self.change(self.end() - 10, b"\xff" * 10)

    def test_it_is_told_and_cut(self) -> None:
        self.tear()
        found = inspect(self.directory)
        self.assertEqual(found.damage, Damage.TORN_TAIL)
        self.assertEqual(self.run_command("store show").status_code, 1)
        items = found.items
        tester = self.run_command("store repair")
        self.assertEqual(tester.status_code, 0)
        after = inspect(self.directory)
        self.assertEqual((after.damage, after.items), (Damage.NONE, items))

    def test_what_is_cut_is_kept_beside(self) -> None:
        self.tear()
        before = (Path(self.directory) / FILE).read_bytes()
        cut = plan_cut(inspect(self.directory), force=False)
        assert cut is not None
        carry_out(self.directory, cut)
        kept = (Path(self.directory) / cut.copy).read_bytes()
        self.assertEqual(kept, before[cut.offset : cut.offset + cut.length])
        with self.assertRaises(FileExistsError):  # an earlier copy is never overwritten
            carry_out(self.directory, cut)

    def test_a_dry_run_changes_nothing(self) -> None:
        self.tear()
        self.assertEqual(self.run_command("store repair", "--dry-run").status_code, 0)
        self.assertEqual(inspect(self.directory).damage, Damage.TORN_TAIL)

    def test_a_process_starts_on_the_repaired_disk(self) -> None:
        self.tear()
        expected = inspect(self.directory).items
        self.run_command("store repair")

        async def reopen() -> dict[bytes, bytes]:
            store = open_store(self.directory, LIMIT_BYTES)
            items = dict(store.items)
            await store.close()
            return items

        self.assertEqual(asyncio.run(reopen()), expected)


class LostRecords(Disk):
    """Damage before the last frame: what was durable is lost."""

    def lose(self) -> None:
        """Damage the frame before the last one."""
        self.fill()
        last_bytes = FRAME_HEADER_BYTES + 6 + len(b"s/j0") + 40
        self.change(self.end() - last_bytes - 10, b"\xff" * 5)

    def test_repair_is_refused_without_force(self) -> None:
        self.lose()
        found = inspect(self.directory)
        self.assertEqual(found.damage, Damage.LOST_RECORDS)
        with self.assertRaises(Refused):
            plan_cut(found, force=False)
        tester = self.run_command("store repair")
        self.assertEqual(tester.status_code, 1)
        self.assertEqual(inspect(self.directory).damage, Damage.LOST_RECORDS)

    def test_force_cuts(self) -> None:
        self.lose()
        expected = inspect(self.directory).items
        self.assertEqual(self.run_command("store repair", "--force").status_code, 0)
        after = inspect(self.directory)
        self.assertEqual((after.damage, after.items), (Damage.NONE, expected))

    def test_a_frame_whose_own_mark_is_damaged_is_found_by_those_behind_it(self) -> None:
        self.fill()
        self.change(SEGMENT_HEADER_BYTES + 1, b"\xff\xff\xff")
        self.assertEqual(inspect(self.directory).damage, Damage.NO_CHAIN)  # it ended the snapshot
        with self.assertRaises(Refused):
            plan_cut(inspect(self.directory), force=True)


class AnyDamage(Disk):
    """One changed byte anywhere in the log."""

    @settings(max_examples=60, deadline=None, database=None, derandomize=True)
    @given(st.data())
    def test_it_is_noticed_and_what_is_left_is_what_was_written_before_it(self, data: st.DataObject) -> None:
        with tempfile.TemporaryDirectory() as directory:
            self.directory = directory
            self.fill(6)
            whole = inspect(directory)
            offset = data.draw(st.integers(SEGMENT_HEADER_BYTES, whole.segments[0].end - 1))
            byte = (Path(directory) / FILE).read_bytes()[offset]
            self.change(offset, bytes([byte ^ data.draw(st.integers(1, 255))]))
            found = inspect(directory)
            self.assertNotEqual(found.damage, Damage.NONE)
            if found.items is not None:
                assert whole.items is not None
                self.assertLessEqual(found.items.items(), whole.items.items())
                self.assertLess(len(found.items), len(whole.items))


if __name__ == "__main__":
    unittest.main()
