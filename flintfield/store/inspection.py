"""Looking at a store without opening it for writing: verify, stat, dump. A live one as well as a dead one.

A live store changes while it is read. What is read is judged by the manifest that was read first; if
another manifest has come meanwhile, or a file that it names has gone, the look begins anew.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple, TypeVar

import msgspec

from flintfield.store.errors import Damaged, NotAStore, StoreError
from flintfield.store.format import DELETE, SEGMENT_HEAD, Scan, decode_entry, entries, salt_of
from flintfield.store.fs import Folder, read_at
from flintfield.store.hints import Torn
from flintfield.store.index import Index, unpack
from flintfield.store.manifest import (HINT_END, MANIFEST, SEGMENT_END, Manifest, Sealed, hint_name,
                                       segment_name)
from flintfield.store.recover import (HOLDING, check_end, check_length, open_segment, hint_of, read_manifest,
                                      recover)

TRIES = 10  # looks at a live store that changes under them
Value = TypeVar("Value")


class Changed(StoreError):
    """The store changed too often while it was read."""


@dataclass
class Verified:
    """What `verify` saw. `damage` is empty if all is well; `notes` tells of what mends itself."""

    segments: int = 0
    frames: int = 0
    entries: int = 0
    bytes: int = 0
    damage: list[Damaged] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


class Row(NamedTuple):
    """A live entry."""

    space: str
    key: bytes
    value: bytes
    seq: int
    expires: int


def _steady(folder: Folder, look: Callable[[Manifest], Value]) -> Value:
    """What `look` finds, with one manifest standing from begin to end. Raises `StoreError`."""
    for _ in range(TRIES):
        manifest = read_manifest(folder)
        if manifest is None:
            raise NotAStore("no store there")
        try:
            found = look(manifest)
        except (Damaged, FileNotFoundError):
            if read_manifest(folder) == manifest:
                raise
            continue
        if read_manifest(folder) == manifest:
            return found
    raise Changed("the store changed each time while it was read: try again")


def verify(folder: Folder) -> Verified:
    """Read every byte and check it, and every hint against its segment. Raises `NewerFormat`, `NotAStore`."""
    try:
        return _steady(folder, partial(_verify, folder))
    except Damaged as error:  # of the manifest
        return Verified(damage=[error])


def _verify(folder: Folder, manifest: Manifest) -> Verified:
    found = Verified(notes=[f"{name}: set aside by repair" for name in manifest.aside])
    for sealed in manifest.sealed:
        try:
            _verify_sealed(folder, manifest, sealed, found)
        except Damaged as error:
            found.damage.append(error)
    try:
        active = recover(folder, msgspec.structs.replace(manifest, sealed=()))
    except Damaged as error:
        found.damage.append(error)
        return found
    found.segments += 1
    found.entries += active.active.puts + active.active.deletes
    found.bytes += active.active.length
    if active.torn:
        found.notes.append(f"{segment_name(manifest.active)}: offset {active.active.length}: {active.torn} "
                           "bytes behind the last whole batch: a write under way, or a crash's torn tail")
    return found


def _verify_sealed(folder: Folder, manifest: Manifest, sealed: Sealed, found: Verified) -> None:
    name = segment_name(sealed.segment)
    file, head = open_segment(folder, sealed.segment, manifest.store)
    check_length(name, file, sealed)
    salt = salt_of(manifest.store, sealed.segment)
    scan = Scan(partial(read_at, file), sealed.length, SEGMENT_HEAD, head.crc, salt)
    held: set[tuple[bytes, bytes, int, int, int]] = set()
    for frame in scan:
        found.frames += 1
        if frame.kind in HOLDING:
            for entry in entries(frame):
                found.entries += 1
                length = 0 if entry.kind == DELETE else entry.length
                held.add((entry.name, entry.key, entry.seq, entry.offset, length))
                at = entry.offset - frame.end + len(frame.body)
                if decode_entry(frame.body[at:at + entry.length]) is None:
                    raise Damaged(name, entry.offset, "an entry fails its checksum")
    check_end(name, scan, sealed)
    found.segments += 1
    found.bytes += sealed.length
    found.notes.extend(_verify_hint(folder, sealed, held))


def _verify_hint(folder: Folder, sealed: Sealed, held: set[tuple[bytes, bytes, int, int, int]]
                 ) -> Iterator[str]:
    hint = hint_of(folder, sealed)
    try:
        told = {(block.name, *row) for block in hint.blocks() for row in block.rows()} if hint else None
    except Torn:
        told = None
    if told is None:
        yield f"{hint_name(sealed.segment)}: missing, torn or old; opening reads the segment instead"
    elif told != held:
        what = "the hint does not tell what its segment holds; remove it"
        raise Damaged(hint_name(sealed.segment), 0, what)


def rows(folder: Folder, now: int, space: str | None = None) -> Iterator[Row]:
    """What is live at time `now`, in order of keyspace and key. Raises `StoreError`, `Damaged` among them."""
    index, files = _steady(folder, lambda manifest: _index(folder, manifest, now))
    for name in sorted(index.spaces):
        if space is not None and name.decode() != space:
            continue
        there = index.spaces[name]
        for key in there.order:
            place = unpack(there.live[key])
            found = decode_entry(read_at(files[place.segment], place.length, place.offset))
            if found is None:
                raise Damaged(segment_name(place.segment), place.offset, "an entry fails its checksum")
            yield Row(name.decode(), key, found[0].value, place.seq, found[0].expires)


def _index(folder: Folder, manifest: Manifest, now: int) -> tuple[Index, dict[int, Any]]:
    # Files are opened with the index: compaction may take their names away while rows are read.
    numbers = (*(sealed.segment for sealed in manifest.sealed), manifest.active)
    files = {segment: open_segment(folder, segment, manifest.store)[0] for segment in numbers}
    found = recover(folder, manifest)
    index = Index(0)
    found.loader.finish(index, max(now, found.time))
    return index, files


def row_as_json(row: Row) -> dict[str, Any]:
    """A row for eyes: bytes as text where they are text, else in base64 under `key64`, `value64`."""
    line: dict[str, Any] = {"space": row.space}
    for field_name, data in (("key", row.key), ("value", row.value)):
        try:
            line[field_name] = data.decode()
        except UnicodeDecodeError:
            line[f"{field_name}64"] = base64.b64encode(data).decode()
    line["seq"] = row.seq
    if row.expires:
        line["expires_ms"] = row.expires
    return line


def stat(folder: Folder, now: int) -> dict[str, Any]:
    """Figures of a store: entries by keyspace, segments with what is live in them, bytes. Raises
    `StoreError`."""
    return _steady(folder, lambda manifest: _stat(folder, manifest, now))


def _stat(folder: Folder, manifest: Manifest, now: int) -> dict[str, Any]:
    found = recover(folder, manifest)
    index = Index(0)
    found.loader.finish(index, max(now, found.time))
    segments = []
    for sealed in (*manifest.sealed, found.active):
        usage = index.usage.get(sealed.segment)
        segments.append({"file": segment_name(sealed.segment), "bytes": sealed.length,
                         "live_bytes": usage.bytes if usage else 0, "puts": sealed.puts,
                         "deletes": sealed.deletes, "active": sealed.segment == manifest.active})
    files = [name for name in folder.names() if name.endswith((HINT_END, SEGMENT_END, MANIFEST))]
    return {"format": manifest.format, "store": f"{manifest.store:016x}", "seq": found.seq,
            "time_ms": found.time,
            "entries": {name.decode(): len(space.live) for name, space in sorted(index.spaces.items())},
            "bytes": sum(folder.open(name).size() for name in files),
            "live_bytes": sum(usage.bytes for usage in index.usage.values()),
            "torn_bytes": found.torn, "leftovers": found.leftovers, "aside": list(manifest.aside),
            "without_hint": [segment_name(number) for number in found.without_hint], "segments": segments}


