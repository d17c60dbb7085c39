"""What a dispatcher has learned is saved and restored into another one."""

from __future__ import annotations

import json
from typing import Any

import pytest

from flintfield.decision.interface import Entry, Outcome, Send, State
from flintfield.decision.learned import export_learned, restore_learned
from flintfield.decision.policy import Dispatcher
from helpers import World, only, settings

GIVEN = settings()


def trained_world(entries: list[Entry]) -> World:
    """A world whose dispatcher has measured worker 1 as fast and worker 2 as slow."""
    world = World(GIVEN, entries, free=2)
    for rid in range(1, 60):
        for send in only(world.request(rid, hint_ms=None), Send):
            world.wait(20 if send.worker == 1 else 160)
            world.end(rid, send.worker, Outcome.OK)
    world.wait(500)
    return world


def entries(**changes: Any) -> list[Entry]:
    return [Entry(n, State.READY, **changes) for n in (1, 2)]


def test_a_new_dispatcher_starts_from_the_saved_prices_and_paces() -> None:
    old = trained_world(entries()).dispatcher
    new = World(GIVEN, entries(), free=None).dispatcher
    found = restore_learned(new, json.loads(json.dumps(export_learned(old))))
    assert (found.workers, found.left_out) == (2, 0)
    assert export_learned(new) == export_learned(old)
    assert new.workers[1].pace.value < new.workers[2].pace.value / 2 and not new.jobs and not new.attempts


def test_draws_use_restored_figures_at_once() -> None:
    """Restored figures must reach the fleet's indices, not only the workers' fields."""
    new = World(GIVEN, entries(), free=None)
    restore_learned(new.dispatcher, export_learned(trained_world(entries()).dispatcher))
    quick, slow = new.dispatcher.workers[1], new.dispatcher.workers[2]
    assert quick.zeta > 2 * slow.zeta > 0 and quick.room > 0
    assert only(new.request(1), Send)


def test_a_restarted_or_unlisted_worker_is_skipped() -> None:
    saved = export_learned(trained_world(entries()).dispatcher)
    new = World(GIVEN, [Entry(1, State.READY, started_ms=5.0)], free=None).dispatcher
    found = restore_learned(new, saved)
    assert (found.workers, found.left_out) == (0, 2) and new.workers[1].pace.count == 0


@pytest.mark.parametrize("change", [
    {"form": 9}, {"workers": 3}, {"workers": [[1, 0.0, [1.0], [1.0, 1], [], []]]}, {"costs": []},
    {"pace": [float("nan"), 1]}, {"in_flight": -1.0}, {"pace": None},
])
def test_malformed_figures_change_nothing(change: dict[str, Any]) -> None:
    saved = export_learned(trained_world(entries()).dispatcher) | change
    new = Dispatcher(GIVEN, 1)
    before = export_learned(new)
    with pytest.raises(ValueError, match="cannot be read"):
        restore_learned(new, saved)
    assert export_learned(new) == before
