"""Fetches whole states: for a replica that joins a core set, and for a candidate whose own store is
behind."""

from __future__ import annotations

import random
from dataclasses import replace

from flintfield.coordination.messages import AskPart, AskState, PartAnswer, StateAnswer
from flintfield.coordination.model import CoreSet, Member, Position
from flintfield.coordination.shell.peers import Peers
from flintfield.coordination.stored import ITEM_PREFIX
from flintfield.coordination.timing import CALL_TIMEOUT_MS, CHUNK_TIMEOUT_MS
from flintfield.coordination.transfer import EMPTY, WholeState, choose
from flintfield.transport.rpc import RpcError

TRANSFER_BITS = 62
MOST_PARTS = 256  # of about 1 MiB: far above any disk here


class Fetcher:
    """Asks for states and fetches them part by part; every failure is None, and the caller tries again."""

    def __init__(self, peers: Peers, rng: random.Random) -> None:
        self._peers = peers
        self._rng = rng

    async def items_at(self, source: Member, position: Position) -> dict[bytes, bytes] | None:
        """The ordered store of that replica, if it stands at exactly this position."""
        transfer = self._rng.getrandbits(TRANSFER_BITS) | 1
        try:
            told = await self._peers.call(source, AskState(transfer), CHUNK_TIMEOUT_MS)
            if not isinstance(told, StateAnswer) or told.position != position:
                return None
            return await self._parts(source, transfer)
        except RpcError:
            return None

    async def _parts(self, source: Member, transfer: int) -> dict[bytes, bytes] | None:
        items: dict[bytes, bytes] = {}
        for index in range(MOST_PARTS):
            part = await self._peers.call(source, AskPart(transfer, index), CHUNK_TIMEOUT_MS)
            if not isinstance(part, PartAnswer) or not part.found:
                return None
            for change in part.changes:
                if change.value is not None:
                    items[change.key] = change.value
            if part.last:
                return items
        return None

    async def state_for(self, target: CoreSet, own: int) -> WholeState | None:
        """The state with which the replica `own` may become active in `target`; None while there is none."""
        if target.version == 1:
            return EMPTY
        members = {member.identity: member for member in (*target.previous, *target.members)}
        told: dict[int, StateAnswer] = {}

        def take(member: Member, answer: object) -> bool:
            if isinstance(answer, StateAnswer):
                told[member.identity] = answer
            return choose(target, told) is not None

        await self._peers.gather(list(members.values()), AskState(0), CALL_TIMEOUT_MS, take)
        choice = choose(target, told)
        if choice is None or choice.source == own:
            return choice.state if choice is not None else None
        try:
            return await self._fetch(target, members[choice.source], told)
        except RpcError:
            return None

    async def _fetch(
        self, target: CoreSet, source: Member, told: dict[int, StateAnswer]
    ) -> WholeState | None:
        """The chosen state with its items. The source may have moved on since: what it tells with the
        snapshot counts."""
        transfer = self._rng.getrandbits(TRANSFER_BITS) | 1
        answer = await self._peers.call(source, AskState(transfer), CHUNK_TIMEOUT_MS)
        if not isinstance(answer, StateAnswer):
            return None
        told[source.identity] = answer
        choice = choose(target, told)
        if choice is None or choice.source != source.identity:
            return None
        items = await self._parts(source, transfer)
        if items is None:
            return None
        return replace(choice.state, items=[(ITEM_PREFIX + key, value) for key, value in items.items()])
