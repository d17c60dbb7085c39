"""Fetches the value of a ballot from whoever has it: once for all who want it here, nearest sources first."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from functools import partial

from flintfield.coordination.model import Ballot, CoreSet, Member
from flintfield.coordination.register_messages import ValueAnswer
from flintfield.coordination.shell.known_values import KnownValue, KnownValues
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.timing import VALUE_HEDGE_MS, VALUE_TIMEOUT_MS
from flintfield.runtime.hedging import first_answer
from flintfield.transport.rpc import RpcError

MOST_SOURCES = 3  # of one value; each that is slow may bring it once more


class ValueFetcher:
    """Fetches values; `zone` and `address` are the process's own."""

    def __init__(self, peers: Peers, values: KnownValues, zone: str, address: str) -> None:
        self._peers = peers
        self._values = values
        self._zone = zone
        self._address = address
        self._fetches: dict[Ballot, asyncio.Task[KnownValue | None]] = {}

    async def value_of(self, ballot: Ballot, core: CoreSet, holders: Collection[int]) -> KnownValue | None:
        """The value of this ballot; None where nobody told it in time.

        `holders` are the identities of the members of `core` that are known to have it.
        """
        known = self._values.find(ballot)
        if known is not None:
            return known
        fetch = self._fetches.get(ballot)
        if fetch is None:
            earlier = next(reversed(self._fetches.values()), None)
            fetch = self._peers.start(self._fetch(ballot, self._sources(core, holders), earlier))
            self._fetches[ballot] = fetch
            fetch.add_done_callback(lambda _: self._fetches.pop(ballot, None))
        return await asyncio.shield(fetch)

    def _sources(self, core: CoreSet, holders: Collection[int]) -> list[Member]:
        """Whom to ask, in turn: holders before others, and of them those in the own zone first."""
        others = [member for member in core.members if member.address != self._address]
        others.sort(key=lambda member: (member.identity not in holders, member.zone != self._zone))
        return others[:MOST_SOURCES]

    async def _fetch(
        self, ballot: Ballot, sources: list[Member], earlier: asyncio.Task[KnownValue | None] | None
    ) -> KnownValue | None:
        """Ask one after another, and count how it ended.

        Without a base every value comes whole. Then wait a while for the `earlier` fetch, whose sources may
        be silent: the difference to its value is short, and a second whole one would delay both.
        """
        if earlier is not None and self._values.base is None:
            await asyncio.wait((earlier,), timeout=VALUE_HEDGE_MS / MS_PER_S)
        asks = [partial(self._ask, source, ballot) for source in sources]
        found = await first_answer(asks, VALUE_HEDGE_MS / MS_PER_S)
        if found is None:
            self._values.counters.fetch_failed += 1
        else:
            self._values.counters.fetched += 1
            self._values.note_fetched(found.value)
        return found

    async def _ask(self, source: Member, ballot: Ballot) -> KnownValue | None:
        try:
            answer = await self._peers.ask(source.address, self._values.question(ballot), VALUE_TIMEOUT_MS)
        except RpcError:
            return None
        return self._values.read(ballot, answer) if isinstance(answer, ValueAnswer) else None
