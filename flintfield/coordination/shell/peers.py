"""Calls to the members of a core set; the own replica is called without the network."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any

from flintfield.coordination.contacts import Poll, PollAnswer
from flintfield.coordination.model import Member
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.transport.rpc import Pool, RpcError, Unanswered

MS_PER_S = 1_000.0


class Peers:
    """Carries requests to replicas. Answers of another identity than the one meant count as none."""

    def __init__(self, pool: Pool, host: ReplicaHost | None) -> None:
        self._pool = pool
        self._host = host
        self.own_polls: Callable[[Poll], Awaitable[PollAnswer]] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def call(self, member: Member, message: Any, timeout_ms: int) -> Any:
        """The member's answer; raises `RpcError`."""
        if self._host is not None and member.identity == self._host.identity:
            return await self._local(message, timeout_ms)
        answer = await self._pool.call(member.address, message, timeout_ms / MS_PER_S)
        if getattr(answer, "replica", member.identity) != member.identity:
            raise Unanswered(f"{member.name} at {member.address} is another replica")
        return answer

    async def _local(self, message: Any, timeout_ms: int) -> Any:
        assert self._host is not None
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await self._host.handle(message)
        except TimeoutError as error:
            raise Unanswered("the own replica waits for its disk") from error

    async def poll(self, member: Member, poll: Poll, timeout_ms: int) -> PollAnswer | None:
        """The member's answer to a poll, or None."""
        own = self._host is not None and member.identity == self._host.identity
        try:
            if own and self.own_polls is not None:
                return await self.own_polls(poll)
            answer = await self._pool.call(member.address, poll, timeout_ms / MS_PER_S)
        except RpcError:
            return None
        return answer if isinstance(answer, PollAnswer) else None

    async def ask(self, address: str, message: Any, timeout_ms: int) -> Any:
        """The answer of whoever is at that address; raises `RpcError`."""
        return await self._pool.call(address, message, timeout_ms / MS_PER_S)

    def tell(self, address: str, message: Any) -> None:
        """A one-way message."""
        self._pool.send(address, message)

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run it beside; it is cancelled by `stop`."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def gather(
        self, members: Sequence[Member], message: Any, timeout_ms: int, take: Callable[[Member, Any], bool]
    ) -> None:
        """Send all members a request, and take their answers as `gather_answers` does."""
        await self.gather_answers(members, lambda member: self.call(member, message, timeout_ms), take)

    async def gather_answers(
        self,
        members: Sequence[Member],
        ask: Callable[[Member], Awaitable[Any]],
        take: Callable[[Member, Any], bool],
    ) -> None:
        """Ask all members; return when `take(member, answer)` is True, or all have answered or failed.

        What is outstanding then goes on by itself, so that slow members still get the message.
        """
        enough = asyncio.get_running_loop().create_future()
        left = len(members)

        async def one(member: Member) -> None:
            nonlocal left
            try:
                answer = await ask(member)
                if not enough.done() and take(member, answer):
                    enough.set_result(None)
            except RpcError:
                pass
            finally:
                left -= 1
                if left == 0 and not enough.done():
                    enough.set_result(None)

        for member in members:
            self.start(one(member))
        if members:
            await enough

    async def stop(self) -> None:
        """Cancel all that runs beside."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
