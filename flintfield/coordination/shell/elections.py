"""When this replica campaigns, and the way from a won campaign to a leader."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

from flintfield.coordination.candidacy import CampaignPhase, Candidacy
from flintfield.coordination.follower import NEVER_MS
from flintfield.coordination.leader import Leader
from flintfield.coordination.model import CoreSet, Member
from flintfield.coordination.replica import Replica
from flintfield.coordination.shell.fetch import Fetcher
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.leading import Leadership
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.timing import (
    CALL_TIMEOUT_MS,
    CAMPAIGN_RETRY_MS,
    ELECTION_JITTER_MS,
    ELECTION_PLACE_MS,
    ELECTION_TIMEOUT_MS,
    PROMISE_GUARD_MS,
    RESIGNED_PLACE_MS,
)
from flintfield.runtime.waiting import wait_for_event

LOG = logging.getLogger(__name__)
BOOT_BITS = 62
IDLE_MS = 500  # between two looks of a replica that may not campaign
AFTER_START_PLACE_MS = 120  # staggers the replicas when all have started at once


class LeaderListener(Protocol):
    """Hears of the own leadership. Both calls are made in the event loop and must return at once."""

    def elected(self, leadership: Leadership) -> None:
        """This process leads. Every replica of a majority holds what `leadership.items` holds."""

    def deposed(self) -> None:
        """It no longer does; its lease may have been over for some time."""


def due_ms(replica: Replica, host_since_ms: int, resigned_ms: int | None, named: int, core: CoreSet) -> int:
    """From when on this replica may campaign. Only liveness rests on it; the promises guard the lease."""
    follower = replica.follower
    place = core.place(replica.identity)
    if resigned_ms is not None:
        return resigned_ms + (0 if named == replica.identity else (place + 1) * RESIGNED_PLACE_MS)
    if follower.heard_ms != NEVER_MS or follower.promised_ms != NEVER_MS:
        newest_ms = max(follower.heard_ms, follower.promised_ms)
        return newest_ms + ELECTION_TIMEOUT_MS + place * ELECTION_PLACE_MS
    stagger_ms = place * AFTER_START_PLACE_MS
    if follower.order.promised == 0:  # nobody has ever led
        return host_since_ms + stagger_ms
    if follower.order.holder == replica.identity:  # the lease was held by an earlier life of this process
        return host_since_ms
    return host_since_ms + PROMISE_GUARD_MS + stagger_ms


class Elections:
    """Campaigns when it is due and leads when elected; `leadership` is the current one."""

    def __init__(
        self,
        host: ReplicaHost,
        peers: Peers,
        knowledge: Knowledge,
        fetcher: Fetcher,
        listener: LeaderListener | None,
        rng: random.Random,
        steady_ms: Callable[[], int],
        wall_ms: Callable[[], int],
    ) -> None:
        self._host = host
        self._peers = peers
        self._knowledge = knowledge
        self._fetcher = fetcher
        self._listener = listener
        self._rng = rng
        self._steady_ms = steady_ms
        self._wall_ms = wall_ms
        self._boot = rng.getrandbits(BOOT_BITS)
        self._wake = asyncio.Event()
        self._promised_elsewhere = 0
        self._withdrawn = False
        self.leadership: Leadership | None = None
        self.prepare_leadership: Callable[[Leadership], None] = lambda _: None
        self.on_sealed: Callable[[], None] = lambda: None
        self.campaigns = 0
        host.on_move.append(self._wake.set)
        knowledge.on_core.append(self._core_changed)

    async def run(self) -> None:
        """Wait, campaign, lead, again and again; cancelled at the end."""
        while True:
            core = self._eligible()
            if core is None:
                await self._sleep(IDLE_MS)
                continue
            wait_ms = self._due_ms(core) - self._steady_ms()
            if wait_ms > 0:
                await self._sleep(wait_ms + self._rng.randrange(ELECTION_JITTER_MS // 4))
                continue
            if not await self._campaign(core):
                await self._sleep(CAMPAIGN_RETRY_MS * self._rng.uniform(1.0, 3.0))

    async def resign(self) -> None:
        """Hand the leadership over and stand for no more elections."""
        self._withdrawn = True
        leadership = self.leadership
        if leadership is not None:
            await leadership.resign()

    def note_own_lease(self) -> None:
        """While the lease holds, this process hears of itself."""
        leadership = self.leadership
        if leadership is not None and leadership.leader.committed >= 0 and leadership.confirmed():
            self._note_own(leadership)

    def _eligible(self) -> CoreSet | None:
        replica = self._host.replica
        if replica is None or self._withdrawn or self._listener is None:
            return None
        core = replica.serving
        return core if core is not None and core.member(replica.identity) is not None else None

    def _due_ms(self, core: CoreSet) -> int:
        replica = self._host.replica
        assert replica is not None
        host = self._host
        return due_ms(replica, host.since_ms, host.resigned_ms, host.named_successor, core)

    async def _sleep(self, wait_ms: float) -> None:
        await wait_for_event(self._wake, wait_ms / MS_PER_S)
        self._wake.clear()

    def _core_changed(self, core: CoreSet) -> None:
        if self.leadership is not None:
            self.leadership.change_core(core)
        self._wake.set()

    async def _campaign(self, core: CoreSet) -> bool:
        replica = self._host.replica
        assert replica is not None
        self.campaigns += 1
        promised = max(replica.follower.order.promised, self._promised_elsewhere)
        candidacy = Candidacy(core, replica.identity, self._boot, promised)
        for phase in (CampaignPhase.PROBING, CampaignPhase.PREPARING):
            if candidacy.phase is phase:
                await self._ask(candidacy, phase)
        self._promised_elsewhere = max(self._promised_elsewhere, candidacy.epoch - 1)
        self._knowledge.note_core(candidacy.newer)
        if candidacy.phase is not CampaignPhase.PREPARED:
            if candidacy.sealed:
                self.on_sealed()
            return False
        return await self._take_over(candidacy)

    async def _ask(self, candidacy: Candidacy, phase: CampaignPhase) -> None:
        await self._peers.gather(
            candidacy.core.members,
            candidacy.request,
            CALL_TIMEOUT_MS,
            lambda _, answer: candidacy.take(answer) is not phase,
        )

    async def _take_over(self, candidacy: Candidacy) -> bool:
        items = await self._items(candidacy)
        if items is None:
            return False
        self._host.resigned_ms = None
        leader = Leader(
            candidacy.core, candidacy.epoch, candidacy.identity, candidacy.boot, candidacy.base, items
        )
        leadership = Leadership(leader, self._peers, self._rng, self._steady_ms, self._wall_ms)
        self.prepare_leadership(leadership)
        self.leadership = leadership
        if self._knowledge.core is not None:
            leadership.change_core(self._knowledge.core)
        try:
            if await leadership.established():
                await self._lead(leadership)
                return True
            return False
        finally:
            self.leadership = None

    async def _items(self, candidacy: Candidacy) -> dict[bytes, bytes] | None:
        """The content at the base: the own, or that of the replica that has it."""
        if candidacy.source == candidacy.identity:
            return self._host.items_at(candidacy.base)
        source = candidacy.core.member(candidacy.source)
        assert source is not None
        return await self._fetcher.items_at(source, candidacy.base)

    async def _lead(self, leadership: Leadership) -> None:
        assert self._listener is not None
        if self._withdrawn:
            await leadership.resign()
            return
        self._note_own(leadership)
        LOG.info("elected", extra={"epoch": leadership.epoch, "core": leadership.leader.core.version})
        self._listener.elected(leadership)
        try:
            await leadership.run()
        finally:
            LOG.info("deposed", extra={"epoch": leadership.epoch})
            self._listener.deposed()

    def _note_own(self, leadership: Leadership) -> None:
        own: Member | None = leadership.leader.core.member(leadership.leader.identity)
        if own is not None:
            self._knowledge.note_leader(leadership.epoch, own.name, own.address, self._steady_ms())
