"""Power cuts, kills and faults: the store on a simulated disk against a plain model
(`benchmarks/store_crash.py`)."""

from __future__ import annotations

import pytest

from benchmarks.store_crash import Wrong, explore
from flintfield.store import StoreError
from support import store_faults

# The first seed that finds it, where that takes long.
LATE: dict[store_faults.Plant, int] = {
    store_faults.compaction_trusts_the_cache: 4, store_faults.tail_not_written_anew: 5,
    store_faults.goes_on_after_a_failed_sync: 5, store_faults.time_starts_anew: 6}


@pytest.mark.parametrize("seed", range(1, 5))
def test_crash_points(seed: int) -> None:
    """A fixed sample: whatever a power cut leaves is recovered to the state after one batch, none promised
    lost."""
    assert explore(seed, 200, 0.3) > 200


@pytest.mark.parametrize("plant", store_faults.FAULTS, ids=lambda plant: plant.__name__)
def test_planted_fault_is_found(plant: store_faults.Plant, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a crash explorer that could not fail."""
    plant(monkeypatch)
    first = LATE.get(plant, 1)
    with pytest.raises((Wrong, StoreError)):
        for seed in range(first, first + 3):
            explore(seed, 200, 0.3)


@pytest.mark.slow
def test_twenty_thousand_crash_points() -> None:
    """The long run, about 30 s."""
    points, seed = 0, 1_000
    while points < 20_000:
        points += explore(seed, 300)
        seed += 1
