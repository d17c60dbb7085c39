"""An executor: takes worker nodes out for work and back, and never more than what was agreed allows.

Rules:

1. A node is ordered out only after its units were bound here, and orders leave only after that.
2. Units come back only when the release is settled (`settling.py`) and a scheduler saw the node serve since,
   or by an operator's word. Never by a clock.
3. Safe to touch is told only of a bar that is settled, at a node where no scheduler has a job any more, and
   as long as all have confirmed orders that were sent within `FRESH_MS` of our clock. A life that takes over
   lets nothing back before that time has passed since all schedulers knew of it: what its former life said
   is over.
4. A new life of a place does nothing until all other places have told what it had (`escrow`), and all
   schedulers have settled that it is the newest. What stands of former lives it takes over, with its units; a
   node of which it is not known that it serves counts as out, until it was seen serving.
5. What others tell of their episodes, and which nodes are lost, moves only when we begin and step back.

Theory of operation. All is told by states: orders hold what stands and what is over, numbered; a scheduler
answers with what it has taken in. An episode goes draining, safe, returning, and is gone.
"""

from __future__ import annotations

from flintfield.escrow.interface import Units
from flintfield.maintenance.barring import Say
from flintfield.maintenance.choosing import Choosing
from flintfield.maintenance.episodes import (
    DONE_TOLD, DOUBTED_TOLD, DRIFT, FRESH_MS, TICK_MS, Effect, Episode, Noted, Wanted, key_of,
)
from flintfield.maintenance.settling import Settling
from flintfield.maintenance.words import Bar, Bound, Line, Off, Orders, Row

__all__ = ["FRESH_MS", "TICK_MS", "Effect", "Episode", "Executor", "Noted", "Wanted"]


class Executor(Choosing):
    """One life of one place."""

    # ------------------------------------------------------------ orders by hand

    def give_back(self, now: float, node: str, why: str) -> bool:
        """Let a node back: its work is done, or it is called off. False: no episode of ours, or not yet."""
        found = False
        for episode in self.episodes.values():
            if episode.bar.node == node and episode.phase != "returning":
                if episode.adopted and now - self.sealed_at < FRESH_MS * DRIFT * DRIFT:
                    continue  # a former life may still say that it is safe
                self._return(now, episode, why)
                found = True
        return found

    def vouch(self, node: str) -> bool:
        """An operator's word, written down by the caller: that node serves, or will never again."""
        found = node in self.doubt
        self.doubt.discard(node)
        for episode in self.episodes.values():
            if episode.bar.node == node and episode.phase == "returning":
                episode.seen = found = True
        return found

    # ------------------------------------------------------------ time

    def wake(self, now: float) -> list[Effect]:
        """Look at all that is open, and tell all what stands."""
        if self.ended or now - self._ticked < TICK_MS:
            return []
        self._ticked = now
        reserve: Units = {}
        for node in self.doubt:
            for name, n in self.weights[node].items():
                reserve[name] = reserve.get(name, 0) + n
        self.account.reserve = reserve
        effects = self._look(now)
        self.seq += 1
        self.sent_at[self.seq] = now
        for old in [s for s, at in self.sent_at.items() if now - at > 2 * FRESH_MS]:
            del self.sent_at[old]
        return effects + self._tell(now)

    def _look(self, now: float) -> list[Effect]:
        needed = self.needed
        if not self.account.sealed:
            if self.fence.look(self.echoes, needed, self.seq):
                self._adopt(now)
            return []
        effects: list[Effect] = []
        for bar, episode in list(self.episodes.items()):
            settled = episode.settling.look(self.echoes, needed, self.seq)
            if episode.phase == "draining" and settled and self._is_empty(now, episode):
                episode.phase = "safe"
                effects.append(Noted("maintenance: safe to touch", self._said(episode)))
            elif episode.phase == "returning" and settled and episode.seen:
                del self.episodes[bar]
                self.account.release(key_of(bar))
                effects.append(Noted("maintenance: back", self._said(episode)))
        self._drop_strays(now)
        effects += self._step_back(now)
        if not self.account.whole:
            return effects
        effects += self._begin(now)
        self.account.answer_wants(now, self.wants)
        return effects

    def _is_empty(self, now: float, episode: Episode) -> bool:
        """No scheduler has a job there, by what it said after the second round, and no former life can
        have."""
        second = episode.settling.second
        assert second is not None
        if any(now - at < self.longest_ms for at in self.changed_at.values()):
            return False
        for name in self.needed:
            heard = self.heard[name]
            if heard.report.seq < second or any(
                    b.open for b in heard.report.bars if b.bar.node == episode.bar.node):
                return False
        return True

    def _adopt(self, now: float) -> None:
        """No former life can do anything any more: take over what stands of them."""
        self.account.sealed, self.sealed_at = True, now
        for name in self.needed:
            for barred in self.heard[name].report.bars:
                bar = barred.bar
                if bar.place == self.place and bar not in self.episodes:
                    self._take_over(now, bar)

    def _take_over(self, now: float, bar: Bar) -> None:
        units = self.weights.get(bar.node, {})
        self.account.hold(key_of(bar), units)
        self.doubt.discard(bar.node)
        self.episodes[bar] = Episode(bar, "", units, Settling(self.seq + 1), now, adopted=True)
        self.counters["adopted"] += 1

    def _drop_strays(self, now: float) -> None:
        """A bar of our place that we don't know, at a scheduler: it is over, and has to be released there."""
        for heard in self.heard.values():
            for barred in heard.report.bars:
                bar = barred.bar
                if bar.place == self.place and bar not in self.episodes and bar.life <= self.life and (
                        now - heard.at < TICK_MS * 2):
                    self._take_over(now, bar)
                    self._return(now, self.episodes[bar], "nobody ordered it")
                    self.counters["strays"] += 1

    # ------------------------------------------------------------ saying

    def _tell(self, now: float) -> list[Effect]:
        standing = sorted(b for b, e in self.episodes.items() if e.phase != "returning")
        released = sorted(b for b, e in self.episodes.items() if e.phase == "returning")
        doubted = sorted(self.doubt)
        at = self.seq * DOUBTED_TOLD % max(1, len(doubted))
        orders = Orders(self.seq, standing, released, (doubted + doubted)[at:at + DOUBTED_TOLD])
        told: list[Effect] = []
        for name in sorted(self.schedulers):  # those that are off too: they may be there again
            heard = self.heard.get(name)
            told.append(Say(name, self._word([orders], heard.life if heard else 0)))
        done = sorted(self.done)
        at = self.seq * DONE_TOLD % max(1, len(done))
        row = Row(self.seq, [Bound(b, e.phase) for b, e in sorted(self.episodes.items())],
                  (done + done)[at:at + DONE_TOLD])
        words = [Off(name, life) for name, life in self.off.items()]
        for place, pair in self.account.pairs.items():
            lines: list[Line] = [*self.account.lines_for(place, self.wants), row, *words]
            told.append(Say(place, self._word(lines, pair.life)))
        return told
