"""Orders that come to a process without a replica, in virtual time: whom it asks, and what it answers."""

from __future__ import annotations

import asyncio
import json
import random
import typing
import zlib
from collections.abc import Coroutine

import pytest

from flintfield.control.forwarding import (
    DEADLINE_S,
    HEDGE_S,
    MOST_REPLICAS,
    OrderForwarder,
    unpack,
)
from flintfield.control.messages import ForwardedAnswer, ForwardedOrder, Kind
from flintfield.control.operator import MAX_BODY_BYTES, Answer, OperatorService
from flintfield.coordination.model import CoreSet, LeaderView, Member, ordered
from flintfield.transport.records import decode, encode
from flintfield.transport.rpc import Rejected, Unanswered, Unreachable
from flintfield.transport.slow_links import SLOW_LINK_BYTES_PER_S

from .coordination_loop import ProcessLoop
from .test_control_orders import body_of, route, whole
from .test_control_server import Register

ZONES = ("a", "b", "c", "d")
MEMBERS = tuple(Member(f"m{at}", f"10.0.0.{at}:1", zone, at + 1) for at, zone in enumerate(ZONES))
LEADER, NEAR = MEMBERS[2], MEMBERS[1]
TAKEN = ForwardedAnswer(200, b"{}")
IN_DOUBT = ForwardedAnswer(503, b"{}")
LONG_ORDER_BYTES = 250_000  # packed; 2 s over half of a link of 2 Mbit/s
Replica = typing.Callable[[ForwardedOrder], Coroutine[typing.Any, typing.Any, ForwardedAnswer]]


class Core:
    """What the process knows of the core."""

    def __init__(self) -> None:
        self.core: CoreSet | None = CoreSet(1, ordered(MEMBERS), 4)
        self.leader: LeaderView | None = LeaderView(1, LEADER.name, LEADER.address, 0)


class Replicas:
    """Plays the replicas: each does what the test says, the others never answer."""

    def __init__(self, plays: dict[Member, Replica] | None = None) -> None:
        self.plays = {member.address: play for member, play in (plays or {}).items()}
        self.asked: list[str] = []
        self.bytes = 0

    async def call(self, address: str, message: typing.Any, timeout_s: float) -> typing.Any:
        """Carry the order there."""
        self.asked.append(address)
        data = encode(message)
        self.bytes += len(data)
        play = self.plays.get(address)
        if play is None:
            await asyncio.sleep(timeout_s)
            raise Unanswered(address)
        return await play(decode(data))


class TimedReplicas(Replicas):
    """Replicas whose answers are given up after the time-out of the call."""

    async def call(self, address: str, message: typing.Any, timeout_s: float) -> typing.Any:
        """Carry the order there."""
        try:
            async with asyncio.timeout(timeout_s):
                return await super().call(address, message, timeout_s)
        except TimeoutError as error:
            raise Unanswered(address) from error


def always(answer: ForwardedAnswer | Exception) -> Replica:
    """A replica that answers so at once."""

    async def play(order: ForwardedOrder) -> ForwardedAnswer:
        if isinstance(answer, Exception):
            raise answer
        return answer

    return play


def played(work: Coroutine[typing.Any, typing.Any, typing.Any]) -> tuple[typing.Any, float]:
    """The result, and after how many virtual seconds it came."""
    now_s = 0.0
    loop = ProcessLoop(lambda: now_s)  # type: ignore[abstract]
    task = loop.create_task(work)
    while True:
        loop.run_due()
        if task.done():
            return task.result(), now_s
        due_s = loop.next_s()
        assert due_s is not None, "it waits for good"
        now_s = max(now_s, due_s)


def forwarded(replicas: Replicas, core: Core | None = None, body: bytes = b"{}") -> tuple[Answer, float]:
    """The operator's answer at a process without a replica, whose own register has no quorum."""
    register = Register()
    register.no_quorum = True
    forwarder = OrderForwarder(replicas, core or Core(), NEAR.zone, random.Random(1))
    service = OperatorService(register, forwarder=forwarder)
    return played(service.replace("0", body))


def test_the_leader_is_asked_first_and_its_answer_is_the_operators() -> None:
    replicas = Replicas({LEADER: always(TAKEN)})
    answer, after_s = forwarded(replicas)
    assert (answer.status, after_s, replicas.asked) == (200, 0.0, [LEADER.address])


def test_a_silent_leader_is_joined_by_the_replica_in_the_own_zone() -> None:
    replicas = Replicas({NEAR: always(TAKEN)})
    answer, after_s = forwarded(replicas)
    assert answer.status == 200
    assert replicas.asked == [LEADER.address, NEAR.address]
    assert after_s == pytest.approx(HEDGE_S, abs=0.01)


@pytest.mark.parametrize(
    "first", [IN_DOUBT, Unreachable("refuses"), Rejected("overloaded"), Unanswered("cut")]
)
def test_what_is_no_clear_answer_makes_it_ask_the_next_at_once(first: ForwardedAnswer | Exception) -> None:
    answer, after_s = forwarded(Replicas({LEADER: always(first), NEAR: always(TAKEN)}))
    assert (answer.status, after_s) == (200, 0.0)


@pytest.mark.parametrize("status", [400, 412, 413])
def test_a_refusal_is_final_and_nobody_else_is_asked(status: int) -> None:
    replicas = Replicas({LEADER: always(ForwardedAnswer(status, b"{}"))})
    answer, _ = forwarded(replicas)
    assert answer.status == status
    assert replicas.asked == [LEADER.address]


def test_without_a_clear_answer_the_order_is_left_in_doubt_in_time() -> None:
    replicas = Replicas()
    answer, after_s = forwarded(replicas)
    assert answer.status == 504
    assert len(replicas.asked) == MOST_REPLICAS
    assert after_s <= DEADLINE_S + 0.01


def test_where_all_replicas_are_of_a_release_before_the_process_proposes_itself() -> None:
    replicas = Replicas({member: always(Rejected("no handler")) for member in MEMBERS})
    register = Register()
    forwarder = OrderForwarder(replicas, Core(), "a", random.Random(1))
    service = OperatorService(register, forwarder=forwarder)
    answer, _ = played(service.replace("0", body_of(whole(5))))
    assert answer.status == 200
    assert register.value is not None


def test_without_a_core_the_process_asks_its_register() -> None:
    core = Core()
    core.core = None
    answer, _ = forwarded(Replicas(), core, body_of(whole(5)))
    assert answer.status == 503


def test_an_order_that_was_taken_is_acknowledged_again_by_another_replica() -> None:
    """The leader takes it and its answer is lost; the next one knows the order by its digest."""
    register = Register()
    leader, other = OperatorService(register), OperatorService(register)

    async def takes_and_is_silent(order: ForwardedOrder) -> ForwardedAnswer:
        await leader.take_forwarded(order)
        raise Unanswered("lost")

    replicas = Replicas({LEADER: takes_and_is_silent, NEAR: other.take_forwarded})
    answer, _ = forwarded(replicas, body=body_of(whole(5)))
    assert answer.status == 200
    assert (leader.counters.acknowledged, other.counters.acknowledged) == (1, 1)
    assert other.counters.taken_for_others == 1


def test_an_order_is_forwarded_once_only() -> None:
    forwarder = OrderForwarder(Replicas(), Core(), "a", random.Random(1))
    service = OperatorService(Register(), forwarder=forwarder)
    answer, _ = played(service.take_forwarded(ForwardedOrder(Kind.REPLACE, "0", zlib.compress(b"{}"))))
    assert answer.status == 503


def test_a_large_order_leaves_packed_and_has_the_time_that_its_bytes_take() -> None:
    document = whole(5, routes=[route(f"r{number}") for number in range(1_600)])
    body = body_of(document)
    replicas = Replicas({NEAR: always(TAKEN)})
    answer, after_s = forwarded(replicas, body=body)
    assert answer.status == 200
    assert replicas.bytes < len(body) / 4
    assert after_s > HEDGE_S


# Guards against a large order that is given up at a replica while the operator still waits for it.
def test_a_replica_has_the_time_that_a_large_order_takes_on_a_slow_link() -> None:
    body = json.dumps({"x": random.Random(1).randbytes(LONG_ORDER_BYTES).hex()}).encode()
    transmission_s = len(zlib.compress(body)) / SLOW_LINK_BYTES_PER_S

    async def play(order: ForwardedOrder) -> ForwardedAnswer:
        await asyncio.sleep(transmission_s)
        return TAKEN

    answer, after_s = forwarded(TimedReplicas({LEADER: play}), body=body)
    assert answer.status == 200
    assert after_s == pytest.approx(transmission_s, abs=0.01)


@pytest.mark.parametrize(
    "packed", [b"no such form", zlib.compress(b" " * (MAX_BODY_BYTES + 1)), zlib.compress(b"{}" * 99)[:-3]]
)
def test_a_body_that_can_not_be_unpacked_is_refused_and_counted(packed: bytes) -> None:
    assert unpack(ForwardedOrder(Kind.UPDATE, "1", packed), MAX_BODY_BYTES) is None
    service = OperatorService(Register())
    answer, _ = played(service.take_forwarded(ForwardedOrder(Kind.UPDATE, "1", packed)))
    assert answer.status == 400
    assert b"unpacked" in json.dumps(json.loads(answer.body)).encode()
    assert service.counters.invalid == 1
