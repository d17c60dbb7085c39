"""Shared judgements within the unit of sharing: `[sharing] judgements`, words, the page.

`docs/judgements.md` is the operators' page. The part's state changes in the reducer's handlers alone; words
go out as effects.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import anyio

from flintfield.base.ini import OperatorsError
from flintfield.decision.peer_evidence import PeerEvidenceDispatcher
from flintfield.decision.policy import Dispatcher
from flintfield.memory.messages import UnitEffect, UnitMessage
from flintfield.memory.reducer import Turn
from flintfield.memory.state import Handler
from flintfield.membership.interface import Members
from flintfield.sharing.bridge import exchange
from flintfield.sharing.evidence import News, Row, read, write
from flintfield.sharing.judging import Judgements
from flintfield.units.interface import Host, SidePage
from flintfield.wire.http1.reply import Reply

PREFIX, KIND = "judgements.", "judgements"
JSON = ((b"Content-Type", b"application/json"),)
STEP_S = 0.025


@dataclass(frozen=True, slots=True)
class Stepped(UnitMessage):
    """It is time to look, and to tell those that are present."""

    present: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class HeardWord(UnitMessage):
    """Another instance's word."""

    news: News


@dataclass(frozen=True, slots=True)
class Tell(UnitEffect):
    """A word to a place."""

    place: int
    news: News


class Judging:
    """An instance's part; `names` gives the members of each place that is present."""

    def __init__(self, host: Host, members: Members, place: int, places: int,
                 names: Callable[[], Mapping[int, list[str]]]) -> None:
        if host.state.tap is not None:
            raise OperatorsError("[sharing] judgements: found on beside [capture], expected one of them: a "
                                 "capture does not hold what others say")
        if type(host.state.dispatcher) is not Dispatcher:
            raise OperatorsError("[sharing] judgements: found on beside [role], expected one of them: plans "
                                 "tell what others hold")
        self._host, self._members, self._names = host, members, names
        settings = host.config.settings
        self.dispatcher = PeerEvidenceDispatcher(settings, host.config.seed)
        host.state.dispatcher = self.dispatcher
        self.part = Judgements(place, places, int(host.began), settings.zone)

    # ------------------------------------------------------------- the reducer

    def handlers(self) -> Mapping[type, Handler]:
        """Our messages, within the reducer."""
        return {Stepped: self._step, HeardWord: self._take}

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        """What they ask for."""
        return {Tell: self._tell}

    def _now(self, now: float) -> float:
        """The reducer's time as ms of our life."""
        return max(0.0, now - self._host.began)

    def _step(self, turn: Turn, message: Stepped) -> None:
        now = self._now(turn.now)
        if (hear := exchange(self.part, self.dispatcher, now)) is not None:
            turn.ask(hear.news)
        turn.effects.extend(Tell(place, news) for place, news in self.part.tell(now, message.present))

    def _take(self, turn: Turn, message: HeardWord) -> None:
        if not self.part.hear(self._now(turn.now), message.news):
            turn.state.counters[PREFIX + "words.useless"] += 1

    def _tell(self, tell: Tell) -> None:
        data = write(tell.news)
        for name in self._names().get(tell.place, ()):
            sent = self._members.say(name, KIND, data)
            self._host.count(PREFIX + ("words.sent" if sent else "words.unsent"))
            self._host.state.counters[PREFIX + "bytes.sent"] += len(data)

    # ---------------------------------------------------------------- the others

    def _hear(self, name: str, data: bytes) -> None:
        news = read(data)
        if news is None:
            self._host.count(PREFIX + "words.unread")
        elif name not in self._names().get(news.place, ()):
            # Guards against a member that speaks for a place which it does not tell as its own.
            self._host.count(PREFIX + "words.astray")
        else:
            self._host.count(PREFIX + "words.heard")
            self._host.tell(HeardWord(news))

    async def run(self) -> None:
        """Take part until cancelled."""
        self._members.hear(KIND, self._hear)
        while True:
            await anyio.sleep(STEP_S)
            self._host.tell(Stepped(tuple(self._names())))

    # ----------------------------------------------------------------- to see it

    def side_pages(self) -> Mapping[bytes, SidePage]:
        """`/judgements`."""
        return {b"/judgements": lambda: Reply(200, json.dumps(self.page()).encode(), JSON, close=True)}

    def page(self) -> dict[str, Any]:
        """Each worker node as it is judged here: on whose evidence, how old, what is own and what heard."""
        part, names = self.part, self._host.config.class_names
        now = self._now(self._host.clock())
        others = {str(place): {"age_ms": round(min(now - o.true_at, 1e9)), "zone": o.zone,
                               "rows": len(o.rows)}
                  for place, o in sorted(part.others.by_place.items())}
        nodes = []
        for number, worker in sorted(self.dispatcher.workers.items()):
            own, told = part.own.get(number), part.told_of(number)
            route = self._host.state.routes.get(number)
            nodes.append({
                "node": ":".join(map(str, route.address)) if route else str(number),
                "name": route.name if route else "",
                "held_here": worker.mine, "held_heard": round(told.held, 2) if told else 0.0,
                "counted": round(worker.others, 2),
                "room": None if worker.room < -1e9 else round(worker.room, 2),
                "avoided": [names[c] for c in told.avoid if c < len(names)] if told else [],
                "unreached": bool(told and told.unreached), "doubted": number in self.dispatcher.doubted,
                "drawn": part.is_drawn(number), "own": _tallies(own, names),
                "heard": {str(place): {"held": row.held / 10, "unreached": bool(row.unreached),
                                       **_tallies(row, names)}
                          for place, row in sorted(part.others.by_worker.get(number, {}).items())},
            })
        out = {names[cls]: len(those) for cls, those in part.out.items() if those and cls < len(names)}
        return {"name": self._host.config.name, "place": part.place, "places": part.places,
                "at_ms": round(now), "weight": round(part.weight(now), 3), "others": others, "out": out,
                "nodes": nodes}


def _tallies(row: Row | None, names: Any) -> dict[str, Any]:
    return {names[t.cls]: {"failed": t.failed / 10, "served": t.served / 10}
            for t in (row.tallies if row else ()) if t.cls < len(names)}
