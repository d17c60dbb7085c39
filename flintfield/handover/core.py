"""What the processes of one scheduler tell each other while they overlap.

Rules:

1. A link is between two processes. The one that connected is the newer; it says `hello` and is told the
   `state`, once. Before that nothing else is said, and what comes otherwise ends the link.
2. From then on each tells the other what changes at itself, and passes on what others tell it. Links stand in
   a line, from the oldest process to the newest, so nothing comes round.
3. A link that ends takes with it all that was known through it. Nobody waits for one.

    we connected:  HELLO ── state ──▶ UP          they connected:  CAME ── hello ──▶ UP

Theory of operation. Lines are JSON objects; `say` names the kind. `opened` and `closed` tell of job ids in
work, `orders` words of operators, `ready` whether the newest process serves. The state is made at one moment
and what changes after it is told behind it on the same ordered stream, so nothing is missed or told twice.
What is said of an id goes at once and is not waited for: a job that reaches both processes within the time
that a line takes is caught when the line comes, and the newer process gives its own up unless it was let out.
Asking the other before each job was weighed and rejected: it would put a process that may be stuck before
every job of one that is well.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any

from flintfield.decision.values import value

FORM = 1  # of what is said; another one is another version's, and not linked to
MOST_IDS = 50_000  # told through one link: guards the memory against a process gone wrong
Line = Mapping[str, Any]


class Phase(Enum):
    """How far a link is."""

    HELLO = "hello"  # we connected, and wait for the state
    CAME = "came"  # they connected, and are to say hello
    UP = "up"


# ------------------------------------------------------------------ messages


@value
class Reached:
    """We have connected to the process before us."""

    link: int


@value
class Came:
    """A newer process has connected."""

    link: int


@value
class Heard:
    """A line came."""

    link: int
    line: Line


@value
class Ended:
    """The link is gone."""

    link: int


@value
class Own:
    """Something changed here: a line for all."""

    line: Line


@value
class StateIs:
    """The state that `AskState` asked for, without the ids that came through links."""

    link: int
    state: Line


Message = Reached | Came | Heard | Ended | Own | StateIs


# ------------------------------------------------------------------ effects


@value
class Say:
    """Send a line."""

    link: int
    line: Line


@value
class AskState:
    """Make the state, now, for a newer process."""

    link: int


@value
class Take:
    """The state of the process before us."""

    state: Line


@value
class OpenElsewhere:
    """Job ids that other processes have opened and closed; `older`: told by a process before us."""

    opened: tuple[str, ...]
    closed: tuple[str, ...]
    older: bool


@value
class Words:
    """Orders that were given elsewhere."""

    words: Any


@value
class Standing:
    """How many links are up, whether one leads to a newer process, and whether the newest serves."""

    links: int
    newer: bool
    newer_ready: bool


@value
class Drop:
    """End a link, and why."""

    link: int
    why: str


Effect = Say | AskState | Take | OpenElsewhere | Words | Standing | Drop


class Link:
    """One link."""

    def __init__(self, phase: Phase, newer: bool) -> None:
        self.phase, self.newer = phase, newer
        self.ready = False  # whether the newest process behind it serves
        self.ids: Counter[str] = Counter()  # open there; two processes behind it may have one each


class Core:
    """All links of one process: `step` takes a message and returns the effects it calls for."""

    def __init__(self) -> None:
        self.links: dict[int, Link] = {}

    def step(self, message: Message) -> list[Effect]:
        """Take one message in."""
        match message:
            case Reached(number):
                self.links[number] = Link(Phase.HELLO, False)
                return [Say(number, {"say": "hello", "form": FORM})]
            case Came(number):
                self.links[number] = Link(Phase.CAME, True)
                return []
            case Heard(number, line):
                return self._heard(number, line) if number in self.links else []
            case Ended(number):
                return self._ended(number)
            case Own(line):
                return self._tell(line)
            case StateIs(number, state):
                return self._hand_over(number, state)

    def _tell(self, line: Line, but: int = -1) -> list[Effect]:
        return [Say(n, line) for n, link in self.links.items() if n != but and link.phase is Phase.UP]

    def _standing(self) -> Standing:
        up = [link for link in self.links.values() if link.phase is Phase.UP]
        return Standing(len(up), any(k.newer for k in up), any(k.newer and k.ready for k in up))

    def _hand_over(self, number: int, state: Line) -> list[Effect]:
        if (link := self.links.get(number)) is None or link.phase is not Phase.CAME:
            return []
        ids = [*state["open"], *(i for k in self.links.values() for i in k.ids.elements())]
        link.phase = Phase.UP
        return [Say(number, {**state, "say": "state", "form": FORM, "open": ids}), self._standing()]

    def _ended(self, number: int) -> list[Effect]:
        if (link := self.links.pop(number, None)) is None:
            return []
        told: list[Effect] = [e for i in link.ids.elements() for e in self._tell({"say": "closed", "id": i})]
        gone = tuple(link.ids.elements())
        told += [OpenElsewhere((), gone, not link.newer)] if gone else []
        return [*told, self._standing()]

    def _heard(self, number: int, line: Line) -> list[Effect]:
        link = self.links[number]
        try:
            return self._take(number, link, line)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return [Drop(number, f"a line that can not be read: {error!r}"), *self._ended(number)]

    def _take(self, number: int, link: Link, line: Line) -> list[Effect]:
        say = line["say"]
        if link.phase is not Phase.UP:
            if say != {Phase.HELLO: "state", Phase.CAME: "hello"}[link.phase]:
                raise ValueError(f"said {say!r} first")
            if line["form"] != FORM:
                return [Drop(number, f"of form {line['form']!r}, ours is {FORM}"), *self._ended(number)]
            if link.phase is Phase.CAME:
                return [AskState(number)]
            ids = self._texts(line["open"])
            link.ids.update(ids)
            link.phase = Phase.UP
            told = [e for i in ids for e in self._tell({"say": "opened", "id": i}, number)]
            return [Take(line), OpenElsewhere(tuple(ids), (), True), *told, self._standing()]
        if say == "ready":
            link.ready = bool(line["yes"])
            return [self._standing(), *(self._tell(line, number) if link.newer else [])]
        if say == "orders":
            return [Words(line["words"])]  # what is new of them is told on as ours
        if say in ("opened", "closed"):
            return self._count(number, link, line, say == "opened")
        return []  # of a later version of this form

    def _count(self, number: int, link: Link, line: Line, opened: bool) -> list[Effect]:
        name, = self._texts([line["id"]])
        if opened and link.ids.total() >= MOST_IDS:
            return [Drop(number, f"more than {MOST_IDS} jobs"), *self._ended(number)]
        if not opened and not link.ids[name]:
            return []
        link.ids[name] += 1 if opened else -1
        if not link.ids[name]:
            del link.ids[name]
        told = OpenElsewhere((name,) if opened else (), () if opened else (name,), not link.newer)
        return [told, *self._tell(line, number)]

    @staticmethod
    def _texts(raw: Sequence[Any]) -> list[str]:
        if not isinstance(raw, list) or len(raw) > MOST_IDS or not all(isinstance(i, str) for i in raw):
            raise ValueError("ids that are none")
        return raw
