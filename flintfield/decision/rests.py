"""Back-off from a worker: after a job had to wait there, and after errors."""

from __future__ import annotations

import random
from collections.abc import Iterable

from flintfield.decision.state import SHORT_TERM_MS
from flintfield.decision.pricing import START_MS
from flintfield.decision.records import Worker

SHUN_MS, MAX_SHUN_MS = 20_000.0, 60_000.0  # after an error of a class; tripled by each in a row


def shun_after_error(worker: Worker, cls: int, count: int, unsafe: Iterable[int], now: float) -> None:
    """Keep jobs away after the `count`-th consecutive error of a class there; `unsafe`: the classes that must
    never run twice."""
    worker.shun((cls,), now + min(SHUN_MS * 3 ** (count - 1), MAX_SHUN_MS))
    if count > 1:  # unsafe jobs also avoid a worker on which other classes fail, rather than be lost there
        worker.shun(unsafe, now + SHUN_MS)


def back_off_after_wait(worker: Worker, waited: float, sharers: float, now: float,
                        generator: random.Random) -> None:
    """Back off from a worker after a job waited there `waited` ms: others queue there too. The back-off is
    that time, or twice the last one if longer."""
    if waited <= START_MS:
        worker.rest /= 2
        return
    worker.rest = min(max(waited, 2 * worker.rest), SHORT_TERM_MS)
    worker.full_until = now + worker.rest * (1 - 1 / sharers) * generator.uniform(0.5, 1.0)
