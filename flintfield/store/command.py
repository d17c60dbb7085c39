"""`flintfield store`: look at a store, live or dead, and mend a dead one.

Exit code 0: done, and all is well. 1: `verify` found damage, `repair` had something to list. 2: a one-line
error.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any, ParamSpec

import click
import msgspec

from flintfield.base.errors import BadInput
from flintfield.store.errors import StoreError
from flintfield.store.fs import RealFolder

Given = ParamSpec("Given")
_DIR = click.Path(exists=True, file_okay=False, path_type=Path)
FOLDER = click.argument("folder", metavar="DIR", type=_DIR)
AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")


def _told(work: Callable[Given, int]) -> Callable[Given, int]:
    """What goes wrong becomes one line."""
    @wraps(work)
    def run(*given: Given.args, **named: Given.kwargs) -> int:
        try:
            return work(*given, **named)
        except (StoreError, OSError) as error:
            raise BadInput(f"store: {type(error).__name__}: {error}") from error

    return run


def _now() -> int:
    return time.time_ns() // 1_000_000


def _print_json(value: Any) -> None:
    print(msgspec.json.encode(value).decode())


@click.group("store")
def store() -> None:
    """Look at a store and mend it. verify, dump and stat only read, also while a program has the store
    open."""


@store.command()
@FOLDER
@AS_JSON
@_told
def verify(folder: Path, as_json: bool) -> int:
    """Read every byte and check it; tell damage with file and offset."""
    from flintfield.store import inspection

    found = inspection.verify(RealFolder(folder, read_only=True))
    if as_json:
        _print_json({"segments": found.segments, "frames": found.frames, "entries": found.entries,
                     "bytes": found.bytes, "notes": found.notes,
                     "damage": [{"file": one.file, "offset": one.offset, "what": one.what}
                                for one in found.damage]})
        return 1 if found.damage else 0
    for note in found.notes:
        print(f"note: {note}")
    for one in found.damage:
        print(f"damage: {one}")
    print(f"{found.segments} segments, {found.entries} entries, {found.bytes} bytes: "
          f"{f'{len(found.damage)} damaged places' if found.damage else 'all whole'}")
    return 1 if found.damage else 0


@store.command()
@FOLDER
@click.option("--space", help="Only this keyspace.")
@_told
def dump(folder: Path, space: str | None) -> int:
    """Print live entries, one JSON object a line, in order."""
    from flintfield.store import inspection

    for row in inspection.rows(RealFolder(folder, read_only=True), _now(), space):
        _print_json(inspection.row_as_json(row))
    return 0


@store.command()
@FOLDER
@AS_JSON
@_told
def stat(folder: Path, as_json: bool) -> int:
    """Tell entries by keyspace, segments, live and dead bytes."""
    from flintfield.store import inspection

    found = inspection.stat(RealFolder(folder, read_only=True), _now())
    if as_json:
        _print_json(found)
        return 0
    for name, value in found.items():
        if name == "segments":
            for segment in value:
                print("segment " + " ".join(f"{part}={told}" for part, told in segment.items()))
        elif name == "entries":
            for space, count in value.items():
                print(f"entries {space} {count}")
        else:
            print(f"{name} {' '.join(map(str, value)) if isinstance(value, list) else value}")
    return 0


@store.command()
@FOLDER
@click.option("--share", default=0.0, show_default=True, help="Stop when no more than this share is dead.")
@_told
def compact(folder: Path, share: float) -> int:
    """Free what is dead, as far as it pays. The store must not be open elsewhere."""
    from flintfield.store.batch import Settings
    from flintfield.store.store import open_store

    _must_be_there(folder)
    opened = open_store(folder, Settings(compaction=False))
    try:
        before = opened.stats().disk
        opened.compact(share)
        after = opened.stats().disk
    finally:
        opened.close()
    print(f"{before} bytes before, {after} bytes after")
    return 0


@store.command()
@FOLDER
@_told
def repair(folder: Path) -> int:
    """Make a damaged store one that opens: keep what is whole, list what is lost. Removes nothing."""
    from flintfield.store.repair import repair as mend

    found = mend(RealFolder(folder))
    for note in found.notes:
        print(f"note: {note}")
    for lost in found.lost:
        print(f"lost: {lost.file}: bytes {lost.start} to {lost.end}: {lost.what}")
        for key in lost.keys:
            print(f"lost key: {key.space} {key.key!r} of batch {key.seq}")
    rewritten = f"{len(found.rewritten)} rewritten with {found.kept_frames} frames"
    print(f"{found.kept_segments} segments kept, {rewritten}")
    return 1 if found.lost else 0


@store.command()
@FOLDER
@click.option("--puts", default=20_000, show_default=True, help="Durable puts in each part.")
@_told
def bench(folder: Path, puts: int) -> int:
    """Measure this disk: durable puts by 1, 16 and 64 writers, and reads, in a new folder in DIR."""
    from flintfield.store.trial import trial

    for line in trial(folder, puts):
        print(line)
    return 0


def _must_be_there(folder: Path) -> None:
    from flintfield.store.errors import NotAStore
    from flintfield.store.recover import read_manifest

    if read_manifest(RealFolder(folder, read_only=True)) is None:
        raise NotAStore(f"{folder}: no store there")
