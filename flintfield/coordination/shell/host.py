"""The shell of the replica: its store, the order of its steps, what must be durable before a reply."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from flintfield.coordination.messages import Adopt, Alive, Append, Appended, Heartbeat, Refused, Resign
from flintfield.coordination.model import CoreSet, Position, Refusal
from flintfield.coordination.replica import Replica
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.step import Step
from flintfield.coordination.storage.interface import KeyedStore, StorageClosed, StorageError, StorageFailed
from flintfield.coordination.stored import format_store, IDENTITY_KEY, ITEM_PREFIX
from flintfield.coordination.transfer import WholeState

LOG = logging.getLogger(__name__)
FORMAT_RETRY_S = 0.2
IDENTITY_BITS = 62


class ReplicaHost:
    """One replica and its store. `replica` is None until the store is formatted durably."""

    def __init__(
        self,
        store: KeyedStore,
        first_start: bool,
        knowledge: Knowledge,
        rng: random.Random,
        steady_ms: Callable[[], int],
        wall_ms: Callable[[], int],
    ) -> None:
        self._store = store
        self._first_start = first_start
        self._knowledge = knowledge
        self._rng = rng
        self._steady_ms = steady_ms
        self._wall_ms = wall_ms
        self._ticket = 0
        self._promise_ticket = 0  # of the newest change of promises or of the lease's holder
        self.replica: Replica | None = None
        self.since_ms = 0  # when it started or became active in its set
        self.resigned_ms: int | None = None  # when the leader told that it stops
        self.named_successor = 0
        self.refusals = 0  # requests refused because the store failed or is full
        self.on_move: list[Callable[[], None]] = []  # called when it becomes active or is resigned to

    @property
    def identity(self) -> int:
        """The replica's identity; 0 before it has one."""
        return self.replica.identity if self.replica is not None else 0

    async def start(self) -> None:
        """Draw an identity where the store has none, and make the replica; waits for the disk."""
        if IDENTITY_KEY not in self._store.items:
            identity = self._rng.getrandbits(IDENTITY_BITS) | 1
            self._ticket = self._store.apply(format_store(identity, self._first_start))
        while True:
            try:
                await self._store.durable(self._ticket)
                break
            except StorageFailed:
                await asyncio.sleep(FORMAT_RETRY_S)
        self._make()
        assert self.replica is not None
        self._knowledge.note_core(self.replica.newest)

    def _make(self) -> None:
        self.since_ms = self._steady_ms()
        self.replica = Replica(self._store.items, self.since_ms, self._wall_ms)

    async def handle(self, message: Any) -> Any:
        """One request, from the network or from this process."""
        replica = self.replica
        if replica is None:
            return Refused(Refusal.INACTIVE, 0, self._knowledge.core)
        step = replica.step(self._steady_ms(), message)
        if not self._carry_out(step):
            return Refused(Refusal.BROKEN, replica.identity)
        if step.changes and not isinstance(message, Append):
            self._promise_ticket = self._ticket
        self._observe(message, step.reply)
        if not await self._durable(self._promise_ticket if step.at_once else self._ticket):
            return Refused(Refusal.BROKEN, replica.identity)
        return step.reply

    def _carry_out(self, step: Step) -> bool:
        """Apply the changes; False where the store is full or closed. Then the replica starts over from what
        is stored."""
        if not step.changes and step.replacement is None:
            return True
        try:
            if step.replacement is None:
                self._ticket = self._store.apply(step.changes)
            else:
                self._ticket = self._replace(step)
        except StorageError as error:
            self.refusals += 1
            if not isinstance(error, StorageClosed):  # a replica that leaves may be asked once more
                LOG.error("the store takes nothing", extra={"error": repr(error)})
            self._make()
            return False
        return True

    def _replace(self, step: Step) -> int:
        dropped = {key for key, value in step.changes if value is None}
        puts = {key: value for key, value in step.changes if value is not None}
        assert step.replacement is not None
        puts.update(step.replacement)
        return self._store.replace(
            list(puts.items()), lambda key: not key.startswith(ITEM_PREFIX) and key not in dropped
        )

    async def settled(self) -> bool:
        """Wait until all that was applied is durable; False where the store fails."""
        return await self._durable(self._ticket)

    async def _durable(self, ticket: int) -> bool:
        try:
            await self._store.durable(ticket)
        except StorageFailed:
            self.refusals += 1
            return False
        return True

    def _observe(self, message: Any, reply: Any) -> None:
        """Note what a step tells about the leader and the core."""
        replica = self.replica
        assert replica is not None
        if isinstance(message, Heartbeat | Adopt | Append) and isinstance(reply, Alive | Appended):
            self.resigned_ms = None
            self._note_leader(replica, message)
        elif isinstance(message, Resign) and not isinstance(reply, Refused):
            if message.epoch >= replica.follower.order.promised:
                self.resigned_ms = self._steady_ms()
                self.named_successor = message.successor
                self._moved()

    def _note_leader(self, replica: Replica, message: Heartbeat | Adopt | Append) -> None:
        if not isinstance(message, Heartbeat) or replica.active is None:
            return
        leader = replica.active.member(message.leader)
        if leader is not None:
            self._knowledge.note_leader(message.epoch, leader.name, leader.address, self._steady_ms())

    def _moved(self) -> None:
        for callback in tuple(self.on_move):
            callback()

    def release(self) -> None:
        """The holder of the lease is known to have ended."""
        if self.replica is not None and self.resigned_ms is None:
            self.replica.follower.release()
            self.resigned_ms = self._steady_ms()
            self.named_successor = 0
            self._moved()

    def items_at(self, position: Position) -> dict[bytes, bytes] | None:
        """A copy of the ordered store, if it stands at exactly this position."""
        if self.replica is None or self.replica.follower.order.position != position:
            return None
        cut = len(ITEM_PREFIX)
        return {key[cut:]: value for key, value in self._store.items.items() if key.startswith(ITEM_PREFIX)}

    def learn(self, core: CoreSet) -> None:
        """Store a decided set; it is what a restart begins with. Needn't be durable at once."""
        if self.replica is not None:
            self._carry_out(Step(None, self.replica.learn(core)))

    async def activate(self, core: CoreSet, state: WholeState) -> bool:
        """Be active in that set; True once that is durable."""
        assert self.replica is not None
        self.since_ms = self._steady_ms()
        self.resigned_ms = None
        step = self.replica.activate(self.since_ms, core, state)
        if not self._carry_out(step) or not await self.settled():
            return False
        self._knowledge.note_core(core)
        self._moved()
        return True
