"""The agenda: compared with a plain dict, and its memory use."""

from __future__ import annotations

from hypothesis import given, strategies as st

from flintfield.decision.time_queue import STALE_ALLOWANCE, TimeQueue
from test_memory import DONE, Memory
from flintfield.memory.messages import BranchEnded, BranchUp

STEPS = st.lists(st.tuples(st.sampled_from("pdt"), st.integers(0, 9), st.integers(0, 30)), max_size=120)


@given(STEPS)
def test_keys_come_due_in_order_whatever_was_replaced_or_dropped(steps: list[tuple[str, int, int]]) -> None:
    agenda, plain, now = TimeQueue[int](), dict[int, float](), 0.0
    for what, key, at in steps:
        if what == "p":
            if plain.get(key) != at:
                plain.pop(key, None)  # a new time comes after equal times that were put earlier
            plain[key] = at
            agenda.put(key, at)
        elif what == "d":
            plain.pop(key, None)
            agenda.drop(key)
        else:
            now += key
            due = sorted((k for k in plain if plain[k] <= now), key=lambda k: plain[k])
            assert agenda.is_due(now) or not due
            assert list(agenda.pop_all_due(now)) == due
            plain = {k: at for k, at in plain.items() if k not in due}
        assert agenda.live == plain and agenda.next_at() == min(plain.values(), default=None)
    again = TimeQueue[int]()
    again.restore(agenda.kept(), 0.0)
    assert list(again.pop_all_due(99.0)) == list(agenda.pop_all_due(99.0))


def test_dropped_entries_do_not_accumulate() -> None:
    agenda = TimeQueue[int]()
    for n in range(10_000):
        agenda.put(n, 20_000.0 + n)
        agenda.drop(n - 5)
        assert len(agenda._heap) <= 2 * len(agenda) + STALE_ALLOWANCE + 1
    assert len(agenda) == 5


def test_a_put_during_iteration_over_due_keys_is_seen() -> None:
    agenda = TimeQueue[int]()
    for n in range(3):
        agenda.put(n, 1.0)
    taken = []
    for key in agenda.pop_all_due(5.0):
        taken.append(key)
        if key < 3:
            for other in range(100, 100 + 2 * STALE_ALLOWANCE):  # enough stale entries to rebuild the heap
                agenda.put(other, 9.0)
                agenda.drop(other)
            agenda.put(key + 10, 2.0)
    assert taken == [0, 1, 2, 10, 11, 12]


def test_a_settled_transaction_leaves_no_timer_behind() -> None:
    memory = Memory()
    at_rest = len(memory.state.timers)
    for rid in range(1, 400):
        memory.submit(rid, cls=rid % 2, wait_ms=20_000.0)
        memory.take(BranchUp(rid, 0))
        memory.take(BranchEnded(rid, 0, DONE))
    assert not memory.state.transactions
    assert len(memory.state.timers) == at_rest and not memory.state.dispatcher.timers.jobs
    memory.until(memory.now + 20_000)
    assert memory.state.counters["defects"] == 0
