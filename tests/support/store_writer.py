"""A process that writes to a store until it is killed, and tells on standard output what was acknowledged.

    python store_writer.py DIR SEED

Each line is written after the batch it tells of was acknowledged: writer, turn, durability. What writer W
wrote at turn T can be told from W, T and the seed alone (`change`), so whoever reads the lines can check
the store.
"""

from __future__ import annotations

import os
import random
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[2]))

from flintfield.store import ALWAYS, NEVER, Batch, Settings, open_store, within_ms

WRITERS = 6
KEYS = 20  # of each writer
SMALL = Settings(segment_bytes=60_000, small_bytes=15_000, garbage_share=0.3)
KINDS = (ALWAYS, ALWAYS, within_ms(20), NEVER)


def change(seed: int, writer: int, turn: int) -> dict[bytes, bytes | None]:
    """What a writer does at a turn: values by key, None for a delete. The key `turn` tells how far it
    came."""
    chance = random.Random(f"{seed} {writer} {turn}")
    made: dict[bytes, bytes | None] = {b"%d turn" % writer: b"%d" % turn}
    for _ in range(chance.randrange(1, 5)):
        key = b"%d %d" % (writer, chance.randrange(KEYS))
        made[key] = None if chance.random() < 0.3 else chance.randbytes(chance.randrange(0, 400))
    return made


def main(folder: str, seed: int) -> None:
    """Write for ever."""
    store = open_store(folder, SMALL)

    def run(writer: int) -> None:
        begun = store.get("load", b"%d turn" % writer)
        turn = int(begun) + 1 if begun else 0
        while True:
            batch = Batch()
            for key, value in change(seed, writer, turn).items():
                if value is None:
                    batch.delete("load", key)
                else:
                    batch.put("load", key, value)
            store.write(batch, KINDS[(turn + writer) % len(KINDS)])
            os.write(1, b"%d %d\n" % (writer, turn))  # one call: a line is whole or not there
            turn += 1

    os.write(1, b"open\n")
    for writer in range(WRITERS):
        threading.Thread(target=run, args=(writer,)).start()


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
