"""How processes find the core: announcements, and the foundation at the first start."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from flintfield.coordination.contacts import Announce, AnnounceNoted, Found, FoundAnswer, SetDecided
from flintfield.coordination.foundation import Gathering
from flintfield.coordination.model import Clock, CoreSet, Member
from flintfield.coordination.shell.changes import CoreChanges
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.timing import ANNOUNCE_MS, CALL_TIMEOUT_MS, SECOND_FOUNDER_MS
from flintfield.transport.rpc import RpcError

LOG = logging.getLogger(__name__)
CONTENT_MS = 1_000  # between two looks of a process that knows the core and is in touch with it
LOST_MS = 2_000  # without a majority's answers for so long, the seeds are asked as well
LEADER_FRESH_MS = 600
PATIENT_MS = 5_000  # a candidate that has waited for so long announces itself more rarely
PATIENT_ANNOUNCE_MS = 450
ADOPTED_PUSH_MS = 500  # a member pushes the set that it has adopted if nothing is decided by then


class Meeting:
    """Announces this process where that is needed, and takes part in the foundation."""

    def __init__(self, own: Member, first_start: bool, needed: int, host: ReplicaHost | None, peers: Peers,
                 knowledge: Knowledge, changes: CoreChanges | None, rng: random.Random, steady_ms: Clock,
                 in_touch_ms: Callable[[], int | None]) -> None:
        self._own = own
        self._first_start = first_start
        self._needed = needed
        self._host = host
        self._peers = peers
        self._knowledge = knowledge
        self._changes = changes
        self._rng = rng
        self._steady_ms = steady_ms
        self._in_touch_ms = in_touch_ms
        self._started_ms = steady_ms()
        self._gathering: Gathering | None = None
        self._founder_reached = False
        self._adopted_since_ms: int | None = None
        self._next_contact = 0
        self._wake = asyncio.Event()

    # What others tell.

    def announced(self, message: Announce) -> AnnounceNoted:
        """Another scheduler introduces itself."""
        self._knowledge.note_scheduler(message.address)
        member = Member(message.name, message.address, message.zone, message.identity)
        core = self._knowledge.core
        if message.identity:
            self._note_replica(member, message.founding, core)
        newer = core if core is not None and core.version > message.core else None
        leader = self._knowledge.leader
        return AnnounceNoted(newer, leader.address if leader is not None else "", self._gathering is not None)

    def _note_replica(self, member: Member, founding: bool, core: CoreSet | None) -> None:
        if core is None:
            if founding and self._gathering is not None:
                self._gathering.note(self._steady_ms(), member)
        elif member not in core.members and self._changes is not None:
            self._changes.note_candidate(member)

    # The loop.

    async def run(self) -> None:
        """Announce and found on and on; cancelled at the end."""
        while True:
            if self._knowledge.core is None:
                self._open_gathering()
                await self._before_core()
                wait_ms = ANNOUNCE_MS
            else:
                self._gathering = None
                wait_ms = await self._with_core(self._knowledge.core)
            await asyncio.sleep(self._rng.uniform(0.7, 1.3) * wait_ms / MS_PER_S)

    @property
    def _founding(self) -> bool:
        """Whether this process may take part in a foundation; a restart in its midst doesn't change that."""
        replica = self._host.replica if self._host is not None else None
        return self._first_start or (replica is not None and replica.founding)

    def _seed_place(self) -> int:
        seeds = self._knowledge.seeds
        return seeds.index(self._own.address) if self._own.address in seeds else len(seeds)

    def _open_gathering(self) -> None:
        if self._gathering is None and self._founding and self._seed_place() in (0, 1):
            strict = self._seed_place() == 1
            self._gathering = Gathering(self._steady_ms(), self._needed, strict)

    async def _before_core(self) -> None:
        own = self._announcement()
        if self._gathering is not None and self._host is not None and self._host.identity:
            self._gathering.note(self._steady_ms(), self._member())
        targets = self._announce_to()
        await asyncio.gather(*(self._announce(address, own) for address in targets))
        if self._knowledge.core is None:
            await self._found()

    def _announce_to(self) -> list[str]:
        """The first seed, which founds; the others join in where it can't be reached, or nothing is being
        founded."""
        seeds = [seed for seed in self._knowledge.seeds if seed != self._own.address]
        late = self._steady_ms() - self._started_ms >= SECOND_FOUNDER_MS
        if self._founding and not late and self._knowledge.seeds:
            return [seed for seed in self._knowledge.seeds[:1] if seed != self._own.address]
        return list(dict.fromkeys((*seeds, *self._knowledge.contacts())))

    def _announcement(self) -> Announce:
        core = self._knowledge.core
        identity = self._host.identity if self._host is not None else 0
        own = self._own
        return Announce(own.name, own.address, own.zone, identity, self._founding,
                        core.version if core is not None else 0)

    def _member(self) -> Member:
        assert self._host is not None
        return Member(self._own.name, self._own.address, self._own.zone, self._host.identity)

    async def _announce(self, address: str, message: Announce) -> str:
        """Returns the leader's address, or ""."""
        try:
            noted = await self._peers.ask(address, message, CALL_TIMEOUT_MS)
        except RpcError:
            return ""
        if not isinstance(noted, AnnounceNoted):
            return ""
        self._knowledge.note_scheduler(address)
        self._knowledge.note_core(noted.core)
        if address in self._knowledge.seeds[:1]:
            self._founder_reached = noted.founder  # a first seed that was started anew founds no more
        return noted.leader

    async def _with_core(self, core: CoreSet) -> int:
        """A replica that is no member stands as a candidate; whoever has lost touch asks around."""
        stranger = self._host is not None and self._host.identity != 0 and self._member() not in core.members
        since_ms = self._in_touch_ms()
        lost = self._steady_ms() - (since_ms if since_ms is not None else self._started_ms) > LOST_MS
        if not stranger and not lost:
            return CONTENT_MS
        targets = self._some_contacts() if lost else self._core_contacts(core)
        message = self._announcement()
        leaders = await asyncio.gather(*(self._announce(address, message) for address in targets))
        for address in dict.fromkeys(leaders):
            if address not in ("", self._own.address, *targets):
                await self._announce(address, message)
        waiting = self._steady_ms() - self._started_ms >= PATIENT_MS
        return PATIENT_ANNOUNCE_MS if waiting else ANNOUNCE_MS

    def _core_contacts(self, core: CoreSet) -> list[str]:
        """The leader if it lives, else all members: to one of them the candidate may tell that the leader is
        gone."""
        leader = self._knowledge.leader
        elsewhere = leader is not None and leader.address != self._own.address
        if leader is not None and elsewhere and self._steady_ms() - leader.heard_ms < LEADER_FRESH_MS:
            return [leader.address]
        return [member.address for member in core.members if member.address != self._own.address]

    def _some_contacts(self) -> list[str]:
        """Two of all addresses known, in turn."""
        contacts = self._knowledge.contacts()
        if not contacts:
            return []
        start = self._next_contact
        self._next_contact += 2
        return list(dict.fromkeys(contacts[(start + step) % len(contacts)] for step in range(2)))

    # The foundation.

    async def _found(self) -> None:
        first = self._first_set()
        if first is not None:
            await self._push_first(first)

    def _first_set(self) -> CoreSet | None:
        """The first set that this process has to bring to its members, or None."""
        now_ms = self._steady_ms()
        replica = self._host.replica if self._host is not None else None
        if replica is not None and replica.adopted is not None:
            if self._adopted_since_ms is None:
                self._adopted_since_ms = now_ms
            patient = self._seed_place() != 0 and now_ms - self._adopted_since_ms < ADOPTED_PUSH_MS
            return None if patient else replica.adopted
        if self._gathering is None or not self._may_found(now_ms):
            return None
        return self._gathering.first_set(now_ms)

    def _may_found(self, now_ms: int) -> bool:
        """The first seed founds; the second does when nobody reached the first for long."""
        if self._seed_place() == 0:
            return True
        return not self._founder_reached and now_ms - self._started_ms >= SECOND_FOUNDER_MS

    async def _push_first(self, first: CoreSet) -> None:
        """Have all members adopt the set, this process first; decided when all have."""
        adopted: set[int] = set()

        def take(member: Member, answer: object) -> bool:
            if isinstance(answer, FoundAnswer):
                self._knowledge.note_core(answer.core)
                if answer.adopted == first:
                    adopted.add(member.identity)
            return len(adopted) == len(first.members)

        identity = self._host.identity if self._host is not None else 0
        own = [member for member in first.members if member.identity == identity]
        await self._peers.gather(own, Found(first), CALL_TIMEOUT_MS, take)
        if len(adopted) == len(own):
            others = [member for member in first.members if member not in own]
            await self._peers.gather(others, Found(first), CALL_TIMEOUT_MS, take)
        if len(adopted) == len(first.members) and self._knowledge.core is None:
            self._founded(first)

    def _founded(self, first: CoreSet) -> None:
        LOG.info("founded", extra={"members": [member.name for member in first.members]})
        self._knowledge.note_core(first)
        members = [member.address for member in first.members]
        for address in dict.fromkeys((*members, *self._knowledge.schedulers())):
            self._peers.tell(address, SetDecided(first))

