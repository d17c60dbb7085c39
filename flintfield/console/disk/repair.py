"""Cutting a damaged tail of a ring off, so that the log ends where its valid frames end.

A replica's promises are as good as its disk: cutting records that were durable lets it break promises that it
made under its identity. That is done by force alone, and an empty folder is better: the process then joins as
a new replica and is brought up to date by the others.
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from flintfield.console.disk.chain import Damage, Inspection, Segment, number_of, read_file


class Refused(Exception):
    """What was found may not be repaired so; the text says why and what to do."""


@dataclass(frozen=True, slots=True)
class Cut:
    """What a repair takes away: bytes of one file from an offset on. `copy` is where they are kept."""

    name: str
    offset: int
    length: int
    frames: int
    following: tuple[str, ...]
    copy: str


def plan_cut(found: Inspection, force: bool) -> Cut | None:
    """What a repair would cut; None where nothing is damaged. Raises `Refused`."""
    if found.damage is Damage.NONE:
        return None
    if found.damage is Damage.NO_CHAIN:
        raise Refused(
            "no complete chain is left: nothing can be kept. Empty the folder; the process then "
            "joins as a new replica"
        )
    if found.damage is Damage.LOST_RECORDS and not force:
        raise Refused(
            "records that were durable are lost: cutting them lets this replica break promises. "
            "Empty the folder, and the process joins as a new replica; or give --force"
        )
    segment = _damaged(found)
    length = segment.damaged_bytes
    copy = f"{segment.name}.cut-{segment.end}"
    return Cut(segment.name, segment.end, length, segment.damaged_frames, found.following, copy)


def _damaged(found: Inspection) -> Segment:
    """The segment where the valid chain ends."""
    return next((segment for segment in found.segments if segment.damaged_frames), found.segments[-1])


def carry_out(directory: str, cut: Cut) -> None:
    """Keep a copy of what is cut, durably, then write zeros over it; raises `OSError`."""
    data = read_file(directory, number_of(cut.name))[cut.offset : cut.offset + cut.length]
    _write(os.path.join(directory, cut.copy), 0, data, os.O_CREAT | os.O_EXCL)
    _write(os.path.join(directory, cut.name), cut.offset, bytes(len(data)), 0)
    _sync_folder(directory)


def _write(path: str, offset: int, data: bytes, flags: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CLOEXEC | flags, 0o644)
    try:
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            offset += written
            view = view[written:]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _sync_folder(directory: str) -> None:
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
