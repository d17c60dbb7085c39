"""What a connection remembers of a request that waits for its reply."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, eq=False)
class OutstandingCall:
    """A request that waits for its reply.

    `receipts` counts what had come in when it was sent. `position` is its end among the bytes of requests.
    `in_reach` tells whether a slow link carries it, and the requests before it, within its timeout.
    """

    waiter: asyncio.Future[Any]
    receipts: int
    position: int
    in_reach: bool
