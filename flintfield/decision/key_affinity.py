"""Key affinity: maps the jobs of one key to the same worker by consistent weighted sampling.

The result is that of weighted rendezvous hashing (the highest η_p / e_p, where e_p is an exponential variate
derived from key and worker): each worker gets keys in proportion to its weight, and a change of one weight
moves only the keys that its worker gains or loses. Computed directly, this hashes each worker for each job.
Here a key has a pseudo-random sequence of points instead, the same at every dispatcher; a point is a cell of
a table and a height. Each cell holds one worker or none, and the first point that lies below its cell's
weight determines the key's home worker. Taking the first accepted point gives the same distribution and the
same stability: a change of one worker's weight affects only points in its own cell. The expected number of
points is `MAX_WEIGHT` × cells / workers × 1 / mean weight, independent of the fleet's size.

A worker's cell is the first free one in its own probe sequence, and workers are inserted in the order of
their hashes, so the table depends only on the set of workers. Sources: Thaler, Ravishankar 1998 (rendezvous
hashing); Shrivastava 2016, "Simple and efficient weighted minwise hashing" (the first point below the
weight).
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Callable, Iterable

from flintfield.decision.records import Worker

MAX_WEIGHT = 4.0  # the largest weight that is distinguished, in units of the equal share
CELLS_PER_WORKER = 2  # minimum number of cells per worker
POINTS_PER_BATCH = 64  # points that are generated at a time
MAX_BATCHES = 8  # batches of points that are tried before the search is given up
UNPACK: Callable[[bytes], tuple[int, ...]] = struct.Struct(f"<{POINTS_PER_BATCH}Q").unpack
MAX_UINT32 = 0xFFFFFFFF


def cell_hash(worker: int) -> int:
    """A worker's hash for placing it in the table: 64 bits that depend on its number alone."""
    return int.from_bytes(hashlib.blake2b(b"spot %d" % worker, digest_size=8).digest(), "little")


class KeyAffinity:
    """The table of cells for a set of workers."""

    __slots__ = ("_cells", "_mask")

    def __init__(self, workers: Iterable[Worker]) -> None:
        ordered = sorted((cell_hash(w.entry.worker), w.entry.worker, w) for w in workers)
        size = 1 << max(1, (CELLS_PER_WORKER * len(ordered) - 1).bit_length())
        self._mask = size - 1
        self._cells: list[Worker | None] = [None] * size
        for position, _, worker in ordered:
            step = position >> 32 | 1  # odd, so that the probe sequence visits all cells
            while self._cells[position & self._mask] is not None:
                position += step
            self._cells[position & self._mask] = worker

    def find(self, key: int, weight: Callable[[int], float],
             allowed: Callable[[Worker], bool]) -> Worker | None:
        """The key's home worker, with weights from `weight` by slot; None if no point is accepted."""
        cells, mask, scale = self._cells, self._mask, MAX_WEIGHT / (MAX_UINT32 + 1)
        for batch in range(MAX_BATCHES):
            digest = hashlib.shake_128(b"%d %d" % (key, batch)).digest(8 * POINTS_PER_BATCH)
            for point in UNPACK(digest):
                worker = cells[point & mask]
                if worker is None or (point >> 32) * scale >= weight(worker.slot):
                    continue
                if allowed(worker):
                    return worker
        return None
