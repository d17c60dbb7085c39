"""Long polls: how every scheduler keeps up with the configuration, the core set and the leader.

The watcher keeps polls at a majority; their agreement on one accepted ballot confirms the configuration as of
the sending, plus the time that the replicas held the polls, since they read their state when they answered.
Polls carry ballots; the value of a newer one is fetched once.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from flintfield.coordination.contacts import Poll, PollAnswer
from flintfield.coordination.model import Ballot, CoreSet, Member, NoQuorum
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.newest import Newest
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.shell.register import RegisterClient
from flintfield.coordination.shell.value_fetch import ValueFetcher
from flintfield.coordination.timing import (
    CALL_TIMEOUT_MS,
    HEDGE_MS,
    LONGEST_UNCONFIRMED_MS,
    OTHERS_SETTLE_AFTER,
    POLL_HOLD_MS,
    POLL_JITTER_MS,
    REPLICA_SETTLES_AFTER,
    UNSETTLED_MS,
)
from flintfield.runtime.waiting import wait_for_event


@dataclass(frozen=True, slots=True)
class Agreement:
    """A ballot that a majority has accepted, and as of when. `value` is None where the polls left it out;
    `holders` are the identities of those who have it."""

    ballot: Ballot
    value: bytes | None
    as_of_ms: int
    holders: frozenset[int]


class Conclusion(enum.Enum):
    """What the answers of a majority come to."""

    CONFIRMED = 1  # the newest value is known here
    UNSETTLED = 2  # they differ: a change is under way, or its proposer has died
    VALUE_MISSING = 3  # they agree on a ballot whose value nobody told in time


class Round:
    """The answers to polls that were sent to the members of one set. No I/O."""

    def __init__(self, core: CoreSet, known: Ballot) -> None:
        self.core = core
        self.known = known
        self.told: dict[int, tuple[PollAnswer, int]] = {}

    def take(self, member: Member, told: PollAnswer, sent_ms: int) -> bool:
        """Count an answer; True once a majority has answered."""
        if self.counts(member, told):
            self.told[member.identity] = (told, sent_ms)
        return len(self.told) >= self.core.majority

    def counts(self, member: Member, told: PollAnswer) -> bool:
        """Whether the answer is this member's, and it is active in the set."""
        return told.active == self.core.version and told.replica == member.identity

    def agreed(self) -> Agreement | None:
        """What a majority has accepted, if it is one ballot.

        A ballot that was brought over from an older set doesn't count: it stands here without having been
        accepted in this one, so a majority that has it proves nothing about other ballots of the older set.
        """
        counts = Counter(told.accepted for told, _ in self.told.values())
        for ballot, count in counts.items():
            if count < self.core.majority or ballot.core not in (0, self.core.version):
                continue
            same = [(told, sent_ms) for told, sent_ms in self.told.values() if told.accepted == ballot]
            as_of_ms = min(sent_ms + told.held_ms for told, sent_ms in same)
            value = next((told.value for told, _ in same if told.value is not None), None)
            return Agreement(ballot, value, as_of_ms, frozenset(told.replica for told, _ in same))
        return None


class Watcher:
    """Keeps this process up to date by long polls."""

    def __init__(
        self,
        peers: Peers,
        knowledge: Knowledge,
        newest: Newest,
        register: RegisterClient,
        values: ValueFetcher,
        rng: random.Random,
        steady_ms: Callable[[], int],
        address: str,
        *,
        is_replica: bool,
    ) -> None:
        self._peers = peers
        self._knowledge = knowledge
        self._newest = newest
        self._register = register
        self._rng = rng
        self._steady_ms = steady_ms
        self._values = values
        self._address = address
        self._settles_after = REPLICA_SETTLES_AFTER if is_replica else OTHERS_SETTLE_AFTER
        self.confirmed_ms: int | None = None  # when a round last had a majority
        self.unsettled_rounds = 0
        self._started_ms = steady_ms()
        self._answered_ms: dict[int, int] = {}  # by identity, when a member last answered a poll

    def responsive_replicas(self, within_ms: int) -> list[Member]:
        """The members of the newest core set that answered a poll in this time, active in their set and in
        touch with a majority."""
        core = self._knowledge.core
        if core is None:
            return []
        oldest_ms = self._steady_ms() - within_ms
        answered_ms = self._answered_ms
        return [
            member for member in core.members if answered_ms.get(member.identity, oldest_ms - 1) >= oldest_ms
        ]

    def unconfirmed_ms(self) -> int:
        """For how long no round has had a majority."""
        return self._steady_ms() - (self.confirmed_ms if self.confirmed_ms is not None else self._started_ms)

    async def run(self) -> None:
        """Poll on and on; cancelled at the end."""
        unsettled = 0
        while True:
            core = await self._knowledge.core_known()
            jitter_ms = self._rng.randrange(POLL_JITTER_MS)
            round_ = await self._round(core, 0 if unsettled else POLL_HOLD_MS + jitter_ms)
            if len(round_.told) < core.majority:
                unsettled = 0
                await self._sleep(UNSETTLED_MS)
                continue
            conclusion = await self._conclude(round_)
            if conclusion is Conclusion.UNSETTLED:
                unsettled += 1
                self.unsettled_rounds += 1
                await self._unsettled(unsettled)
                continue
            unsettled = 0
            if conclusion is Conclusion.VALUE_MISSING:
                await self._sleep(UNSETTLED_MS)

    async def read(self) -> bytes | None:
        """A linearizable read; raises `NoQuorum`."""
        core = self._knowledge.core
        if core is not None:
            round_ = await self._round(core, 0)
            if len(round_.told) >= core.majority and await self._conclude(round_) is Conclusion.CONFIRMED:
                return self._newest.value  # a newer one than the agreed one is as good for a read
        started_ms = self._steady_ms()
        value = await self._register.settle()
        self._newest.confirmed(self._newest.ballot, started_ms)
        return value

    async def _conclude(self, round_: Round) -> Conclusion:
        """Take up what a majority agrees on."""
        self.confirmed_ms = self._steady_ms()
        agreed = round_.agreed()
        if agreed is None:
            return Conclusion.UNSETTLED
        if agreed.ballot > self._newest.ballot and not await self._learn(round_.core, agreed):
            return Conclusion.VALUE_MISSING
        self._newest.confirmed(agreed.ballot, agreed.as_of_ms)
        return Conclusion.CONFIRMED

    async def _learn(self, core: CoreSet, agreed: Agreement) -> bool:
        """Get the value of a committed ballot; False where nobody tells it in time."""
        if agreed.value is not None:
            self._newest.committed(agreed.ballot, agreed.value)
            return True
        known = await self._values.value_of(agreed.ballot, core, agreed.holders)
        if known is None:
            return False
        self._newest.committed(known.ballot, known.value)
        return True

    async def _unsettled(self, rounds: int) -> None:
        """A change is under way, or its proposer has died: look again soon, then settle it."""
        await self._sleep(UNSETTLED_MS * rounds)
        if rounds < self._settles_after:
            return
        started_ms = self._steady_ms()
        try:
            await self._register.settle()
            self._newest.confirmed(self._newest.ballot, started_ms)
        except NoQuorum:
            await self._sleep(UNSETTLED_MS)

    async def _sleep(self, base_ms: int) -> None:
        await asyncio.sleep(self._rng.uniform(0.5, 1.5) * base_ms / MS_PER_S)

    async def _round(self, core: CoreSet, hold_ms: int) -> Round:
        """Poll a majority, and the others too where it is slow."""
        round_ = Round(core, self._newest.ballot)
        enough = asyncio.Event()
        first, rest = self._split(core)
        polls = [self._peers.start(self._poll(round_, member, hold_ms, enough)) for member in first]
        done = self._peers.start(self._all_failed(polls, enough))
        await self._wait(enough, hold_ms + HEDGE_MS)
        if len(round_.told) < core.majority and rest:
            enough.clear()
            polls += [self._peers.start(self._poll(round_, member, 0, enough)) for member in rest]
            self._peers.start(self._all_failed(polls, enough))
            await self._wait(enough, CALL_TIMEOUT_MS)
        elif len(round_.told) < core.majority:
            await self._wait(enough, CALL_TIMEOUT_MS)
        done.cancel()
        return round_

    def _split(self, core: CoreSet) -> tuple[list[Member], list[Member]]:
        """A majority, the own replica first because it costs no network, and the rest."""
        members = [member for member in core.members if member.address != self._address]
        self._rng.shuffle(members)
        own = [member for member in core.members if member.address == self._address]
        members = own + members
        return members[: core.majority], members[core.majority :]

    @staticmethod
    async def _wait(event: asyncio.Event, timeout_ms: int) -> None:
        await wait_for_event(event, timeout_ms / MS_PER_S)

    @staticmethod
    async def _all_failed(polls: list[asyncio.Task[None]], enough: asyncio.Event) -> None:
        await asyncio.wait(polls)
        enough.set()

    def _note_answered(self, core: CoreSet, member: Member, answered_ms: int) -> None:
        self._answered_ms[member.identity] = max(
            answered_ms, self._answered_ms.get(member.identity, answered_ms)
        )
        if len(self._answered_ms) > len(core.members):  # members of former sets
            kept = {other.identity for other in core.members}
            self._answered_ms = {
                identity: at_ms for identity, at_ms in self._answered_ms.items() if identity in kept
            }

    async def _poll(self, round_: Round, member: Member, hold_ms: int, enough: asyncio.Event) -> None:
        leader = self._knowledge.leader
        poll = Poll(
            round_.core.version,
            leader.epoch if leader is not None else 0,
            round_.known,
            hold_ms,
            self._address,
            ballots_only=True,
        )
        sent_ms = self._steady_ms()
        told = await self._peers.poll(member, poll, hold_ms + CALL_TIMEOUT_MS)
        if told is None:
            return
        self._knowledge.note_core(told.core)
        self._knowledge.note_known_leader(told.leader)
        if round_.take(member, told, sent_ms):
            enough.set()
        if round_.counts(member, told) and told.unconfirmed_ms <= LONGEST_UNCONFIRMED_MS:
            self._note_answered(round_.core, member, sent_ms + told.held_ms)
        if told.committed > self._newest.ballot:
            committed = Agreement(told.committed, told.committed_value, sent_ms, frozenset({told.replica}))
            await self._learn(round_.core, committed)
