"""Waiting for an event with a time limit, by a task that may be cancelled at any moment.

`asyncio.wait_for` of Python 3.11 loses a cancellation that comes within a few turns of the loop after the
result: it returns the result instead. A task that waits in an endless loop then never ends, nor does whoever
cancelled it and waits for its end. `asyncio.timeout` has no such moment, and makes no task for each wait.
"""

from __future__ import annotations

import asyncio


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until the event is set, for so many seconds at most; whether it was set."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
