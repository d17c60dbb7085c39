"""The file of a sweep's results: one JSON line a run, so that an interrupted sweep goes on where it was.

A line is named by its job and by the code that played it (`fingerprint`): after an edit the old lines do
not count. A last line that was cut off by the interrupt is dropped.
"""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from types import TracebackType

import msgspec

import flintfield
from flintfield.lab.scenario import ScenarioError
from flintfield.lab.verdict import Verdict

PLAYED_BY = ("decision", "memory", "lifecycle", "lab")  # the packages that bear on a run's outcome


class Line(msgspec.Struct, frozen=True):
    """One run's outcome."""

    key: str  # of the job
    code: str
    point: dict[str, str]  # where it stands in the grid
    seed: int
    verdict: Verdict


def fingerprint(build: str = "") -> str:
    """Names the code that plays: this checkout's laboratory, and the rest of it or of `build`."""
    ours = Path(flintfield.__path__[-1])
    theirs = Path(build) / "flintfield" if build else ours
    digest = hashlib.sha256()
    for package in PLAYED_BY:
        root = ours if package == "lab" else theirs
        for file in sorted((root / package).rglob("*.py")):
            digest.update(f"{file.relative_to(root)}\0".encode() + file.read_bytes())
    return digest.hexdigest()[:16]


class Results:
    """Reads what a file holds already and appends to it."""

    def __init__(self, path: Path, code: str) -> None:
        self.code = code
        self.done: dict[str, Line] = {}
        path.parent.mkdir(parents=True, exist_ok=True)
        whole = 0
        if path.exists():
            decoder: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)
            for number, text in enumerate(path.read_bytes().splitlines(keepends=True), 1):
                if not text.endswith(b"\n"):
                    break
                whole += len(text)
                try:
                    line = decoder.decode(text)
                except msgspec.MsgspecError as error:
                    raise ScenarioError(f"{path}: line {number}: {error}") from error
                if line.code == code:
                    self.done[line.key] = line
            os.truncate(path, whole)
        self._file = path.open("ab")

    def add(self, line: Line) -> None:
        """Keep one run's outcome; it is in the file when this returns."""
        self.done[line.key] = line
        self._file.write(msgspec.json.encode(line) + b"\n")
        self._file.flush()

    def __enter__(self) -> Results:
        return self

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None,
                 trace: TracebackType | None) -> None:
        self._file.close()
