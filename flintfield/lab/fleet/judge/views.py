"""Membership: what each instance believes of the others, held against who was there.

`views`: `heal_s` after the last fault, an instance that is there holds one that is there for gone, or one
that is not for there; or no instance claims anything by then. `false-death`: one that was there and
untouched by any fault for `heal_s` is held for gone by another one such.
"""

from __future__ import annotations

from collections.abc import Iterator

from flintfield.lab.fleet.history import Claim, History
from flintfield.lab.fleet.judge.finding import Finding

PAGE = "/members"
LIVE = ("alive", "suspect")
LEAST_MS = 1_000.0  # of a trial after views are settled: less shows nothing


def check(history: History) -> Iterator[Finding]:
    """Both invariants."""
    if PAGE not in history.plan.pages or "membership" not in history.plan.sections:
        return
    bound = history.bounds.heal_s * 1000
    settled = max(0.0, history.calm_since) + bound
    heard: set[str] = set()
    for claim in history.of_page(PAGE):
        if claim.asked >= settled:
            heard.add(claim.name)
            yield from _settled(history, claim)
        else:
            yield from _false_deaths(history, claim, bound)
    if settled + LEAST_MS > history.end:
        yield Finding("views", history.end, f"the trial ended at {history.end:.0f} ms, and views are judged "
                      f"from {settled:.0f} ms on: nothing was shown")
    else:
        for name in history.instances:
            if name not in heard and history.lived(name, settled, history.end):
                yield Finding("views", history.end, f"{name} told no view after {settled:.0f} ms")


def _view(claim: Claim) -> dict[str, str]:
    return {m["name"]: m["state"] for m in claim.told.get("members", [])}


def _settled(history: History, claim: Claim) -> Iterator[Finding]:
    view = _view(claim)
    for name in history.instances:
        is_there = history.lived(name, claim.asked, claim.at)
        state = view.get(name, "unknown")
        if is_there and state not in LIVE:
            yield Finding("views", claim.at, f"{claim.name} holds {name} for {state}, which is there")
        elif not is_there and state in LIVE and not any(a <= claim.at <= b for a, b in history.lives(name)):
            yield Finding("views", claim.at, f"{claim.name} holds {name} for {state}, which is gone")


def _false_deaths(history: History, claim: Claim, bound: float) -> Iterator[Finding]:
    since = claim.asked - bound
    quiet = [n for n, state in _view(claim).items() if state in ("dead", "left") and n in history.instances]
    for name in quiet:
        if all(history.lived(n, max(since, 0.0), claim.at) and not history.troubled(n, since, claim.at)
               for n in (name, claim.name)) and claim.asked >= bound:
            yield Finding("false-death", claim.at, f"{claim.name} holds {name} for gone, and nothing was "
                          f"wrong with either for {bound:.0f} ms")
