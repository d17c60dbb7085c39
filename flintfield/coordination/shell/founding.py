"""This process's part in the foundation: gathering the first members, bringing them the first core set."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Sequence

from flintfield.coordination.contacts import AskFounding, Found, FoundAnswer, SetDecided
from flintfield.coordination.foundation import Gathering, first_proposal
from flintfield.coordination.model import Ballot, Clock, CoreSet, Member
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.peers import Peers
from flintfield.coordination.timing import CALL_TIMEOUT_MS, FORGETFUL_FOUNDER_MS, SECOND_FOUNDER_MS

LOG = logging.getLogger(__name__)
ADOPTED_PUSH_MS = 500  # a member pushes the set that it has adopted if nothing is decided by then
WAITING_LOG_MS = 10_000  # the first line about a foundation that waits, and the time between two
PROPOSAL_RETRY_MS = (
    400  # mean pause after a proposal that was not decided: two founders don't block each other
)
FIRST_VERSION = 1
PROPOSER_BITS = 62


class Founder:
    """Founds the first core set where this process is the first or second seed, and pushes what it adopted.

    A seed that keeps nothing and was started anew in the midst of the first start gathers again. It can't
    tell
    that from a later start of its own, so it waits until whoever knows the core would have introduced itself,
    and never founds with fewer than are needed.

    `needed` is the number of replicas that bear the promised losses; `own_member` tells this process as a
    member, with its present identity.
    """

    def __init__(
        self,
        first_start: bool,
        needed: int,
        host: ReplicaHost | None,
        peers: Peers,
        knowledge: Knowledge,
        own_member: Callable[[], Member],
        rng: random.Random,
        steady_ms: Clock,
    ) -> None:
        self._first_start = first_start
        self._needed = needed
        self._host = host
        self._peers = peers
        self._knowledge = knowledge
        self._own_member = own_member
        self._rng = rng
        self._steady_ms = steady_ms
        self._started_ms = steady_ms()
        self._gathering: Gathering | None = None
        self._adopted_since_ms: int | None = None
        self._proposer = rng.getrandbits(PROPOSER_BITS)
        self._counter = 0  # of the highest ballot that was seen
        self._not_before_ms = self._started_ms  # no proposal of this process
        self._waiting_logged_ms = self._started_ms
        self.first_seed_founds = False  # as it said itself

    @property
    def may_take_part(self) -> bool:
        """Whether this process may take part in a foundation; a restart in its midst doesn't change that."""
        replica = self._host.replica if self._host is not None else None
        return self._first_start or (replica is not None and replica.founding)

    @property
    def gathers(self) -> bool:
        """Whether others may announce themselves here for the foundation."""
        return self._gathering is not None

    @property
    def is_late(self) -> bool:
        """Whether so much time has passed that the second seed may found."""
        return self._steady_ms() - self._started_ms >= SECOND_FOUNDER_MS

    def note(self, member: Member) -> None:
        """A replica at its first start has announced itself."""
        if self._gathering is not None:
            self._gathering.note(self._steady_ms(), member)

    def drop(self, member: Member) -> None:
        """Who is there now takes no part in the foundation."""
        if self._gathering is not None:
            self._gathering.drop(member.name, member.address)

    def open(self) -> None:
        """Begin to gather, where this process is one of those that may found."""
        if self._gathering is None and self._seed_place() in (0, 1):
            strict = self._seed_place() == 1 or not self.may_take_part
            self._gathering = Gathering(self._steady_ms(), self._needed, strict)
        if self.may_take_part and self._host is not None and self._host.identity:
            self.note(self._own_member())

    def close(self) -> None:
        """The core is known: gather no more."""
        self._gathering = None

    async def found(self) -> None:
        """Push what the own replica has adopted; propose a first set, if it is this process's turn."""
        self._log_waiting()
        adopted = self._adopted_to_push()
        if adopted is not None:
            await self._push(adopted.core, adopted.ballot)
        gathered = self._gathered_set()
        if gathered is not None and self._knowledge.core is None:
            await self._propose(gathered)

    def _seed_place(self) -> int:
        seeds, own = self._knowledge.seeds, self._own_member().address
        return seeds.index(own) if own in seeds else len(seeds)

    def _adopted_to_push(self) -> Found | None:
        """What the own replica has adopted, once those before it have had their time to bring it about."""
        now_ms = self._steady_ms()
        replica = self._host.replica if self._host is not None else None
        if replica is None or replica.foundation.adopted is None:
            return None
        if self._adopted_since_ms is None:
            self._adopted_since_ms = now_ms
        if self._seed_place() != 0 and now_ms - self._adopted_since_ms < ADOPTED_PUSH_MS:
            return None
        return Found(replica.foundation.adopted, replica.foundation.stored.accepted)

    def _gathered_set(self) -> CoreSet | None:
        """The first set that this process may propose now, or None."""
        now_ms = self._steady_ms()
        if self._gathering is None or now_ms < self._not_before_ms or not self._may_found():
            return None
        return self._gathering.first_set(now_ms)

    def _may_found(self) -> bool:
        """The first seed founds; the second does when nobody reached the first for long."""
        if self._seed_place() != 0:
            return not self.first_seed_founds and self.is_late
        return self.may_take_part or self._steady_ms() - self._started_ms >= FORGETFUL_FOUNDER_MS

    async def _propose(self, gathered: CoreSet) -> None:
        """Get promises for a new ballot, then push what may be proposed with them."""
        self._not_before_ms = self._steady_ms() + int(PROPOSAL_RETRY_MS * self._rng.uniform(0.5, 1.5))
        self._counter += 1
        ballot = Ballot(FIRST_VERSION, self._counter, self._proposer)
        promises: dict[int, FoundAnswer] = {}
        missing = gathered.members
        while missing:
            before = len(promises)
            await self._ask(missing, ballot, promises)
            if self._knowledge.core is not None or len(promises) == before:
                return  # decided meanwhile; or nobody else has promised
            proposal = first_proposal(gathered, promises)
            if proposal.core is not None:
                await self._push(proposal.core, ballot)
                return
            missing = proposal.missing

    async def _ask(self, members: Sequence[Member], ballot: Ballot, promises: dict[int, FoundAnswer]) -> None:
        """Ask for promises, and keep those that come."""
        asked = len(promises) + len(members)

        def take(member: Member, answer: object) -> bool:
            if isinstance(answer, FoundAnswer):
                self._note_answer(answer)
                if answer.promised == ballot:
                    promises[member.identity] = answer
            return len(promises) == asked

        await self._peers.gather(members, AskFounding(ballot), CALL_TIMEOUT_MS, take)

    def _note_answer(self, answer: FoundAnswer) -> None:
        self._knowledge.note_core(answer.core)
        self._counter = max(self._counter, answer.promised.counter)

    async def _push(self, first: CoreSet, ballot: Ballot) -> None:
        """Have all members adopt the set, this process first; decided when all have."""
        adopted: set[int] = set()

        def take(member: Member, answer: object) -> bool:
            if isinstance(answer, FoundAnswer):
                self._note_answer(answer)
                if answer.adopted == first and answer.accepted == ballot:
                    adopted.add(member.identity)
            return len(adopted) == len(first.members)

        identity = self._host.identity if self._host is not None else 0
        own = [member for member in first.members if member.identity == identity]
        await self._peers.gather(own, Found(first, ballot), CALL_TIMEOUT_MS, take)
        if len(adopted) == len(own):
            others = [member for member in first.members if member not in own]
            await self._peers.gather(others, Found(first, ballot), CALL_TIMEOUT_MS, take)
        if len(adopted) == len(first.members) and self._knowledge.core is None:
            self._founded(first)

    def _founded(self, first: CoreSet) -> None:
        LOG.info("founded", extra={"members": [member.name for member in first.members]})
        self._knowledge.note_core(first)
        members = [member.address for member in first.members]
        for address in dict.fromkeys((*members, *self._knowledge.schedulers())):
            self._peers.tell(address, SetDecided(first))

    def _log_waiting(self) -> None:
        """Tell the operator of a foundation that does not come about, and for whom it waits."""
        now_ms = self._steady_ms()
        replica = self._host.replica if self._host is not None else None
        adopted = replica.foundation.adopted if replica is not None else None
        if adopted is None or now_ms - self._waiting_logged_ms < WAITING_LOG_MS:
            return
        self._waiting_logged_ms = now_ms
        LOG.warning("foundation_waits", extra={"members": [member.name for member in adopted.members]})
