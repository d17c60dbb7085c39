"""The queues' shell: messages go into the core, its effects are carried out, the clock wakes it.

Calls come from the front, writes go to a store, and what belongs to bound queues goes to whoever dispatches
it. It decides nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio

from flintfield.queues import bound, core, operations as ops
from flintfield.queues.messages import (
    Abandoned, Asked, Binding, BoundMessage, Effect, Fetch, Fetched, Keep, KeepFailed, Kept, Leased,
    MayLetOut, Message, Reply, Settled, Tick,
)

OpenEffect = Leased | MayLetOut | Settled


class Storage(Protocol):
    """What the queues need of a store."""

    def submit(self, keep: Keep, done: Callable[[str], None]) -> None:
        """Write a batch in the order of the calls; `done` gets an empty text, or why nothing was written."""

    def get(self, space: str, key: bytes) -> bytes | None:
        """A value, without waiting for writers."""


class Queues:
    """The running queues."""

    def __init__(self, state: core.State, storage: Storage, clock: Callable[[], float],
                 answer: Callable[[int, ops.Result], None], bindings: Mapping[str, Binding],
                 tell_scheduler: Callable[[OpenEffect], None],
                 defect: Callable[[str, Exception], None]) -> None:
        self.state, self._storage, self._clock, self._answer = state, storage, clock, answer
        self._bindings, self._tell_scheduler, self._defect = bindings, tell_scheduler, defect
        self._inbox: deque[Message | BoundMessage] = deque()
        self._taking = False
        self._armed = float("inf")
        self._rearm = anyio.Event()

    def ask(self, call: int, operation: ops.Operation) -> None:
        """A client's operation."""
        self.tell(Asked(call, operation))

    def leave(self, call: int) -> None:
        """The client of a call has gone."""
        self.tell(Abandoned(call))

    def tell(self, message: Message | BoundMessage) -> None:
        """Hand a message to the core and carry out what it asks for."""
        self._inbox.append(message)
        if self._taking:
            return
        self._taking = True
        try:
            while self._inbox:
                self.carry_out(self._step(self._inbox.popleft()))
        finally:
            self._taking = False
        due = self.state.next_at()
        if due is not None and due < self._armed:
            self._rearm.set()

    def _step(self, message: Message | BoundMessage) -> list[Effect]:
        try:
            if isinstance(message, BoundMessage):
                return bound.step(self.state, self._clock(), self._bindings, message)
            return core.step(self.state, self._clock(), message)
        except Exception as error:  # guards against one odd message ending all others
            self._defect(type(message).__name__, error)
            return []

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry effects out, those of a recovery too."""
        for effect in effects:
            if isinstance(effect, Reply):
                self._answer(effect.call, effect.result)
            elif isinstance(effect, Keep):
                self._storage.submit(effect, self._after(effect.ticket))
            elif isinstance(effect, Fetch):
                self._fetch(effect)
            else:
                self._tell_scheduler(effect)

    def _after(self, ticket: int) -> Callable[[str], None]:
        return lambda word: self.tell(KeepFailed(ticket, word) if word else Kept(ticket))

    def _fetch(self, effect: Fetch) -> None:
        try:
            values = tuple(self._storage.get(space, key) for space, key in effect.keys)
        except Exception as error:  # a store that fails: nothing was there, and the write beside it fails too
            self._defect("fetch", error)
            values = tuple(None for _ in effect.keys)
        self.tell(Fetched(effect.ticket, values))

    async def keep_time(self) -> None:
        """Wake the core when something is due, until cancelled."""
        while True:
            due = self.state.next_at()
            self._armed = float("inf") if due is None else due
            self._rearm = anyio.Event()
            if due is None:
                await self._rearm.wait()
                continue
            with anyio.move_on_after((due - self._clock()) / 1000):
                await self._rearm.wait()
            if self._clock() >= due:
                self.tell(Tick())
                await anyio.sleep(0)
