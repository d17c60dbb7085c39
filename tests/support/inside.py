"""Runs the real program in the process of the test and records its log."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from flintfield.lifecycle.program import Program


class Log:
    """Records log lines."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **values: Any) -> None:
        self.lines.append((event, values))

    error = warning = exception = info


async def played(program: Program, log: Log, play: Callable[[dict[str, int]], Awaitable[None]]) -> float:
    """Run the program while `play` runs, then stop it; return how many seconds the stop took."""
    program.listen()
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(program.run, stop)
        while not any(event == "serving" for event, _ in log.lines):
            await anyio.sleep(0.01)
        await play(next(v for e, v in log.lines if e == "serving"))
        stop.set()
        began = anyio.current_time()
    return anyio.current_time() - began
