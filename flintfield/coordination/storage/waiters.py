"""Callers that wait for a ticket to become durable."""

from __future__ import annotations

import asyncio

from flintfield.coordination.storage.interface import StorageFailed


class Waiters:
    """Futures by ticket. Bounded by the callers: each waits for one."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []

    def add(self, ticket: int) -> asyncio.Future[None]:
        """A future that ends with the ticket's durability or failure."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((ticket, future))
        return future

    def succeed(self, durable_ticket: int) -> None:
        """Everything up to that ticket is durable."""
        waiting, self._waiting = self._waiting, []
        for ticket, future in waiting:
            if ticket > durable_ticket:
                self._waiting.append((ticket, future))
            elif not future.done():  # its caller may have been cancelled
                future.set_result(None)

    def fail(self, reason: str) -> None:
        """Tell all of them that it failed."""
        waiting, self._waiting = self._waiting, []
        for _, future in waiting:
            if not future.done():
                future.set_exception(StorageFailed(reason))
