"""Changes of the core set: deciding the successor, and becoming active in a new set."""

from __future__ import annotations

import asyncio
import logging
import random

from flintfield.coordination.attempt import Phase
from flintfield.coordination.contacts import AskIdentity, IdentityAnswer, Poll, SetDecided
from flintfield.coordination.model import NO_BALLOT, Clock, CoreSet, Member, Register
from flintfield.coordination.reconfiguration import successor
from flintfield.coordination.shell.elections import Elections
from flintfield.coordination.shell.fetch import Fetcher
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.shell.register import Proposer
from flintfield.coordination.timing import (
    CALL_TIMEOUT_MS,
    RECONFIGURE_MS,
    SEALED_PLACE_MS,
    TRANSFER_RETRY_MS,
)
from flintfield.runtime.waiting import wait_for_event
from flintfield.transport.records import decode, encode
from flintfield.transport.rpc import RpcError

LOG = logging.getLogger(__name__)
CANDIDATES_KEPT = 32  # later ones are passed over until one is forgotten
CANDIDATE_FORGOTTEN_MS = 1_500
IDLE_MS = 400


class CoreChanges:
    """What this replica does about the core set: as the leader, as a sealed one, as a new member."""

    def __init__(
        self,
        host: ReplicaHost,
        peers: Peers,
        proposer: Proposer,
        knowledge: Knowledge,
        fetcher: Fetcher,
        elections: Elections,
        rng: random.Random,
        steady_ms: Clock,
    ) -> None:
        self._host = host
        self._peers = peers
        self._proposer = proposer
        self._knowledge = knowledge
        self._fetcher = fetcher
        self._elections = elections
        self._rng = rng
        self._steady_ms = steady_ms
        self._candidates: dict[int, tuple[Member, int]] = {}
        self._leaving: dict[int, int] = {}  # by identity: when it last said so
        self._wake = asyncio.Event()
        self._sealed_since_ms: int | None = None
        self._push = False
        self._asking_back = False
        self.changes = 0
        self.transfers = 0
        knowledge.on_core.append(self._core_changed)

    def note_candidate(self, member: Member) -> None:
        """A replica that is no member has announced itself."""
        if member.identity not in self._candidates and len(self._candidates) >= CANDIDATES_KEPT:
            return
        self._candidates[member.identity] = (member, self._steady_ms())
        if self._takes_holders_place(member) and not self._asking_back:
            self._asking_back = True
            self._peers.start(self._release_holder(member))
        if self._elections.leadership is not None:
            self._wake.set()

    def note_leaving(self, identity: int) -> bool:
        """A member has said that its process is about to end; True where a candidate is to take its place
        first."""
        core = self._knowledge.core
        if core is None or core.member(identity) is None:
            return False
        self._leaving[identity] = self._steady_ms()
        if self._elections.leadership is None:
            return False
        self._wake.set()
        self._forget(self._steady_ms())
        return any(member not in core.members for member, _ in self._candidates.values())

    def _takes_holders_place(self, candidate: Member) -> bool:
        replica = self._host.replica
        if replica is None or replica.active is None:
            return False
        holder = replica.active.member(replica.follower.order.holder)
        if holder is None or holder.identity == candidate.identity:
            return False
        return holder.address == candidate.address

    async def _release_holder(self, candidate: Member) -> None:
        """Another replica answers at the lease holder's address: the holder's process is over, and so is its
        lease."""
        try:
            if await self._is_there(candidate) and self._takes_holders_place(candidate):
                self._host.release()
        finally:
            self._asking_back = False

    def push(self) -> None:
        """Somebody has met a sealed replica: see the change of its set through."""
        self._push = True
        self._wake.set()

    def _core_changed(self, core: CoreSet) -> None:
        self._host.learn(core)
        self._wake.set()

    async def run(self) -> None:
        """Look at the core set on and on; cancelled at the end."""
        while True:
            replica = self._host.replica
            if replica is not None:
                replica.snapshots.expire(self._steady_ms())
                if await self._join():
                    continue
                await self._settle_sealed()
                await self._reconfigure()
            await self._sleep()

    async def _sleep(self) -> None:
        busy = self._elections.leadership is not None and bool(self._candidates)
        wait_ms = RECONFIGURE_MS if busy or self._sealed_since_ms is not None else IDLE_MS
        await wait_for_event(self._wake, self._rng.uniform(0.8, 1.2) * wait_ms / MS_PER_S)
        self._wake.clear()

    # A member of a newer set.

    async def _join(self) -> bool:
        """Become active in the newest set that names this replica; True where it tried."""
        replica, core = self._host.replica, self._knowledge.core
        assert replica is not None
        if core is None or core.version == 0 or core.member(replica.identity) is None:
            return False
        if replica.active is not None and replica.active.version >= core.version:
            return False
        self._host.learn(core)
        state = await self._fetcher.state_for(core, replica.identity)
        if state is None or not await self._host.activate(core, state):
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * TRANSFER_RETRY_MS / MS_PER_S)
            return True
        self.transfers += 1
        self._sealed_since_ms = None
        LOG.info("active", extra={"core": core.version, "fetched": state.items is not None})
        return True

    # A set whose change was begun and not finished.

    async def _settle_sealed(self) -> None:
        """Push a change on that was left half done: at once when told so, else after a while, by place."""
        replica, core = self._host.replica, self._knowledge.core
        assert replica is not None
        unfinished = (
            replica.sealed
            and replica.active is not None
            and core is not None
            and core.version == replica.active.version
        )
        if not unfinished:
            self._sealed_since_ms = None
        elif self._sealed_since_ms is None:
            self._sealed_since_ms = self._steady_ms()
        pushed, self._push = self._push, False
        if core is None or not (pushed or self._overdue(core, replica.identity)):
            return
        await self._decide(core, None)

    def _overdue(self, core: CoreSet, identity: int) -> bool:
        if self._sealed_since_ms is None:
            return False
        patience_ms = SEALED_PLACE_MS * (1 + core.place(identity))
        return self._steady_ms() - self._sealed_since_ms >= patience_ms

    # The leader's own changes.

    async def _reconfigure(self) -> None:
        leadership = self._elections.leadership
        now_ms = self._steady_ms()
        self._forget(now_ms)
        if leadership is None or not leadership.confirmed() or not self._candidates:
            return
        leader = leadership.leader
        members = [member for member, _ in self._candidates.values()]
        if self._next_set(leader.core, members) is None:
            return
        present = [member for member in members if await self._is_there(member)]
        wanted = self._next_set(leader.core, present)
        if wanted is not None and not leadership.over:
            await self._decide(leader.core, wanted)

    def _forget(self, now_ms: int) -> None:
        """Drop candidates and leavers that are not heard of any more."""
        self._candidates = {
            identity: (member, seen_ms)
            for identity, (member, seen_ms) in self._candidates.items()
            if now_ms - seen_ms <= CANDIDATE_FORGOTTEN_MS
        }
        self._leaving = {
            identity: seen_ms
            for identity, seen_ms in self._leaving.items()
            if now_ms - seen_ms <= CANDIDATE_FORGOTTEN_MS
        }

    def _next_set(self, core: CoreSet, candidates: list[Member]) -> CoreSet | None:
        leadership = self._elections.leadership
        if leadership is None:
            return None
        leader, now_ms = leadership.leader, self._steady_ms()
        return successor(
            core, candidates, lambda member: leader.silent_ms(now_ms, member), leader.identity, self._leaving
        )

    async def can_be_spared(self) -> bool:
        """Whether the core goes on without this replica: it is no member, or the others are a majority that
        is active in the newest set."""
        replica, core = self._host.replica, self._knowledge.core
        if replica is None or core is None or core.member(replica.identity) is None:
            return True
        question = Poll(core.version, 0, NO_BALLOT, 0, "")
        others = [member for member in core.members if member.identity != replica.identity]
        told = await asyncio.gather(
            *(self._peers.poll(member, question, CALL_TIMEOUT_MS) for member in others)
        )
        active = sum(answer is not None and answer.active >= core.version for answer in told)
        return active >= core.majority

    async def _is_there(self, member: Member) -> bool:
        """Ask back: an announcement may be late, and of a life that is over."""
        try:
            answer = await self._peers.ask(member.address, AskIdentity(), CALL_TIMEOUT_MS)
        except RpcError:
            return False
        return isinstance(answer, IdentityAnswer) and answer.identity == member.identity

    async def _decide(self, core: CoreSet, wanted: CoreSet | None) -> None:
        """Agree on the successor of `core`: one that was accepted before, else `wanted`, else none.

        Without a wish nothing is proposed where nobody has accepted a successor.
        """

        def choose(accepted: bytes | None) -> bytes | None:
            if accepted is not None:
                return None
            if wanted is None:
                raise _NothingToDecide
            return encode(wanted)

        try:
            attempt, value = await self._proposer.attempt(core, Register.SUCCESSOR, choose)
        except _NothingToDecide:
            return
        self._knowledge.note_core(attempt.newer)
        if attempt.phase is not Phase.COMMITTED or value is None:
            await self._proposer.pause(2)
            return
        decided: CoreSet = decode(value)
        self.changes += 1
        names = [member.name for member in decided.members]
        LOG.info("core_changed", extra={"core": decided.version, "members": names})
        self._knowledge.note_core(decided)
        for address in dict.fromkeys(member.address for member in (*core.members, *decided.members)):
            self._peers.tell(address, SetDecided(decided))


class _NothingToDecide(Exception):
    """Nobody has accepted a successor, and none is wished for."""
