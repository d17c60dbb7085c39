"""What an executor takes in of other places and of schedulers; the layer above what it knows."""

from __future__ import annotations

from flintfield.maintenance.barring import Say
from flintfield.maintenance.episodes import Effect, Heard, Knowing, Noted, Told
from flintfield.maintenance.settling import Echo
from flintfield.maintenance.words import ESCROW, AskBook, Book, Line, Off, Report, Row, Stale, Word


class Hearing(Knowing):
    """An executor that listens."""

    def hear(self, now: float, word: Word) -> list[Effect]:
        """A word of another place or of a scheduler."""
        if word.version != self.version:
            self.counters["other_version"] += 1
            return []
        if word.name:
            return self._hear_scheduler(now, word)
        if word.place == self.place:
            return self._stale(word.life) if word.life > self.life else []
        if word.place not in self.account.pairs or self.ended:
            return []
        if not self.account.meet(word.place, word.life):
            newer = self.account.pairs[word.place].life
            return [Say(word.place, self._word([Stale(word.place, newer)], word.life))]
        answers: list[Line] = []
        for line in word.lines:
            match line:
                case Row():
                    self._row(now, word, line)
                case Stale() if line.place == self.place and line.life > self.life:
                    return self._stale(line.life)
                case Stale() if line.place in self.account.pairs:
                    self.account.meet(line.place, line.life)
                case Off():
                    self.tell_off(line.name, line.life)
                case _ if isinstance(line, ESCROW):
                    answers += self.account.hear(now, word.place, line, word.to == self.life)
        return [Say(word.place, self._word(answers, word.life))] if answers else []

    def _row(self, now: float, word: Word, row: Row) -> None:
        told = self.others.get(word.place)
        if told is None or (word.life, row.seq) > (told.life, told.seq):
            self.others[word.place] = Told(row.seq, word.life, tuple(row.bound), now)
        self.done |= {(work, node) for work, node in row.done if node in self.weights}

    def _hear_scheduler(self, now: float, word: Word) -> list[Effect]:
        if word.name not in self.schedulers:
            self.counters["unknown_scheduler"] += 1
            return []
        if word.life > self.off.get(word.name, word.life):
            del self.off[word.name]  # it is there again
        for line in word.lines:
            match line:
                case AskBook() if not self.ended:
                    bars = [b for b, e in self.episodes.items() if e.phase != "returning"]
                    return [Say(word.name, self._word([Book(line.nonce, False, bars, self._fences())],
                                                      word.life))]
                case Stale() if line.place == self.place and line.life > self.life:
                    return self._stale(line.life)
                case Report():
                    return self._report(now, word, line)
        return []

    def _fences(self) -> dict[int, int]:
        known = {p: pair.life for p, pair in self.account.pairs.items() if pair.life}
        return known | {self.place: self.life}

    def _report(self, now: float, word: Word, report: Report) -> list[Effect]:
        before = self.heard.get(word.name)
        if before is not None and (before.life, before.report.of, before.report.seq) > (
                word.life, report.of, report.seq):
            return []  # late
        if before is None or before.life != word.life:
            self.changed_at[word.name] = now
        if report.fences.get(self.place, 0) > self.life:
            return self._stale(report.fences[self.place])
        self.heard[word.name] = Heard(report, now, word.life)
        for place, life in report.fences.items():
            if place in self.account.pairs:
                self.account.meet(place, life)
        if report.leaving:
            self.off[word.name] = max(word.life, self.off.get(word.name, 0))
        if report.grown and report.of == self.life:
            self.echoes[word.name] = Echo(word.life, report.seq)
            self.doubt -= set(report.served)
            for bar in report.seen:
                if (episode := self.episodes.get(bar)) is not None and episode.phase == "returning":
                    episode.seen = True
        return []

    def _stale(self, life: int) -> list[Effect]:
        """There is a newer life of our place: it takes over what stands."""
        if self.ended:
            return []
        self.ended = True
        self.counters["ended"] += 1
        return [Noted("maintenance: our place has a newer process", (("place", self.place), ("newer", life)))]

    def tell_off(self, name: str, life: int) -> None:
        """An operator's word: that scheduler, up to this life, sends nothing any more."""
        if name in self.schedulers and life > self.off.get(name, -1):
            known = self.heard.get(name)
            if known is None or known.life <= life:
                self.off[name] = life
