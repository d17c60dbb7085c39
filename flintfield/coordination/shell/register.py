"""The configuration register's client: changes and linearizable reads by CASPaxos, under whatever set is
newest."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from flintfield.coordination.attempt import Attempt, Phase
from flintfield.coordination.messages import Committed
from flintfield.coordination.model import Ballot, CoreSet, NoQuorum, Register
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.timing import CALL_TIMEOUT_MS, CHANGE_BUDGET_MS, CONTENTION_MS, READ_BUDGET_MS

PROPOSER_BITS = 62
LONGEST_PAUSE_DOUBLINGS = 3

Decide = Callable[[bytes | None], bytes | None]


class Proposer:
    """Draws ballots that this process never uses twice, and runs attempts."""

    def __init__(self, peers: Peers, rng: random.Random) -> None:
        self._peers = peers
        self._rng = rng
        self._identity = rng.getrandbits(PROPOSER_BITS)
        self._counter = 0

    def ballot(self, core: CoreSet) -> Ballot:
        """A new ballot above all that this process has seen."""
        self._counter += 1
        return Ballot(core.version, self._counter, self._identity)

    async def attempt(self, core: CoreSet, register: Register,
                      decide: Decide) -> tuple[Attempt, bytes | None]:
        """One attempt; its phase tells how it ended, the value what was proposed."""
        attempt = Attempt(core, register, self.ballot(core))
        await self._peers.gather(core.members, attempt.prepare, CALL_TIMEOUT_MS,
                                 lambda _, answer: attempt.take(answer) is not Phase.PREPARING)
        value = attempt.current
        if attempt.phase is Phase.PREPARED:
            wanted = decide(value)
            value = value if wanted is None else wanted
            accept = attempt.propose(value)
            await self._peers.gather(core.members, accept, CALL_TIMEOUT_MS,
                                     lambda _, answer: attempt.take(answer) is not Phase.ACCEPTING)
        self._counter = max(self._counter, attempt.highest.counter)
        return attempt, value

    async def pause(self, failures: int) -> None:
        """Wait a random time after a lost ballot, so that of two proposers one gets through."""
        longest_ms = CONTENTION_MS * 2 ** min(failures, LONGEST_PAUSE_DOUBLINGS)
        await asyncio.sleep(self._rng.uniform(0.3, 1.0) * longest_ms / MS_PER_S)


class RegisterClient:
    """Changes and reads; `on_commit(ballot, value)` hears of each value that was committed here."""

    def __init__(self, peers: Peers, proposer: Proposer, knowledge: Knowledge, steady_ms: Callable[[], int],
                 on_commit: Callable[[Ballot, bytes | None], None]) -> None:
        self._peers = peers
        self._proposer = proposer
        self._knowledge = knowledge
        self._steady_ms = steady_ms
        self._on_commit = on_commit
        self.on_sealed: Callable[[], None] = lambda: None
        self.lost_ballots = 0

    async def change(self, decide: Decide, budget_ms: int = CHANGE_BUDGET_MS) -> bytes | None:
        """Change the value as `decide` says (None: leave it); returns what is committed in the end.

        The value is accepted by a majority anew even where it stays, so that nothing proposed earlier with a
        lower ballot can still come into force. Raises `NoQuorum`.
        """
        deadline_ms = self._steady_ms() + budget_ms
        failures = 0
        while True:
            core = await self._core(deadline_ms)
            attempt, value = await self._proposer.attempt(core, Register.CONFIGURATION, decide)
            if attempt.phase is Phase.COMMITTED:
                self._committed(attempt, value)
                return value
            self.lost_ballots += 1
            failures += 1
            self._knowledge.note_core(attempt.newer)
            if attempt.sealed and attempt.newer is None:
                self.on_sealed()
            if self._steady_ms() >= deadline_ms:
                raise NoQuorum("no majority of the core took the ballot")
            await self._proposer.pause(failures)

    async def settle(self) -> bytes | None:
        """A read that leaves a majority with one accepted ballot; raises `NoQuorum`."""
        return await self.change(lambda value: None, READ_BUDGET_MS)

    async def _core(self, deadline_ms: int) -> CoreSet:
        wait_s = max(0, deadline_ms - self._steady_ms()) / MS_PER_S
        try:
            return await asyncio.wait_for(self._knowledge.core_known(), wait_s)
        except TimeoutError as error:
            raise NoQuorum("no core is known") from error

    def _committed(self, attempt: Attempt, value: bytes | None) -> None:
        self._on_commit(attempt.ballot, value)
        for member in attempt.core.members:
            self._peers.tell(member.address, Committed(attempt.ballot, value))
