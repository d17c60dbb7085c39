"""The ring of files as it lies on a disk, read without changing it, and where its chain is damaged.

A replay ends at the first frame that is not the valid successor of those before it. What lies there decides:
bytes of an older use of the file are the ordinary end of the log. A frame of this use that is not whole or
not as it was written is damage: at the very end of the log it may be a write that a loss of power tore, which
was never acknowledged; where frames or segments follow it, it was synced before them, and its content is
lost. Format: docs/system-storage.md.
"""

from __future__ import annotations

import enum
import os
import re
import struct
from dataclasses import dataclass

from flintfield.coordination.storage.format import (
    FRAME_HEADER_BYTES,
    SEGMENT_HEADER_BYTES,
    SegmentHeader,
    decode_frames,
    decode_segment,
)
from flintfield.coordination.storage.recovery import NAME, file_name, recover

_FRAME_HEAD = struct.Struct("<QIB")  # life, length of the payload, flags


class Damage(enum.Enum):
    """How grave the end of the chain is."""

    NONE = "nothing is damaged"
    TORN_TAIL = "torn tail"  # one frame, the last: never acknowledged, or the newest that was
    LOST_RECORDS = "lost records"  # what follows shows that the damaged frame was durable
    NO_CHAIN = "no complete chain"  # a process would take the disk for an empty one


@dataclass(frozen=True, slots=True)
class Segment:
    """A file of the chain in use: its valid frames, where they end, and what of its own lies behind."""

    name: str
    sequence: int
    frames: int
    end: int
    damaged_frames: int
    damaged_bytes: int


@dataclass(frozen=True, slots=True)
class Inspection:
    """What is on the disk. `items` is the state that a process would start with (None: it would start as on
    an empty disk); `following` names segments that continue the chain behind the damage, `newer` those of a
    newer chain that is not complete: a snapshot that a crash interrupted."""

    directory: str
    files: int
    total_bytes: int
    items: dict[bytes, bytes] | None
    segments: tuple[Segment, ...]
    following: tuple[str, ...]
    newer: tuple[str, ...]
    damage: Damage


class ReadOnlyFile:
    """A file that is read and never written."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "rb")  # noqa: SIM115 (closed by `close`, as the interface has it)

    def size(self) -> int:
        """Its length in bytes."""
        return os.fstat(self._file.fileno()).st_size

    def read(self, offset: int, length: int) -> bytes:
        """Up to that many bytes."""
        self._file.seek(offset)
        return self._file.read(length)

    def close(self) -> None:
        """Close it."""
        self._file.close()

    def write(self, offset: int, data: bytes) -> None:
        """Refused."""
        raise PermissionError("read only")

    def sync_data(self) -> None:
        """Refused."""
        raise PermissionError("read only")

    def sync_all(self) -> None:
        """Refused."""
        raise PermissionError("read only")


class ReadOnlyDisk:
    """A folder that is read and never written; see `coordination.storage.disk.Disk`."""

    def names(self, directory: str) -> list[str]:
        """The names in the folder; raises `FileNotFoundError` where there is none."""
        return os.listdir(directory)

    def open(self, path: str) -> ReadOnlyFile:
        """Open a file that exists."""
        return ReadOnlyFile(path)

    def sync_directory(self, directory: str) -> None:
        """Refused."""
        raise PermissionError("read only")


def inspect(directory: str) -> Inspection:
    """Read the disk; raises `OSError`."""
    found = recover(ReadOnlyDisk(), directory)
    headers = {file.number: file.header for file in found.files if file.header is not None}
    in_use = sorted(found.in_use, key=lambda number: headers[number].sequence)
    segments = tuple(_segment(directory, number, headers[number]) for number in in_use)
    following: tuple[str, ...] = ()
    newer: tuple[str, ...] = ()
    if in_use:
        last = headers[in_use[-1]]
        following = _following(headers, last)
        newer = tuple(
            file_name(number)
            for number, header in sorted(headers.items())
            if header.sequence > last.sequence and file_name(number) not in following
        )
    total_bytes = sum(file.size for file in found.files)
    damage = _damage(found.items is not None, len(headers), segments, following)
    return Inspection(
        directory, len(found.files), total_bytes, found.items, segments, following, newer, damage
    )


def _damage(
    complete: bool, used_files: int, segments: tuple[Segment, ...], following: tuple[str, ...]
) -> Damage:
    if not complete:
        return Damage.NO_CHAIN if used_files else Damage.NONE
    damaged = sum(segment.damaged_frames for segment in segments)
    if following or damaged > 1:
        return Damage.LOST_RECORDS
    return Damage.TORN_TAIL if damaged else Damage.NONE


def _segment(directory: str, number: int, header: SegmentHeader) -> Segment:
    data = read_file(directory, number)
    decoded = decode_segment(data)
    assert decoded is not None
    frames, end = 0, SEGMENT_HEADER_BYTES
    for _ in decode_frames(data, header.life, decoded[1]):
        frames += 1
        end += FRAME_HEADER_BYTES + _payload_length(data, end)
    damaged, damaged_end = _frames_of_this_use(data, end, header.life)
    return Segment(file_name(number), header.sequence, frames, end, damaged, damaged_end - end)


def read_file(directory: str, number: int) -> bytes:
    """The whole file of the ring."""
    with open(os.path.join(directory, file_name(number)), "rb") as file:
        return file.read()


def number_of(name: str) -> int:
    """The number in the name of a file of the ring; raises `ValueError`."""
    match = re.fullmatch(NAME, name)
    if match is None:
        raise ValueError(f"{name} is no file of the ring")
    return int(match.group(1))


def _payload_length(data: bytes, at: int) -> int:
    length: int = _FRAME_HEAD.unpack_from(data, at)[1]
    return length


def _frames_of_this_use(data: bytes, at: int, life: int) -> tuple[int, int]:
    """How many frames that were begun in this use of the file lie from there on, and where they end.

    A damaged length hides what follows, so this use's mark is looked for in all that is left. Where the first
    mark stands further on, the frame before it has lost its own, and counts too.
    """
    mark = life.to_bytes(8, "little")
    position = data.find(mark, at)
    found, end = int(position > at), at
    while position >= 0:
        found += 1
        end = min(len(data), position + FRAME_HEADER_BYTES)
        if position + FRAME_HEADER_BYTES <= len(data):
            end = min(len(data), end + _payload_length(data, position))
        position = data.find(mark, position + len(mark))
    return found, end


def _following(headers: dict[int, SegmentHeader], last: SegmentHeader) -> tuple[str, ...]:
    """Segments that continue the use of the chain's last one, though their predecessor ends otherwise."""
    names: list[str] = []
    life = last.life
    while True:
        successor = next((number for number, header in headers.items() if header.previous_life == life), None)
        if successor is None or file_name(successor) in names:
            return tuple(names)
        names.append(file_name(successor))
        life = headers[successor].life
