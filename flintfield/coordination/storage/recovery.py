"""Recovery: replays the newest chain of segments that starts with a complete snapshot.

A replay starts at a segment whose header marks the start of a snapshot, and continues through the segments
that follow it in the chain. Its result is valid only if it reaches the frame that ends the snapshot;
otherwise the snapshot never became durable, and the previous one is used. A chain with a higher sequence
number contains every change acknowledged on chains with lower ones, because no change is acknowledged on a
chain until its snapshot is durable, and no file of the older chain is overwritten until then.
"""

from __future__ import annotations

import os
import re
from dataclasses import dataclass

from flintfield.coordination.storage.disk import Disk
from flintfield.coordination.storage.format import (
    SEGMENT_HEADER_BYTES,
    FrameFlag,
    SegmentFlag,
    SegmentHeader,
    decode_frames,
    decode_segment,
)

NAME = re.compile(r"ring-(\d{4})")


@dataclass(frozen=True, slots=True)
class FoundFile:
    """A file of the ring; `header` is None if the file contains no valid segment header."""

    number: int
    size: int
    header: SegmentHeader | None
    chain: int

    @property
    def sequence(self) -> int:
        """The sequence number of the segment, or 0 without a header."""
        return self.header.sequence if self.header is not None else 0


@dataclass(frozen=True, slots=True)
class Recovered:
    """Recovered content. `items` is None if no chain is complete; `in_use`: the file numbers of the chain."""

    items: dict[bytes, bytes] | None
    in_use: frozenset[int]
    files: list[FoundFile]
    last_sequence: int


def file_name(number: int) -> str:
    """Return the name of a file of the ring."""
    return f"ring-{number:04d}"


def recover(disk: Disk, directory: str) -> Recovered:
    """Read the ring in `directory`. Raises `OSError` if it can't be read; its content is then unknown."""
    files = [_read_header(disk, directory, number) for number in _file_numbers(disk, directory)]
    segments = [file for file in files if file.header is not None]
    last_sequence = max((file.sequence for file in segments), default=0)
    starts = [file for file in segments if file.header and file.header.flags & SegmentFlag.SNAPSHOT_STARTS]
    starts.sort(key=lambda file: file.sequence, reverse=True)
    for start in starts:
        replayed = _replay(disk, directory, start, segments)
        if replayed is not None:
            items, in_use = replayed
            return Recovered(items, frozenset(in_use), files, last_sequence)
    return Recovered(None, frozenset(), files, last_sequence)


def _file_numbers(disk: Disk, directory: str) -> list[int]:
    matches = (NAME.fullmatch(name) for name in disk.names(directory))
    return sorted(int(match.group(1)) for match in matches if match)


def _read_header(disk: Disk, directory: str, number: int) -> FoundFile:
    file = disk.open(os.path.join(directory, file_name(number)))
    try:
        decoded = decode_segment(file.read(0, SEGMENT_HEADER_BYTES))
        size = file.size()
    finally:
        file.close()
    if decoded is None:
        return FoundFile(number, size, None, 0)
    return FoundFile(number, size, *decoded)


def _read_file(disk: Disk, directory: str, found: FoundFile) -> bytes:
    file = disk.open(os.path.join(directory, file_name(found.number)))
    try:
        return file.read(0, found.size)
    finally:
        file.close()


def _replay(
    disk: Disk, directory: str, start: FoundFile, segments: list[FoundFile]
) -> tuple[dict[bytes, bytes], list[int]] | None:
    """Return the content and file numbers of the chain at `start`; None if its snapshot is incomplete."""
    items: dict[bytes, bytes] = {}
    complete = False
    in_use = []
    segment: FoundFile | None = start
    while segment is not None and segment.header is not None:
        in_use.append(segment.number)
        chain = segment.chain
        for frame in decode_frames(_read_file(disk, directory, segment), segment.header.life, chain):
            for key, value in frame.entries:
                if value is None:
                    items.pop(key, None)
                else:
                    items[key] = value
            complete = complete or bool(frame.flags & FrameFlag.SNAPSHOT_ENDS)
            chain = frame.chain
        segment = _successor(segment.header, chain, segments)
    return (items, in_use) if complete else None


def _successor(header: SegmentHeader, chain: int, segments: list[FoundFile]) -> FoundFile | None:
    for file in segments:
        candidate = file.header
        if (
            candidate is not None
            and candidate.sequence == header.sequence + 1
            and candidate.previous_life == header.life
            and candidate.previous_chain == chain
        ):
            return file
    return None
