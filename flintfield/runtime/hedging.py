"""Asking several in turn, the next one also where an answer takes long (hedged requests; Dean and Barroso,
The Tail at Scale, 2013)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

Answer = TypeVar("Answer")


async def first_answer(
    asks: Sequence[Callable[[], Coroutine[Any, Any, Answer | None]]], hedge_s: float
) -> Answer | None:
    """The first answer that isn't None; None where all have ended without one.

    Each ask begins once those before it have ended, or `hedge_s` after the one before it. What is still under
    way at the end is cancelled. An ask must not raise.
    """
    waiting = list(asks)
    asked: set[asyncio.Task[Answer | None]] = set()
    try:
        while waiting or asked:
            if waiting:
                asked.add(asyncio.get_running_loop().create_task(waiting.pop(0)()))
            timeout_s = hedge_s if waiting else None
            done, asked = await asyncio.wait(asked, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                answer = task.result()
                if answer is not None:
                    return answer
    finally:
        for task in asked:
            task.cancel()
    return None
