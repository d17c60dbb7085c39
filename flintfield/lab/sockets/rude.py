"""Bad clients: nonsense of many kinds at a steady rate, and connections that are opened and say nothing.

Nothing that they send is a job that a scheduler could take. What they get back is counted by status, and does
not enter the log: the judge looks at what becomes of everybody else.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from flintfield.lab.sockets.addresses import Address
from flintfield.lab.world import Draws

MOST_AT_ONCE = 400
PATIENCE_S = 3.0
REPEATS = 2  # of what was refused, the first time included
HUGE = 4 << 20
PAUSE_S = 0.05
_JOB = b"Req-Id: rude\r\nReq-Kind: %s\r\nReq-Deadline: 500m\r\n"


async def _endless_head(cls: bytes) -> AsyncIterator[bytes]:
    yield b"POST /%s HTTP/1.1\r\nHost: x\r\n" % cls
    for number in range(10_000):
        yield b"X-%d: %s\r\n" % (number, b"a" * 200)
        await asyncio.sleep(PAUSE_S / 10)


async def _too_long_a_length(cls: bytes) -> AsyncIterator[bytes]:
    yield b"POST /%s HTTP/1.1\r\nHost: x\r\n%sContent-Length: 400\r\n\r\nshort" % (cls, _JOB % cls)
    await asyncio.sleep(PATIENCE_S)


async def _too_short_a_length(cls: bytes) -> AsyncIterator[bytes]:
    yield (b"POST /%s HTTP/1.1\r\nHost: x\r\n%sContent-Length: 2\r\n\r\nmore than two bytes\r\n\r\n"
           % (cls, _JOB % cls))


async def _two_lengths(cls: bytes) -> AsyncIterator[bytes]:
    yield (b"POST /%s HTTP/1.1\r\nHost: x\r\n%sContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
           b"0\r\n\r\n" % (cls, _JOB % cls))


async def _huge_body(cls: bytes) -> AsyncIterator[bytes]:
    yield b"POST /%s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n" % (cls, _JOB % cls, HUGE)
    for _ in range(HUGE >> 16):
        yield b"x" * (1 << 16)


async def _unknown_class(_: bytes) -> AsyncIterator[bytes]:
    yield (b"POST /no-such-class HTTP/1.1\r\nHost: x\r\n%sContent-Length: 2\r\n\r\n{}"
           % (_JOB % b"no-such-class"))


async def _half_request(cls: bytes) -> AsyncIterator[bytes]:
    yield b"POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: ru" % cls


async def _noise(_: bytes) -> AsyncIterator[bytes]:
    yield b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 this is no HTTP \r\n\r\n"


async def _odd_deadline(cls: bytes) -> AsyncIterator[bytes]:
    yield (b"POST /%s HTTP/1.1\r\nHost: x\r\nReq-Id: rude\r\nReq-Kind: %s\r\nReq-Deadline: soon\r\n"
           b"Content-Length: 2\r\n\r\n{}" % (cls, cls))


NONSENSE: tuple[Callable[[bytes], AsyncIterator[bytes]], ...] = (
    _endless_head, _too_long_a_length, _too_short_a_length, _two_lengths, _huge_body, _unknown_class,
    _half_request, _noise, _odd_deadline,
)


class Rude:
    """Bad clients of all schedulers; one crowd at a time."""

    def __init__(self, addresses: list[Address], cls: str, draws: Draws) -> None:
        self._addresses, self._cls, self._draws = addresses, cls.encode(), draws
        self._tasks: set[asyncio.Task[None]] = set()
        self.answers: Counter[str] = Counter()  # by status, and `none` for a connection that just ended

    def begin(self, per_s: float, connections: int) -> None:
        """They come: so many requests a second, and so many idle connections, over all schedulers."""
        if per_s > 0:
            self._go(self._send(per_s, MOST_AT_ONCE + connections))
        for number in range(connections):
            self._go(self._hold(self._addresses[number % len(self._addresses)]))

    def stop(self) -> None:
        """They go."""
        for task in self._tasks:
            task.cancel()

    def _go(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, per_s: float, most: int) -> None:
        number = 0
        while True:
            await asyncio.sleep(1.0 / per_s)
            if len(self._tasks) < most:
                kind = NONSENSE[int(self._draws.uniform() * len(NONSENSE))]
                self._go(self._talk(self._addresses[number % len(self._addresses)], kind))
            number += 1

    async def _talk(self, address: Address, kind: Callable[[bytes], AsyncIterator[bytes]]) -> None:
        """Say it, and again at once when it is refused."""
        for _ in range(REPEATS):
            if not await self._say(address, kind):
                break

    async def _say(self, address: Address, kind: Callable[[bytes], AsyncIterator[bytes]]) -> bool:
        """Say it on a new connection; whether it was refused with an answer."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(PATIENCE_S):
                reader, writer = await asyncio.open_connection(*address)
                async for piece in kind(self._cls):
                    writer.write(piece)
                    await writer.drain()
                status = (await reader.readline())[9:12].decode("latin-1")
                self.answers[status or "none"] += 1
                return bool(status)
        except (OSError, TimeoutError):
            self.answers["none"] += 1
            return False
        finally:
            if writer:
                writer.transport.abort()

    async def _hold(self, address: Address) -> None:
        """Keep a connection open that says nothing; open another whenever it is closed."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
                try:
                    await reader.read(1)
                finally:
                    writer.transport.abort()
            except OSError:
                pass
            await asyncio.sleep(PAUSE_S)
