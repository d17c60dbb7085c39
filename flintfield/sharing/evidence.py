"""What instances tell each other of worker nodes: who holds how much where, and how jobs ended.

Each instance owns one row for each worker node that it has anything to say of, with the moment of its last
change on the instance's own clock. A word to one other holds all rows that changed after what that one is
known to have (`upto`, which comes back in its words), so a lost word is made good by the next, and what comes
twice, late or in another order changes nothing: of one instance's life the newest `upto` counts, by row the
newest change. A newer life takes the place of an older one whole.

How old news can be is bounded without a common clock: a word returns the newest stamp that its teller had
from us, and what it tells was true after we sent that.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

Clock = Annotated[int, Meta(ge=0, le=2**53)]
Key = Annotated[int, Meta(ge=0, le=2**62)]
Tenths = Annotated[int, Meta(ge=0, le=1_000_000)]
Place = Annotated[int, Meta(ge=0, le=4_096)]
UNREACHED = -1  # stands among classes for a node that is not reached
MOST_CLASSES, MOST_ROWS, MOST_WORKERS = 8, 40, 8_192
SOME = 64  # rows on nodes that are not listed here are kept beside as many as are listed


class Tally(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How jobs of a class ended, in tenths of a job: older ones count less (`experience.HALF_MS`)."""

    cls: Annotated[int, Meta(ge=0, le=255)]
    failed: Tenths
    served: Tenths


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one instance has seen of one worker node."""

    worker: Key
    held: Tenths  # slots that its jobs hold there, in tenths
    most: Tenths = 0  # most slots that it ever saw free, in tenths; 0: none
    started: Clock = 0  # the node's life: Unix ms of its start as listed; 0: long ago
    unreached: Annotated[int, Meta(ge=0, le=1)] = 0  # it takes no connection or is silent, from there
    tallies: Annotated[tuple[Tally, ...], Meta(max_length=MOST_CLASSES)] = ()


class News(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One word to one other."""

    place: Place
    life: Key
    zone: Annotated[int, Meta(ge=0, le=255)]
    stamp: Clock  # ms of the teller's life: now
    since: Clock  # its rows with changes after this
    upto: Clock  # and up to this are all in the word
    echo: Clock  # the newest stamp that it has from the one it speaks to
    had: Clock  # the newest `upto` that it has from there
    to: Key  # of which life; 0: none was heard
    rows: Annotated[list[Row], Meta(max_length=MOST_ROWS)]


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[News] = msgspec.msgpack.Decoder(News)


def write(news: News) -> bytes:
    """For a datagram."""
    return _encoder.encode(news)


def read(data: bytes) -> News | None:
    """A word; None if it is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


class Own:
    """Our rows, by the order of their last change."""

    def __init__(self) -> None:
        self._rows: dict[int, tuple[int, Row]] = {}
        self.changed = 0  # when anything last did

    def put(self, row: Row, at: int) -> bool:
        """That is so from `at` (ms of our life) on; whether it was otherwise."""
        old = self._rows.get(row.worker)
        if old is not None:
            if old[1] == row:
                return False
            del self._rows[row.worker]  # it stands last from now on
        at = max(at, self.changed + 1)  # so that two changes of one moment are told apart
        self._rows[row.worker] = (at, row)
        self.changed = at
        while len(self._rows) > MOST_WORKERS:
            del self._rows[next(iter(self._rows))]
        return True

    def prune(self, listed: Collection[int]) -> None:
        """Rows of worker nodes that are not listed any more are let go."""
        for worker in [w for w in self._rows if w not in listed]:
            del self._rows[worker]

    def get(self, worker: int) -> Row | None:
        """What we tell of it."""
        found = self._rows.get(worker)
        return found[1] if found else None

    def after(self, since: int) -> tuple[list[Row], int]:
        """The rows that changed after that, oldest change first and at most MOST_ROWS, and up to when they
        are all."""
        found: list[tuple[int, Row]] = []
        for at, row in reversed(self._rows.values()):
            if at <= since:
                break
            found.append((at, row))
        found.reverse()
        upto = found[MOST_ROWS - 1][0] if len(found) > MOST_ROWS else self.changed
        return [row for _, row in found[:MOST_ROWS]], upto


class Other:
    """What we have from one other instance."""

    def __init__(self, life: int, zone: int) -> None:
        self.life, self.zone = life, zone
        self.stamp = self.upto = self.had = 0  # of its clock; what it has of ours, on our clock
        self.true_at = -math.inf  # our clock: what we have was true there after this
        self.heard_at = 0.0  # our clock: when its last word came
        self.rows: dict[int, Row] = {}
        self.claims: dict[int, set[int]] = {}  # by class: the worker nodes that fail it there; UNREACHED

    def put(self, row: Row) -> None:
        """It says so now."""
        self.rows[row.worker] = row
        bad = {tally.cls for tally in row.tallies if tally.failed > tally.served}
        if row.unreached:
            bad.add(UNREACHED)
        for cls in bad - self.claims.keys():
            self.claims[cls] = set()
        for cls, workers in self.claims.items():
            (workers.add if cls in bad else workers.discard)(row.worker)


class Others:
    """What we have from all others; bounded by places and workers."""

    def __init__(self, life: int) -> None:
        self.life = life
        self.by_place: dict[int, Other] = {}
        self.by_worker: dict[int, dict[int, Row]] = {}

    def take(self, news: News) -> list[int] | None:
        """Take a word in: the workers of which another thing is known now, None if it is of no use.

        Words of a former life, and words that leave out what we never had, change nothing.
        """
        other = self.by_place.get(news.place)
        changed: list[int] = []
        if other is None or news.life > other.life:
            if other is not None:
                changed = self.forget(news.place)
            other = self.by_place[news.place] = Other(news.life, news.zone)
        elif news.life < other.life:
            return None
        if news.to == self.life:
            other.true_at = max(other.true_at, float(news.echo))
            other.had = max(other.had, news.had)
        if news.since > other.upto or news.upto < other.upto:
            return changed or None
        other.stamp = max(other.stamp, news.stamp)
        other.upto = news.upto
        for row in news.rows:
            if other.rows.get(row.worker) == row:
                continue
            if len(other.rows) >= MOST_WORKERS and row.worker not in other.rows:
                continue
            other.put(row)
            self.by_worker.setdefault(row.worker, {})[news.place] = row
            changed.append(row.worker)
        return changed

    def forget(self, place: int) -> list[int]:
        """Nothing of that one counts any more: the workers that it had told of."""
        other = self.by_place.pop(place, None)
        for worker in other.rows if other else ():
            rows = self.by_worker[worker]
            rows.pop(place, None)
            if not rows:
                del self.by_worker[worker]
        return list(other.rows) if other else []

    def prune(self, listed: Collection[int]) -> None:
        """Let go of rows on worker nodes that are not listed here, once they are many: some are of nodes that
        others were told of before us."""
        for place, other in self.by_place.items():
            if len(other.rows) <= 2 * len(listed) + SOME:
                continue
            for worker in [w for w in other.rows if w not in listed]:
                del other.rows[worker]
                for claims in other.claims.values():
                    claims.discard(worker)
                rows = self.by_worker.get(worker, {})
                rows.pop(place, None)
                if not rows:
                    self.by_worker.pop(worker, None)

    def of(self, worker: int) -> Iterator[tuple[Other, Row]]:
        """All that others say of a worker node."""
        for place, row in self.by_worker.get(worker, {}).items():
            yield self.by_place[place], row
