"""Shared judgements in virtual time: the engine's schedulers, each with its part of `sharing/judging.py`.

What is real: `Judgements`, its words as they go in datagrams, `PeerEvidenceDispatcher`, the reducer,
and the world. What is modelled: the words' way, as the network's time and `late_ms` more, over cuts and by
`loss` as lost. The scenario's `[sharing]` says who is deaf (hears nothing and is not heard) and who is wrong
(says of every node that all fails there and that it is not reached).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from msgspec.structs import replace

from flintfield.decision.peer_evidence import PeerEvidenceDispatcher
from flintfield.lab import log
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual.engine import Engine
from flintfield.lab.virtual.interface import Reducer
from flintfield.lab.virtual.scheduler import Scheduler
from flintfield.memory.reducer import reduce
from flintfield.sharing.bridge import Hear, exchange, take_hearsay
from flintfield.sharing.evidence import News, Tally, read, write
from flintfield.sharing.judging import MOST_OUT, Judgements

STEP_MS = 25.0  # between two looks
START_MS = 1_000_000  # of a life's numbers: a later life has a greater one


@dataclass
class Figures:
    """What the run's words cost, and the most that was out on hearsay."""

    words: int = 0
    bytes: int = 0
    most_out: float = 0.0  # of the listed nodes, for one class at one instance
    out_bound: float = MOST_OUT
    unread: int = 0
    by_place: dict[int, int] = field(default_factory=dict)  # bytes that each sent


class SharedEngine(Engine):
    """A run whose schedulers share judgements."""

    def __init__(self, scenario: Scenario, seed: int,
                 on_record: Callable[[log.AnyRecord], None] | None = None, reducer: Reducer = reduce) -> None:
        super().__init__(scenario, seed, "flintfield", PeerEvidenceDispatcher, on_record, reducer)
        self.figures, self.draws = Figures(), self.streams.of("sharing")
        self.parts: dict[int, Judgements] = {}
        self._began: dict[int, float] = {}
        count, shared = scenario.schedulers.count, scenario.sharing
        self._deaf = set(range(round(shared.deaf * count)))
        self._wrong = set(range(count - min(count, shared.wrong), count))

    def start_scheduler(self, place: int) -> None:
        super().start_scheduler(place)
        scheduler = self.schedulers[place]
        assert scheduler is not None
        scheduler.state.handlers[Hear] = take_hearsay
        part = self.parts[place] = Judgements(place, len(self.schedulers), START_MS + self._lives[place],
                                              self.scenario.zones.index(scheduler.zone))
        began = self._began[place] = self.loop.now
        self.loop.at(began + self.draws.uniform(0, STEP_MS), self._step, scheduler, part, began)

    def _step(self, scheduler: Scheduler, part: Judgements, began: float) -> None:
        if not scheduler.alive:
            return
        now = self.loop.now - began
        dispatcher = cast(PeerEvidenceDispatcher, getattr(scheduler.state.dispatcher, "_inner"))  # noqa: B009
        if (hear := exchange(part, dispatcher, now)) is not None:
            scheduler.tell(hear)
        if part.listed:
            worst = max((len(nodes) for nodes in part.out.values()), default=0)
            self.figures.most_out = max(self.figures.most_out, worst / part.listed)
        present = [s.place for s in self.schedulers if s is not None and s.alive]
        for place, news in part.tell(now, present):
            wrong = scheduler.place in self._wrong
            self._send(scheduler, place, write(self._slander(news) if wrong else news))
        self.loop.at(self.loop.now + STEP_MS, self._step, scheduler, part, began)

    def _slander(self, news: News) -> News:
        """The word of one that is wrong about everything."""
        worst = tuple(Tally(cls, 30, 0) for cls in range(len(self.scenario.classes)))
        rows = [replace(row, unreached=1, tallies=worst) for row in news.rows]
        return replace(news, rows=rows)

    def _send(self, teller: Scheduler, place: int, data: bytes) -> None:
        figures, other = self.figures, self.schedulers[place]
        figures.words += 1
        figures.bytes += len(data)
        figures.by_place[teller.place] = figures.by_place.get(teller.place, 0) + len(data)
        if other is None or teller.place in self._deaf or place in self._deaf:
            return
        lost = self.draws.uniform() < self.scenario.sharing.loss
        if lost or not self.network.passes(teller.zone, other.zone):
            return
        way = self.network.one_way(teller.zone, other.zone) + self.scenario.sharing.late_ms
        self.loop.at(self.loop.now + way, self._there, other, self.parts[place], data)

    def _there(self, other: Scheduler, part: Judgements, data: bytes) -> None:
        if not other.alive or self.parts[other.place] is not part:
            return
        news = read(data)
        if news is None or not part.hear(self.loop.now - self._began[other.place], news):
            self.figures.unread += 1


def play(scenario: Scenario, seed: int) -> tuple[log.Log, Figures]:
    """Play a scenario with shared judgements to its end: the event log and what the words cost."""
    engine = SharedEngine(scenario, seed)
    return engine.run(), engine.figures
