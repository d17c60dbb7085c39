"""Values by ballot: differences between them, who tells which, and replicas of a release before."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

import pytest

from flintfield.control.stored import decode_stored, encode_stored
from flintfield.coordination.contacts import Poll
from flintfield.coordination.delta import difference, digest_of, patched
from flintfield.coordination.model import NO_BALLOT, Ballot, CoreSet, Member, Refusal, Register
from flintfield.coordination.register_messages import (
    Accept,
    AcceptDelta,
    Accepted,
    AskValue,
    BallotCommitted,
    Prepare,
    Promised,
    ValueAnswer,
    ValueDelta,
)
from flintfield.coordination.registers import Registers
from flintfield.coordination.shell.known_values import KEPT_VALUES, KnownValue, KnownValues
from flintfield.coordination.shell.newest import Newest
from flintfield.coordination.shell.value_fetch import ValueFetcher
from flintfield.coordination.timing import VALUE_HEDGE_MS
from flintfield.transport.rpc import Unanswered
from flintfield.transport.records import decode, encode

from .coordination_world import Process, World
from .test_control_orders import body_of, route, whole

FIRST, SECOND, THIRD = (Ballot(1, counter, 7) for counter in (1, 2, 3))
LARGE = random.Random(1).randbytes(20_000)


def changed(value: bytes, number: int) -> bytes:
    """The value with a few bytes in its midst replaced and a few more at its end."""
    return value[:9_000] + b"%08d" % number + value[9_008:] + b"%d" % number


def delta_of(old: bytes, new: bytes) -> ValueDelta:
    delta = difference(old, new)
    assert delta is not None
    return delta


def registers_with(value: bytes) -> Registers:
    registers = Registers(1, {})
    registers.accept(Accept(1, Register.CONFIGURATION, FIRST, value))
    return registers


# Differences.


def test_a_difference_is_short_and_gives_the_new_value() -> None:
    new = changed(LARGE, 5)
    delta = delta_of(LARGE, new)
    assert len(encode(AskValue(FIRST))) + len(delta.patch) < 300
    assert patched(LARGE, delta) == new


def test_a_difference_to_another_value_gives_nothing() -> None:
    delta = delta_of(LARGE, changed(LARGE, 5))
    assert patched(changed(LARGE, 6), delta) is None
    assert patched(None, delta) is None
    assert patched(LARGE, replace(delta, patch=delta.patch[:-4])) is None
    assert patched(LARGE, replace(delta, digest=b"0" * 16)) is None


def test_there_is_no_difference_where_it_saves_little() -> None:
    assert difference(LARGE, random.Random(2).randbytes(20_000)) is None
    assert difference(None, LARGE) is None
    assert difference(LARGE, None) is None


def test_a_configuration_of_1600_routes_with_one_changed_makes_a_short_difference() -> None:
    names = [random.Random(number).randbytes(4).hex() for number in range(1_600)]
    routes = [route(name, host=f"{name}.example") for name in names]
    taken = tuple(random.Random(number).randbytes(16) for number in range(128))
    bases = tuple(range(128))
    old = encode_stored(1, body_of(whole(1, routes=routes)), taken, bases)
    routes[700] = route(names[700], timeoutMs=4_000)
    del routes[100]
    document = body_of(whole(2, routes=routes))
    new = encode_stored(2, document, (*taken[1:], b"x" * 16), (*bases[1:], 128))
    assert decode_stored(new).document == document
    assert len(delta_of(old, new).patch) < 8_000 < len(new) / 3


# Replicas.


def test_a_promise_leaves_the_value_out_where_only_ballots_are_asked_for() -> None:
    registers = registers_with(LARGE)
    answer, _ = registers.prepare(Prepare(1, Register.CONFIGURATION, SECOND, ballots_only=True))
    assert answer == Promised(1, SECOND, FIRST, None, omitted=True)
    answer, _ = registers.prepare(Prepare(1, Register.CONFIGURATION, SECOND))
    assert answer == Promised(1, SECOND, FIRST, LARGE)


def test_a_register_without_a_value_leaves_nothing_out() -> None:
    answer, _ = Registers(1, {}).prepare(Prepare(1, Register.CONFIGURATION, FIRST, ballots_only=True))
    assert answer == Promised(1, FIRST, NO_BALLOT, None)


def test_a_difference_is_accepted_on_its_base_also_twice_and_stored_whole() -> None:
    registers, new = registers_with(LARGE), changed(LARGE, 1)
    request = AcceptDelta(1, Register.CONFIGURATION, SECOND, delta_of(LARGE, new))
    answer, changes = registers.accept_delta(request)
    assert answer == Accepted(1, SECOND)
    assert Registers(1, dict(changes)).configuration.value == new  # type: ignore[arg-type]
    assert registers.accept_delta(request) == (Accepted(1, SECOND), [])


def test_a_difference_to_what_is_not_there_changes_nothing() -> None:
    request = AcceptDelta(1, Register.CONFIGURATION, SECOND, delta_of(LARGE, changed(LARGE, 1)))
    for registers in (Registers(1, {}), registers_with(changed(LARGE, 2))):
        before = registers.configuration
        assert registers.accept_delta(request) == (Refusal.LACKS_BASE, [])
        assert registers.configuration == before


def test_a_difference_below_a_promise_is_refused() -> None:
    registers = registers_with(LARGE)
    registers.prepare(Prepare(1, Register.CONFIGURATION, THIRD))
    request = AcceptDelta(1, Register.CONFIGURATION, SECOND, delta_of(LARGE, changed(LARGE, 1)))
    assert registers.accept_delta(request) == (Refusal.BALLOT, [])


# Telling values.


def replica_values() -> tuple[Newest, KnownValues]:
    """The values of a process that keeps former ones, as a replica does."""
    newest = Newest()
    host: Any = type("Host", (), {"replica": None})()
    return newest, KnownValues(newest, host)


def test_a_value_is_told_as_a_difference_to_a_former_one_and_whole_to_who_has_none() -> None:
    newest, values = replica_values()
    newest.committed(FIRST, LARGE)
    newest.committed(SECOND, changed(LARGE, 1))
    asker_newest, asker = Newest(), KnownValues(Newest(), None)
    asker_newest.committed(FIRST, LARGE)
    informed = KnownValues(asker_newest, None)
    told = values.answer(informed.question(SECOND))
    assert told.delta is not None and told.value is None
    found = informed.read(SECOND, decode(encode(told)))
    assert found is not None and found.value == changed(LARGE, 1)
    whole_answer = values.answer(asker.question(SECOND))
    assert whole_answer == ValueAnswer(True, changed(LARGE, 1))
    assert asker.read(SECOND, told) is None  # a difference to what the asker hasn't
    assert (values.counters.told_as_delta, values.counters.told_whole) == (1, 1)


def test_a_ballot_that_is_not_known_is_not_found_and_counted() -> None:
    newest, values = replica_values()
    newest.committed(FIRST, LARGE)
    assert values.answer(AskValue(THIRD)) == ValueAnswer(False)
    assert values.counters.not_found == 1


def test_a_value_that_gets_new_ballots_is_kept_once_and_the_oldest_go() -> None:
    newest, values = replica_values()
    for counter in range(1, 200):
        newest.committed(Ballot(1, counter, 7), LARGE)
    assert values._kept_bytes == len(LARGE)
    for counter in range(200, 200 + 2 * KEPT_VALUES):
        newest.committed(Ballot(1, counter, 7), changed(LARGE, counter))
    assert len(values._kept) == KEPT_VALUES
    assert values.find(Ballot(1, 199, 7)) is None
    assert values.find(Ballot(1, 225, 7)) is not None


def test_a_committed_ballot_counts_only_where_its_value_is_known() -> None:
    newest, values = replica_values()
    values.committed(BallotCommitted(FIRST))
    assert newest.ballot == NO_BALLOT


# A release before beside this one.


def as_release_before(process: Process) -> None:
    """Have the process answer as the release before: it tells whole values, and knows no newer request."""
    handlers = dict(process.handlers)

    for kind in (Prepare, Poll):
        present = handlers[kind]
        handlers[kind] = lambda message, link, present=present: present(
            replace(message, ballots_only=False), link
        )
    for unknown in (AcceptDelta, AskValue, BallotCommitted):
        del handlers[unknown]
    process.handlers = handlers


@pytest.mark.parametrize("old", [(0,), (0, 1), (0, 1, 2)])
def test_replicas_of_a_release_before_take_part(old: tuple[int, ...]) -> None:
    world = World(7, replicas=3, clients=2)
    world.start_all()
    assert world.run_for(10_000, world.settled)
    for number in old:
        as_release_before(world.processes()[number])
    for number in range(6):
        world.change(world.processes()[3 + number % 2])
        world.read(world.processes()[number % 3])
        world.run_for(500)
    world.run_for(2_000)
    assert len(world.judge.acknowledged) == 6
    assert all(len(process.values[-1].split()) == 6 for process in world.processes())


# Fetching.


class _Source:
    """Stands in for `Peers`: all members know `values`. Counts the whole values that they tell."""

    def __init__(self, values: dict[Ballot, bytes]) -> None:
        self._values = values
        self.told_whole = 0

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        return asyncio.get_running_loop().create_task(work)

    async def ask(self, address: str, question: AskValue, timeout_ms: int) -> ValueAnswer:
        await asyncio.sleep(0.01)
        known = next((value for value in self._values.values() if digest_of(value) == question.known), None)
        delta = difference(known, self._values[question.ballot])
        if delta is not None:
            return ValueAnswer(True, None, delta)
        self.told_whole += 1
        return ValueAnswer(True, self._values[question.ballot])


# Guards against a restarted process that fetches a large value whole for every ballot that it hears of.
def test_a_process_without_a_value_fetches_one_whole_value_and_then_differences() -> None:
    values = {FIRST: LARGE, SECOND: changed(LARGE, 5), THIRD: changed(LARGE, 6)}
    source: Any = _Source(values)
    core = CoreSet(1, (Member("m0", "10.0.0.0:7000", "z", 1),), 1)

    async def fetch_all() -> list[KnownValue | None]:
        fetcher = ValueFetcher(source, KnownValues(Newest(), None), "z", "10.0.0.9:7000")
        return await asyncio.gather(*(fetcher.value_of(ballot, core, ()) for ballot in values))

    fetched = asyncio.run(fetch_all())
    assert fetched == [KnownValue(ballot, value) for ballot, value in values.items()]
    assert source.told_whole == 1


class _SilentForFirst(_Source):
    """Nobody answers for the first ballot: its holders have just lost power."""

    async def ask(self, address: str, question: AskValue, timeout_ms: int) -> ValueAnswer:
        if question.ballot == FIRST:
            await asyncio.sleep(timeout_ms / 1_000)
            raise Unanswered(address)
        return await super().ask(address, question, timeout_ms)


# Guards against a process without a value for seconds because the holders of an older one are silent.
def test_a_fetch_that_nobody_answers_does_not_hold_up_the_next_one() -> None:
    source: Any = _SilentForFirst({FIRST: LARGE, SECOND: changed(LARGE, 5)})
    members = tuple(Member(f"m{at}", f"10.0.0.{at}:7000", "z", at + 1) for at in range(3))
    core = CoreSet(1, members, 1)

    async def fetch_second() -> KnownValue | None:
        fetcher = ValueFetcher(source, KnownValues(Newest(), None), "z", "10.0.0.9:7000")
        first = asyncio.ensure_future(fetcher.value_of(FIRST, core, ()))
        await asyncio.sleep(0.05)
        try:
            async with asyncio.timeout(2 * VALUE_HEDGE_MS / 1_000):
                return await fetcher.value_of(SECOND, core, ())
        finally:
            first.cancel()

    assert asyncio.run(fetch_second()) == KnownValue(SECOND, changed(LARGE, 5))
