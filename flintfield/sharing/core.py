"""Rights to limits, held by instances and lent between them: the core of one instance.

Rules. All state is in `Sharing`; `step(state, now, message)` takes a message in and returns effects, `spend`
and `give_back` are called on the way of a job. `now` is our own clock in ms, which counts while we are
stopped; no I/O, no other clock, draws from the generator handed in. That no limit is passed rests on what
`Uses`, `Book` and `docs/sharing.md` say, and on nothing that others tell but the truths of `Book.lower`. All
else here (whom to ask, how much to lend, when to give back) moves rights to where they are needed, and may
be wrong.

Theory of operation. Each place owns a part of each limit. A job spends a right of our own part, else one
that was lent to us. While anything is wanted, held or lent, we look every TICK_MS: what is needed (`Demand`)
against what we have. Short: ask some others for what is missing; an owner lends what it does not need
itself, to each of those that asked of late as much. Leases are renewed at RENEW_MS of age, and given back as
far as the need of the last seconds allows. An owner that is short itself recalls: it grants less, unasked.
One that hears nothing has its part, once what it lent has ended.

This module is the public one: it takes each message to the part that it concerns. `state.py` has the state
and what a job spends, `holding.py` one limit of it, `lending.py` the owner's side, `borrowing.py` the
borrower's, `view.py` what operators see.

Two processes of one place: each word carries place and life. A word of an older life than one that is known
is not heeded, and its speaker is told (`Stale`). Who learns of a newer life of its own place ends owning
(`ended`), but while it has spent nothing yet it rather goes above that life: then it is the newer one with a
clock set back.
"""

from __future__ import annotations

import math

from flintfield.sharing import borrowing, lending
from flintfield.sharing.counts import round_ms
from flintfield.sharing.holding import Holding, Lease, Ticket
from flintfield.sharing.messages import (
    Configured, Effect, Heard, Message, Noted, Present, Say, Slept, Woke,
)
from flintfield.sharing.rules import MOST_PLACES, MOST_WORD_LINES, TICK_MS
from flintfield.sharing.state import Sharing, give_back
from flintfield.sharing.view import view
from flintfield.sharing.words import Ask, Grant, Line, Stale, Tally, Used, Word

__all__ = [
    "Configured", "Effect", "Heard", "Holding", "Lease", "Message", "Noted", "Present", "Say", "Sharing",
    "Slept", "Ticket", "Woke", "give_back", "step", "view",
]


def step(state: Sharing, now: float, message: Message) -> list[Effect]:
    """Take one message in; what is to be done now."""
    match message:
        case Woke():
            return _tick(state, now)
        case Heard(word):
            return _hear(state, now, word)
        case Present(places):
            state.present = places - {state.place}
        case Configured():
            state.configure(now, message)
        case Slept():
            state.forget_leases(now)
    return []


# ------------------------------------------------------------------ words


def _hear(state: Sharing, now: float, word: Word) -> list[Effect]:
    if word.place == state.place:
        return _hear_own_place(state, word.life) if word.life != state.life else []
    if word.place >= MOST_PLACES:
        state.counters["nonsense"] += 1
        return []
    known = state.lives.get(word.place, 0)
    if word.life < known:
        state.counters["stale"] += 1
        return [_say(state, word.place, [Stale(word.place, known)])]
    state.lives[word.place] = word.life
    is_ours = word.to == state.life
    if state.told_places.get(word.place) != word.places:
        state.told_places[word.place] = word.places
        state.set_parts()
    speaker, answers, effects = (word.place, word.life), list[Line](), list[Effect]()
    for line in word.lines:
        match line:
            case Ask():
                answers += lending.asked(state, now, speaker, line)
            case Grant() if is_ours:
                answers += borrowing.granted(state, now, speaker, line)
            case Stale() if line.place == state.place:
                effects += _hear_own_place(state, line.life)
            case Stale() if line.life > state.lives.get(line.place, 0):
                state.lives[line.place] = line.life
            case Grant():
                state.counters["not_ours"] += 1
            case Used():
                if line.limit not in state.holdings or not state.tallies.merge(
                        now, speaker, line.limit, line.window, line.count):
                    state.counters["counts_unread"] += 1
            case Tally():
                echo_at = state.began + line.echo if line.echo and line.echo_life == state.life else -math.inf
                state.tallies.heard(now, speaker, line.stamp, min(now, echo_at), line.total)
            case Stale():
                pass
    return effects + _words(state, word.place, answers)


def _hear_own_place(state: Sharing, life: int) -> list[Effect]:
    """Another life of our place is spoken of."""
    if life <= state.life or state.ended:
        return [_say(state, state.place, [])] if life < state.life and not state.ended else []
    if not any(h.spent or h.book.accounts for h in state.holdings.values()):
        state.life = life + 1  # our clock is set back; nobody holds anything of this life
        state.counters["lives_raised"] += 1
        return []
    state.ended = True
    state.counters["ended"] += 1
    return [Noted("sharing: our place has a newer process", (("place", state.place), ("life", state.life),
                                                             ("newer", life)))]


# ------------------------------------------------------------------ the tick


def _tick(state: Sharing, now: float) -> list[Effect]:
    lines: dict[int, list[Line]] = {}
    is_quiet, state.ticked = True, now
    for holding in state.holdings.values():
        holding.book.out(now)
        holding.drop_ended(now)
        for place, line in [*borrowing.renewals(state, now, holding), *borrowing.wishes(state, now, holding),
                            *lending.recalls(state, now, holding), *lending.offers(state, now, holding)]:
            lines.setdefault(place, []).append(line)
        holding.is_short = False
        is_quiet = is_quiet and not (holding.leases or holding.book.out(now)) and (
            holding.demand.is_quiet(now))
    if now >= state.tallies.next_at:
        for place, line in _tally(state, now):
            lines.setdefault(place, []).append(line)
    state.due = math.inf if is_quiet else now + TICK_MS * state.rng.uniform(0.8, 1.2)
    state.due = min(state.due, state.tallies.next_at)
    return [say for place, told in lines.items() for say in _words(state, place, told)]


def _tally(state: Sharing, now: float) -> list[tuple[int, Line]]:
    """Tell the one whose turn it is of our counts."""
    tallies = state.tallies
    tallies.forget(now)
    others = max(1, len(state.present))
    tallies.next_at = now + round_ms(others + 1, len(state.holdings)) / others * state.rng.uniform(0.8, 1.2)
    shuffled = sorted(state.present)
    state.rng.shuffle(shuffled)
    place = tallies.next_place(state.present, shuffled)
    if place is None:
        return []
    life = state.lives.get(place, 0)
    lines: list[Line] = [Used(limit, window, count) for (limit, window), count in tallies.own.items()
                         if limit in state.holdings]
    total = sum(line.count for line in lines if isinstance(line, Used))
    lines.append(Tally(int(now - state.began), total, tallies.stamp_of((place, life)), life))
    return [(place, line) for line in lines]


# ------------------------------------------------------------------ saying


def _say(state: Sharing, place: int, lines: list[Line]) -> Say:
    return Say(place, Word(state.place, state.life, state.places, state.lives.get(place, 0), lines))


def _words(state: Sharing, place: int, lines: list[Line]) -> list[Effect]:
    return [_say(state, place, lines[i:i + MOST_WORD_LINES]) for i in range(0, len(lines), MOST_WORD_LINES)]
