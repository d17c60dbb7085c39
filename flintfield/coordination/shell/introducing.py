"""Introduces this process to its seeds once it knows the core; `coordination.introductions` has the rules."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from flintfield.coordination.introductions import IntroductionSchedule
from flintfield.coordination.model import Clock
from flintfield.coordination.shell.knowledge import Knowledge
from flintfield.coordination.shell.peers import MS_PER_S
from flintfield.runtime.waiting import wait_for_event

SHORTEST_PAUSE_MS = 10.0  # between two rounds, whatever is due


class Introducer:
    """Carries the schedule out. `introduce(address)` tells one seed, and whether it answered."""

    def __init__(
        self,
        own_address: str,
        knowledge: Knowledge,
        introduce: Callable[[str], Awaitable[bool]],
        rng: random.Random,
        steady_ms: Clock,
    ) -> None:
        self._own_address = own_address
        self._knowledge = knowledge
        self._introduce = introduce
        self._steady_ms = steady_ms
        self._schedule = IntroductionSchedule(rng)
        self._wake = asyncio.Event()

    def seeds_changed(self) -> None:
        """The settings name other seeds: those that are new are told at once."""
        self._wake.set()

    async def run(self) -> None:
        """Introduce this process on and on; cancelled at the end."""
        await self._knowledge.core_known()
        while True:
            seeds = [seed for seed in self._knowledge.seeds if seed != self._own_address]
            due = self._schedule.due(self._steady_ms(), seeds)
            await asyncio.gather(*(self._tell(seed) for seed in due))
            await self._sleep(self._schedule.wait_ms(self._steady_ms()))

    async def _tell(self, seed: str) -> None:
        if await self._introduce(seed):
            self._schedule.answered(self._steady_ms(), seed)
        else:
            self._schedule.failed(self._steady_ms(), seed)

    async def _sleep(self, wait_ms: float) -> None:
        await wait_for_event(self._wake, max(wait_ms, SHORTEST_PAUSE_MS) / MS_PER_S)
        self._wake.clear()
