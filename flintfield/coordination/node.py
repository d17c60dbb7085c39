"""The public interface of coordination for schedulers: one `CoreNode` per process."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from flintfield.coordination.contacts import (
    Announce,
    AskIdentity,
    IdentityAnswer,
    LeaderAnswer,
    Poll,
    SetDecided,
    WhereIsLeader,
)
from flintfield.coordination.messages import Refused
from flintfield.coordination.model import (
    Clock,
    CoreSet,
    Deposed,
    LeaderView,
    Member,
    NoQuorum,
    Refusal,
)
from flintfield.coordination.register_messages import AskValue, BallotCommitted, Committed
from flintfield.coordination.replica import HANDLED
from flintfield.coordination.shell.announcing import Announcer
from flintfield.coordination.shell.changes import CoreChanges
from flintfield.coordination.shell.elections import Elections, LeaderListener
from flintfield.coordination.shell.fetch import Fetcher
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.introducing import Introducer
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.known_values import KnownValues, ValueCounters
from flintfield.coordination.shell.leading import Leadership
from flintfield.coordination.shell.newest import Newest
from flintfield.coordination.shell.peers import Peers
from flintfield.coordination.shell.poll_responder import PollResponder
from flintfield.coordination.shell.register import Proposer, RegisterClient
from flintfield.coordination.shell.value_fetch import ValueFetcher
from flintfield.coordination.shell.watcher import Watcher
from flintfield.coordination.storage.interface import KeyedStore
from flintfield.transport.rpc import Connection, Handlers, Pool

SPARED_CHECK_INTERVAL_S = 0.1

__all__ = ["CoreNode", "CoreSet", "Deposed", "LeaderListener", "LeaderView", "Leadership", "NoQuorum"]


class CoreNode:
    """The coordination part of a process: a replica, or a client that follows the core set and its leader.

    The process is a client if `store` is None or `counts` is False. `seeds` and `address` are RPC addresses
    "ip:port". `first_start` is true only at the first start of the whole system. Times are milliseconds of
    `steady_ms` and `wall_ms`.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str,
        seeds: Sequence[str],
        first_start: bool,
        counts: bool,
        store: KeyedStore | None,
        tolerance_machines: int,
        pool: Pool,
        listener: LeaderListener | None,
        rng: random.Random,
        steady_ms: Clock,
        wall_ms: Clock,
    ) -> None:
        self._name = name
        self._knowledge = Knowledge(steady_ms, tuple(seeds), address)
        self._newest = Newest()
        self._host: ReplicaHost | None = None
        if counts and store is not None:
            self._host = ReplicaHost(store, first_start, self._knowledge, rng, steady_ms, wall_ms)
        self._peers = Peers(pool, self._host)
        self._values = KnownValues(self._newest, self._host)
        self._value_fetcher = ValueFetcher(self._peers, self._values, zone, address)
        proposer = Proposer(self._peers, self._value_fetcher, rng)
        self._register = RegisterClient(
            self._peers, proposer, self._knowledge, steady_ms, self._newest.committed
        )
        self._poll_responder = PollResponder(
            self._host, self._knowledge, self._newest, steady_ms, lambda: self._watcher.unconfirmed_ms()
        )
        self._peers.own_polls = self._poll_responder.answer
        self._watcher = Watcher(
            self._peers,
            self._knowledge,
            self._newest,
            self._register,
            self._value_fetcher,
            rng,
            steady_ms,
            address,
            is_replica=self._host is not None,
        )
        self._elections: Elections | None = None
        self._changes: CoreChanges | None = None
        if self._host is not None:
            self._create_replica_components(self._host, proposer, listener, rng, steady_ms, wall_ms)
        own = Member(name, address, zone, 0)
        self._announcer = Announcer(
            own,
            first_start,
            2 * tolerance_machines + 1,
            self._host,
            self._peers,
            self._knowledge,
            self._changes,
            rng,
            steady_ms,
            lambda: self._watcher.confirmed_ms,
        )
        self._introducer = Introducer(address, self._knowledge, self._announcer.introduce, rng, steady_ms)
        self._tasks: list[asyncio.Task[Any]] = []

    def _create_replica_components(
        self,
        host: ReplicaHost,
        proposer: Proposer,
        listener: LeaderListener | None,
        rng: random.Random,
        steady_ms: Clock,
        wall_ms: Clock,
    ) -> None:
        fetcher = Fetcher(self._peers, rng)
        self._elections = Elections(
            host, self._peers, self._knowledge, fetcher, listener, rng, steady_ms, wall_ms
        )
        self._changes = CoreChanges(
            host, self._peers, proposer, self._knowledge, fetcher, self._elections, rng, steady_ms
        )
        self._register.on_sealed = self._changes.push
        self._elections.on_sealed = self._changes.push
        self._elections.prepare_leadership = self._connect_leadership_callbacks

    def _connect_leadership_callbacks(self, leadership: Leadership) -> None:
        assert self._changes is not None
        leadership.on_sealed = self._changes.push
        leadership.on_newer = self._knowledge.note_core

    # Queries and changes by the process itself.

    @property
    def leader(self) -> LeaderView | None:
        """The newest leader known, with the steady-clock time at which it was last known to be alive."""
        self._note_own_leadership()
        return self._knowledge.leader

    @property
    def core(self) -> CoreSet | None:
        """The newest core set known."""
        return self._knowledge.core

    @property
    def value_counters(self) -> ValueCounters:
        """Counters of configurations sent to other processes and fetched from them."""
        return self._values.counters

    def known(self) -> tuple[bytes | None, int] | None:
        """Return the newest committed configuration known here, and the steady-clock time as of which it is
        confirmed to be the newest."""
        return self._newest.known()

    def on_change(self, callback: Callable[[bytes], None]) -> None:
        """Register `callback(value)` for every newer committed configuration that becomes known here."""
        self._newest.callbacks.append(callback)

    def responsive_replicas(self, within_ms: int) -> list[Member]:
        """Return the members of the newest core set, active in it, that answered a poll of this process
        within the last `within_ms`."""
        return self._watcher.responsive_replicas(within_ms)

    async def read(self) -> bytes | None:
        """Read the newest committed configuration (linearizable); raises `NoQuorum`."""
        return await self._watcher.read()

    async def change(self, decide: Callable[[bytes | None], bytes | None]) -> bytes | None:
        """Change the configuration and return the value that is finally committed.

        `decide` receives the committed value and returns the new one, or None to keep it; it may be called
        several times. Raises `NoQuorum` if the outcome is unknown: the change may have taken effect, or may
        still take effect later. Once a value is returned, no earlier attempt of this call can take effect.
        """
        return await self._register.change(decide)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the seeds after a change of the settings."""
        self._knowledge.seeds = tuple(seeds)
        self._introducer.seeds_changed()

    # Start and stop.

    async def start(self) -> None:
        """Start the background tasks; returns immediately, even if the disk is slow."""
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._watcher.run()))
        self._tasks.append(loop.create_task(self._announcer.run()))
        self._tasks.append(loop.create_task(self._introducer.run()))
        if self._host is not None:
            self._tasks.append(loop.create_task(self._run_replica(self._host)))

    async def _run_replica(self, host: ReplicaHost) -> None:
        assert self._elections is not None and self._changes is not None
        await host.start()
        await asyncio.gather(self._elections.run(), self._changes.run())

    async def resign(self) -> None:
        """Hand over leadership immediately and take part in no further elections. The replica keeps running.

        From now on the process announces that it is leaving, so that a waiting candidate can replace it
        immediately.
        """
        self._announcer.leave()
        if self._elections is not None:
            await self._elections.resign()

    async def spared(self, timeout_s: float) -> bool:
        """Wait until the core can continue without this replica and an available candidate has replaced it.

        Returns False on timeout.
        """
        if self._changes is None:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                while self._announcer.place_is_wanted or not await self._changes.can_be_spared():
                    await asyncio.sleep(SPARED_CHECK_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def stop(self) -> None:
        """Stop all background tasks and cancel the calls in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.stop()

    # Requests from other processes.

    def handlers(self) -> Handlers:
        """Return the handlers for the process's RPC server."""
        handlers: dict[type, Callable[[Any, Connection], Any]] = {
            kind: self._replica_request for kind in HANDLED
        }
        handlers[Poll] = lambda poll, _: self._answer_poll(poll)
        handlers[Announce] = lambda message, _: self._announcer.announced(message)
        handlers[SetDecided] = lambda message, _: self._knowledge.note_core(message.core)
        handlers[Committed] = lambda message, _: self._newest.committed(message.ballot, message.value)
        handlers[BallotCommitted] = lambda message, _: self._values.committed(message)
        handlers[AskValue] = lambda message, _: self._values.answer(message)
        handlers[AskIdentity] = lambda _, __: self._identity()
        handlers[WhereIsLeader] = lambda _, __: self._where_is_leader()
        return handlers

    def _replica_request(self, message: Any, _: Connection) -> Coroutine[Any, Any, Any] | Refused:
        if self._host is None:
            return Refused(Refusal.INACTIVE, 0, self._knowledge.core)
        return self._host.handle(message)

    def _answer_poll(self, poll: Poll) -> Coroutine[Any, Any, Any]:
        self._note_own_leadership()
        return self._poll_responder.answer(poll)

    def _identity(self) -> IdentityAnswer:
        return IdentityAnswer(self._name, self._host.identity if self._host is not None else 0)

    def _where_is_leader(self) -> LeaderAnswer:
        self._note_own_leadership()
        knowledge = self._knowledge
        members = knowledge.core.members if knowledge.core is not None else ()
        return LeaderAnswer(
            knowledge.known_leader(), tuple(member.address for member in members), knowledge.schedulers()
        )

    def _note_own_leadership(self) -> None:
        if self._elections is not None:
            self._elections.note_own_lease()
