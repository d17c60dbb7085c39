"""Rotating files: each begins with a header, the oldest go. A thread writes them, for a disk may stall."""

from __future__ import annotations

import re
import threading
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import IO

NAME = re.compile(r"cap-([0-9]{4,})\.jsonl")


class Files:
    """`cap-0001.jsonl` onward in one folder; `fails` is told once when the disk does not take them."""

    def __init__(self, folder: Path, count: int, size: int, fails: Callable[[str], None]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder, self._count, self._size, self._fails = folder, count, size, fails
        self._number = max((n for n, _ in self._there()), default=0)
        self._waiting: deque[tuple[bool, bytes]] = deque()  # whether it begins a file, and what it is
        self._held = 0  # bytes that wait
        self._written = 0  # of the file as it was told here
        self._changed = threading.Condition()
        self._busy = self._broken = self._told = False
        self._file: IO[bytes] | None = None
        threading.Thread(target=self._run, name="capture", daemon=True).start()

    def _there(self) -> list[tuple[int, Path]]:
        found = ((NAME.fullmatch(path.name), path) for path in self._folder.iterdir())
        return sorted((int(match[1]), path) for match, path in found if match)

    # ------------------------------------------------------ for the event loop

    def begin(self, header: bytes) -> None:
        """Start a file."""
        self._written, self._broken = 0, False
        self._put(True, header)

    def add(self, records: bytes) -> bool:
        """Write the records of one event; whether a new file is to begin behind them.

        Guards against a disk that is too slow: what does not fit into memory is left out, and so is all that
        follows, until a new file begins whose header stands for it.
        """
        if self._broken or self._held + len(records) > self._size:
            self._broken = True
            return self._held < self._size // 2
        self._put(False, records)
        return self._written >= self._size

    def _put(self, begins: bool, data: bytes) -> None:
        with self._changed:
            self._waiting.append((begins, data))
            self._held += len(data)
            self._written += len(data)
            self._changed.notify_all()

    def flush(self, within_s: float) -> None:
        """Wait until all is written, but no longer than that."""
        with self._changed:
            self._changed.wait_for(lambda: not self._waiting and not self._busy, within_s)

    # ------------------------------------------------------------ for the thread

    def _run(self) -> None:
        while True:
            with self._changed:
                self._busy = False
                self._changed.notify_all()
                self._changed.wait_for(lambda: self._waiting)
                begins, first = self._waiting.popleft()
                parts = [first]
                while self._waiting and not self._waiting[0][0]:
                    parts.append(self._waiting.popleft()[1])
                self._held -= sum(map(len, parts))
                self._busy = True
            try:
                if begins:
                    self._close()
                    self._file = self._open()
                    self._drop_oldest()
                self._write(b"".join(parts))
            except OSError as error:
                self._close()  # until the next file begins
                self._tell(error)

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        while self._file and rest:
            rest = rest[self._file.write(rest):]

    def _drop_oldest(self) -> None:
        try:
            for _, path in self._there()[:-self._count]:
                path.unlink()
        except OSError as error:  # the newest file is written all the same
            self._tell(error)

    def _close(self) -> None:
        if self._file:
            self._file.close()
            self._file = None

    def _open(self) -> IO[bytes]:
        while True:
            self._number += 1
            try:
                return open(self._folder / f"cap-{self._number:04}.jsonl", "xb", buffering=0)
            except FileExistsError:
                continue

    def _tell(self, error: OSError) -> None:
        if not self._told:
            self._told = True
            self._fails(str(error))
