"""The owner's side: what of our part we lend to those that ask, take back, and offer unasked."""

from __future__ import annotations

import math

from flintfield.sharing.book import Account, Borrower
from flintfield.sharing.holding import Holding
from flintfield.sharing.rules import AGAIN_MS, LEASE_MS, MOST_RIGHTS, OFFER_MS, TICK_MS
from flintfield.sharing.state import Sharing
from flintfield.sharing.words import Ask, Grant, Line


def asked(state: Sharing, now: float, borrower: Borrower, ask: Ask) -> list[Line]:
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


def recalls(state: Sharing, now: float, holding: Holding) -> list[tuple[int, Line]]:
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


def offers(state: Sharing, now: float, holding: Holding) -> list[tuple[int, Line]]:
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
