"""Processor time of the agent's calls to its worker, with and without the gate that lets each leave once.

    python -m benchmarks.system_worker_calls [--calls 4000] [--rounds 7]

A worker that answers at once runs in a process of its own on loopback; only this process's time is counted.
Rounds with and without the gate alternate, and the medians of microseconds a call are printed.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import statistics
import time
from multiprocessing.connection import Connection
from typing import Any
from unittest import mock

from flintfield.agent.events import AnswerKind, CallWorker, Hold
from flintfield.agent.worker_client import WorkerClient
from flintfield.transport import single_send
from flintfield.transport.http import set_common_options

IP = "127.0.0.1"
BODY = b'{"clockMs":482113,"running":[],"finished":[]}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
ANSWER = HEAD % len(BODY) + BODY
TIMEOUT_MS = 5_000
US_PER_S = 1_000_000
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request of a connection."""
    while True:
        try:
            head = await reader.readuntil(HEAD_END)
        except asyncio.IncompleteReadError:
            return
        lines = head.lower().split(b"\r\n")
        length = next((int(line[len(LENGTH) :]) for line in lines if line.startswith(LENGTH)), 0)
        await reader.readexactly(length)
        writer.write(ANSWER)


async def _run_worker(pipe: Connection) -> None:
    server = await asyncio.start_server(_serve, IP, 0)
    pipe.send(server.sockets[0].getsockname()[1])
    await server.serve_forever()


def _worker(pipe: Connection) -> None:
    asyncio.run(_run_worker(pipe))


def _prepare_without_gate(gate: Any, curl: Any) -> None:
    """What the options of a call would be without the gate."""
    set_common_options(curl)
    gate.passed = True


async def _us_a_call(address: str, calls: int) -> float:
    client = WorkerClient()
    started_s = time.process_time()
    for number in range(calls):
        answer = await client.call(CallWorker(number, "i-1", address, TIMEOUT_MS, Hold(3, 0, None, 0)))
        assert answer.kind is AnswerKind.OK, answer
    return (time.process_time() - started_s) / calls * US_PER_S


async def _compare(address: str, calls: int, rounds: int) -> None:
    with_gate, without = [], []
    for _ in range(rounds):
        with_gate.append(await _us_a_call(address, calls))
        with mock.patch.object(single_send._SendGate, "prepare", _prepare_without_gate):
            without.append(await _us_a_call(address, calls))
    print(
        f"with the gate {statistics.median(with_gate):.0f} us a call ({min(with_gate):.0f} to "
        f"{max(with_gate):.0f}), without {statistics.median(without):.0f} ({min(without):.0f} to "
        f"{max(without):.0f}), {rounds} rounds of {calls} calls each"
    )


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--calls", type=int, default=4_000, help="of a round")
    parser.add_argument("--rounds", type=int, default=7, help="of each kind")
    given = parser.parse_args()
    ours, theirs = multiprocessing.Pipe()
    worker = multiprocessing.get_context("spawn").Process(target=_worker, args=(theirs,), daemon=True)
    worker.start()
    address = f"{IP}:{ours.recv()}"
    try:
        asyncio.run(_compare(address, given.calls, given.rounds))
    finally:
        worker.terminate()


if __name__ == "__main__":
    main()
