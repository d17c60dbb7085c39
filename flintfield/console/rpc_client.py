"""The remote calls of the command line: connect, ask, close."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from contextlib import asynccontextmanager
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, TypeVar

from flintfield.coordination.messages import KnownLeader, LeaderAnswer, WhereIsLeader
from flintfield.coordination.model import CoreSet
from flintfield.jobs.messages import NotDispatcher
from flintfield.observe.messages import ProcessStatus
from flintfield.observe.questions import AskProcess
from flintfield.transport.rpc import Pool, RpcError

CALL_TIMEOUT_S = 1.0
DISPATCHER_TRIES = 6  # a takeover lasts 1 to 2 s
TRY_PAUSE_S = 0.5
MOST_PROCESSES = 100  # asked in one survey
MOST_ASKED_AT_ONCE = 8  # the time limit of a call counts while its answer shares a slow link with the others
Reply = TypeVar("Reply")


class NobodyAnswers(Exception):
    """None of the processes that were asked answered; the text says what happened to the last."""


class NobodyLeads(Exception):
    """Processes answered, and none of them is the dispatcher or names one that is."""


@dataclass(frozen=True, slots=True)
class Survey:
    """What all processes that could be found say; None for those that did not answer."""

    leader: KnownLeader | None
    core: CoreSet | None
    processes: dict[str, ProcessStatus | None]


@asynccontextmanager
async def _pool() -> AsyncIterator[Pool]:
    pool = Pool()
    try:
        yield pool
    finally:
        await pool.close()


async def _first(pool: Pool, addresses: Sequence[str], message: Any, kind: type[Reply]) -> Reply:
    """The first reply of this kind, asking one address after the other; raises `NobodyAnswers`."""
    fault = "no address was given"
    for address in addresses:
        try:
            reply = await pool.call(address, message, CALL_TIMEOUT_S)
        except RpcError as error:
            fault = str(error)
            continue
        if isinstance(reply, kind):
            return reply
        fault = f"{address} answered with {type(reply).__name__}"
    raise NobodyAnswers(fault)


# Everybody.


async def survey(addresses: Sequence[str]) -> Survey:
    """Ask all schedulers that the first to answer knows of; raises `NobodyAnswers`."""
    async with _pool() as pool:
        known = await _first(pool, addresses, WhereIsLeader(), LeaderAnswer)
        targets = list(dict.fromkeys((*known.core, *addresses, *known.schedulers)))[:MOST_PROCESSES]
        free = asyncio.Semaphore(MOST_ASKED_AT_ONCE)
        statuses = await asyncio.gather(*(_status(pool, address, free) for address in targets))
    processes = dict(zip(targets, statuses, strict=True))
    answered = [status for status in statuses if status is not None]
    cores = [status.core for status in answered if status.core is not None]
    leaders = [status.leader for status in answered if status.leader is not None]
    return Survey(
        max(leaders, key=lambda leader: (leader.epoch, -leader.heard_ago_ms), default=known.leader),
        max(cores, key=lambda core: core.version, default=None),
        processes,
    )


async def _status(pool: Pool, address: str, free: asyncio.Semaphore) -> ProcessStatus | None:
    """The answer of one process, once one of the calls at a time is free; None where there is none."""
    async with free:
        try:
            reply = await pool.call(address, AskProcess(), CALL_TIMEOUT_S)
        except RpcError:
            return None
    return reply if isinstance(reply, ProcessStatus) else None


# The dispatcher.


async def ask_dispatcher(addresses: Sequence[str], question: Any, kind: type[Reply]) -> Reply:
    """The dispatcher's answer; follows a takeover. Raises `NobodyAnswers` or `NobodyLeads`."""
    async with _pool() as pool:
        for attempt in range(DISPATCHER_TRIES):
            if attempt:
                await asyncio.sleep(TRY_PAUSE_S)
            leader = (await _first(pool, addresses, WhereIsLeader(), LeaderAnswer)).leader
            if leader is None:
                continue
            try:
                reply = await pool.call(leader.address, question, CALL_TIMEOUT_S)
            except RpcError:
                continue
            if isinstance(reply, kind):
                return reply
            if not isinstance(reply, NotDispatcher):
                raise NobodyAnswers(f"{leader.address} answered with {type(reply).__name__}")
    raise NobodyLeads("no dispatcher was found; see `members`")


# For the local cluster.


def find_leader(addresses: Sequence[str]) -> KnownLeader | None:
    """The newest leader that the first process to answer knows of; raises `NobodyAnswers`."""
    return _where_is_leader(addresses).leader


def core_size(addresses: Sequence[str]) -> int:
    """How many members the core set has that the first process to answer knows of; 0 if nobody answers."""
    try:
        return len(_where_is_leader(addresses).core)
    except NobodyAnswers:
        return 0


def _where_is_leader(addresses: Sequence[str]) -> LeaderAnswer:
    async def ask() -> LeaderAnswer:
        async with _pool() as pool:
            return await _first(pool, addresses, WhereIsLeader(), LeaderAnswer)

    return asyncio.run(ask())


def is_listening(address: str) -> bool:
    """Whether a process takes connections there."""
    ip, _, port = address.rpartition(":")
    try:
        with socket.create_connection((ip, int(port)), CALL_TIMEOUT_S):
            return True
    except OSError:
        return False
