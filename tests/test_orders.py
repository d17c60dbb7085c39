"""Operators' orders in the reducer and the decision module, without sockets or a clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, strategies as st

from flintfield.decision.checkpoint import restore, save
from flintfield.decision.interface import OperatorOverrides, Entry, ListMode, Outcome, Probe, ServerList
from flintfield.decision.learned import cold_sends, restore_cold_sends
from flintfield.memory.messages import (
    Answer, BranchUp, JobClosed, JobOpened, OpenBranch, Route, RouteUpdate, CloseIdleConnections, Verdict,
    WriteBranch, worker_of,
)
from flintfield.memory.orders import (
    RETENTION_MS, SCHEDULER, Book, OrderAsked, OrderRefused, Orders, OrdersHeard, OrderTaken, Word, merge,
    prune, read_book, write_book,
)
from flintfield.memory.state import State
from flintfield.memory.handover_messages import RemoteJobIds, LinkStatus, Succession
from helpers import World, only, sent_to, settings
from test_memory import Memory, only as one

WORDS = st.dictionaries(st.sampled_from(["", "s-1", "s-2"]), st.builds(
    Word, st.integers(0, 3).map(float), st.booleans()))


def listed(*names: str, **changes: Any) -> tuple[Route, ...]:
    return tuple(Route(n, ("127.0.0.1", 1 + i), replace(Entry(worker_of(n)), **changes))
                 for i, n in enumerate(names))


class Operated(Memory):
    """A reducer that handles operators' orders."""

    def __init__(self, *names: str, **settings: Any) -> None:
        self.orders = Orders()
        succession = Succession(self.orders.stand)

        def prepare(state: State) -> None:
            state.handlers.update({
                OrderAsked: self.orders.asked, OrdersHeard: self.orders.heard,
                RemoteJobIds: succession.elsewhere, LinkStatus: succession.stands})

        super().__init__(0, prepare, **settings)
        self.take(RouteUpdate(ListMode.CACHED, 7, listed(*names)))
        self.take(RouteUpdate(ListMode.DELTA, 7, (), 1))

    def order(self, subject: str, out: bool) -> Any:
        return next(e for e in self.take(OrderAsked(1, subject, out))
                    if isinstance(e, OrderTaken | OrderRefused))


@given(WORDS, WORDS, WORDS)
def test_merging_words_in_any_order_gives_the_same_book(a: Book, b: Book, c: Book) -> None:
    books = []
    for order in ((a, b, c), (c, b, a), (b, a, c, a, b)):
        book: Book = {}
        for words in order:
            merge(book, words)
        books.append(book)
    assert books[0] == books[1] == books[2] == read_book(write_book(books[0]))


@pytest.mark.parametrize("text", [
    "", "[]", "7", '{"form":1}', '{"form":1,"orders":[]}', '{"form":1,"orders":{"a":[1]}}',
    '{"form":1,"orders":{"a":[true,true]}}', '{"form":1,"orders":{"a":[-1,true]}}',
    '{"form":1,"orders":{"a":["1",true]}}', '{"form":1,"orders":{"a":[NaN,true]}}',
])
def test_an_unreadable_book_raises_a_value_error(text: str) -> None:
    with pytest.raises(ValueError):
        read_book(text)


def test_only_words_that_readmit_a_subject_expire() -> None:
    book = {"a": Word(0.0, True), "b": Word(0.0, False), "c": Word(RETENTION_MS, False)}
    prune(book, RETENTION_MS + 1)
    assert set(book) == {"a", "c"}


def test_an_order_between_connect_and_first_byte_is_obeyed() -> None:
    memory = Operated("s-1", "s-2")
    port = one(memory.submit(1, cls=1), OpenBranch).address[1]
    effects = memory.take(OrderAsked(1, f"s-{port}", True))
    assert one(effects, CloseIdleConnections).addresses == {("127.0.0.1", port)}
    effects = memory.take(BranchUp(1, 0))
    assert not [e for e in effects if isinstance(e, WriteBranch)]
    assert one(effects, OpenBranch).address[1] == 3 - port  # the job never ran, so it is sent elsewhere


def test_answers_to_orders_on_known_and_unknown_subjects() -> None:
    memory = Operated("s-1")
    assert memory.order("s-9", True).status == memory.order("s-9", False).status == 404
    assert memory.order("s-1", False) == OrderTaken(1, False)
    assert memory.order("s-1", True).changed and not memory.order("s-1", True).changed
    memory.take(RouteUpdate(ListMode.FULL, 8, (), memory.state.calls))  # it leaves the list
    assert memory.order("s-1", False).changed  # and can be readmitted all the same
    assert memory.order("s-1", True).status == 404
    assert memory.order(SCHEDULER, True).changed and memory.state.drained


def test_an_offline_order_persists_when_the_node_is_listed_again() -> None:
    memory = Operated("s-1", "s-2")
    memory.order("s-1", True)
    for n, routes in ((8, listed("s-2")), (9, listed("s-1", "s-2", started_ms=900.0))):
        memory.take(RouteUpdate(ListMode.FULL, n, routes, memory.state.calls))
    for rid in range(1, 5):
        opened = [e for e in memory.submit(rid) if isinstance(e, OpenBranch)]
        assert all(e.address == ("127.0.0.1", 2) for e in opened)
    assert memory.state.dispatcher.avoided() == 1


def test_with_all_nodes_offline_waiting_and_new_jobs_are_refused_at_once() -> None:
    memory = Operated("s-1")
    memory.submit(1, cls=1)
    memory.take(BranchUp(1, 0))
    memory.submit(2, cls=1)  # waits for a free slot
    effects = memory.take(OrderAsked(1, "s-1", True)) + memory.submit(3)
    assert {(e.rid, e.verdict) for e in effects if isinstance(e, Answer)} == {
        (2, Verdict.REFUSED), (3, Verdict.REFUSED)}
    assert not memory.state.transactions[1].answered  # its job continues


def test_ids_open_elsewhere_are_refused_and_own_ids_announced_while_linked() -> None:
    memory = Operated("s-1", "s-2", "s-3")
    assert not [e for e in memory.submit(1) if isinstance(e, JobOpened)]
    memory.take(LinkStatus(True, False, False))
    effects = memory.submit(2, cls=1)
    assert effects.index(JobOpened("2")) < next(
        i for i, e in enumerate(effects) if isinstance(e, OpenBranch))
    memory.take(RemoteJobIds(("3",), (), True))
    assert one(memory.submit(3), Answer).verdict is Verdict.FAILED
    effects = memory.take(RemoteJobIds(("2",), (), True))  # an older process has it too: our copy fails
    assert one(effects, Answer).rid == 2 and JobClosed("2") in memory.effects
    memory.take(RemoteJobIds((), ("2", "3"), True))
    assert not memory.state.remote_job_ids and [e for e in memory.submit(4) if isinstance(e, OpenBranch)]


def test_a_readmitted_worker_is_cold_from_readmission_despite_an_earlier_start() -> None:
    world = World(settings(), [Entry(1), Entry(2)])
    world.feed(OperatorOverrides((1,)))
    assert {2} == {w for rid in range(1, 4) for w in sent_to(world.request(rid))}
    world.wait(500)
    world.feed(OperatorOverrides((), ((1, world.now),)))
    back, worker = world.now, world.dispatcher.workers[1]
    assert worker.born == back and worker.is_cold(world.given.rules, world.now)
    world.feed(ServerList(ListMode.DELTA, (Entry(1, started_ms=back - 300),)))
    assert worker.born == back
    world.feed(ServerList(ListMode.DELTA, (Entry(1, started_ms=back + 300),)))
    assert worker.born == back + 300


def test_an_excluded_worker_is_not_probed_and_a_readmitted_one_at_once() -> None:
    world = World(replace(settings(), reports_in_answers=False), [Entry(1), Entry(2)])
    world.feed(OperatorOverrides((1,)))
    assert 1 not in [p.worker for p in only(world.wait(3_000), Probe)]
    world.feed(OperatorOverrides((), ((1, world.now),)))
    assert 1 in [p.worker for p in only(world.wait(300), Probe)]


def test_only_the_newer_process_uses_cold_budgets_including_what_the_older_sent() -> None:
    def world() -> World:
        return World(settings(), [Entry(1, started_ms=900.0)])

    old = world()
    assert sent_to(old.request(1, hint_ms=100.0)) == [1]
    new = world()
    restore_cold_sends(new.dispatcher, cold_sends(old.dispatcher, old.now))
    assert new.dispatcher.workers[1].sent == old.dispatcher.workers[1].sent
    old.feed(OperatorOverrides(cold_elsewhere=True))
    assert sent_to(old.request(2, hint_ms=100.0)) == []
    old.end(1, 1, Outcome.OK, over=True)
    assert sent_to(old.wait(100)) == []
    assert sent_to(old.feed(OperatorOverrides())) == [1]  # the newer process has died
    for raw in (None, [[1]], [[1, [[1]]]], [["a", []]], [[1, [["x", 1]]]]):
        with pytest.raises(ValueError):
            restore_cold_sends(new.dispatcher, raw)


def test_orders_are_in_a_checkpoint() -> None:
    world = World(settings(), [Entry(1), Entry(2)])
    world.feed(OperatorOverrides((1,), ((2, 500.0),), True))
    again = restore(world.given, save(world.dispatcher))
    assert again.workers[1].barred and again.hands.cold_elsewhere and list(again.hands.out) == [1]
