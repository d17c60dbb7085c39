"""The queues' core with a dictionary for a store: it can be slow, fail, and lose what was not yet kept."""

from __future__ import annotations

from collections import deque
from typing import Any

from flintfield.queues import bound, core, operations as ops
from flintfield.queues.messages import (
    Asked, Binding, BoundMessage, Effect, Fetch, Fetched, Keep, KeepFailed, Kept, Lease, Leased, Message,
    Reply, Tick,
)
from flintfield.queues.records import MESSAGE, META, QUEUE, SEEN, STATE

SECRET = bytes(range(32))


class QueueWorld:
    """Drives the core by hand: `ask` an operation, let time pass, crash."""

    def __init__(self, *bindings: Binding) -> None:
        self.now = 1_700_000_000_000.0
        self.bindings = {b.queue: b for b in bindings}
        self.disk: dict[tuple[str, bytes], bytes] = {}
        self.waiting: deque[Keep] = deque()  # handed to the store and not yet on disk
        self.holds = False  # whether the store lets batches wait
        self.fails = False  # whether it turns them down
        self.replies: dict[int, Any] = {}
        self.told: list[Effect] = []  # effects for the scheduler
        self.calls = 0
        self.state = core.State(SECRET)

    def ask(self, operation: ops.Operation) -> Any:
        """Hand in an operation; its result, or None if it waits."""
        return self.replies.get(self.start(operation))

    def start(self, operation: ops.Operation) -> int:
        """Hand in an operation; its call."""
        self.calls += 1
        self.feed(Asked(self.calls, operation))
        return self.calls

    def feed(self, message: Message | BoundMessage) -> None:
        """One message, and all that follows from it at once."""
        if isinstance(message, BoundMessage):
            self.carry_out(bound.step(self.state, self.now, self.bindings, message))
        else:
            self.carry_out(core.step(self.state, self.now, message))

    def carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Reply):
                assert effect.call not in self.replies, "a call was answered twice"
                self.replies[effect.call] = effect.result
            elif isinstance(effect, Keep):
                self.waiting.append(effect)
            elif isinstance(effect, Fetch):
                values = tuple(self.disk.get(k) for k in effect.keys)
                self.feed(Fetched(effect.ticket, values))
            else:
                self.told.append(effect)
        if not self.holds:
            self.flush()

    def flush(self, most: int = 1_000_000) -> None:
        """Let the store write what waits, the oldest first."""
        while self.waiting and most:
            most -= 1
            keep = self.waiting.popleft()
            if self.fails:
                self.feed(KeepFailed(keep.ticket, "no space is left"))
                continue
            for space, key, value in keep.puts:
                self.disk[space, key] = value
            for drop in keep.drops:
                self.disk.pop(drop, None)
            self.feed(Kept(keep.ticket))

    def wait(self, seconds: float) -> None:
        """Let time pass, with a tick whenever one is due."""
        until = self.now + seconds * 1000
        while (at := self.state.next_at()) is not None and at <= until:
            self.now = max(self.now, at)
            self.feed(Tick())
        self.now = until

    def crash(self) -> None:
        """Lose all that is not on disk, and start anew."""
        self.waiting.clear()
        self.state = core.State(SECRET)

        def of(space: str) -> list[tuple[bytes, bytes]]:
            return sorted((k, v) for (s, k), v in self.disk.items() if s == space)

        lost = core.recover(self.state, int(self.now), of(QUEUE), [k for k, _ in of(MESSAGE)], of(STATE),
                            of(SEEN), self.disk.get((META, core.NEXT_SEQ)))
        for drop in lost:
            self.disk.pop(drop, None)
        self.carry_out(bound.recover(self.state, self.now, self.bindings))

    # ------------------------------------------------------------ short words

    def make(self, name: str = "q", **attributes: str) -> None:
        """A queue."""
        assert self.ask(ops.CreateQueue(name, attributes)) == ops.Done(name)

    def send(self, body: str = "hello", queue: str = "q", **more: Any) -> Any:
        """Send one message."""
        return self.ask(ops.Send(queue, (ops.Outgoing(body, **more),)))

    def receive(self, queue: str = "q", **more: Any) -> list[ops.Message]:
        """Take messages at once."""
        result = self.ask(ops.Receive(queue, **more))
        assert isinstance(result, ops.Received), result
        return list(result.messages)

    def delete(self, handle: str, queue: str = "q") -> Any:
        """Delete one message."""
        return self.ask(ops.Delete(queue, (ops.Handle(handle),)))

    def lease(self, queue: str = "q", most: int = 10) -> tuple[Any, ...]:
        """Take jobs as the scheduler does."""
        self.feed(Lease(queue, most))
        told = self.told.pop() if self.told else None
        return told.jobs if isinstance(told, Leased) else ()
