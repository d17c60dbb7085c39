"""Faults to plant in the store, one at a time: each takes one guard away, and the crash explorer must notice.

A fault replaces one function of the package while a test runs; the package itself knows nothing of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import pytest

from flintfield.store import catalog, clock, commit, compaction, engine, format, index, simdisk
from flintfield.store.batch import Done, Pending
from flintfield.store.commit import Cut, CutBack, Sync, Synced
from flintfield.store.format import Operation
from flintfield.store.fs import write_at
from flintfield.store.garbage import Verdict, judge
from flintfield.store.hints import Roster
from flintfield.store.manifest import encode_manifest
from flintfield.store.recover import recover

Plant = Callable[[pytest.MonkeyPatch], None]


def _nothing(*_: Any) -> None:
    return None


def folder_not_synced(patch: pytest.MonkeyPatch) -> None:
    """Names may be lost at a power cut."""
    patch.setattr(simdisk.SimDisk, "sync", _nothing)


def acknowledged_before_sync(patch: pytest.MonkeyPatch) -> None:
    """A batch is promised before it is on disk."""
    right = engine.Engine._file_work
    patch.setattr(engine.Engine, "_file_work",
                  lambda self, effect: Synced() if isinstance(effect, Sync) else right(self, effect))


def checksum_not_checked(patch: pytest.MonkeyPatch) -> None:
    """Any bytes pass for a frame."""
    patch.setattr(format, "is_whole", lambda data, crc, salt: True)


def chain_not_checked(patch: pytest.MonkeyPatch) -> None:
    """Frames that a refused write left behind pass for the next: the second guard, with the first away
    too."""
    patch.setattr(format.Scan, "_follows", lambda self, chain: True)
    cut_not_synced(patch)


def cut_not_synced(patch: pytest.MonkeyPatch) -> None:
    """A refused batch comes back after a power cut."""
    right = engine.Engine._file_work

    def wrong(self: engine.Engine, effect: Any) -> Any:
        if isinstance(effect, Cut):
            self.catalog.files[self.log.tally.segment].truncate(effect.offset)
            return CutBack()
        return right(self, effect)

    patch.setattr(engine.Engine, "_file_work", wrong)


def compaction_moves_over_newer(patch: pytest.MonkeyPatch) -> None:
    """The index is pointed at a moved entry although a newer one came meanwhile."""
    def wrong(self: index.Index, name: bytes, key: bytes, old: int, new: int) -> None:
        space = self.spaces[name]
        if key in space.live:
            space.live[key] = new

    patch.setattr(index.Index, "move", wrong)


def compaction_drops_deletes(patch: pytest.MonkeyPatch) -> None:
    """A delete goes although an older put is still there."""
    def wrong(self: compaction.Compaction, buried: dict[Any, Any], inputs: Any) -> Any:
        buried.clear()
        return iter(())

    patch.setattr(compaction.Compaction, "_exhume", wrong)


def compaction_drops_expired(patch: pytest.MonkeyPatch) -> None:
    """A put whose time is over goes without a delete in its place, and the one before it comes back."""
    right = judge

    def wrong(entry: Any, here: int, newest: int | None, now: int) -> Verdict:
        over = 0 < entry.expires <= now
        return Verdict.DROP if over else right(entry, here, newest, now)

    patch.setattr(compaction, "judge", wrong)


def compaction_trusts_the_cache(patch: pytest.MonkeyPatch) -> None:
    """Old versions go before the newer ones are on disk."""
    blind = property(lambda self: lambda: (0, 0), _nothing)
    patch.setattr(compaction.Compaction, "_sync_log", blind, raising=False)


def compaction_keeps_nothing_newer(patch: pytest.MonkeyPatch) -> None:
    """An entry that was overwritten is kept, the one that stands for its key is dropped."""
    right = judge

    def wrong(entry: Any, here: int, newest: int | None, now: int) -> Verdict:
        found = right(entry, here, newest, now)
        if found is Verdict.KEEP and entry.seq % 5 == 0:
            return Verdict.DROP
        return found

    patch.setattr(compaction, "judge", wrong)


def removed_before_the_manifest(patch: pytest.MonkeyPatch) -> None:
    """The old segments go before the manifest names the new one."""
    right = compaction.Compaction._switch

    def wrong(self: compaction.Compaction, output: Any, inputs: Any) -> None:
        for sealed in inputs:
            self._catalog.forget(sealed.segment)
        right(self, output, inputs)

    patch.setattr(compaction.Compaction, "_switch", wrong)


def manifest_not_synced(patch: pytest.MonkeyPatch) -> None:
    """The manifest gets its name before its bytes are on disk."""
    def wrong(folder: Any, manifest: Any) -> None:
        write_at(folder.create("MANIFEST.new"), encode_manifest(manifest), 0)
        folder.rename("MANIFEST.new", "MANIFEST")
        folder.sync()

    patch.setattr(catalog, "write_manifest", wrong)


def moved_not_synced(patch: pytest.MonkeyPatch) -> None:
    """The manifest names a compacted segment whose bytes are not on disk."""
    def wrong(self: Any) -> None:
        self.flush()
        self._frame(format.END, b"")

    patch.setattr(compaction._Output, "finish", wrong)


def sealed_without_sync(patch: pytest.MonkeyPatch) -> None:
    """The next segment begins before the last one is on disk."""
    def wrong(self: engine.Engine, effect: Any) -> Any:
        new = self.catalog.roll(effect.sealed, self.reading.clock.now())
        self.hints.sealed(effect.sealed.segment, self._roster)
        self._roster = Roster()
        return commit.Rolled(new.segment, new.chain)

    patch.setattr(engine.Engine, "_roll", wrong)


def tail_not_written_anew(patch: pytest.MonkeyPatch) -> None:
    """After a failed sync the page cache is believed."""
    def wrong(file: Any, found: Any) -> int:
        if found.torn:
            file.truncate(found.active.length)
            file.sync()
        return 0

    patch.setattr(engine, "_make_sure", wrong)


def goes_on_after_a_failed_sync(patch: pytest.MonkeyPatch) -> None:
    """The sync is tried again and its success believed."""
    right = engine.Engine._carry_out

    def wrong(self: engine.Engine, effect: Any, deliver: Any) -> Any:
        reply = right(self, effect, deliver)
        return right(self, effect, deliver) if isinstance(reply, commit.Broke) and not reply.full else reply

    patch.setattr(engine.Engine, "_carry_out", wrong)


def old_versions_not_kept(patch: pytest.MonkeyPatch) -> None:
    """A snapshot sees what came after it."""
    patch.setattr(index.Index, "_retire", lambda self, space, key, old, seq: self._unuse(old))


def time_starts_anew(patch: pytest.MonkeyPatch) -> None:
    """After a restart the store believes wall time, and what had expired is back."""
    right = clock.StoreClock.__init__
    patch.setattr(clock.StoreClock, "__init__", lambda self, source, start: right(self, source, 0))


def numbers_start_anew(patch: pytest.MonkeyPatch) -> None:
    """After a restart sequence numbers are used twice."""
    right = recover
    patch.setattr(engine, "recover", lambda folder, manifest: right(folder, manifest)._replace(seq=0))


def batch_in_two_frames(patch: pytest.MonkeyPatch) -> None:
    """A batch is written as one frame for each change."""
    right = commit.Commit.step

    def wrong(self: commit.Commit, message: Any, now: Any) -> Any:
        if isinstance(message, commit.Offered):
            message = commit.Offered([replace(batch, operations=[operation], done=done)
                                      for batch in message.batches for operation, done in _single(batch)])
        return right(self, message, now)

    patch.setattr(commit.Commit, "step", wrong)


def _single(batch: Pending) -> Iterator[tuple[Operation, Done]]:
    """The changes of a batch; its caller hears of the last."""
    yield from ((operation, _nothing) for operation in batch.operations[:-1])
    yield batch.operations[-1], batch.done


FAULTS: tuple[Plant, ...] = (
    folder_not_synced, acknowledged_before_sync, checksum_not_checked, cut_not_synced, chain_not_checked,
    compaction_moves_over_newer, compaction_drops_deletes, compaction_drops_expired,
    compaction_trusts_the_cache, compaction_keeps_nothing_newer, removed_before_the_manifest,
    manifest_not_synced, moved_not_synced, sealed_without_sync, tail_not_written_anew,
    goes_on_after_a_failed_sync, old_versions_not_kept, time_starts_anew, numbers_start_anew,
    batch_in_two_frames)
