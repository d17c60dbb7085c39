"""Rotating files: each begins with a header, the oldest go. A thread writes them, for a disk may stall."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path
from typing import IO

from flintfield.base.background import Background

NAME = re.compile(r"cap-([0-9]{4,})\.jsonl")


class Files:
    """`cap-0001.jsonl` onward in one folder; `fails` is told once when the disk does not take them."""

    def __init__(self, folder: Path, count: int, size: int, fails: Callable[[str], None]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._size = size
        self._told_size = 0  # of the file that was begun last, written or not
        self._broken = False  # something was left out: only a new file may follow
        self._background = Background("capture", _Writer(folder, count, fails).take)

    def begin(self, header: bytes) -> None:
        """Start a file."""
        self._told_size, self._broken = 0, False
        self._put(True, header)

    def add(self, records: bytes) -> bool:
        """Write the records of one event; whether a new file is to begin behind them.

        Guards against a disk that is too slow: what does not fit into memory is left out, and so is all that
        follows, until a new file begins whose header stands for it.
        """
        if self._broken or self._background.held + len(records) > self._size:
            self._broken = True
            return self._background.held < self._size // 2
        self._put(False, records)
        return self._told_size >= self._size

    def _put(self, begins: bool, data: bytes) -> None:
        self._told_size += len(data)
        self._background.put((begins, data), len(data))

    def flush(self, within_s: float) -> None:
        """Wait until all is written, but no longer than that."""
        self._background.flush(within_s)


class _Writer:
    """What the thread does."""

    def __init__(self, folder: Path, count: int, fails: Callable[[str], None]) -> None:
        self._folder, self._count, self._fails = folder, count, fails
        self._number = max((n for n, _ in self._there()), default=0)
        self._file: IO[bytes] | None = None
        self._told = False

    def _there(self) -> list[tuple[int, Path]]:
        found = ((NAME.fullmatch(path.name), path) for path in self._folder.iterdir())
        return sorted((int(match[1]), path) for match, path in found if match)

    def take(self, work: tuple[bool, bytes]) -> None:
        """Write one piece, at the start of a new file or behind the last."""
        begins, data = work
        try:
            if begins:
                self._close()
                self._file = self._open()
                self._drop_oldest()
            self._write(data)
        except OSError as error:
            self._tell(error)
            self._close()  # until the next file begins

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        while self._file and rest:
            rest = rest[self._file.write(rest):]

    def _open(self) -> IO[bytes]:
        while True:
            self._number += 1
            try:
                return open(self._folder / f"cap-{self._number:04}.jsonl", "xb", buffering=0)
            except FileExistsError:
                continue

    def _drop_oldest(self) -> None:
        try:
            for _, path in self._there()[:-self._count]:
                path.unlink()
        except OSError as error:  # the newest file is written all the same
            self._tell(error)

    def _close(self) -> None:
        file, self._file = self._file, None
        if file:
            file.close()

    def _tell(self, error: OSError) -> None:
        if not self._told:
            self._told = True
            self._fails(str(error))
