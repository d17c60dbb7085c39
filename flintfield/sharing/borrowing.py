"""The borrower's side: leases that come, are renewed and given back, and the asks for more."""

from __future__ import annotations

import math

from flintfield.sharing.book import Borrower
from flintfield.sharing.holding import Holding, Lease
from flintfield.sharing.rules import (
    AGAIN_MS, ASKED_PART, BACK_MOST_MS, BACK_MS, EBB_MS, LEASE_MS, LEAST_ASKED, PEAK_MS, RENEW_MS, TICK_MS,
)
from flintfield.sharing.state import Sharing
from flintfield.sharing.uses import Uses
from flintfield.sharing.words import Ask, Grant, Line


def granted(state: Sharing, now: float, owner: Borrower, grant: Grant) -> list[Line]:
    """A lease is ours from now on, in the place of the one before."""
    holding = state.holdings.get(grant.limit)
    if holding is None:
        state.counters["unknown_limit"] += 1
        return []
    lease = holding.leases.get(owner)
    if not _is_acceptable(state, now, owner, grant, holding, lease):
        return []
    before = lease.keep if lease is not None else 0
    _back_off(state, now, holding, owner[0], grant.n > before)
    asked_at = state.began + grant.asked_at
    until = asked_at + grant.valid_ms
    if lease is None:
        if grant.n == 0 or until <= now:
            return []
        lease = holding.leases[owner] = Lease(0, 0, 0.0, Uses(holding.cool_ms), asked_at)
    lease.number, lease.keep, lease.until = grant.number, grant.n, until
    holding.dry_until = -math.inf
    state.due = min(state.due, now + TICK_MS)
    if grant.n:
        state.counters["borrowed"] += 1
    return [_recalled(state, now, holding, lease)] if grant.n < before else []


def _is_acceptable(state: Sharing, now: float, owner: Borrower, grant: Grant, holding: Holding,
                   lease: Lease | None) -> bool:
    """Whether a grant can be true, and is newer than the lease that we have."""
    most = holding.limit.part(owner[0], state.told_places.get(owner[0], state.places))
    if grant.n > most or state.began + grant.asked_at > now or grant.valid_ms > LEASE_MS:
        state.counters["nonsense"] += 1
        return False
    if lease is not None and grant.number <= lease.number:
        state.counters["late_grants"] += 1
        return False
    return True


def _back_off(state: Sharing, now: float, holding: Holding, place: int, has_lent_more: bool) -> None:
    """An owner that lent no more than before is left alone for a while, each time for longer."""
    if has_lent_more:
        holding.not_before[place] = holding.backs[place] = 0.0
        return
    back = min(BACK_MOST_MS, max(BACK_MS, 2 * holding.backs.get(place, 0.0)))
    holding.backs[place] = back
    holding.not_before[place] = now + back * state.rng.uniform(1.0, 1.5)


def _recalled(state: Sharing, now: float, holding: Holding, lease: Lease) -> Ask:
    """Others want it: keep what is needed now, and tell what is still occupied; the rest is free then."""
    have, need = _needs(state, now, holding)
    lease.keep -= min(max(0, have - need), lease.keep)
    holding.recalled_at = now
    return _ask(state, now, holding, lease, lease.keep)


def _ask(state: Sharing, now: float, holding: Holding, lease: Lease | None, want: int) -> Ask:
    asked_at = int(now - state.began)
    if lease is None:
        return Ask(holding.limit.number, asked_at, want)
    lease.asked_at = now
    return Ask(holding.limit.number, asked_at, want, lease.number, lease.keep, lease.uses.advance(now))


def _needs(state: Sharing, now: float, holding: Holding) -> tuple[int, int]:
    """What we have in all, and what we need of it for the coming moment."""
    have = max(0, state.own_part(now, holding) - holding.book.out(now)) + holding.held(now)
    need = holding.demand.need(now, holding.limit.window_ms, holding.occupied(now))
    return have, max(need, have + 1) if holding.is_short else need


def renewals(state: Sharing, now: float, holding: Holding) -> list[tuple[int, Line]]:
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


def wishes(state: Sharing, now: float, holding: Holding) -> list[tuple[int, Line]]:
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
