"""Hands an operator's order on to a replica, which proposes it to the register.

A process without a replica may have a slow link and a small share of a core. If it proposed itself, a large
change would leave it once for each replica; so the order leaves it once, packed. The leader is asked first:
where one process proposes, ballots don't pass each other. Safety needs none of that, for any process may
propose. A replica that is silent may still carry the order out, so that the answer of the next one asked
counts: it knows the order again by its digest, and refuses only what can't come into force any more.
"""

from __future__ import annotations

import asyncio
import random
import typing
import zlib
from functools import partial
from http import HTTPStatus

from flintfield.control.messages import ForwardedAnswer, ForwardedOrder, Kind
from flintfield.runtime.hedging import first_answer
from flintfield.transport import slow_links
from flintfield.transport.rpc import Rejected, RpcError, Unreachable

if typing.TYPE_CHECKING:
    from flintfield.coordination.model import CoreSet, LeaderView, Member

MOST_REPLICAS = 3  # asked with one order
HEDGE_S = 0.35  # a replica that hasn't answered by then is joined by the next one
DEADLINE_S = 1.5  # the operator moves on after a second of silence
PACK_LEVEL = 6  # zlib's default
IN_DOUBT = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


class Caller(typing.Protocol):
    """The part of `transport.rpc.Pool` that is used."""

    async def call(self, address: str, message: typing.Any, timeout_s: float) -> typing.Any:
        """The answer of the process there; raises `RpcError`."""


class CoreView(typing.Protocol):
    """What is known of the core."""

    @property
    def core(self) -> CoreSet | None:
        """The newest core set."""

    @property
    def leader(self) -> LeaderView | None:
        """The newest leader."""


class NoReplicaTakes(Exception):
    """Nobody took the order: no replica is known, none is there, or all are of a release before."""


class OrderForwarder:
    """Forwards orders; `zone` is the process's own."""

    def __init__(self, pool: Caller, node: CoreView, zone: str, rng: random.Random) -> None:
        self._pool = pool
        self._node = node
        self._zone = zone
        self._rng = rng

    async def forward(self, kind: Kind, base_version: str | None, body: bytes) -> ForwardedAnswer | None:
        """The answer of a replica; None where no clear one came in time. Raises `NoReplicaTakes`."""
        order = ForwardedOrder(kind, base_version, zlib.compress(body, PACK_LEVEL))
        transmission_s = slow_links.transmission_s(len(order.packed_body))
        replicas = self._replicas()
        turned_away: list[Member] = []
        timeout_s = DEADLINE_S + HEDGE_S + transmission_s
        asks = [partial(self._ask, replica, order, timeout_s, turned_away) for replica in replicas]
        try:
            async with asyncio.timeout(DEADLINE_S + transmission_s):
                answer = await first_answer(asks, HEDGE_S + transmission_s)
        except TimeoutError:
            return None
        if len(turned_away) == len(replicas):
            raise NoReplicaTakes
        return answer

    def _replicas(self) -> list[Member]:
        """Whom to ask, in turn: the leader, those in the own zone, others."""
        core, leader = self._node.core, self._node.leader
        if core is None:
            return []
        members = list(core.members)
        self._rng.shuffle(members)
        led_from = leader.address if leader is not None else ""
        members.sort(key=lambda member: (member.address != led_from, member.zone != self._zone))
        return members[:MOST_REPLICAS]

    async def _ask(
        self, replica: Member, order: ForwardedOrder, timeout_s: float, turned_away: list[Member]
    ) -> ForwardedAnswer | None:
        """One replica's answer; None where no clear one came. Who can't take the order is noted."""
        try:
            answer = await self._pool.call(replica.address, order, timeout_s)
        except (Rejected, Unreachable):
            turned_away.append(replica)
            return None
        except RpcError:
            return None
        if not isinstance(answer, ForwardedAnswer) or answer.status in IN_DOUBT:
            return None
        return answer


def unpack(order: ForwardedOrder, most_bytes: int) -> bytes | None:
    """The order's body; None where it can't be unpacked or is longer than `most_bytes`."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(order.packed_body, most_bytes + 1)
    except zlib.error:
        return None
    return body if unpacker.eof and len(body) <= most_bytes else None
