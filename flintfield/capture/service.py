"""Capture in a running scheduler: the recorder on the reducer's tap, and the copy that a signal asks for."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from flintfield.base.ini import OperatorsError
from flintfield.base.stderr import ErrorOut
from flintfield.capture.files import Files
from flintfield.capture.recorder import Recorder, Start
from flintfield.capture.replay import MARK
from flintfield.capture.ring import Ring
from flintfield.memory.state import State

FLUSH_S = 1.0  # how long the end waits for the disk


@dataclass(frozen=True, slots=True)
class CaptureOn:
    """How much is recorded: in a ring in memory, or in so many files of that size."""

    ring_kib: int = 512
    dir: str | None = None
    files: int = 8


class Capture:
    """Records from now on, into a ring in memory or into files."""

    def __init__(self, given: CaptureOn, start: Start, state: State, errors: ErrorOut,
                 count: Callable[[str], None]) -> None:
        self._errors, self._count = errors, count
        self._copying = False
        size = given.ring_kib * 1024
        self._sink = Ring(size) if given.dir is None else self._files(given.dir, given.files, size)
        state.tap = Recorder(state, start, self._sink, size).record

    def _files(self, folder: str, count: int, size: int) -> Files:
        try:
            return Files(Path(folder), count, size,
                         lambda word: self._errors.line("capture failed", dir=folder, error=word))
        except OSError as error:
            raise OperatorsError(f"[capture] dir: found {folder!r}, "
                                 f"expected a folder that can be written: {error}") from error

    def copy(self) -> None:
        """Send the ring as it is now to standard error, from where it is written off the event loop.

        Guards against copies that pile up while nobody reads: there is one at a time.
        """
        if not isinstance(self._sink, Ring):
            self._errors.line("capture goes to files")
        elif self._copying:
            self._count("capture.copies_refused")
        else:
            self._count("capture.copies")
            self._copying = True
            self._errors.write(self._parts(self._sink.copy()))

    def _parts(self, kept: list[bytes]) -> Iterator[bytes]:
        try:
            yield MARK + b"\n"
            yield from kept
            yield MARK + b"\n"
        finally:
            self._copying = False

    def flush(self) -> None:
        """Wait for the files, but not for ever."""
        if isinstance(self._sink, Files):
            self._sink.flush(FLUSH_S)
