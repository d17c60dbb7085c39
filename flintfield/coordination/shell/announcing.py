"""How a process makes itself known: at the foundation, as a candidate, out of touch, leaving, to seeds."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable

from flintfield.coordination.contacts import Announce, AnnounceNoted
from flintfield.coordination.model import Clock, CoreSet, Member
from flintfield.coordination.search import SearchWatch
from flintfield.coordination.shell.changes import CoreChanges
from flintfield.coordination.shell.founding import Founder
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.timing import ANNOUNCE_MS, CALL_TIMEOUT_MS
from flintfield.runtime.waiting import wait_for_event
from flintfield.transport.rpc import RpcError

LOG = logging.getLogger(__name__)
IN_TOUCH_PAUSE_MS = 1_000  # between two looks of a process that knows the core and is in touch with it
OUT_OF_TOUCH_MS = 2_000  # without a majority's answers for so long, the seeds are asked as well
LEADER_FRESH_MS = 600
PATIENT_MS = 5_000  # a candidate that has waited for so long announces itself more rarely
PATIENT_ANNOUNCE_MS = 450
STAY_MS = 1_000  # how long the leader's word counts that a candidate is there


class Announcer:
    """Announces this process where that is needed, and takes in the announcements of others.

    `own` is this process as a member, without an identity; `in_touch_ms` tells when a majority of the core
    last answered (steady ms; None: never).
    """

    def __init__(
        self,
        own: Member,
        first_start: bool,
        needed: int,
        host: ReplicaHost | None,
        peers: Peers,
        knowledge: Knowledge,
        changes: CoreChanges | None,
        rng: random.Random,
        steady_ms: Clock,
        in_touch_ms: Callable[[], int | None],
    ) -> None:
        self._own = own
        self._host = host
        self._peers = peers
        self._knowledge = knowledge
        self._changes = changes
        self._rng = rng
        self._steady_ms = steady_ms
        self._in_touch_ms = in_touch_ms
        self._founder = Founder(first_start, needed, host, peers, knowledge, self._member, rng, steady_ms)
        self._started_ms = steady_ms()
        self._leaving = False
        self._leaving_noted = False  # somebody has answered to that
        self._stay_told_ms: int | None = None  # when the leader last said that a candidate is there
        self._next_contact = 0
        self._watch = SearchWatch()  # of the search for the first core set that is known here
        self._asks_back = False
        self._wake = asyncio.Event()

    # What others say.

    def announced(self, message: Announce) -> AnnounceNoted:
        """Another scheduler introduces itself."""
        self._knowledge.note_scheduler(message.address)
        member = Member(message.name, message.address, message.zone, message.identity)
        core = self._knowledge.core
        stay = False
        if message.identity and message.leaving:
            stay = self._changes is not None and self._changes.note_leaving(member.identity)
        elif message.identity:
            self._note_replica(member, message.founding, core)
        known = core.version if core is not None else 0
        if message.core > known and not self._asks_back:
            self._asks_back = True
            self._peers.start(self._ask_back(message.address))
        newer = core if core is not None and known > message.core else None
        leader = self._knowledge.leader
        address = leader.address if leader is not None else ""
        return AnnounceNoted(newer, address, self._founder.gathers, stay)

    async def _ask_back(self, address: str) -> None:
        """Whoever is there knows a newer core set than this process: ask it."""
        try:
            await self._announce(address, self._announcement())
        finally:
            self._asks_back = False
        self._wake.set()

    def _note_replica(self, member: Member, founding: bool, core: CoreSet | None) -> None:
        if core is None:
            if founding:
                self._founder.note(member)
            else:
                self._founder.drop(member)
        elif member not in core.members and self._changes is not None:
            self._changes.note_candidate(member)

    # The loop.

    def leave(self) -> None:
        """This process is about to end; from now on it says so, and stands as no candidate."""
        self._leaving = True
        self._wake.set()

    async def introduce(self, address: str) -> bool:
        """Tell a seed that this process knows the core; returns whether it answered.

        Without an identity: a member whom the seed doesn't know yet is made no candidate there.
        """
        if self._leaving:
            return True  # nobody is to ask a process that is about to end
        message = dataclasses.replace(self._announcement(), identity=0, founding=False)
        return await self._announce(address, message) is not None

    @property
    def place_is_wanted(self) -> bool:
        """Whether this process leaves as a member whose place a candidate is about to take."""
        core = self._knowledge.core
        if core is None or not self._is_leaver(core):
            return False
        if not self._leaving_noted:
            return True  # nobody can have told yet
        return self._stay_told_ms is not None and self._steady_ms() - self._stay_told_ms <= STAY_MS

    async def run(self) -> None:
        """Announce and found on and on; cancelled at the end."""
        while True:
            if self._knowledge.core is None:
                self._founder.open()
                await self._before_core()
                wait_ms = ANNOUNCE_MS
            else:
                self._founder.close()
                wait_ms = await self._with_core(self._knowledge.core)
            await self._sleep(wait_ms)

    async def _sleep(self, wait_ms: int) -> None:
        await wait_for_event(self._wake, self._rng.uniform(0.7, 1.3) * wait_ms / MS_PER_S)
        self._wake.clear()

    async def _before_core(self) -> None:
        own = self._announcement()
        await asyncio.gather(*(self._announce(address, own) for address in self._founding_contacts()))
        if self._knowledge.core is None:
            await self._founder.found()
        self._note_search()

    def _note_search(self) -> None:
        """Tell the operator of a search for the core that goes on and on."""
        if self._knowledge.core is not None:
            self._watch.found()
        fields = self._watch.warning(self._steady_ms())
        if fields is not None:
            LOG.warning("core_unknown", extra=fields)

    def _founding_contacts(self) -> list[str]:
        """The first seed, which founds; the others join in where it can't be reached, or nothing is being
        founded."""
        seeds = [seed for seed in self._knowledge.seeds if seed != self._own.address]
        if self._founder.may_take_part and not self._founder.is_late and self._knowledge.seeds:
            return [seed for seed in self._knowledge.seeds[:1] if seed != self._own.address]
        return list(dict.fromkeys((*seeds, *self._knowledge.contacts())))

    def _announcement(self) -> Announce:
        core = self._knowledge.core
        own = self._member()
        return Announce(
            own.name,
            own.address,
            own.zone,
            own.identity,
            self._founder.may_take_part,
            core.version if core is not None else 0,
            self._leaving,
        )

    def _member(self) -> Member:
        identity = self._host.identity if self._host is not None else 0
        return Member(self._own.name, self._own.address, self._own.zone, identity)

    async def _announce(self, address: str, message: Announce) -> str | None:
        """Returns the leader's address, "" where it isn't known there; None without an answer."""
        core = self._knowledge.core
        if core is None:
            self._watch.asked(self._steady_ms())
        try:
            noted = await self._peers.ask(address, message, CALL_TIMEOUT_MS)
        except RpcError:
            return None
        if not isinstance(noted, AnnounceNoted):
            return None
        self._knowledge.note_scheduler(address)
        if core is None:
            self._watch.answered(noted.core is not None)
        self._note_core(noted.core, address)
        self._leaving_noted = self._leaving_noted or message.leaving
        if noted.stay:
            self._stay_told_ms = self._steady_ms()
        if address in self._knowledge.seeds[:1]:
            self._founder.first_seed_founds = noted.founder  # one that was started anew founds no more
        return noted.leader

    def _note_core(self, told: CoreSet | None, address: str) -> None:
        known = self._knowledge.core
        if told is None or (known is not None and told.version <= known.version):
            return
        self._knowledge.note_core(told)
        members = [member.name for member in told.members]
        LOG.info("core_learned", extra={"core": told.version, "members": members, "source": address})

    async def _with_core(self, core: CoreSet) -> int:
        """Announce where that is needed; returns how long to wait then (ms)."""
        in_touch_ms = self._in_touch_ms()
        since_ms = in_touch_ms if in_touch_ms is not None else self._started_ms
        out_of_touch = self._steady_ms() - since_ms > OUT_OF_TOUCH_MS
        if not (out_of_touch or self._is_candidate(core) or self._is_leaver(core)):
            return IN_TOUCH_PAUSE_MS
        targets = self._some_contacts() if out_of_touch else self._core_contacts(core)
        message = self._announcement()
        leaders = await asyncio.gather(*(self._announce(address, message) for address in targets))
        for address in dict.fromkeys(leaders):
            if address and address not in (self._own.address, *targets):
                await self._announce(address, message)
        waiting = self._steady_ms() - self._started_ms >= PATIENT_MS
        return PATIENT_ANNOUNCE_MS if waiting and not self._leaving else ANNOUNCE_MS

    def _is_candidate(self, core: CoreSet) -> bool:
        """Whether this process has a replica that is no member."""
        own = self._member()
        return own.identity != 0 and not self._leaving and own not in core.members

    def _is_leaver(self, core: CoreSet) -> bool:
        """Whether this process is a member that is about to end."""
        return self._leaving and self._member() in core.members

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
