"""The clients: they hand jobs in, ask for them and cancel them, by HTTP to any scheduler."""

from __future__ import annotations

import asyncio
import json
import random
from functools import partial
from typing import Any

from flintfield.ingress.messages import Reply
from flintfield.simulation.clock import WALL_START_MS
from flintfield.simulation.cluster import Cluster
from flintfield.simulation.faults import Trigger
from flintfield.simulation.process import Process
from flintfield.simulation.record import CallSeen, Record
from flintfield.simulation.scenario import HOST
from flintfield.simulation.scripts import JobScript

DEADLINE_MS = 2_500
TRIES = 14
BACKOFF_MS = (100.0, 700.0)
POLL_MS = (900.0, 2_200.0)
PROBE_MS = (250.0, 600.0)
ENDED = ("completed", "failed", "cancelled")
FINISH_TRIES = 6


class Clients(Process):
    """All clients, in one process that never fails."""

    def __init__(self, cluster: Cluster) -> None:
        super().__init__(cluster.world, cluster.world.add_machine("clients", "10.0.2.0:1"))
        self._cluster = cluster
        self._record: Record = cluster.record
        self._rng: random.Random = cluster.world.draw()
        self._open = 0
        self._finishing = False
        self.paths = ["/a/", "/b/", "/c/", "/never/"]  # whose counts are asked for

    @property
    def idle(self) -> bool:
        """Whether every job has ended, as far as its client was told."""
        return not self._open

    def begin(self, scripts: tuple[JobScript, ...]) -> None:
        """Put all of them to work."""
        for script in scripts:
            self._record.jobs[script.job.id] = script.job
            self._open += 1
            self.later(script.submit_ms, partial(self._spawn_job, script))
        self.later(1_000, lambda: self._spawn(self._probe()))

    def _spawn_job(self, script: JobScript) -> None:
        self._spawn(self._live(script))

    def finish(self) -> None:
        """Ask for every job that was accepted."""
        self._finishing = True
        accepted = {
            call.job for call in self._record.calls if call.method == "POST" and 200 <= call.status < 300
        }
        for job in sorted(accepted):
            self._spawn(self._ask_at_last(job))

    def _spawn(self, work: Any) -> None:
        self.loop.create_task(work)

    # One job.

    async def _live(self, script: JobScript) -> None:
        await self._see_through(script)
        self._open -= 1

    async def _see_through(self, script: JobScript) -> None:
        job = script.job
        body = dict(job.body)
        if "repeatCount" in body:
            body["firstRunMs"] = WALL_START_MS + int(self.world.now_ms) + 1_000
            job.body["firstRunMs"] = body["firstRunMs"]  # type: ignore[index]  # what was sent is what counts
        if script.cancel_ms is not None:
            delay_ms = max(0.0, script.cancel_ms - self.world.now_ms)
            self.later(delay_ms, lambda: self._spawn(self._cancel(job.id)))
        data = json.dumps(body).encode()
        if not await self._hand_in(job.id, data):
            return
        if script.twin_path:
            await self._choose_same_id(script)
        if script.sends_twice:
            await self._call("POST", job.id, job.path + job.id, data)
        while True:
            await asyncio.sleep(self._rng.uniform(*POLL_MS) / 1_000)
            _, answer = await self._call("GET", job.id, job.path + job.id, b"")
            if answer.get("state") in ENDED:
                return

    async def _choose_same_id(self, script: JobScript) -> None:
        """Another client hands in a job of the same ID in another queue, and asks for it."""
        path = script.twin_path + script.job.id
        data = json.dumps({**script.job.body, "spec": "another"}).encode()
        await self._call("POST", "", path, data)
        await self._call("GET", "", path, b"")

    async def _hand_in(self, job: str, data: bytes) -> bool:
        path = self._record.jobs[job].path + job
        for _ in range(TRIES):
            status, _ = await self._call("POST", job, path, data)
            if 200 <= status < 300:
                return True
            if 400 <= status < 500 and status != 429:
                return False
            await self._back_off()
        return False

    async def _cancel(self, job: str) -> None:
        path = self._record.jobs[job].path + job
        for _ in range(TRIES):
            status, _ = await self._call("DELETE", job, path, b"")
            if 200 <= status < 300 or status == 410:
                return
            await self._back_off()

    async def _ask_at_last(self, job: str) -> None:
        path = self._record.jobs[job].path + job
        for _ in range(FINISH_TRIES):
            status, _ = await self._call("GET", job, path, b"")
            if status in (200, 410):
                return
            await self._back_off()

    async def _probe(self) -> None:
        while not self._finishing:
            await asyncio.sleep(self._rng.uniform(*PROBE_MS) / 1_000)
            path = self._rng.choice(self.paths[-6:] if self._rng.random() < 0.8 else self.paths)
            await self._call("COUNT", "", path, b"", deadline_ms=800)

    async def _back_off(self) -> None:
        await asyncio.sleep(self._rng.uniform(*BACKOFF_MS) / 1_000)

    # One call.

    async def _call(
        self, method: str, job: str, path: str, body: bytes, deadline_ms: int = DEADLINE_MS
    ) -> tuple[int, dict[str, Any]]:
        name = self._rng.choice(self._cluster.scenario.schedulers)
        sent_ms = self.world.now_ms
        life = self.world.machines[name].lives
        reply = await self._exchange(name, "GET" if method == "COUNT" else method, path, body, deadline_ms)
        status = reply.status if reply is not None else 0
        fields: dict[str, Any] = {}
        if reply is not None and status == 200 and reply.body:
            fields = json.loads(reply.body)
        state = str(fields.get("state", ""))
        seen = CallSeen(method, job, path, name, life, sent_ms, self.world.now_ms, status, state)
        self._record.calls.append(seen)
        if method in ("POST", "DELETE") and 200 <= status < 300:
            self._cluster.signal(Trigger.ACK)
        if job:
            self.world.note(f"client: {method} {job} at {name}: {status} {state}")
        return status, fields

    async def _exchange(
        self, name: str, method: str, path: str, body: bytes, deadline_ms: int
    ) -> Reply | None:
        waiter: asyncio.Future[Reply | None] = self.loop.create_future()
        network = self.world.network

        def settle(reply: Reply | None) -> None:
            if not waiter.done():
                waiter.set_result(reply)

        def answered(reply: Reply) -> None:
            for delay_ms in network.delays_ms(name, self.machine.name)[:1]:
                self.world.after(delay_ms, lambda: self.post(settle, reply))

        def arrive() -> None:
            process = self._cluster.scheduler(name)
            if process is not None:
                process.loop.call_soon(process.serve, method, path, HOST, body, deadline_ms, answered)
            elif self.world.machines[name].powered:
                self.loop.call_soon(settle, None)

        for delay_ms in network.delays_ms(self.machine.name, name)[:1]:
            self.world.after(delay_ms, arrive)
        timer = self.loop.call_later(deadline_ms / 1_000, settle, None)
        try:
            return await waiter
        finally:
            timer.cancel()
