"""What a run is judged by (`Figures`) and where broken rules are put down (`Findings`)."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from collections.abc import Iterable

from flintfield.lab.log import Begin, Class
from flintfield.lab.verdict import Rule, Violation

KEPT = 100  # violations of each rule that are kept whole: a thousandth one proves no more than the first
PROOF = 64  # records in one proof
SOCKETS_MS = 50.0  # every time limit is so much longer on sockets
STOP_NOTICE_MS = 700.0  # after SIGTERM: what came before, a kill may find unanswered; what came later not

RULES: tuple[Rule, ...] = ("answer", "repeat", "drain", "cold")


class LogError(Exception):
    """A log that cannot be judged; the text is one line that names the record."""


class Figures:
    """The figures of the rules, with what the engine adds; times in ms."""

    def __init__(self, begin: Begin) -> None:
        self.extra = SOCKETS_MS if begin.engine == "sockets" else 0.0
        self.answer_slack = begin.answer_slack_ms + self.extra
        self.drain_grace = begin.drain_grace_ms + self.extra
        self.stop_notice = STOP_NOTICE_MS + self.extra
        self.classes: dict[str, Class] = {c.name: c for c in begin.classes}

    def cls(self, name: str, place: int) -> Class:
        """The class of that name; a `LogError` names the record if there is none."""
        found = self.classes.get(name)
        if found is None:
            raise LogError(f"record {place}: cls: found {name!r}, expected one of {', '.join(self.classes)}")
        return found


class Findings:
    """Broken rules in the order they were found; counts are whole, the list is bounded."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._kept: list[Violation] = []

    def broke(self, rule: Rule, at: float, word: str, proof: Iterable[int]) -> None:
        """Put one violation down, with the places of the records that prove it."""
        self.counts[rule] += 1
        if self.counts[rule] <= KEPT:
            places = dict.fromkeys(islice((p for p in proof if p >= 0), PROOF))
            self._kept.append(Violation(rule, at, word, tuple(sorted(places))))

    def kept(self) -> tuple[Violation, ...]:
        """The first violations of each rule, by time."""
        return tuple(sorted(self._kept, key=lambda v: (v.at, v.proof)))
