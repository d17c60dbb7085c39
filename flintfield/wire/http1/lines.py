"""Parses a next hop's messages about a job, one JSON object per line, and its load reports."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from flintfield.decision.interface import Report
from flintfield.decision.values import value
from flintfield.memory.messages import End, Ending, Reach

MAX_LINE = 1 << 18
MIN_SHARE = 0.01
LIMITS = {"free": 1024.0, "inflight": 65_536.0, "queue": 65_536.0, "util": 64.0, "latency_ms": 3_600_000.0}
FINAL = {"done": End.DONE, "failed": End.FAILED, "returned": End.DECLINED, "lost": End.LOST}


@value
class Note:
    """A progress message: the job started, or this share of it is done."""

    started: bool
    share: float


def read_json(line: bytes) -> Any:
    """Parse JSON with msgspec, which is faster, falling back to `json.loads`; raises ValueError."""
    try:
        return msgspec.json.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return json.loads(line)  # accepts some input that msgspec rejects, and words the error otherwise


class Lines:
    """Parser for the lines of one job, which arrive in arbitrary pieces."""

    __slots__ = ("_name", "_names", "_partial_line")

    def __init__(self, name: str, names: Mapping[str, str]) -> None:
        self._name, self._names, self._partial_line = name, names, b""

    def take(self, piece: bytes) -> Iterator[Note | Ending]:
        """Parse the lines completed by this piece. Callers ignore everything after an `Ending`."""
        *lines, self._partial_line = (self._partial_line + piece).split(b"\n")
        if len(self._partial_line) > MAX_LINE:
            yield self.last()
            return
        for line in lines:
            if line.strip() and (message := self._read(line)):
                yield message

    def last(self) -> Ending:
        """The ending at the end of the input: that of a last line without line feed, or a broken one."""
        message = self._read(self._partial_line) if self._partial_line.strip() else None
        return message if isinstance(message, Ending) else Ending(End.BROKEN, Reach.SENT,
                                                            word="ended before the last line")

    def _read(self, line: bytes) -> Note | Ending | None:
        """Parse one line; an ending if it is final or invalid. After an invalid line the job may have run."""
        try:
            message = read_json(line)
            if message["id"] != self._name:
                return Ending(End.BROKEN, Reach.SENT, word="received a line with another job's id")
            state = message["state"]
            if state in FINAL:
                result = message.get("result", "")
                body = result if isinstance(result, str) else json.dumps(result)
                load = make_report(message.get("load"), self._names)
                return Ending(FINAL[state], Reach.ANSWERED, body.encode(), load, state)
            if state in ("started", "running"):
                share = float(message.get("share", 0.0))
                # A share out of range, or too small to estimate the job's pace from, counts as 0.
                return Note(state == "started", share if MIN_SHARE <= share <= 1 else 0.0)
        except (ValueError, KeyError, TypeError):
            return Ending(End.BROKEN, Reach.SENT, word="received a line that can't be parsed")
        return None


# ------------------------------------------------------------------ reports


def read_load(text: bytes, names: Mapping[str, str]) -> Report | None:
    """Parse a load report: `TEXT name=value, name=value`, or a JSON object."""
    plain = text.decode("ascii", "replace").strip()
    if plain.startswith("{"):
        try:
            values = read_json(text)
        except ValueError:
            return None
        return make_report(values.get("load", values), names)
    if plain[:4].upper() == "TEXT":
        plain = plain[4:]
    return make_report(dict(p.strip().split("=", 1) for p in plain.split(",") if "=" in p), names)


def make_report(values: Any, names: Mapping[str, str]) -> Report | None:
    """Build a report with the decision module's field names; values that aren't numbers are left out."""
    known: dict[str, float] = {}
    for name, figure in values.items() if isinstance(values, Mapping) else ():
        field = names.get(name)
        try:
            number = float(figure)
        except (TypeError, ValueError):
            continue
        # Implausible values are dropped: a huge count of free slots would attract all jobs to one worker.
        if field and -1 < number <= LIMITS[field]:
            known[field] = max(0.0, number)  # reports are noisy and may be slightly negative
    return Report(**known) if known else None
