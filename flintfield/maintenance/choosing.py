"""Which node is taken out next, and which drain is called off: what may be wrong without harm to the law."""

from __future__ import annotations

import zlib

from flintfield.escrow.interface import Want
from flintfield.maintenance.episodes import SEEN_MS, STEADY_MS, Effect, Episode, Noted, key_of
from flintfield.maintenance.hearing import Hearing
from flintfield.maintenance.settling import Settling
from flintfield.maintenance.words import MOST_BARS, Bar


class Choosing(Hearing):
    """An executor that chooses."""

    def _is_ours(self, now: float, node: str) -> bool:
        """Whether that node is for us to take out, among the places that were heard of late (rendezvous)."""
        there = [p for p, told in self.others.items() if now - told.at < SEEN_MS]
        return max([*there, self.place], key=lambda p: zlib.crc32(f"{p}/{node}".encode())) == self.place

    def _pressed(self, now: float) -> dict[str, int]:
        """By pool, how many units are missing more than it has: losses count beside what is out by plan."""
        out = self._out()
        lost = self.lost(now) - out.keys()
        pressed = {}
        for name, pool in self.account.pools.items():
            gone = sum(self.weights[n].get(name, 0) for n in [*lost, *(n for n in out if n in self.weights)])
            pressed[name] = gone - pool.units
        return pressed

    def _step_back(self, now: float) -> list[Effect]:
        """Unplanned losses go first: drains that have done the least, and give the most, are called off."""
        pressed = {name: n for name, n in self._pressed(now).items() if n > 0}
        effects: list[Effect] = []
        theirs = {b.bar.node: b.bar for told in self.others.values() for b in told.bound
                  if now - told.at < SEEN_MS and b.phase != "returning"}
        for episode in self.episodes.values():
            if episode.phase == "draining" and not episode.adopted and (
                    (bar := theirs.get(episode.bar.node)) is not None and bar < episode.bar):
                self._return(now, episode, "another place drains it")
        begun = [e for e in self.episodes.values() if e.phase == "draining" and not e.adopted]
        for episode in sorted(begun, key=lambda e: (-e.began, -sum(
                min(n, pressed.get(name, 0)) for name, n in e.units.items()))):
            if not any(pressed.get(name, 0) > 0 for name in episode.units):
                continue
            for name, n in episode.units.items():
                if name in pressed:
                    pressed[name] -= n
            self._return(now, episode, "nodes were lost")
            self.pressed_at = now
            self.counters["stepped_back"] += 1
            effects.append(Noted("maintenance: stepped back", self._said(episode)))
        return effects

    def _begin(self, now: float) -> list[Effect]:
        """Bind and order out what may go."""
        self.wants = None
        if self.held or not self.ready or now - self.pressed_at < STEADY_MS:
            return []
        pressed, out, lost = self._pressed(now), self._out(), self.lost(now)
        effects: list[Effect] = []
        for wanted in sorted(self.wanted, key=lambda w: w.rank):
            if wanted.node in out or wanted.node not in self.weights or len(self.episodes) >= MOST_BARS // 4:
                continue
            if not self._is_ours(now, wanted.node):
                continue
            units = self.weights[wanted.node]
            more = {} if wanted.node in lost else units
            if any(pressed[name] + more.get(name, 0) > 0 for name in units):
                continue
            if missing := self.account.lacking(units):
                self.wants = self.wants or Want(missing, wanted.rank)
                continue
            self.numbers += 1
            bar = Bar(self.place, self.life, self.numbers, wanted.node)
            self.account.bind(key_of(bar), units)
            self.episodes[bar] = Episode(bar, wanted.work, units, Settling(self.seq + 1), now)
            out[wanted.node] = "draining"
            for name, n in units.items():
                pressed[name] += n if wanted.node not in lost else 0
            self.counters["begun"] += 1
            effects.append(Noted("maintenance: draining", self._said(self.episodes[bar])))
        return effects
