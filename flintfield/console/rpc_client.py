"""Single remote calls for the command line: connect, ask, close."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from typing import Any, TypeVar

from flintfield.coordination.messages import LeaderAnswer, LeaderTold, WhereIsLeader
from flintfield.transport.rpc import Pool, RpcError

CALL_TIMEOUT_S = 1.0
Reply = TypeVar("Reply")


class NobodyAnswers(Exception):
    """None of the processes that were asked answered; the text says what happened to the last."""


async def call_any(addresses: Sequence[str], message: Any, kind: type[Reply],
                   timeout_s: float = CALL_TIMEOUT_S) -> Reply:
    """The first reply of this kind, asking one address after the other; raises `NobodyAnswers`."""
    pool = Pool()
    fault = "no address was given"
    try:
        for address in addresses:
            try:
                reply = await pool.call(address, message, timeout_s)
            except RpcError as error:
                fault = str(error)
                continue
            if isinstance(reply, kind):
                return reply
            fault = f"{address} answered with {type(reply).__name__}"
    finally:
        await pool.close()
    raise NobodyAnswers(fault)


def core_size(addresses: Sequence[str]) -> int:
    """How many members the core set has that the first process to answer knows of; 0 if nobody answers."""
    try:
        return len(asyncio.run(call_any(addresses, WhereIsLeader(), LeaderAnswer)).core)
    except NobodyAnswers:
        return 0


def is_listening(address: str) -> bool:
    """Whether a process takes connections there."""
    ip, _, port = address.rpartition(":")
    try:
        with socket.create_connection((ip, int(port)), CALL_TIMEOUT_S):
            return True
    except OSError:
        return False


def find_leader(addresses: Sequence[str]) -> LeaderTold | None:
    """The newest leader that the first process to answer knows of; raises `NobodyAnswers`."""
    return asyncio.run(call_any(addresses, WhereIsLeader(), LeaderAnswer)).leader
