"""Recovery: what a store's files hold, and what must be done before it may be written. Reads, and changes
nothing.

So the command line reads a live store with the same code that opens a dead one.

- A sealed segment is durable whole. It must have the length and end that the manifest tells; its hint
  stands for its entries, and where there is none the segment is read, and any byte that is wrong is damage.
- The active segment is read from where its hint ends. The first frame that is not whole ends it: a torn
  tail if the bytes were never known to be durable, damage otherwise (`synced` of the manifest, and of any
  whole frame behind).
- What lies beyond the last mark of `synced` may be in the page cache alone: after a sync that failed, Linux
  reads it back but never writes it. `Recovered.synced` tells where it begins, for the engine writes it
  anew.
- A file that the manifest does not name is a leftover of something unfinished.
"""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import NamedTuple

import msgspec

from flintfield.store.commit import count
from flintfield.store.errors import Damaged, NotAStore
from flintfield.store.format import (BATCH, FRAME_HEAD, LOG, MOVED, SEGMENT_HEAD, Entry, Frame, Scan,
                                     SegmentHead, decode_segment_head, entries, highest_synced, last_crc,
                                     salt_of)
from flintfield.store.fs import File, Folder, read_at
from flintfield.store.hints import HintFile, Roster, Torn
from flintfield.store.index import Loader
from flintfield.store.manifest import (HINT_END, MANIFEST, NEXT_MANIFEST, SEGMENT_END, Manifest, Sealed,
                                       decode_manifest, hint_name, segment_name)

HOLDING = (BATCH, MOVED)  # kinds of frames that hold entries


class Recovered(NamedTuple):
    """What was found. `active` is the active segment up to its last whole frame, `torn` the bytes behind
    that."""

    manifest: Manifest
    active: Sealed
    roster: Roster
    synced: int
    torn: int
    time: int
    seq: int
    leftovers: list[str]
    without_hint: list[int]
    loader: Loader


def read_manifest(folder: Folder) -> Manifest | None:
    """The manifest; None in a folder where no store was ever finished. Raises `Damaged`, `NewerFormat`,
    `NotAStore`."""
    names = folder.names()
    if MANIFEST in names:
        return decode_manifest(read_whole(folder.open(MANIFEST)))
    segments = [name for name in names if name.endswith(SEGMENT_END)]
    begun = segments == [segment_name(1)] and folder.open(segments[0]).size() <= SEGMENT_HEAD
    if segments and not begun:
        raise Damaged(MANIFEST, 0, "the manifest is missing where segments are")
    if any(not name.endswith((SEGMENT_END, HINT_END, "LOCK", NEXT_MANIFEST)) for name in names):
        raise NotAStore("the folder holds other files and no store")
    return None


def read_whole(file: File) -> bytes:
    """All of a file."""
    return read_at(file, file.size(), 0)


def open_segment(folder: Folder, segment: int, store: int) -> tuple[File, SegmentHead]:
    """A segment's file and head. Raises `Damaged`, `NewerFormat`."""
    name = segment_name(segment)
    try:
        file = folder.open(name)
    except FileNotFoundError as error:
        raise Damaged(name, 0, "the manifest names this segment and it is missing") from error
    head = decode_segment_head(name, read_at(file, SEGMENT_HEAD, 0))
    if (head.segment, head.store) != (segment, store):
        raise Damaged(name, 0, f"segment {head.segment} of store {head.store:016x} found, "
                               f"{segment} of {store:016x} expected")
    return file, head


def recover(folder: Folder, manifest: Manifest) -> Recovered:
    """Read a store. Raises `Damaged`, `NewerFormat`."""
    loader = Loader()
    without_hint = [sealed.segment for sealed in manifest.sealed
                    if not _load_sealed(folder, manifest, sealed, loader)]
    found = _load_active(folder, manifest, loader)
    seq = max([manifest.seq, found.tally.most_seq, *(sealed.most_seq for sealed in manifest.sealed)])
    time = max(manifest.time, found.time)
    return Recovered(manifest, found.tally, found.roster, found.synced, found.torn, time, seq,
                     _leftovers(folder, manifest), without_hint, loader)


def _leftovers(folder: Folder, manifest: Manifest) -> list[str]:
    kept = {*manifest.aside, segment_name(manifest.active), hint_name(manifest.active)}
    for sealed in manifest.sealed:
        kept |= {segment_name(sealed.segment), hint_name(sealed.segment)}
    return [name for name in folder.names()
            if name not in kept and name.endswith((SEGMENT_END, HINT_END, NEXT_MANIFEST))]


def read_hint(folder: Folder, segment: int) -> HintFile | None:
    """A segment's hint, if there is one whose head is whole."""
    try:
        hint = HintFile(read_whole(folder.open(hint_name(segment))))
    except (FileNotFoundError, Torn):
        return None
    return hint if hint.head.of.segment == segment else None


def hint_of(folder: Folder, sealed: Sealed) -> HintFile | None:
    """The hint that stands for all of a sealed segment."""
    hint = read_hint(folder, sealed.segment)
    return hint if hint is not None and hint.head.of == sealed else None


def ends_in(file: File, last: int, sealed: Sealed, salt: int) -> bool:
    """Whether the segment's last frame is the one that its figures tell of."""
    if sealed.length == SEGMENT_HEAD:
        return True
    return last_crc(read_at(file, FRAME_HEAD, last), salt) == sealed.chain


def _load_sealed(folder: Folder, manifest: Manifest, sealed: Sealed, loader: Loader) -> bool:
    """Take a sealed segment in; whether its hint was there."""
    name = segment_name(sealed.segment)
    file, head = open_segment(folder, sealed.segment, manifest.store)
    check_length(name, file, sealed)
    hint = hint_of(folder, sealed)
    salt = salt_of(manifest.store, sealed.segment)
    if hint is not None and ends_in(file, hint.head.last, sealed, salt):
        with suppress(Torn):
            for block in hint.blocks():
                loader.add_block(block, sealed.segment)
            return True
    scan = Scan(partial(read_at, file), sealed.length, SEGMENT_HEAD, head.crc, salt)
    for frame in scan:
        if frame.kind in HOLDING:
            loader.add(entries(frame), sealed.segment)
    check_end(name, scan, sealed)
    return False


def check_length(name: str, file: File, sealed: Sealed) -> None:
    """Raises `Damaged` if a sealed segment is not as long as it was."""
    size = file.size()
    if size != sealed.length:
        raise Damaged(name, min(size, sealed.length), f"{size} bytes found, {sealed.length} expected")


def check_end(name: str, scan: Scan, sealed: Sealed) -> None:
    """Raises `Damaged` if a scan of a sealed segment did not reach its end."""
    if scan.stop.why or scan.stop.offset != sealed.length or scan.chain != sealed.chain:
        why = scan.stop.why or "the segment does not end as the manifest tells"
        raise Damaged(name, scan.stop.offset, why)


class _Active(NamedTuple):
    """The active segment as found."""

    tally: Sealed
    roster: Roster
    synced: int
    torn: int
    time: int


def _load_active(folder: Folder, manifest: Manifest, loader: Loader) -> _Active:
    name, salt = segment_name(manifest.active), salt_of(manifest.store, manifest.active)
    file, head = open_segment(folder, manifest.active, manifest.store)
    size = file.size()
    roster = Roster()
    tally = Sealed(manifest.active, LOG, SEGMENT_HEAD, head.crc, 0, 0)
    hint = read_hint(folder, manifest.active)
    if hint is not None and hint.head.of.length <= size and ends_in(file, hint.head.last, hint.head.of, salt):
        with suppress(Torn):
            blocks = list(hint.blocks())
            tally, roster.last = hint.head.of, hint.head.last
            for block in blocks:
                loader.add_block(block, manifest.active)
                roster.add_block(block)
    scan = Scan(partial(read_at, file), size, tally.length, tally.chain, salt)
    synced, time = max(SEGMENT_HEAD, manifest.synced), 0
    for frame in scan:
        some = list(entries(frame)) if frame.kind in HOLDING else []
        loader.add(some, manifest.active)
        roster.add(some)
        roster.last = frame.start
        tally = grow(tally, frame, some)
        synced, time = max(synced, frame.synced), max(time, frame.time)
    stop = scan.stop
    rest = read_at(file, size - stop.offset, stop.offset)
    # Zeros were written ahead of the log; a torn tail is what is there instead.
    torn = len(rest.rstrip(b"\0"))
    if stop.offset < synced or (torn and highest_synced(rest, salt, 0) > stop.offset):
        raise Damaged(name, stop.offset, stop.why or f"the file ends; {synced} bytes of it were durable")
    return _Active(tally, roster, synced, torn, time)


def grow(tally: Sealed, frame: Frame, some: list[Entry]) -> Sealed:
    """A segment's figures with one frame more."""
    if some:
        tally = count(tally, some)
    seq = max(tally.most_seq, frame.seq)
    return msgspec.structs.replace(tally, length=frame.end, chain=frame.crc, most_seq=seq)
