"""A survey of many schedulers over one link, in virtual time."""

from __future__ import annotations

import asyncio
import typing

import pytest

from flintfield.console import rpc_client
from flintfield.coordination.messages import LeaderAnswer, WhereIsLeader
from flintfield.observe.messages import ProcessStatus
from flintfield.transport.errors import Unanswered

from .test_ingress_link import run

SEED = "10.0.0.1:1"
SCHEDULERS = tuple(f"10.0.0.{number}:1" for number in range(1, 61))
SLOW_ANSWER_S = 5_000 / 125_000  # 5 kB over half of 2 Mbit/s


def status_of(address: str) -> ProcessStatus:
    """What the scheduler there says."""
    return ProcessStatus(
        address, "scheduler", "1", "a", address, 0, 0, True, False, None, None, 1, 0, 0, None, None, ()
    )


class SharedLink:
    """Stands in for `Pool`: answers come one after another over one link."""

    def __init__(self) -> None:
        self._link = asyncio.Lock()

    async def call(self, address: str, message: typing.Any, timeout_s: float) -> typing.Any:
        """The answer of the process there."""
        if isinstance(message, WhereIsLeader):
            return LeaderAnswer(None, (), SCHEDULERS)
        try:
            async with asyncio.timeout(timeout_s), self._link:
                await asyncio.sleep(SLOW_ANSWER_S)
        except TimeoutError as error:
            raise Unanswered(address) from error
        return status_of(address)

    async def close(self) -> None:
        """Nothing is open."""


# Guards against schedulers that are told as silent only because all answers share the caller's slow link.
def test_many_schedulers_are_all_heard_over_a_slow_link(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        found = await rpc_client.survey([SEED])
        assert set(found.processes) == set(SCHEDULERS)
        assert [address for address, status in found.processes.items() if status is None] == []

    monkeypatch.setattr(rpc_client, "Pool", SharedLink)
    run(work())
