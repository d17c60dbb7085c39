"""Ways: what instances tell of who hears whom, held against what the net carried.

`ways`: for `ways_s` the cuts were the same, no other fault was on and nobody was started or stopped, and a
row of the matrix names a sender that is heard, or does not name one that is not. `ways-none`: a cut in one
direction lasted twice as long as that, and no instance told anything of it. `cut-death`: an instance that
exchanged words both ways with at least half of the others all that time was held for gone.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import pairwise

from flintfield.lab.fleet.history import Claim, History
from flintfield.lab.fleet.judge.finding import Finding
from flintfield.lab.fleet.net import Pair

PAGE = "/members"
GONE = ("dead", "left")


def check(history: History) -> Iterator[Finding]:
    """Nothing where no plan cuts ways."""
    kinds = {n: fault.kind_of() for n, fault in enumerate(history.plan.faults)}
    if "cut" not in kinds.values() or "membership" not in history.plan.sections:
        return
    spans = list(_spans(history, kinds))
    span_ms = history.bounds.ways_s * 1000
    told_of: set[int] = set()
    found: set[tuple[str, str, str]] = set()
    for claim in history.of_page(PAGE):
        for place, (since, until, cuts, alone) in enumerate(spans):
            if not (since + span_ms <= claim.asked and claim.at <= until):
                continue
            for name, key, word in (*_rows(history, claim, cuts if alone else None, since, place, told_of),
                                    *_deaths(history, claim, cuts, since)):
                if (name, claim.name, key) not in found:
                    found.add((name, claim.name, key))
                    yield Finding(name, claim.at, word)
    for place, (since, until, cuts, alone) in enumerate(spans):
        one_sided = any((b, a) not in cuts for a, b in cuts)
        if alone and one_sided and until - since >= 2 * span_ms and place not in told_of:
            yield Finding("ways-none", until, f"{len(cuts)} ways were shut for {(until - since) / 1000:.0f} "
                          f"s, and nobody told of one")


def _spans(history: History, kinds: dict[int, str]) -> Iterator[tuple[float, float, frozenset[Pair], bool]]:
    """From when to when which ways were cut, and whether nothing else was wrong with the net meanwhile."""
    moments = sorted({0.0, *(f.at for f in history.faults), *(p.at for p in history.processes if p.at > 0),
                      history.end})
    for since, until in pairwise(moments):
        on: dict[int, frozenset[Pair]] = {}
        for seen in history.faults:
            if seen.at <= since:
                if seen.act == "begin":
                    on[seen.deed.number] = frozenset(seen.deed.pairs)
                else:
                    on.pop(seen.deed.number, None)
        cuts = frozenset(p for n, pairs in on.items() if kinds[n] == "cut" for p in pairs)
        yield since, until, cuts, all(kinds[n] in ("cut", "kill", "term", "stop") for n in on)


def _rows(history: History, claim: Claim, cuts: frozenset[Pair] | None, since: float, place: int,
          told_of: set[int]) -> Iterator[tuple[str, str, str]]:
    if cuts is None:
        return
    live = {m["name"] for m in claim.told["members"] if m["state"] not in GONE}
    for hearer, row in claim.told.get("paths", {}).get("rows", {}).items():
        named = set(row["not_heard"])
        if named:
            told_of.add(place)
        there = [n for n in history.instances if n != hearer and n in live
                 and history.lived(n, since, claim.at)]
        if hearer not in live or not history.lived(hearer, since, claim.at):
            continue
        for sender in there:
            if ((sender, hearer) in cuts) is not (sender in named) and not row["more"]:
                is_word = "is not" if sender in named else "is"
                yield "ways", f"{sender}>{hearer}", (
                    f"{claim.name} was told {row['age_s']:g} s ago that {sender} {is_word} heard by {hearer}")


def _deaths(history: History, claim: Claim, cuts: frozenset[Pair],
            since: float) -> Iterator[tuple[str, str, str]]:
    names = [n for n in history.instances if history.lived(n, since, claim.at)]

    def sound(name: str) -> bool:
        both = [o for o in names if o != name and (o, name) not in cuts and (name, o) not in cuts]
        return len(both) * 2 >= len(names) - 1

    if claim.name not in names or not sound(claim.name):
        return
    for member in claim.told["members"]:
        if member["name"] in names and member["state"] in GONE and sound(member["name"]):
            yield "cut-death", member["name"], (
                f"{claim.name} holds {member['name']} for {member['state']}, which speaks with half of the "
                "others")
