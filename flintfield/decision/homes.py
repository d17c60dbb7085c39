"""Where the jobs of one key go: consistent weighted sampling.

What is wanted is weighted rendezvous hashing (the highest of η_p / e_p, where e_p is an exponential variate
made of key and worker): each worker gets keys by its weight, and a weight that changes moves only the keys
that it gains or loses. Computed plainly it hashes each worker for each job. Here a key has a row of random
points instead, the same at every dispatcher; a point is a cell of a table and a height. Each cell holds one
worker or none, and the first point that lies below its cell's weight is the key's home. By the choice of the
first accepted point this has the same law and the same stability: what one worker gains or loses moves only
its own points. It takes `CAP` × cells / workers × 1 / mean weight points in the mean, whatever the size of
the fleet.

A worker's cell is the first free one in a row of its own, taken in the order of the workers' hashes, so the
table is a function of the set of workers alone. Sources: Thaler, Ravishankar 1998 (rendezvous hashing);
Shrivastava 2016, "Simple and efficient weighted minwise hashing" (the first point below the weight).
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Callable, Iterable

from flintfield.decision.records import Worker

CAP = 4.0  # the greatest weight that is told apart, in units of the equal share
ROOMY = 2  # cells for each worker, at least
POINTS = 64  # that are made at once
ROWS = 8  # times so many are looked at before the search is given up
UNPACK: Callable[[bytes], tuple[int, ...]] = struct.Struct(f"<{POINTS}Q").unpack
LOW = 0xFFFFFFFF


def spot_of(worker: int) -> int:
    """A worker's place among cells: 64 bits that depend on its number alone."""
    return int.from_bytes(hashlib.blake2b(b"spot %d" % worker, digest_size=8).digest(), "little")


class Homes:
    """The table of cells for one set of workers."""

    __slots__ = ("_cells", "_mask")

    def __init__(self, workers: Iterable[Worker]) -> None:
        ordered = sorted((spot_of(w.entry.worker), w.entry.worker, w) for w in workers)
        size = 1 << max(1, (ROOMY * len(ordered) - 1).bit_length())
        self._mask = size - 1
        self._cells: list[Worker | None] = [None] * size
        for spot, _, worker in ordered:
            step = spot >> 32 | 1  # odd: the row of cells reaches all
            while self._cells[spot & self._mask] is not None:
                spot += step
            self._cells[spot & self._mask] = worker

    def find(self, key: int, weight: Callable[[int], float],
             allowed: Callable[[Worker], bool]) -> Worker | None:
        """The key's home among workers, by the `weight` of a slot; None if the points ran out."""
        cells, mask, scale = self._cells, self._mask, CAP / (LOW + 1)
        for row in range(ROWS):
            digest = hashlib.shake_128(b"%d %d" % (key, row)).digest(8 * POINTS)
            for point in UNPACK(digest):
                worker = cells[point & mask]
                if worker is None or (point >> 32) * scale >= weight(worker.slot):
                    continue
                if allowed(worker):
                    return worker
        return None
