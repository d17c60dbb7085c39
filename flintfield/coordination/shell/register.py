"""The configuration register's client: changes and linearizable reads by CASPaxos, under whatever set is
newest.

The wishes of one process share attempts: proposers that pass each other's ballots get nothing done, and the
more there are, the less. A wish may join an attempt until its value is proposed. That is as good as if the
attempt had begun later: if it is committed, a majority accepted its ballot after the wish had joined, so no
change with a higher ballot was committed before, and those with a lower one were seen.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from flintfield.coordination.attempt import Attempt, Phase
from flintfield.coordination.messages import Refused
from flintfield.coordination.model import Ballot, CoreSet, Member, NoQuorum, Refusal, Register
from flintfield.coordination.register_messages import Accept, AcceptDelta, BallotCommitted
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.shell.value_fetch import ValueFetcher
from flintfield.coordination.timing import CALL_TIMEOUT_MS, CHANGE_BUDGET_MS, CONTENTION_MS, READ_BUDGET_MS
from flintfield.transport.rpc import Rejected

PROPOSER_BITS = 62
LEAST_PAUSE = 0.5  # of the time that an attempt takes
LONGEST_PAUSE_DOUBLINGS = 3
LONGEST_PAUSE_MS = 800
ATTEMPT_SMOOTHING = 0.2  # weight of the newest attempt in the estimate of how long one takes

Decide = Callable[[bytes | None], bytes | None]


@dataclass(slots=True, eq=False)
class _Wish:
    """A change or read that waits; `deadline_ms` is steady time."""

    decide: Decide
    deadline_ms: int
    result: asyncio.Future[bytes | None]

    @property
    def open(self) -> bool:
        """Whether its caller still waits."""
        return not self.result.done()


class Proposer:
    """Draws ballots that this process never uses twice, and runs attempts."""

    def __init__(self, peers: Peers, values: ValueFetcher, rng: random.Random) -> None:
        self._peers = peers
        self._values = values
        self._rng = rng
        self._identity = rng.getrandbits(PROPOSER_BITS)
        self._counter = 0

    def ballot(self, core: CoreSet) -> Ballot:
        """A new ballot above all that this process has seen."""
        self._counter += 1
        return Ballot(core.version, self._counter, self._identity)

    async def attempt(
        self, core: CoreSet, register: Register, decide: Decide
    ) -> tuple[Attempt, bytes | None]:
        """One attempt; its phase tells how it ended, the value what was proposed."""
        ballots_only = register is Register.CONFIGURATION  # the other one's values are short
        attempt = Attempt(core, register, self.ballot(core), ballots_only=ballots_only)
        await self._peers.gather(
            core.members,
            attempt.prepare,
            CALL_TIMEOUT_MS,
            lambda _, answer: attempt.take(answer) is not Phase.PREPARING,
        )
        value = attempt.current
        if attempt.phase is Phase.PREPARED and await self._complete(attempt):
            value = attempt.current
            wanted = decide(value)
            value = value if wanted is None else wanted
            await self._accept(attempt, value)
        self._counter = max(self._counter, attempt.highest.counter)
        return attempt, value

    async def _complete(self, attempt: Attempt) -> bool:
        """Fetch the current value where the promises left it out; False where nobody tells it in time."""
        if attempt.lacks_value:
            known = await self._values.value_of(attempt.accepted, attempt.core, attempt.holders)
            if known is None:
                return False
            attempt.supply(known.value)
        return True

    async def _accept(self, attempt: Attempt, value: bytes | None) -> None:
        """Have the value accepted: as a difference to the current one, whole where a member lacks that."""
        accept = attempt.propose(value)
        delta = attempt.delta(accept)
        await self._peers.gather_answers(
            attempt.core.members,
            lambda member: self._accept_at(member, accept, delta),
            lambda _, answer: attempt.take(answer) is not Phase.ACCEPTING,
        )

    async def _accept_at(self, member: Member, accept: Accept, delta: AcceptDelta | None) -> Any:
        """One member's answer; raises `RpcError`."""
        if delta is not None:
            try:
                answer = await self._peers.call(member, delta, CALL_TIMEOUT_MS)
                if not (isinstance(answer, Refused) and answer.kind is Refusal.LACKS_BASE):
                    return answer
            except Rejected:  # a release before, which has no such request
                pass
        return await self._peers.call(member, accept, CALL_TIMEOUT_MS)

    async def pause(self, failures: int, attempt_ms: float = CONTENTION_MS) -> None:
        """Wait a random time after a lost ballot, so that of several proposers one gets through.

        It lasts for half of an attempt at least, so that whoever won may finish, and grows with the failures
        in a row.
        """
        unit_ms = max(attempt_ms, CONTENTION_MS)
        spread = 2 ** min(failures, LONGEST_PAUSE_DOUBLINGS)
        pause_ms = unit_ms * self._rng.uniform(LEAST_PAUSE, LEAST_PAUSE + spread)
        await asyncio.sleep(min(pause_ms, LONGEST_PAUSE_MS) / MS_PER_S)


class RegisterClient:
    """Changes and reads; `on_commit(ballot, value)` hears of each value that was committed here."""

    def __init__(
        self,
        peers: Peers,
        proposer: Proposer,
        knowledge: Knowledge,
        steady_ms: Callable[[], int],
        on_commit: Callable[[Ballot, bytes | None], None],
    ) -> None:
        self._peers = peers
        self._proposer = proposer
        self._knowledge = knowledge
        self._steady_ms = steady_ms
        self._on_commit = on_commit
        self.on_sealed: Callable[[], None] = lambda: None
        self.lost_ballots = 0
        self.attempts = 0
        self._wishes: list[_Wish] = []
        self._runs = False
        self._attempt_ms = float(CONTENTION_MS)

    async def change(self, decide: Decide, budget_ms: int = CHANGE_BUDGET_MS) -> bytes | None:
        """Change the value as `decide` says (None: leave it); returns what is committed in the end.

        The value is accepted by a majority anew even where it stays, so that nothing proposed earlier with a
        lower ballot can still come into force. Raises `NoQuorum`, and what `decide` raises.
        """
        deadline_ms = self._steady_ms() + budget_ms
        await self._core(deadline_ms)
        wish = _Wish(decide, deadline_ms, asyncio.get_running_loop().create_future())
        self._wishes.append(wish)
        if not self._runs:
            self._runs = True
            self._peers.start(self._run())
        return await wish.result

    async def _run(self) -> None:
        """Make attempts until no wish is left."""
        failures = 0
        try:
            while self._drop_late():
                if await self._attempt():
                    failures = 0
                    continue
                failures += 1
                self.lost_ballots += 1
                if self._drop_late():
                    await self._proposer.pause(failures, self._attempt_ms)
        finally:
            self._runs = False
            self._fail(self._wishes, "the process ends")

    def _drop_late(self) -> bool:
        """Give up the wishes whose time is over; True where others are left."""
        now_ms = self._steady_ms()
        self._fail(
            [wish for wish in self._wishes if now_ms >= wish.deadline_ms],
            "no majority of the core took the ballot",
        )
        self._wishes = [wish for wish in self._wishes if wish.open]
        return bool(self._wishes)

    @staticmethod
    def _fail(wishes: list[_Wish], reason: str) -> None:
        for wish in wishes:
            if wish.open:
                wish.result.set_exception(NoQuorum(reason))

    async def _attempt(self) -> bool:
        """One attempt for all wishes that are there when its value is proposed; True if it is committed."""
        core = self._knowledge.core
        assert core is not None
        joined: list[_Wish] = []

        def decide_all(value: bytes | None) -> bytes | None:
            joined.extend(self._wishes)
            return _decide_in_turn(joined, value)

        started_ms = self._steady_ms()
        self.attempts += 1
        attempt, value = await self._proposer.attempt(core, Register.CONFIGURATION, decide_all)
        if attempt.phase is not Phase.COMMITTED:
            self._knowledge.note_core(attempt.newer)
            if attempt.sealed and attempt.newer is None:
                self.on_sealed()
            return False
        self._attempt_ms += ATTEMPT_SMOOTHING * (self._steady_ms() - started_ms - self._attempt_ms)
        self._committed(attempt, value)
        for wish in joined:
            if wish.open:
                wish.result.set_result(value)
        return True

    async def settle(self) -> bytes | None:
        """A read that leaves a majority with one accepted ballot; raises `NoQuorum`."""
        return await self.change(lambda value: None, READ_BUDGET_MS)

    async def _core(self, deadline_ms: int) -> CoreSet:
        wait_s = max(0, deadline_ms - self._steady_ms()) / MS_PER_S
        try:
            async with asyncio.timeout(wait_s):
                return await self._knowledge.core_known()
        except TimeoutError as error:
            raise NoQuorum("no core is known") from error

    def _committed(self, attempt: Attempt, value: bytes | None) -> None:
        self._on_commit(attempt.ballot, value)
        for member in attempt.core.members:
            self._peers.tell(member.address, BallotCommitted(attempt.ballot))


def _decide_in_turn(wishes: list[_Wish], value: bytes | None) -> bytes | None:
    """The value after all wishes, each on top of those before it; None where it stays.

    One that raises is told so and changes nothing.
    """
    present = value
    for wish in wishes:
        if not wish.open:
            continue
        try:
            wanted = wish.decide(present)
        except Exception as error:
            wish.result.set_exception(error)
            continue
        present = present if wanted is None else wanted
    return None if present == value else present
