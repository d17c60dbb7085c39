"""What befalls the bytes of one direction of a connection: the pure core of proxies and links.

Rules. A `Pipe` is handed pieces with the time at which they came and returns what is to happen with them: it
reads no clock, does no I/O and draws nothing. Times are milliseconds on the caller's clock; `at` counts
bytes of this direction from the connection's start, so a fault lies between byte `at` and the next whatever
the pieces were cut into. Faults of one pipe are played in the order of their `at`; a delay holds for the
whole connection. A line is what ends with a line feed, as the jobs' lines do (heads too: their lines count).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Literal

import msgspec

ENDLESS = float("inf")


class Fault(msgspec.Struct, frozen=True, tag_field="fault"):
    """Something that befalls one direction; `way` is `up` towards the target, `down` back from it."""

    way: Literal["up", "down"] = "down"


class Delay(Fault, frozen=True, tag="delay"):
    """Every byte arrives `ms` later."""

    ms: float = 100.0


class Stall(Fault, frozen=True, tag="stall"):
    """After byte `at` nothing passes for `ms` (for ever if infinite), then all of it at once."""

    at: int = 0
    ms: float = ENDLESS


class Reset(Fault, frozen=True, tag="reset"):
    """After byte `at` both sides get a reset."""

    at: int = 0


class HalfClose(Fault, frozen=True, tag="half-close"):
    """After byte `at` this direction ends (FIN); the other goes on."""

    at: int = 0


class CutLine(Fault, frozen=True, tag="cut-line"):
    """In the middle of line `line` (from 0) the connection ends: with a FIN, or a reset if `reset`."""

    line: int = 0
    reset: bool = False


class Garbage(Fault, frozen=True, tag="garbage"):
    """After byte `at` come `text`'s bytes that nobody sent, then the rest."""

    at: int = 0
    text: bytes = b"\x00\xff\x16\x03garbage\r\n\r\n"


AnyFault = Delay | Stall | Reset | HalfClose | CutLine | Garbage


class Pass(msgspec.Struct, frozen=True):
    """These bytes go on, at that time."""

    data: bytes
    at: float


class Finish(msgspec.Struct, frozen=True):
    """This direction ends at that time, as if its sender had ended it."""

    at: float


class Abort(msgspec.Struct, frozen=True):
    """The whole connection is reset at that time."""

    at: float


Happening = Pass | Finish | Abort


class Pipe:
    """One direction of one connection under its faults; after `Finish` or `Abort` nothing more happens."""

    def __init__(self, faults: Iterable[AnyFault] = ()) -> None:
        given = list(faults)
        self._delay = sum(f.ms for f in given if isinstance(f, Delay))
        self._cuts: list[CutLine] = sorted((f for f in given if isinstance(f, CutLine)), key=lambda f: f.line)
        self._places = sorted((f for f in given if isinstance(f, Stall | Reset | HalfClose | Garbage)),
                              key=lambda f: f.at)
        self._seen = self._line = 0
        self._not_before = 0.0  # a stall's end: what comes meanwhile waits for it
        self.over = False

    @property
    def plain(self) -> bool:
        """Whether nothing can befall what comes now: it may pass untouched."""
        return not (self._delay or self._cuts or self._places or self._not_before or self.over)

    def feed(self, now: float, data: bytes) -> list[Happening]:
        """What happens with a piece that came now."""
        out: list[Happening] = []
        while data and not self.over:
            fault, place = self._next(data)
            if fault is None:
                self._pass(out, now, data)
                break
            self._pass(out, now, data[:place])
            data = data[place:]
            self._befall(out, now, fault)
        return out

    def end(self, now: float) -> list[Happening]:
        """What happens when the sender has ended this direction."""
        if self.over:
            return []
        self.over = True
        return [Finish(self._when(now))]

    def _next(self, data: bytes) -> tuple[Stall | Reset | HalfClose | Garbage | CutLine | None, int]:
        """The first fault within these bytes, and how many of them pass before it."""
        place = self._places[0].at - self._seen if self._places else len(data) + 1
        first = self._places[0] if place <= len(data) - 1 or place <= 0 else None
        if self._cuts:
            cut = _middle(data, self._cuts[0].line - self._line)
            if cut is not None and (first is None or cut < place):
                return self._cuts[0], cut
        return first, max(0, place)

    def _befall(self, out: list[Happening], now: float,
                fault: Stall | Reset | HalfClose | Garbage | CutLine) -> None:
        if isinstance(fault, CutLine):
            self._cuts.pop(0)
        else:
            self._places.pop(0)
        match fault:
            case Stall():
                self._not_before = max(self._not_before, now + self._delay + fault.ms)
            case Garbage():
                out.append(Pass(fault.text, self._when(now)))
            case Reset() | CutLine(reset=True):
                self.over = True
                out.append(Abort(self._when(now)))
            case _:
                self.over = True
                out.append(Finish(self._when(now)))

    def _pass(self, out: list[Happening], now: float, data: bytes) -> None:
        if data:
            self._seen += len(data)
            self._line += data.count(b"\n")
            out.append(Pass(data, self._when(now)))

    def _when(self, now: float) -> float:
        return max(now + self._delay, self._not_before)


def _middle(data: bytes, line: int) -> int | None:
    """How many of the bytes pass before the middle of that line; None if it is not whole in them.

    Guards against a line that comes in pieces: one that had begun before `data` is cut within `data`.
    """
    if line < 0:
        return 0
    start = 0
    for _ in range(line):
        start = data.find(b"\n", start) + 1
        if start == 0:
            return None
    end = data.find(b"\n", start)
    end = len(data) if end < 0 else end
    return start + max(1, (end - start) // 2) if end > start else None


def split(faults: Sequence[AnyFault]) -> tuple[list[AnyFault], list[AnyFault]]:
    """The faults of the way up, and those of the way down."""
    return [f for f in faults if f.way == "up"], [f for f in faults if f.way == "down"]


# ------------------------------------------------------------------ from text

_KINDS: dict[str, type[AnyFault]] = {
    "delay": Delay, "stall": Stall, "reset": Reset, "half-close": HalfClose, "cut-line": CutLine,
    "garbage": Garbage,
}


class FaultError(Exception):
    """A fault's text that cannot be read; one line that says what was expected."""


def parse(text: str) -> AnyFault:
    """Read `kind[,key=value...]`, for example `reset,at=120,way=up` or `stall,at=64,ms=500`."""
    kind, *pairs = [p.strip() for p in text.split(",")]
    if kind not in _KINDS:
        raise FaultError(f"fault: found {kind!r}, expected one of {', '.join(_KINDS)}")
    given: dict[str, object] = {}
    for pair in pairs:
        key, equals, value = pair.partition("=")
        if not equals:
            raise FaultError(f"fault {kind}: found {pair!r}, expected key=value")
        given[key.strip()] = value.encode() if key.strip() == "text" else value.strip()
    known = _KINDS[kind].__struct_fields__
    if odd := sorted(set(given) - set(known)):
        raise FaultError(f"fault {kind}: found {odd[0]!r}, expected {', '.join(known)}")
    try:
        return msgspec.convert(given, _KINDS[kind], strict=False)
    except msgspec.ValidationError as error:
        raise FaultError(f"fault {kind}: {error}") from error
