"""Which works may begin now: windows, notice, order and dates, as executors ask each minute.

An executor needs no plan to be safe: it takes out what may go now, soonest date first, as far as its units
reach. The plan (`schedule.py`) says beforehand when that will be, and whether all fits.
"""

from __future__ import annotations

from collections.abc import Collection

from flintfield.maintenance.agreements import Book, Work
from flintfield.maintenance.executor import Wanted
from flintfield.maintenance.windows import allowed, pieces, to_minutes


def due(book: Book, now: int, began: int, done: Collection[tuple[str, str]]) -> list[Wanted]:
    """What may begin at this Unix minute; notice counts from `began`, since when the file is in force.

    `done` has works and nodes that are over. Thousands of nodes take a second: not for the event loop.
    """
    found: list[tuple[int, Work, str]] = []
    names = {w.name for w in book.works if any((w.name, n.name) not in done for n in book.nodes_for(w))}
    weights = book.weights()
    fits: dict[tuple[str, int], bool] = {}
    for work in book.works:
        latest = 2**40
        if work.latest is not None:
            local = work.latest if work.latest.tzinfo else work.latest.replace(tzinfo=book.place())
            latest = to_minutes(local)
        if names & set(work.after) or now + work.minutes > latest:
            continue
        for node in book.nodes_for(work):
            if (work.name, node.name) in done:
                continue
            if all(_fits(book, name, now, began, work.minutes, fits) for name in weights[node.name]):
                found.append((latest, work, node.name))
    busy = {work.name for _, work, _ in found}
    found = [f for f in found if not any(a in busy and a < f[1].name for a in (
        *f[1].apart, *(w.name for w in book.works if f[1].name in w.apart)))]
    found.sort(key=lambda f: (f[0], f[1].name, f[2]))
    return [Wanted(node, work.name, rank) for rank, (_, work, node) in enumerate(found)]


def _fits(book: Book, name: str, now: int, began: int, minutes: int,
          known: dict[tuple[str, int], bool]) -> bool:
    if (name, minutes) not in known:
        agreement = next((a for a in book.agreements if a.name == name), None)
        if agreement is None:  # a pool of how many at once
            return known.setdefault((name, minutes), True)
        spans = pieces(allowed(book, agreement, began, now + minutes + 1))
        known[name, minutes] = any(first <= now and now + minutes <= last for first, last in spans)
    return known[name, minutes]
