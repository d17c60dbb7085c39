"""What the RPC transport costs on loopback: both sides of a connection in one process and one event loop.

    python -m benchmarks.transport_rpc [ROUNDS]

The unit is processor time, because that is what the system pays for; each line is the least of the rounds.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from flintfield.jobs.messages import JobAnswer, JobCall, Method
from flintfield.transport.records import record
from flintfield.transport.rpc import Connection, Pool, Server

CALLS = 2_000
IN_FLIGHT = 64
TIMEOUT_S = 5.0
US_IN_S = 1_000_000.0

CALL = JobCall(Method.SUBMIT, "queues.example", "/queue/5c0e7a21d94b36f8", b"x" * 300, 7)
ANSWER = JobAnswer(200, b"{}", 0, 7)


@record(65_010)
@dataclass(frozen=True, slots=True)
class Slow:
    """A request whose handler is a coroutine."""

    number: int


@record(65_011)
@dataclass(frozen=True, slots=True)
class Note:
    """A one-way message."""

    number: int


def _answer(_message: JobCall, _connection: Connection) -> JobAnswer:
    return ANSWER


async def _answer_later(_message: Slow, _connection: Connection) -> JobAnswer:
    return ANSWER


def _take(_message: Note, _connection: Connection) -> None:
    return None


async def _one_at_a_time(pool: Pool, address: str) -> None:
    for _ in range(CALLS):
        await pool.call(address, CALL, TIMEOUT_S)


async def _many_in_flight(pool: Pool, address: str, message: object) -> None:
    async def caller() -> None:
        for _ in range(CALLS // IN_FLIGHT):
            await pool.call(address, message, TIMEOUT_S)

    await asyncio.gather(*(caller() for _ in range(IN_FLIGHT)))


async def _one_way(pool: Pool, address: str) -> None:
    for number in range(CALLS):
        pool.send(address, Note(number))
    await pool.call(address, CALL, TIMEOUT_S)  # comes behind them on the same connection


async def _measure(name: str, run: Callable[[], Awaitable[None]], rounds: int) -> None:
    least_s = float("inf")
    for _ in range(rounds):
        started_s = time.process_time()
        await run()
        least_s = min(least_s, time.process_time() - started_s)
    print(f"{name:<44} {least_s / CALLS * US_IN_S:7.1f} us {CALLS / least_s:9.0f} a second")


async def main(rounds: int) -> None:
    """Measure and print."""
    server = Server({JobCall: _answer, Slow: _answer_later, Note: _take})
    address = f"127.0.0.1:{await server.start('127.0.0.1', 0)}"
    pool = Pool()
    await _measure("call and reply, one at a time", lambda: _one_at_a_time(pool, address), rounds)
    await _measure(
        f"call and reply, {IN_FLIGHT} in flight", lambda: _many_in_flight(pool, address, CALL), rounds
    )
    await _measure(
        f"the same, handler is a coroutine, {IN_FLIGHT} in flight",
        lambda: _many_in_flight(pool, address, Slow(1)),
        rounds,
    )
    await _measure("one-way message", lambda: _one_way(pool, address), rounds)
    await pool.close()
    await server.stop()


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]) if len(sys.argv) > 1 else 10))
