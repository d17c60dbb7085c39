"""Judgements: what is out on hearsay stays within its bound, and no good worker node is out for long.

`hearsay-out`: a page tells of more worker nodes out for a class than the bound allows. `hearsay-lasts`: a
node on which no job ever ended in an error was avoided at an instance for longer than GOOD_MS. `doubt-lasts`:
an instance believed longer than DOUBT_MS that a node is not reached, without having asked it itself.
`hearsay-none`: the plan shares judgements, and when the faults were over some instance that lived counted
nothing of what others hold.
"""

from __future__ import annotations

from collections.abc import Iterator

from flintfield.lab.fleet.history import Claim, History
from flintfield.lab.fleet.judge.finding import Finding
from flintfield.lab.log import Broke

PAGE = "/judgements"
GOOD_MS, DOUBT_MS = 5_000.0, 3_000.0
PART = 0.25  # of the listed nodes
HEARD = 0.5  # of what others hold is counted at the least, once all is well


def check(history: History) -> Iterator[Finding]:
    """Nothing where no plan shares judgements."""
    if history.plan.sections.get("sharing", {}).get("judgements") not in (True, "on"):
        return
    failed = {r.node for r in history.log if isinstance(r, Broke) and r.how == "error"}
    since: dict[tuple[str, str, str], float] = {}
    found: set[tuple[str, str, str]] = set()
    last: dict[str, Claim] = {}
    for claim in history.of_page(PAGE):
        last[claim.name] = claim
        nodes = claim.told["nodes"]
        for cls, count in claim.told["out"].items():
            if count > max(1, int(PART * len(nodes))):
                yield Finding("hearsay-out", claim.at,
                              f"{claim.name}: {count} of {len(nodes)} out for {cls}")
        for node in nodes:
            lasting = {"hearsay-lasts": bool(node["avoided"]) and node["name"] not in failed,
                       "doubt-lasts": bool(node["doubted"])}
            for name, is_so in lasting.items():
                key = (name, claim.name, node["name"])
                if not is_so:
                    since.pop(key, None)
                    continue
                lasts = claim.asked - since.setdefault(key, claim.at)
                if lasts > (GOOD_MS if name == "hearsay-lasts" else DOUBT_MS) and key not in found:
                    found.add(key)
                    yield Finding(name, claim.at,
                                  f"{claim.name}: {node['name']} for {lasts / 1_000:.1f} s")
    over = max((f.at for f in history.faults), default=0.0) + history.bounds.heal_s * 1_000
    for name, claim in last.items():
        if claim.at >= over and claim.told["weight"] < HEARD:
            yield Finding("hearsay-none", claim.at,
                          f"{name}: others' slots are counted at {claim.told['weight']}")
