"""What a feature is to the program: a unit, which offers what it has and is asked for nothing else.

Rules:

1. The program knows no feature. It is handed units, and asks each for the same things in the same order.
2. A feature is on where the operators' file has its section. Only then is the file imported that declares its
   `Feature`, so what is off costs nothing; all that it needs may stand at the head of that file.
3. A unit decides nothing about jobs. What it must know of them, or change, is a message to the reducer, and
   what the reducer asks of it is an effect.

A unit's life: `build` makes it, with its reducer-side state, before the first message. `listen` takes its
ports: a fault ends the start. `run` is its task. On SIGTERM all that was taken is settled first; then all
units `end`, together and within `END_S`, while their tasks still run, and `close`, each behind those that
were built after it; then the tasks are cancelled.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

from flintfield.base.config import Config
from flintfield.base.ini import OperatorsError, Section, read_section
from flintfield.base.stderr import ErrorOut
from flintfield.memory.messages import Message
from flintfield.memory.state import Handler, State
from flintfield.wire.http1.caller import Gate, Page
from flintfield.wire.http1.reply import Reply

Made = TypeVar("Made")
SidePage = Callable[[], Reply]
"""Makes a page of the status port anew, each time the snapshot is made: quick, and the answer closes."""


@dataclass(frozen=True, slots=True)
class Host:
    """What the program lends its units."""

    config: Config
    state: State  # a unit may hang its own part on it when it is built; later only the reducer writes there
    clock: Callable[[], float]  # Unix milliseconds that only move forward
    began: float  # on that clock
    tell: Callable[[Message], None]  # hands a message to the reducer, and has its effects carried out
    start: Callable[[Callable[[], Awaitable[None]]], None]
    """Starts a task beside `run`, once the program runs; its exception is a defect and ends nothing."""
    errors: ErrorOut  # lines on standard error
    log: Any  # lines on standard output
    count: Callable[[str], None]
    defect: Callable[[str, Exception], None]  # tells of what must not happen and was contained
    side_pages: Callable[[], Mapping[bytes, SidePage]]  # those of all units, for whoever has a status port
    ports: Callable[[], Mapping[str, int]]  # that are taken, by their names in the `serving` line
    loop: asyncio.AbstractEventLoop
    make_room: Callable[[], object]  # has a descriptor come free soon
    lent: dict[str, Any] = field(default_factory=dict)
    """What units lend to those built after them, by name."""


class Given:
    """The sections of one feature, as the file has them."""

    def __init__(self, sections: Mapping[str, Section[Any]], raw: Mapping[str, Mapping[str, str]]) -> None:
        self._read: dict[str, dict[str, Any]] = {name: {} for name in sections}
        for title, keys in raw.items():
            first, dot, one = title.partition(".")
            section = sections[first]
            if bool(one) is not section.family or bool(dot) is not section.family:
                raise OperatorsError(f"[{title}]: found an unknown section, "
                                     f"expected [{first}{'.NAME' if section.family else ''}]")
            self._read[first][one] = read_section(section, title, keys)

    def one(self, section: Section[Made]) -> Made | None:
        """A section that stands alone; None if it is not there."""
        made: Made | None = self._read[section.name].get("")
        return made

    def family(self, section: Section[Made]) -> dict[str, Made]:
        """The sections of a family, by what stands behind the dot, in the order of the file."""
        return self._read[section.name]


class Unit:
    """A feature that is on. Each method here is the answer of one that offers no such thing."""

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        """The effects that it carries out, by kind: its own, or those only asked for when it is on."""
        return {}

    def handlers(self) -> Mapping[type, Handler]:
        """What the reducer does with the messages that are the unit's own, by kind."""
        return {}

    def gate(self) -> Gate | None:
        """Who may connect to the main listener; at most one unit may say."""
        return None

    def pages(self) -> Mapping[bytes, Page]:
        """Pages of the main listener, by path; a path that ends with `/` stands for all below it."""
        return {}

    def side_pages(self) -> Mapping[bytes, SidePage]:
        """Pages of the status port, by path."""
        return {}

    def listen(self) -> Mapping[str, int]:
        """Take its own ports and name them for the `serving` line; an `OperatorsError` ends the start."""
        return {}

    def signals(self) -> Mapping[signal.Signals, Callable[[], None]]:
        """The signals that it heeds; SIGTERM, SIGINT and SIGHUP are the program's."""
        return {}

    def reload(self) -> None:
        """SIGHUP came: read files again. An `OperatorsError` or OSError keeps the old ones, and is logged."""

    def first(self) -> Sequence[Message]:
        """Messages that the reducer is told before any caller is heard, once it has the last list."""
        return ()

    async def prepare(self) -> None:
        """What must be done before any caller is heard, bounded in time; one unit after the other."""

    async def run(self) -> None:
        """The unit's task, until it is cancelled."""

    async def end(self) -> None:
        """All that was taken is settled: flush, take leave. It is cut off after `END_S`."""

    async def close(self) -> None:
        """All units have ended: let go of what they were lent. Last built, first closed; cut off likewise."""


@dataclass(frozen=True, slots=True)
class Feature:
    """How a feature is turned on: its sections, and what makes its unit of them."""

    sections: tuple[Section[Any], ...]
    build: Callable[[Host, Given], Unit]
    needs: tuple[str, ...] = ()  # features that are on wherever this one is, by their names in the list

    def read(self, raw: Mapping[str, Mapping[str, str]]) -> Given:
        """Check the feature's sections."""
        return Given({s.name: s for s in self.sections}, raw)
