"""Futures of the callers that wait for a ticket to become durable."""

from __future__ import annotations

import asyncio

from flintfield.coordination.storage.interface import StorageFailed


class Waiters:
    """Waiting futures and their tickets. Their number is bounded by that of the callers: each awaits one."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []

    def add(self, ticket: int) -> asyncio.Future[None]:
        """Return a future that completes when the ticket is durable, or fails with `StorageFailed`."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((ticket, future))
        return future

    def succeed(self, durable_ticket: int) -> None:
        """Complete the futures of all tickets up to `durable_ticket`."""
        waiting, self._waiting = self._waiting, []
        for ticket, future in waiting:
            if ticket > durable_ticket:
                self._waiting.append((ticket, future))
            elif not future.done():  # it is done already if its caller was cancelled
                future.set_result(None)

    def fail(self, reason: str) -> None:
        """Fail all waiting futures with `StorageFailed`."""
        waiting, self._waiting = self._waiting, []
        for _, future in waiting:
            if not future.done():
                future.set_exception(StorageFailed(reason))
