"""The ground itself: a cut passes nothing, and every stream's dialler was told.

These findings are about the trial, not about the program.
"""

from __future__ import annotations

from collections.abc import Iterator

from flintfield.lab.fleet.history import History
from flintfield.lab.fleet.judge.finding import Finding
from flintfield.lab.fleet.plan import Cut


def check(history: History) -> Iterator[Finding]:
    """`passing`: a word was handed on in a cut that had lasted for `cut_ms` and went on to the end."""
    lasting: dict[int, float] = {}
    for seen in history.faults:
        if isinstance(seen.deed.fault, Cut):
            if seen.act == "begin":
                lasting[seen.deed.number] = seen.at
            else:
                lasting.pop(seen.deed.number, None)
    for seen in history.faults:
        if seen.deed.number not in lasting or seen.act != "begin":
            continue
        for pair in sorted(seen.deed.pairs):
            carried = history.carried.get(pair)
            if carried and carried.last_passed > seen.at + history.bounds.cut_ms:
                yield Finding("passing", carried.last_passed, f"a word from {pair[0]} to {pair[1]} passed "
                              f"{carried.last_passed - seen.at:.0f} ms after their cut began")
