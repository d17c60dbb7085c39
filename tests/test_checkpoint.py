"""Checkpoints of the decision module: saved at any point and restored, it behaves identically."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, strategies as st

from flintfield.base.settings import read_real_settings
from flintfield.decision.checkpoint import TooLarge, restore, save
from flintfield.decision.interface import Action, Entry, Event, Request, Send
from flintfield.decision.policy import Dispatcher
from flintfield.memory.state import State
from helpers import World, settings as world_settings
from peers import SETTINGS
from test_memory import Memory, Script

RICH = {
    "replicas_of_me": 3, "over_share_worth": 0.1, "weight_kind": "rough",
    "parties": [{"name": "a", "allowance_per_s": 4.0}],
    "limits": SETTINGS["limits"] | {"second_copies": True},
    "rules": SETTINGS["rules"] | {"cold_from": 0.3, "ramp_time_ms": 9000, "tip_multiple": 3, "fall_ms": 1000},
}
Seen = list[tuple[float, Event, list[Action]]]


def install_tap(state: State, seen: Seen) -> None:
    state.tap = lambda now, event, actions: seen.append((now, event, list(actions)))


def play(steps: list[int], settings: dict[str, Any]) -> Seen:
    """The events and actions of a decision module during a script of callers and next hops."""
    seen = Seen()
    memory = Memory(3, lambda state: install_tap(state, seen), **settings)
    script = Script(memory)
    for n in steps:
        script.step(n)
    memory.until(memory.now + 300)
    assert memory.state.counters["defects"] == 0
    return seen


def feed(dispatcher: Dispatcher, seen: Seen) -> list[list[Action]]:
    return [list(dispatcher.handle(now, event)) for now, event, _ in seen]


@pytest.mark.parametrize("settings", [{}, RICH], ids=["plain", "rich"])
@given(steps=st.lists(st.integers(0, 999), min_size=5, max_size=80), part=st.floats(0, 1))
def test_a_restored_dispatcher_behaves_identically_from_any_point(
    settings: dict[str, Any], steps: list[int], part: float
) -> None:
    seen = play(steps, settings)
    given_settings = read_real_settings(SETTINGS | settings)
    first, cut = Dispatcher(given_settings, 1), int(part * len(seen))
    assert feed(first, seen[:cut]) == [actions for _, _, actions in seen[:cut]]
    saved = json.loads(json.dumps(save(first), allow_nan=False))
    second = restore(given_settings, saved)
    assert feed(second, seen[cut:]) == [actions for _, _, actions in seen[cut:]]
    feed(first, seen[cut:])
    assert save(second) == save(first)


def test_object_identity_is_preserved() -> None:
    world = World(world_settings(tells_start=True), [Entry(1), Entry(2)])
    for rid in range(12):
        world.request(rid)
    again = restore(world.given, save(world.dispatcher))
    assert again.attempts and again.held.sorts
    for (rid, number), attempt in again.attempts.items():
        assert again.jobs[rid].attempts[number] is attempt
        assert again.workers[attempt.worker.entry.worker] is attempt.worker
        assert attempt in attempt.worker.pending
    assert all(job is again.jobs[rid] for jobs in again.held.sorts.values() for rid, job in jobs.items())
    assert {id(w) for w in again.fleet.near + again.fleet.ring} == {id(w) for w in again.workers.values()}


def test_saving_a_state_over_the_limit_stops_early() -> None:
    world = World(world_settings(), [Entry(1)])
    save(world.dispatcher, 400)
    for rid in range(200):
        world.request(rid)
    with pytest.raises(TooLarge):
        save(world.dispatcher, 400)


@pytest.mark.parametrize("odd", [
    {}, {"fields": {}, "state": {}}, {"fields": 3},
    {"fields": {"Worker": []}, "state": {"workers": ["Worker", 1]}},
])
def test_a_malformed_state_raises_a_value_error(odd: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match="state"):
        restore(world_settings(), odd)
    saved = save(Dispatcher(world_settings(), 1))
    for broken in (["os.system", "ls"], ["#", 99], ["random", 3, "", None], ["Worker", 1]):
        with pytest.raises(ValueError, match="state"):
            restore(world_settings(), saved | {"state": saved["state"] | {"random": broken}})


def test_the_tap_sees_each_event_with_its_time_and_a_failing_tap_is_removed() -> None:
    seen = Seen()
    memory = Memory(prepare=lambda state: install_tap(state, seen))
    memory.submit(1)
    assert [type(a) for _, e, actions in seen if isinstance(e, Request) for a in actions].count(Send) == 1

    def fail(*_: object) -> None:
        raise RuntimeError("on purpose")

    memory.state.tap = fail
    memory.submit(2)
    memory.submit(3)
    assert memory.state.tap is None and memory.state.counters["defects"] == 1
