"""The catalog: the manifest, and the segments' open files. It changes names on disk, and nothing else does.

Order is what it guards: a file is whole and synced, then its name, then the manifest that names it; the
manifest is synced under another name, renamed, and the folder synced, before anything relies on it. Names
go last.
"""

from __future__ import annotations

import errno
import threading

import msgspec

from flintfield.store.errors import StoreError
from flintfield.store.format import (LOG, SEGMENT_HEAD, VERSION, decode_segment_head, encode_segment_head,
                                     salt_of)
from flintfield.store.fs import File, Folder, write_at
from flintfield.store.manifest import (MANIFEST, NEXT_MANIFEST, Manifest, Sealed, encode_manifest, hint_name,
                                       segment_name)

FULL = frozenset((errno.ENOSPC, errno.EDQUOT))


class Uncertain(StoreError):
    """It can't be known which manifest the disk holds."""


class NewSegment:
    """A segment that is being made: its file, number, salt and the `crc` of its header."""

    def __init__(self, folder: Folder, segment: int, kind: int, store: int) -> None:
        head = encode_segment_head(kind, segment, store)
        self.segment, self.kind = segment, kind
        self.salt = salt_of(store, segment)
        self.chain = decode_segment_head("", head).crc
        self.file = folder.create(segment_name(segment))
        write_at(self.file, head, 0)


class Catalog:
    """Which files are the store. Its lock orders changes of the manifest; readers of `files` need none."""

    def __init__(self, folder: Folder, manifest: Manifest, files: dict[int, File]) -> None:
        self.folder, self.manifest = folder, manifest
        self.files = files
        self.lock = threading.RLock()
        self._next = manifest.next_segment

    def create(self, kind: int) -> NewSegment:
        """Begin a segment that the manifest does not name yet. Raises OSError, then nothing is left of it."""
        with self.lock:
            segment = self._next
            self._next += 1
        try:
            return NewSegment(self.folder, segment, kind, self.manifest.store)
        except OSError:
            self.forget(segment)
            raise

    def forget(self, segment: int) -> None:
        """Remove a segment's names. Guards against nothing: what stays is removed at the next open."""
        for name in (segment_name(segment), hint_name(segment)):
            try:
                self.folder.remove(name)
            except OSError:
                continue

    def switch(self, **changes: object) -> None:
        """Replace the manifest. Raises OSError if it is as before, `Uncertain` if that can't be known."""
        with self.lock:
            manifest = msgspec.structs.replace(self.manifest, next_segment=self._next, **changes)
            write_manifest(self.folder, manifest)
            self.manifest = manifest

    def roll(self, sealed: Sealed, time: int) -> NewSegment:
        """Seal the active segment, which is synced, and begin the next. Raises as `switch` does."""
        new = self.create(LOG)
        with self.lock:
            try:
                new.file.sync()
                self.switch(active=new.segment, synced=SEGMENT_HEAD, seq=sealed.most_seq, time=time,
                            sealed=(*self.manifest.sealed, sealed))
            except OSError:
                self.forget(new.segment)
                raise
            self.files[new.segment] = new.file
        return new


def write_manifest(folder: Folder, manifest: Manifest) -> None:
    """Put a manifest in place. Raises OSError if the old one stands, `Uncertain` if that can't be known."""
    file = folder.create(NEXT_MANIFEST)
    write_at(file, encode_manifest(manifest), 0)
    file.sync()
    # Guards against a manifest that outlives a power cut beside segments whose names did not.
    folder.sync()
    try:
        folder.rename(NEXT_MANIFEST, MANIFEST)
        folder.sync()
    except OSError as error:
        raise Uncertain(f"{MANIFEST}: {error}") from error


def create_store(folder: Folder, store: int, time: int) -> Manifest:
    """An empty store in an empty folder. `store` is a random number of 63 bits."""
    first = NewSegment(folder, 1, LOG, store)
    first.file.sync()
    manifest = Manifest(VERSION, store, 2, 1, SEGMENT_HEAD, 0, time)
    write_manifest(folder, manifest)
    return manifest
