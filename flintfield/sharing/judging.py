"""What an instance thinks of worker nodes from what it and the others saw: pure, no clock, no I/O.

The laws, which `docs/judgements.md` gives reasons for:

- Others' evidence on (worker node, life, class) is a prior worth at most PRIOR own jobs, each observer's at
  most EACH of them, and at most one where it alone says that the node fails. So own experience overrules it,
  and no history gives an observer more weight.
- One that says of more than CREDIBLE of the listed nodes that they fail a class, or of more than REACHED that
  they are not reached, is not believed in that: more likely the fault is its own.
- A node fails a class for us while (failed + A) / (failed + served + 1) is above a bound; the one that is
  drawn by lot to try has the higher bound TRY, so it comes first and the others wait for its word.
- What is out on hearsay is at most MOST_OUT of the listed nodes, for each class; the least sure come back.
- That a node is not reached is believed if two observers say so that do not share a fate (two zones), or two
  of our own zone, and none of our zone reaches it. It is asked by ourselves at once, and what it says counts.
- Slots that others hold count fully while the words are fresh, then evenly less until STALE_MS, and the rest
  of the guess is our own, as it was without sharing.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable

from flintfield.decision.records import lot
from flintfield.sharing.evidence import (
    MOST_CLASSES, UNREACHED, News, Other, Others, Own, Row, Tally,
)
from flintfield.sharing.experience import Experience, Heard, Look, Seen, decayed

TELL_MS = 50.0  # the least time between two words to one other: a slot is held for some hundred ms
TELL_EACH_MS = 2.5  # and for each other: 400 words a second at the most
IDLE_MS = 200.0  # without a change a word comes so often: else what was told fades
# How old held slots may be at the most to count fully, and not at all: a job runs for about that. Above the
# age that is sure of two that have nothing new to say (2 x IDLE_MS).
FRESH_MS, STALE_MS = 450.0, 1_000.0
LOST_MS = 5_000.0  # nothing from one for so long: all it said is forgotten
PRIOR, EACH = 6.0, 3.0  # own jobs that others' evidence is worth at the most, in all and of one observer
A = 0.05  # of a job: the prior of failing
TRY, WAIT = 0.55, 0.25  # above it a node is left alone by the one that is drawn to try, and by the others
MOST_OUT, CREDIBLE, REACHED = 0.25, 0.25, 0.5  # of the listed nodes
LOOK_MS = 5_000.0  # between two looks at which nodes are listed, while their number stays


class Judgements:
    """One instance's part; `place` among `places`, in `zone`; `life` tells lives apart."""

    def __init__(self, place: int, places: int, life: int, zone: int,
                 draw: Callable[[int, int], float] = lot) -> None:
        self.place, self.places, self.life, self.zone = place, places, life, zone
        self.own, self.others = Own(), Others(life)
        self.now = 0.0
        self.draw = draw
        self.listed = 0  # worker nodes
        self.forgot_at = 0.0  # when it was last looked which are listed
        self.asked: dict[int, float] = {}  # when each other was last told
        self.said: dict[int, int] = {}  # up to what
        self.out: dict[int, dict[int, float]] = {}  # by class: nodes out on hearsay, how sure
        self._memory: dict[int, Experience] = {}
        self._dirty: set[int] = set()
        self._told: dict[int, Heard] = {}
        self._fresh_before: dict[int, float] = {}  # by place, at the last step

    # ------------------------------------------------------------ our own evidence

    def look(self, now: float, look: Look) -> None:
        """The decisions say so of a node."""
        memory = self._life(look.worker, look.started)
        memory.look = look
        self._put(now, look.worker, memory)

    def ended(self, now: float, worker: int, started: int, cls: int, failed: bool) -> None:
        """A job of that class ended there: with an error, or well."""
        memory = self._life(worker, started)
        if cls not in memory.classes and (len(memory.classes) >= MOST_CLASSES or not (
                failed or self._disputed(worker, started, cls))):
            return  # nobody's mind is changed by one more that went well
        seen = memory.classes.setdefault(cls, Seen(at=now))
        seen.decay(now)
        if failed:
            seen.failed += 1.0
        else:
            seen.served += 1.0
        self._dirty.add(worker)
        self._put(now, worker, memory)

    def _life(self, worker: int, started: int) -> Experience:
        memory = self._memory.get(worker)
        if memory is None or started > memory.started:
            memory = self._memory[worker] = Experience(started)
        return memory

    def _disputed(self, worker: int, started: int, cls: int) -> bool:
        return any(tally.cls == cls and tally.failed for _, row in self.others.of(worker)
                   if row.started == started for tally in row.tallies)

    def _put(self, now: float, worker: int, memory: Experience) -> None:
        look, tallies = memory.look, []
        for cls, seen in sorted(memory.classes.items()):
            tallies.append(Tally(cls, round(seen.failed * 10), round(seen.served * 10)))
        held, most, unreached = (look.held, look.most, look.unreached) if look else (0.0, 0.0, False)
        row = Row(worker, round(max(0.0, held) * 10), round(max(0.0, most) * 10), memory.started,
                  int(unreached), tuple(tallies))
        self.own.put(row, int(now))

    def told_of(self, worker: int) -> Heard | None:
        """What the decisions were last told of it."""
        return self._told.get(worker)

    def forget(self, listed: Iterable[int]) -> None:
        """These are listed; nothing is kept of others."""
        listed, self.forgot_at = set(listed), self.now
        self.listed = len(listed)
        self.own.prune(listed)
        self.others.prune(listed)
        for nodes in self.out.values():
            for worker in [w for w in nodes if w not in listed]:
                del nodes[worker]
        for worker in [w for w in self._memory if w not in listed]:
            del self._memory[worker]
        for worker in [w for w in self._told if w not in listed]:
            del self._told[worker]

    # ----------------------------------------------------------------- words

    def tell(self, now: float, present: Iterable[int]) -> list[tuple[int, News]]:
        """The words that are due, and to which place."""
        places = [p for p in present if p != self.place]
        every = max(TELL_MS, TELL_EACH_MS * len(places))
        words = []
        for place in places:
            since = now - self.asked.get(place, -math.inf)
            other = self.others.by_place.get(place)
            had = other.had if other else 0
            if since < every or (since < max(IDLE_MS, every) and self.own.changed <= self.said.get(place, 0)):
                continue
            rows, upto = self.own.after(had)
            self.asked[place], self.said[place] = now, upto
            words.append((place, News(
                self.place, self.life, self.zone, int(now), had, upto, other.stamp if other else 0,
                other.upto if other else 0, other.life if other else 0, rows)))
        return words

    def hear(self, now: float, news: News) -> bool:
        """Take a word in; whether it was of use."""
        if news.place == self.place or news.place >= self.places or news.echo > now:
            return False
        if news.to == self.life and news.had > self.own.changed:
            return False  # it has what we never said
        changed = self.others.take(news)
        if (other := self.others.by_place.get(news.place)) and other.life == news.life:
            other.heard_at = now
        if changed is None:
            return False
        self._dirty.update(changed)
        return True

    # ------------------------------------------------------------- judgements

    def _fresh(self, now: float, other: Other) -> float:
        """How much what that one holds counts now, from 1 to 0."""
        age = now - other.true_at
        return 1.0 if age <= FRESH_MS else max(0.0, (STALE_MS - age) / (STALE_MS - FRESH_MS))

    def weight(self, now: float) -> float:
        """How much of all that others hold is heard, from 0 to 1."""
        if self.places < 2:
            return 0.0
        return sum(self._fresh(now, o) for o in self.others.by_place.values()) / (self.places - 1)

    def step(self, now: float) -> list[Heard]:
        """What the decisions are to know now: of each node of which it is another than before."""
        self.now = now
        for place, other in list(self.others.by_place.items()):
            if now - other.heard_at > LOST_MS:
                self._dirty.update(self.others.forget(place))
        fresh = {place: self._fresh(now, other) for place, other in self.others.by_place.items()}
        fading = {w for place, part in fresh.items() if part != self._fresh_before.get(place, 0.0)
                  for w in self.others.by_place[place].rows}
        self._fresh_before = fresh
        watched = {w for nodes in self.out.values() for w in nodes}
        told = []
        for worker in self._dirty | fading | watched:
            heard = self._judge(now, worker)
            if heard != self._told.get(worker, Heard(worker, 0.0, 0.0)):
                self._told[worker] = heard
                told.append(heard)
        self._dirty.clear()
        return told

    def _judge(self, now: float, worker: int) -> Heard:
        held = most = 0.0
        here = elsewhere = 0
        reached = False
        zones = set()
        by_class: dict[int, list[Tally]] = {}
        memory = self._memory.get(worker)
        started = memory.started if memory else 0
        for other, row in self.others.of(worker):
            held += self._fresh(now, other) * row.held / 10
            most = max(most, row.most / 10)
            if row.started < started:
                continue  # of a former life of the node
            if row.unreached and not self._is_credible(other, UNREACHED, REACHED):
                pass
            elif row.unreached:
                zones.add(other.zone)
                here += other.zone == self.zone
                elsewhere += other.zone != self.zone
            else:
                reached = reached or (other.zone == self.zone and row.held > 0)
            age = max(0.0, now - max(other.true_at, 0.0))
            part = decayed(age)
            for tally in row.tallies:
                if tally.failed > tally.served and not self._is_credible(other, tally.cls, CREDIBLE):
                    continue
                by_class.setdefault(tally.cls, []).append(
                    Tally(tally.cls, round(tally.failed * part), round(tally.served * part)))
        avoid = tuple(cls for cls, tallies in sorted(by_class.items())
                      if self._is_out(now, worker, cls, tallies, memory))
        unreached = not reached and (here >= 2 or len(zones) >= 2)
        return Heard(worker, held, most, avoid, unreached)

    def _is_credible(self, other: Other, cls: int, part: float) -> bool:
        """Whether that one does not say the same of too many worker nodes."""
        return len(other.claims.get(cls, ())) <= max(2.0, part * self.listed)

    def failing(self, now: float, worker: int, cls: int, tallies: Collection[Tally]) -> float:
        """How likely a job of that class is to fail there, of others' evidence as a prior and our own."""
        failed = served = 0.0
        claimants = sum(tally.failed > tally.served for tally in tallies)
        for tally in tallies:
            f, s = tally.failed / 10, tally.served / 10
            most = min(EACH, float(claimants)) if f > s else EACH
            cut = min(1.0, most / (f + s)) if f + s > 0 else 1.0
            failed, served = failed + f * cut, served + s * cut
        cut = min(1.0, PRIOR / (failed + served)) if failed + served > 0 else 1.0
        failed, served = failed * cut, served * cut
        memory = self._memory.get(worker)
        if memory and (seen := memory.classes.get(cls)):
            seen.decay(now)
            failed, served = failed + seen.failed, served + seen.served
        return (failed + A) / (failed + served + 1.0)

    def _is_out(self, now: float, worker: int, cls: int, tallies: list[Tally],
                memory: Experience | None) -> bool:
        sure = self.failing(now, worker, cls, tallies)
        out = self.out.setdefault(cls, {})
        if sure <= WAIT or (sure <= TRY and self.is_drawn(worker)):  # the lot costs a hash for each other
            out.pop(worker, None)
            return False
        most = max(1, int(MOST_OUT * self.listed))
        if worker not in out and len(out) >= most:
            least = min(out, key=lambda w: out[w])
            if out[least] >= sure:
                return False
            del out[least]
            self._dirty.add(least)
        out[worker] = sure
        return True

    def is_drawn(self, worker: int) -> bool:
        """Whether we are the one, of those that hear each other, that tries that node first."""
        ours = self.draw(self.place, worker)
        return all(self.draw(place, worker) > ours for place in self.others.by_place)
