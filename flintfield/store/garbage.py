"""What compaction takes, and what becomes of an entry. Pure decisions; `compaction.py` carries them out.

While more than `garbage_share` of the sealed bytes is dead, the segments with the most dead bytes in
proportion are taken, as many as have one segment's worth of live data (greedy choice of Rosenblum and
Ousterhout, "The Design and Implementation of a Log-Structured File System", TOCS 1992). So the disk holds
at most one segment more than before, and the share bounds the space.

Weighed: cost-benefit choice (same paper) needs the age of data and gains where hot and cold data lie mixed
for long; a compaction of all segments at once (Bitcask) drops deletes without asking but needs the space of
all live data.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Container, Mapping, Sequence
from enum import Enum
from itertools import accumulate
from typing import NamedTuple

from flintfield.store.batch import Settings
from flintfield.store.format import DELETE, ENTRY_HEAD, FRAME_HEAD, MOST_KEY, MOST_NAME, SEGMENT_HEAD, Entry
from flintfield.store.index import SEQ, Usage
from flintfield.store.manifest import Sealed

CHUNK = 64 * 1024  # bytes of one frame of moved entries
MOST_INPUTS = 16
MOST_HEAD = ENTRY_HEAD + MOST_NAME + MOST_KEY
WORTH = 0.2  # a segment less dead than this costs more than it gives
DEAD = 0.95  # a segment more dead than this is taken whatever the others are like
UNKNOWN = 1 << 40
MOST_BEHIND = 2  # segments of dead data beyond what the share allows, where writers are slowed most


def garbage(sealed: Sealed, usage: Usage, stale: int) -> int:
    """Bytes of a segment that compaction is sure not to copy.

    `stale` counts dead puts in other segments that are older: each may hold one delete back, so as many
    deletes (or puts whose time is over) are counted as staying, at their largest.
    """
    return sealed.length - usage.bytes - min(sealed.heads, stale * MOST_HEAD)


class Candidate(NamedTuple):
    """A segment and what compaction would make of it."""

    sealed: Sealed
    usage: Usage
    garbage: int


def candidates(segments: Sequence[Sealed], usages: Mapping[int, Usage], spoilt: Container[int] = ()
               ) -> list[Candidate]:
    """Each sealed segment with its garbage, without those that are `spoilt` by damage."""
    none = Usage()
    by_age = sorted(segments, key=lambda one: one.least_seq)
    # Nobody can tell what a spoilt one holds: it may hold all deletes back.
    stale = [UNKNOWN if one.segment in spoilt else one.puts - usages.get(one.segment, none).entries
             for one in by_age]
    ages, sums = [one.least_seq for one in by_age], list(accumulate(stale, initial=0))
    found = []
    for sealed, own in zip(by_age, stale, strict=True):
        if sealed.segment not in spoilt:
            older = sums[bisect_left(ages, sealed.most_seq)]
            older -= own if sealed.least_seq < sealed.most_seq else 0
            usage = usages.get(sealed.segment, none)
            found.append(Candidate(sealed, usage, garbage(sealed, usage, older)))
    return found


def choose(segments: Sequence[Sealed], usages: Mapping[int, Usage], settings: Settings, share: float,
           spoilt: Container[int] = ()) -> list[Sealed]:
    """The segments to compact now, while more than `share` of all is dead; empty if that can wait.

    What is chosen shrinks by `WORTH` for sure, so compaction comes to an end.
    """
    found = candidates(segments, usages, spoilt)
    total = sum(one.sealed.length for one in found)
    wanted = sum(one.garbage for one in found) > share * total
    order = sorted(found, key=lambda one: one.garbage / one.sealed.length, reverse=True)
    chosen: list[Candidate] = []
    live = entries_kept = 0
    for one in order:
        dead = one.garbage / one.sealed.length
        if dead < (WORTH if wanted else DEAD) or len(chosen) == MOST_INPUTS:
            break
        live += one.sealed.length - one.garbage
        entries_kept += one.usage.entries + one.sealed.deletes + one.sealed.lasting
        if chosen and (live > settings.segment_bytes or entries_kept > settings.segment_entries):
            break
        chosen.append(one)
    before = sum(one.sealed.length for one in chosen)
    after = sum(one.sealed.length - one.garbage for one in chosen)
    after += SEGMENT_HEAD + (3 + after // CHUNK) * FRAME_HEAD + 4 * len(chosen)
    return [one.sealed for one in chosen] if chosen and before - after >= WORTH * before else []


class Verdict(Enum):
    """What becomes of an entry."""

    KEEP = "live"
    DROP = "a newer entry stands for its key"
    BURY = "its key is gone: keep a delete while an older put may be somewhere"


def judge(entry: Entry, here: int, newest: int | None, now: int) -> Verdict:
    """What becomes of an entry that lies at place `here`, if the index knows `newest` of its key."""
    overtaken = newest is not None and newest >> SEQ > entry.seq
    if entry.kind == DELETE:
        return Verdict.DROP if overtaken else Verdict.BURY
    if 0 < entry.expires <= now:
        return Verdict.DROP if overtaken else Verdict.BURY
    return Verdict.KEEP if newest == here else Verdict.DROP


def pressure(segments: Sequence[Sealed], usages: Mapping[int, Usage], settings: Settings) -> float:
    """How far compaction has fallen behind, from 0 (it has not) to 1 (by `MOST_BEHIND` segments or more)."""
    total = sum(one.length for one in segments)
    live = sum(usage.bytes for usage in list(usages.values()))
    allowed = live / (1 - settings.garbage_share) + settings.segment_bytes
    return min(1.0, max(0.0, (total - allowed) / (MOST_BEHIND * settings.segment_bytes)))


def holds_nothing(sealed: Sealed, usage: Usage | None) -> bool:
    """Whether a segment can go unread: nothing in it is live, and no delete may be needed."""
    return not sealed.heads and (usage is None or not usage.entries)
