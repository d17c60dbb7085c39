"""What a page tells of maintenance: what is out and why not yet, who is not heard, what is free."""

from __future__ import annotations

from typing import Any

from flintfield.maintenance.barring import Barring
from flintfield.maintenance.episodes import FRESH_MS, Episode
from flintfield.maintenance.executor import Executor


def page_of(name: str, now: float, barring: Barring, executor: Executor | None) -> dict[str, Any]:
    """One instance's view; plain values."""
    told: dict[str, Any] = {
        "name": name, "at_ms": round(now, 1), "version": barring.version,
        "scheduler": {"life": barring.life, "grown": barring.grown, "barred": sorted(barring.barred),
                      "lost": sorted(barring.lost), "fences": {str(p): f for p, f in barring.fences.items()}},
    }
    if executor is not None:
        told["executor"] = _executor(now, executor)
    return told


def _executor(now: float, executor: Executor) -> dict[str, Any]:
    account = executor.account
    mode = "ended: our place has a newer process" if executor.ended else (
        "beginning: not all schedulers know of this life" if not account.sealed else
        "beginning: not all places have told what they know" if not account.whole else
        "held" if executor.held else "at work")
    return {
        "place": executor.place, "places": executor.places, "life": executor.life, "mode": mode,
        "unconfirmed": executor.unconfirmed(now), "off": sorted(executor.off),
        "in_doubt": len(executor.doubt), "lost": sorted(executor.lost(now)),
        "places_unknown": [p for p, pair in account.pairs.items() if pair.had is None],
        "pools": {n: {"units": p.units, "owned": account.owned(n), "free": account.free(n),
                      "bound": sum(u.get(n, 0) for u in account.bound.values())}
                  for n, p in sorted(account.pools.items())},
        "nodes": [_episode(now, executor, e) for e in executor.episodes.values()],
        "others": {str(p): {"age_ms": round(now - t.at, 1), "nodes": [[b.bar.node, b.phase] for b in t.bound]}
                   for p, t in sorted(executor.others.items())},
        "waiting": [[w.node, w.work] for w in executor.wanted],
    }


def _episode(now: float, executor: Executor, episode: Episode) -> dict[str, Any]:
    return {"node": episode.bar.node, "number": episode.bar.number, "life": episode.bar.life,
            "phase": episode.phase, "work": episode.work, "adopted": episode.adopted,
            "safe_to_touch": executor.is_safe(now, episode), "for_ms": round(now - episode.began, 1),
            "units": episode.units, "why": why(now, executor, episode)}


def why(now: float, executor: Executor, episode: Episode) -> list[str]:
    """What the next step of an episode waits for, one sentence each."""
    found = []
    missing = executor.unconfirmed(now)
    if episode.phase == "safe":
        return [f"{n} has confirmed nothing for {FRESH_MS / 1000:g} s" for n in missing]
    if not episode.settling.done:
        found += [f"{n} has not confirmed it{'' if n in missing else ' a second time'}"
                  for n in episode.settling.missing(executor.needed)]
    if episode.phase == "draining":
        for name, heard in sorted(executor.heard.items()):
            count = sum(b.open for b in heard.report.bars if b.bar.node == episode.bar.node)
            if count:
                found.append(f"{count} jobs of {name} are there")
        for name, at in sorted(executor.changed_at.items()):
            if now - at < executor.longest_ms:
                found.append(f"{name} was started anew {(now - at) / 1000:.1f} s ago: jobs of its former "
                             f"life may be there for {executor.longest_ms / 1000:g} s")
    elif not episode.seen:
        found.append("no scheduler has seen it serve since; it costs its units until then, or until an "
                     "operator vouches for it")
    return found
