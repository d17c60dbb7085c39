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

Two processes of one place: each word carries place and life. A word of an older life than one that is known
is not heeded, and its speaker is told (`Stale`). Who learns of a newer life of its own place ends owning
(`ended`), but while it has spent nothing yet it rather goes above that life: then it is the newer one with a
clock set back.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, MutableMapping
from dataclasses import dataclass, field
from typing import Any

from flintfield.sharing.book import Account, Book, Borrower
from flintfield.sharing.counts import Counts as Tallies, round_ms, window_of
from flintfield.sharing.demand import Demand
from flintfield.sharing.limits import Limit
from flintfield.sharing.rules import (
    AGAIN_MS, ASKED_PART, BACK_MOST_MS, BACK_MS, DRIFT, EBB_MS, LEASE_MS, LEAST_ASKED, MOST_PLACES,
    MOST_RIGHTS, MOST_WORD_LINES, OFFER_MS, PEAK_MS, RENEW_MS, TICK_MS, cool_ms, hold_ms,
)
from flintfield.sharing.uses import Uses
from flintfield.sharing.words import Ask, Grant, Line, Stale, Tally, Used, Word

Counts = MutableMapping[str, int]


# ------------------------------------------------------------------ messages and effects


@dataclass(frozen=True, slots=True)
class Heard:
    """A word of another instance has come."""

    word: Word


@dataclass(frozen=True, slots=True)
class Woke:
    """The clock reached `next_at`."""


@dataclass(frozen=True, slots=True)
class Present:
    """These places are believed to be there, ourselves not among them: they may be asked."""

    places: frozenset[int]


@dataclass(frozen=True, slots=True)
class Configured:
    """The limits, and the number of configured places, from now on."""

    limits: tuple[Limit, ...]
    places: int


@dataclass(frozen=True, slots=True)
class Slept:
    """The machine was suspended, and our clock did not count it: begin as a new life would."""


Message = Heard | Woke | Present | Configured | Slept


@dataclass(frozen=True, slots=True)
class Say:
    """Send this word to that place; it may be lost."""

    place: int
    word: Word


@dataclass(frozen=True, slots=True)
class Noted:
    """Something that operators should know; `values` in pairs."""

    event: str
    values: tuple[tuple[str, object], ...] = ()


Effect = Say | Noted


# ------------------------------------------------------------------ what is held


@dataclass(slots=True)
class Lease:
    """What one life of an owner lent us of one limit."""

    number: int
    keep: int  # of its rights, those that we go on using
    until: float  # on our clock
    uses: Uses
    asked_at: float  # when its owner was last asked

    def free(self, now: float) -> int:
        """Rights that may be spent."""
        return max(0, self.keep - self.uses.advance(now)) if now < self.until else 0


@dataclass(frozen=True, slots=True)
class Ticket:
    """A right of a pool that is in use."""

    uses: Uses
    number: int


@dataclass(slots=True)
class Holding:
    """One limit here."""

    limit: Limit
    part: int  # that we own
    uses: Uses  # of our own part
    book: Book
    demand: Demand = field(default_factory=Demand)
    leases: dict[Borrower, Lease] = field(default_factory=dict)  # by the owner's place and life
    not_before: dict[int, float] = field(default_factory=dict)  # when a place may be asked for more
    backs: dict[int, float] = field(default_factory=dict)  # how long a place that lent no more is left alone
    spent: int = 0  # in all
    refused: int = 0
    promised: float = -math.inf  # the last time that was told to one that was refused
    is_short: bool = False  # refused since the last tick
    last: Lease | None = None  # the last that had a free right
    dry_until: float = -math.inf  # nothing comes free before
    frees_at: float = math.inf  # as of the last time that nothing was free: when something may be
    rights_here: int = 0  # and how many rights there were, all spent
    recalled_at: float = -math.inf  # when an owner last took some back: others want them

    @property
    def floor(self) -> int:
        """What we never lend."""
        return self.limit.floor_of(self.part)

    def occupied(self, now: float) -> int:
        """Rights that are spent and still count, own and lent."""
        return self.uses.advance(now) + sum(lease.uses.advance(now) for lease in self.leases.values())

    def held(self, now: float) -> int:
        """Rights that are lent to us."""
        return sum(lease.keep for lease in self.leases.values() if now < lease.until)


class Sharing:
    """The state of one instance's life."""

    def __init__(self, place: int, places: int, life: int, now: float, rng: random.Random, counters: Counts,
                 limits: Iterable[Limit] = ()) -> None:
        """`life` is above that of any earlier life of the place, as far as the clock allows."""
        self.place, self.places, self.life, self.began = place, places, life, now
        self.rng, self.counters = rng, counters
        self.holdings: dict[int, Holding] = {}  # by the limit's number
        self.by_name: dict[str, Holding] = {}
        self.present: frozenset[int] = frozenset()
        self.lives: dict[int, int] = {}  # the newest life that was heard of, by place
        self.told_places: dict[int, int] = {}  # the number of places that each was configured with
        self.ended = False  # our place has a newer life
        self.numbers = 0  # of leases given
        self.tallies = Tallies(place, now)
        self.due, self.ticked = math.inf, -math.inf
        self._agreed = places  # what our parts go by while a new number of places gets round
        _configure(self, now, Configured(tuple(limits), places))

    def next_at(self) -> float | None:
        """When to be woken; None: there is nothing to do."""
        return None if self.due == math.inf else self.due

    # ------------------------------------------------------------ on the way of a job

    def spend(self, now: float, name: str) -> bool | Ticket:
        """Spend a right of that limit: True, a `Ticket` to give back (of a pool), or False if none is left.

        Once True or a ticket was returned the right is spent, whatever becomes of the job.
        """
        holding = self.by_name[name]
        holding.demand.attempt(now)
        if self.due == math.inf:
            self.due = now + TICK_MS
        uses = self._free_uses(now, holding)
        if uses is None:
            holding.refused += 1
            holding.is_short = True
            self.due = min(self.due, max(now, self.ticked + TICK_MS / 4))
            return False
        holding.spent += 1
        self.tallies.spend(now, holding.limit.number)
        if holding.limit.is_pool:
            return Ticket(uses, uses.take(now))
        uses.spend(now)
        return True

    def has_free(self, now: float, name: str) -> bool:
        """Whether a right of that limit could be spent now."""
        return self._free_uses(now, self.by_name[name]) is not None

    def _free_uses(self, now: float, holding: Holding) -> Uses | None:
        if now < holding.dry_until:
            return None
        if self.own_free(now, holding) > 0:
            return holding.uses
        if holding.last is not None and holding.last.free(now) > 0:
            return holding.last.uses
        for lease in holding.leases.values():
            if lease.free(now) > 0:
                holding.last = lease
                return lease.uses
        self._run_dry(now, holding)
        return None

    def _run_dry(self, now: float, holding: Holding) -> None:
        """Nothing is free: note until when nothing can come free by time alone: the next refusal is cheap.

        Whatever else frees a right sets `dry_until` back; a pool's rights are given back by their jobs.
        """
        window = holding.limit.window_ms
        ends = [holding.uses.next_end(), holding.book.next_end,
                *(lease.uses.next_end() for lease in holding.leases.values()),
                *(at for at in (self.began + cool_ms(window) * DRIFT, self.began + hold_ms(LEASE_MS, window))
                  if at > now)]
        holding.frees_at = min(ends)
        holding.rights_here = self.own_part(now, holding) + holding.held(now)
        if not holding.limit.is_pool:
            holding.dry_until = holding.frees_at

    def own_free(self, now: float, holding: Holding) -> int:
        """Rights of our own part that may be spent now."""
        return max(0, self.own_part(now, holding) - holding.uses.advance(now) - holding.book.out(now))

    def own_part(self, now: float, holding: Holding) -> int:
        """What of our part this life may count with: see the law, 6 and 7."""
        if self.ended or now < self.began + cool_ms(holding.limit.window_ms) * DRIFT:
            return 0
        if now < self.began + hold_ms(LEASE_MS, holding.limit.window_ms):
            return holding.floor
        return holding.part

    def retry_after_ms(self, now: float, name: str) -> float:
        """When one that was refused now may come again and find a right, as far as is known here.

        Each refusal is told a later time: guards against all coming again at once.
        """
        holding = self.by_name[name]
        first, rights = holding.frees_at, max(1, holding.rights_here)
        if first == math.inf:  # nothing is occupied: rights may come from others within a lease
            first = now + min(holding.limit.window_ms, LEASE_MS)
        step = holding.limit.window_ms / rights
        holding.promised = max(first, holding.promised + step)
        if holding.promised > now + holding.limit.window_ms * 4:  # a crowd: don't send the last away for ever
            holding.promised = first
        return holding.promised - now


def give_back(ticket: Ticket) -> None:
    """The job of that ticket is over."""
    ticket.uses.give_back(ticket.number)


# ------------------------------------------------------------------ the core's messages


def step(state: Sharing, now: float, message: Message) -> list[Effect]:
    """Take one message in; what is to be done now."""
    effects: list[Effect] = []
    match message:
        case Woke():
            effects += _tick(state, now)
        case Heard(word):
            effects += _hear(state, now, word)
        case Present(places):
            state.present = places - {state.place}
        case Configured():
            effects += _configure(state, now, message)
        case Slept():
            _forget_leases(state, now)
    return effects


def _forget_leases(state: Sharing, now: float) -> None:
    """Nothing is held any more, and what we lent or spent may count for its whole time from now on."""
    state.counters["slept"] += 1
    state.tallies.end_life((state.place, state.life))
    state.began, state.life = now, max(state.life + 1, int(now))
    for holding in state.holdings.values():
        holding.leases.clear()
        holding.last, holding.dry_until = None, -math.inf


def _configure(state: Sharing, now: float, told: Configured) -> list[Effect]:
    """Limits are named, changed or no more. A part that shrinks counts at once; what is lent of it ends."""
    if told.places != state.places:
        state._agreed = min(state._agreed, told.places) if told.places < state.places else state.places
        state.places = told.places
        state.told_places.clear()
    named = {limit.number: limit for limit in told.limits}
    for number, limit in named.items():
        holding = state.holdings.get(number)
        if holding is None:
            window = limit.window_ms
            holding = state.holdings[number] = Holding(
                limit, 0, Uses(cool_ms(window)), Book(window, limit.is_pool))
        elif holding.limit != limit:
            state.tallies.replaced(now, holding.limit)
        if holding.limit.window_ms != limit.window_ms:  # what is out counts as it did
            for uses in (holding.uses, *(lease.uses for lease in holding.leases.values())):
                uses.occupied_ms = cool_ms(limit.window_ms)
            holding.book.window_ms = limit.window_ms
        holding.limit, holding.dry_until = limit, -math.inf
        holding.book.is_pool = limit.is_pool
    for number, holding in list(state.holdings.items()):
        if number not in named:  # it may come back: its book must be known then
            if holding.limit.rights:
                state.tallies.replaced(now, holding.limit)
            holding.limit = Limit(holding.limit.name, 0, holding.limit.window_ms, holding.limit.is_pool)
            holding.leases.clear()
            holding.last = None
            if not holding.book.out(now) and not holding.uses.advance(now):
                del state.holdings[number]
    state.by_name = {h.limit.name: h for n, h in state.holdings.items() if n in named}
    _set_parts(state)
    state.due = now
    return []


def _set_parts(state: Sharing) -> None:
    """Our parts; while places disagree on their number, the least that any number in play gives us."""
    numbers = {state.places, *(n for p, n in state.told_places.items() if p in state.present)}
    if state._agreed != state.places:
        wanted = set(range(max(state._agreed, state.places))) - {state.place}
        if all(state.told_places.get(p) == state.places for p in wanted):
            state._agreed = state.places
        numbers.add(state._agreed)
    for holding in state.holdings.values():
        holding.dry_until = -math.inf
        holding.part = min(holding.limit.part(state.place, n) for n in numbers)


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
        _set_parts(state)
    speaker, answers, effects = (word.place, word.life), list[Line](), list[Effect]()
    for line in word.lines:
        match line:
            case Ask():
                answers += _asked(state, now, speaker, line)
            case Grant() if is_ours:
                answers += _granted(state, now, speaker, line)
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


def _asked(state: Sharing, now: float, borrower: Borrower, ask: Ask) -> list[Line]:
    """Lend what we do not need, to each of those that asked of late as much."""
    holding = state.holdings.get(ask.limit)
    if holding is None:
        state.counters["unknown_limit"] += 1
        return []
    book = holding.book
    book.lower(now, borrower, ask.number, ask.keep, ask.occupied)
    holding.dry_until = -math.inf
    account = book.account(borrower)
    if ask.asked_at <= account.asked_at:
        return []  # late or doubled: answered before
    account.asked_at, account.heard_at, account.wants = ask.asked_at, now, ask.want
    lendable = _lendable(state, now, holding)
    fair = _fair(now, holding, lendable)
    free = lendable - book.out_but(now, borrower)
    n = max(0, min(ask.want, fair, free))
    if n < min(ask.want, fair):
        state.due = min(state.due, max(now, state.ticked + TICK_MS / 4))  # others have more than is fair
    return [_lend(state, now, holding, borrower, account, n)]


def _lendable(state: Sharing, now: float, holding: Holding) -> int:
    """What we may lend in all: the part less what we need. Nothing before the quiet time is over."""
    part = state.own_part(now, holding)
    if part < holding.part:
        return 0
    need = max(holding.floor, holding.uses.advance(now), holding.demand.lasting(
        now, holding.limit.window_ms, holding.occupied(now)) - holding.held(now))
    return max(0, part - need)


def _fair(now: float, holding: Holding, lendable: int) -> int:
    """The level of a max-min fair division among those that want rights: who wants less gets all of that."""
    wants = sorted(a.wants for a in holding.book.accounts.values() if now - a.heard_at < LEASE_MS)
    left = lendable
    for place, want in enumerate(wants):
        level = left / (len(wants) - place)
        if want >= level:
            return math.ceil(level)
        left -= want
    return MOST_RIGHTS


def _lend(state: Sharing, now: float, holding: Holding, borrower: Borrower, account: Account,
          n: int) -> Grant:
    """A new lease of n rights, written down before it is told."""
    state.numbers += 1
    holding.book.lend(now, borrower, state.numbers, n, LEASE_MS)
    if n:
        state.counters["lent"] += 1
    return Grant(holding.limit.number, int(account.asked_at), state.numbers, n, int(LEASE_MS))


def _granted(state: Sharing, now: float, owner: Borrower, grant: Grant) -> list[Line]:
    """A lease is ours from now on, in the place of the one before."""
    holding = state.holdings.get(grant.limit)
    if holding is None:
        state.counters["unknown_limit"] += 1
        return []
    limit = holding.limit
    lease = holding.leases.get(owner)
    most = limit.part(owner[0], state.told_places.get(owner[0], state.places))
    asked_at = state.began + grant.asked_at
    if grant.n > most or asked_at > now or grant.valid_ms > LEASE_MS:
        state.counters["nonsense"] += 1
        return []
    if lease is not None and grant.number <= lease.number:
        state.counters["late_grants"] += 1
        return []
    before = lease.keep if lease is not None else 0
    if grant.n > before:
        holding.not_before[owner[0]] = holding.backs[owner[0]] = 0.0
    else:
        back = min(BACK_MOST_MS, max(BACK_MS, 2 * holding.backs.get(owner[0], 0.0)))
        holding.backs[owner[0]] = back
        holding.not_before[owner[0]] = now + back * state.rng.uniform(1.0, 1.5)
    until = asked_at + grant.valid_ms
    if lease is None:
        if grant.n == 0 or until <= now:
            return []
        lease = holding.leases[owner] = Lease(0, 0, 0.0, Uses(cool_ms(limit.window_ms)), asked_at)
    lease.number, lease.keep, lease.until = grant.number, grant.n, until
    holding.dry_until = -math.inf
    state.due = min(state.due, now + TICK_MS)
    if grant.n:
        state.counters["borrowed"] += 1
    if grant.n >= before:
        return []
    # A recall: others want it. Keep what is needed now, and tell what is still occupied: the rest is free
    # then.
    have, need = _needs(state, now, holding)
    lease.keep -= min(max(0, have - need), lease.keep)
    holding.recalled_at = now
    return [_ask(state, now, holding, lease, lease.keep)]


def _ask(state: Sharing, now: float, holding: Holding, lease: Lease | None, want: int) -> Ask:
    asked_at = int(now - state.began)
    if lease is None:
        return Ask(holding.limit.number, asked_at, want)
    lease.asked_at = now
    return Ask(holding.limit.number, asked_at, want, lease.number, lease.keep, lease.uses.advance(now))


# ------------------------------------------------------------------ the tick


def _tick(state: Sharing, now: float) -> list[Effect]:
    lines: dict[int, list[Line]] = {}
    is_quiet, state.ticked = True, now
    for holding in state.holdings.values():
        holding.book.out(now)
        _drop_ended(now, holding)
        for place, line in [*_renewals(state, now, holding), *_wishes(state, now, holding),
                            *_recalls(state, now, holding), *_offers(state, now, holding)]:
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


def _drop_ended(now: float, holding: Holding) -> None:
    for owner in list(holding.leases):
        lease = holding.leases[owner]
        if now >= lease.until and not lease.uses.advance(now):
            if holding.last is lease:
                holding.last = None
            del holding.leases[owner]


def _needs(state: Sharing, now: float, holding: Holding) -> tuple[int, int]:
    """What we have in all, and what we need of it for the coming moment."""
    have = max(0, state.own_part(now, holding) - holding.book.out(now)) + holding.held(now)
    need = holding.demand.need(now, holding.limit.window_ms, holding.occupied(now))
    return have, max(need, have + 1) if holding.is_short else need


def _renewals(state: Sharing, now: float, holding: Holding) -> list[tuple[int, Line]]:
    """Ask again for what is held and needed; give the rest back."""
    if not holding.leases:
        return []
    window = holding.limit.window_ms
    lasting = holding.demand.lasting(now, window, holding.occupied(now))
    have, need = _needs(state, now, holding)
    surplus = have - (need if now - holding.recalled_at < PEAK_MS else lasting)
    told: list[tuple[int, Line]] = []
    for (place, _), lease in holding.leases.items():
        less = min(max(0, surplus), lease.keep) if now < lease.until else 0
        gives = less >= max(1, lease.keep // 4)
        if gives:
            surplus -= less
            lease.keep -= less
        ebbs = lease.uses.advance(now) > lease.keep
        if gives or (now < lease.until and (lease.keep or ebbs)
                     and now - lease.asked_at >= (EBB_MS if ebbs else RENEW_MS)):
            told.append((place, _ask(state, now, holding, lease, lease.keep)))
    return told


def _wishes(state: Sharing, now: float, holding: Holding) -> list[tuple[int, Line]]:
    """Ask some others for what we are short of."""
    have, need = _needs(state, now, holding)
    missing = need - have
    if missing <= 0:
        return []
    may = [p for p in state.present if p < state.places and holding.not_before.get(p, -math.inf) <= now]
    state.rng.shuffle(may)
    may = may[:max(LEAST_ASKED, math.ceil(ASKED_PART * len(state.present)))]
    told: list[tuple[int, Line]] = []
    each = math.ceil(missing * (1 if len(may) <= 1 else 2) / max(1, len(may)))
    for place in may:
        holding.not_before[place] = now + AGAIN_MS
        lease = holding.leases.get((place, state.lives.get(place, 0)))
        kept = lease.keep if lease is not None and now < lease.until else 0
        told.append((place, _ask(state, now, holding, lease, kept + each)))
    return told


def _recalls(state: Sharing, now: float, holding: Holding) -> list[tuple[int, Line]]:
    """Take back what we need ourselves of what we lent, and what is above a fair share others want."""
    out = holding.book.out(now)
    if not out:
        return []
    lendable = _lendable(state, now, holding)
    fair = _fair(now, holding, lendable)
    accounts = holding.book.accounts.values()
    wanted = sum(min(a.wants, fair) for a in accounts if now - a.heard_at < LEASE_MS)
    if out <= lendable and wanted <= lendable - out + sum(
            min(a.most, a.wants, fair) for a in accounts):
        return []
    told: list[tuple[int, Line]] = []
    for borrower, account in list(holding.book.accounts.items()):
        n = max(0, min(account.n, fair))
        if n < account.n and now - account.recalled_at >= AGAIN_MS:
            account.recalled_at = now
            told.append((borrower[0], _lend(state, now, holding, borrower, account, n)))
            state.counters["recalled"] += 1
    return told


def _offers(state: Sharing, now: float, holding: Holding) -> list[tuple[int, Line]]:
    """Lend what came free to those that were not lent all that they asked for, unasked."""
    accounts = holding.book.accounts
    short = [b for b, a in accounts.items() if a.n < a.wants and now - a.heard_at < OFFER_MS]
    if not short:
        return []
    lendable = _lendable(state, now, holding)
    fair = _fair(now, holding, lendable)
    told: list[tuple[int, Line]] = []
    for borrower in short:
        account = accounts[borrower]
        n = min(account.wants, fair, lendable - holding.book.out_but(now, borrower))
        if n > account.n:
            told.append((borrower[0], _lend(state, now, holding, borrower, account, n)))
            state.counters["offered"] += 1
    return told


# ------------------------------------------------------------------ saying


def _say(state: Sharing, place: int, lines: list[Line]) -> Say:
    return Say(place, Word(state.place, state.life, state.places, state.lives.get(place, 0), lines))


def _words(state: Sharing, place: int, lines: list[Line]) -> list[Effect]:
    return [_say(state, place, lines[i:i + MOST_WORD_LINES]) for i in range(0, len(lines), MOST_WORD_LINES)]


def _interval(state: Sharing, now: float, holding: Holding) -> dict[str, Any]:
    told = state.tallies.total(now, holding.limit, state.places)
    return {"window": window_of(now), "low": told.low, "high": told.high if told.high >= 0 else None,
            "oldest_ms": round(min(told.oldest_ms, 1e9), 1), "unheard": list(told.unheard)}


def view(state: Sharing, now: float) -> list[dict[str, Any]]:
    """What a page tells of each limit: rights, our part, what is lent and held, spent and refused."""
    told = []
    for holding in sorted(state.by_name.values(), key=lambda h: h.limit.name):
        limit = holding.limit
        told.append({
            "name": limit.name, "rights": limit.rights, "window_ms": limit.window_ms,
            "kind": "pool" if limit.is_pool else "rate", "part": holding.part, "floor": holding.floor,
            "usable": state.own_part(now, holding), "lent": holding.book.out(now), "held": holding.held(now),
            "occupied": holding.occupied(now), "spent": holding.spent, "refused": holding.refused,
            "fleet": _interval(state, now, holding),
            "wanted": holding.demand.need(now, limit.window_ms, holding.occupied(now)),
        })
    return told

