"""Clients of a soak run that do what is rare and allowed: an ID in use elsewhere, times due at once."""

from __future__ import annotations

import asyncio
import json
import random
import time
from http import HTTPStatus

from flintfield.console.local.calls import PREFIX
from flintfield.console.local.machines import Machine
from flintfield.soak.clients import OTHER_PREFIX, FrontCaller
from flintfield.soak.record import Record

PAUSE_S = (0.2, 0.8)
CANCEL_S = 20.0
TIMES, TASKS = 256, 4_000  # a million tasks, all due within a quarter of a second
NOBODY = "nobody"  # a label that no worker has: the tasks take no room from other jobs


class SharedIdClient(FrontCaller):
    """Hands in jobs whose IDs are those of accepted jobs of another queue, and asks for them."""

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            if not self._record.jobs:
                continue
            path = OTHER_PREFIX + self._rng.choice(list(self._record.jobs))
            step = {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 100}
            body = json.dumps({"spec": "work_ms=100", "steps": [step]}).encode()
            await self._send("POST", path, body)
            await self._send("GET", path, b"")


class OverlappingTimesClient(FrontCaller):
    """Hands in one job with many large times that are due at once; it lives until the end of the run."""

    def __init__(self, machines: list[Machine], record: Record, rng: random.Random) -> None:
        super().__init__(machines, record, rng)
        self._path = f"{PREFIX}{rng.getrandbits(64):016x}"

    async def run(self) -> None:
        """Call until the job is taken."""
        step = {"count": TASKS, "cpu": 100, "memMb": 16, "estimateMs": 1, "constraints": NOBODY}
        times = {"repeatCount": TIMES, "intervalMs": 1, "firstRunMs": int(time.time() * 1_000)}
        body = json.dumps({"spec": "work_ms=100", "steps": [step], **times}).encode()
        while True:
            answer = await self._send("POST", self._path, body)
            if answer is not None and answer.status == HTTPStatus.OK:
                return
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def cancel_job(self) -> None:
        """Cancel the job; a cancel that does not get through is noted as not settled."""
        deadline_s = time.monotonic() + CANCEL_S
        while time.monotonic() < deadline_s:
            answer = await self._send("DELETE", self._path, b"")
            if answer is not None and answer.status in (HTTPStatus.OK, HTTPStatus.GONE):
                return
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        self._record.unsettled.append("the job with overlapping times could not be cancelled")
