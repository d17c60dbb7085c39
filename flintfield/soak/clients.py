"""Who calls during a soak run: clients that hand in jobs and look at them, operators that change and read."""

from __future__ import annotations

import asyncio
import json
import random
from http import HTTPStatus

from flintfield.console.local.calls import HOST, PREFIX
from flintfield.console.local.job_kinds import configuration
from flintfield.console.local.machines import Machine
from flintfield.soak.kept_connection import Answer, KeptConnection, NotOpened
from flintfield.soak.record import CallEnd, CallSeen, ConfigurationSeen, JobSeen, Record

DEADLINE_MS = 3_000  # told to the scheduler with each call
WITHIN_S = 5.0  # the client's own patience, well above the deadline
OPERATOR_WITHIN_S = 6.0
PAUSE_S = (0.03, 0.3)  # between two calls of a client
REFUSED_PAUSE_S = 0.1
SUBMIT_SHARE = 0.5
CHANGE_SHARE = 0.4
WORK_MS = (100, 900)
MOST_IDLE_MS = 60_000  # a figure that tells the operators' documents apart begins above it
OTHER_PREFIX = "/other-queue/"  # of a queue that has no jobs of its own
IN_DOUBT = frozenset({HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT})


class Caller:
    """Keeps one connection to a machine of its choice, and notes each call."""

    def __init__(self, machines: list[Machine], record: Record, rng: random.Random) -> None:
        self._machines = machines
        self._record = record
        self._rng = rng
        self._machine = machines[0]
        self._connection: KeptConnection | None = None

    def _address(self, machine: Machine) -> str:
        raise NotImplementedError

    async def run(self) -> None:
        """Call until cancelled."""
        raise NotImplementedError

    async def _call(
        self, method: str, path: str, body: bytes, headers: dict[str, str], within_s: float
    ) -> Answer | None:
        """Over the connection that is open, or a new one; None where nobody takes it."""
        connection = self._connection
        if connection is None or connection.gone:
            self._machine = self._rng.choice(self._machines)
            try:
                connection = self._connection = await KeptConnection.open(self._address(self._machine), HOST)
            except NotOpened:
                await asyncio.sleep(REFUSED_PAUSE_S)
                return None
        answer = await connection.request(method, path, body, headers, within_s)
        self._record.calls.append(
            CallSeen(
                self._machine.name, method, path, answer.sent_s, answer.ended_s, answer.end, answer.status
            )
        )
        return answer

    def close(self) -> None:
        """Close what is open."""
        if self._connection is not None:
            self._connection.close()


class FrontCaller(Caller):
    """A caller of the queues."""

    def _address(self, machine: Machine) -> str:
        return machine.front

    async def _send(self, method: str, path: str, body: bytes) -> Answer | None:
        headers = {"X-Deadline-Ms": str(DEADLINE_MS), "Content-Type": "application/json"}
        return await self._call(method, path, body, headers, WITHIN_S)


class JobClient(FrontCaller):
    """Hands in jobs, sends again what is in doubt, and looks at those that were accepted."""

    def __init__(self, machines: list[Machine], record: Record, rng: random.Random) -> None:
        super().__init__(machines, record, rng)
        self._in_doubt: tuple[str, bytes] | None = None
        self._own: list[str] = []

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            if self._in_doubt is not None or not self._own or self._rng.random() < SUBMIT_SHARE:
                await self._submit()
            else:
                await self.look_at(self._rng.choice(self._own))
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def _submit(self) -> None:
        job, body = self._in_doubt or (f"{self._rng.getrandbits(64):016x}", self._draw_job())
        answer = await self._send("POST", PREFIX + job, body)
        if answer is None:
            return
        unclear = answer.end is not CallEnd.ANSWERED or answer.status in IN_DOUBT
        self._in_doubt = (job, body) if unclear else None
        if answer.status == HTTPStatus.OK:
            self._record.jobs.setdefault(job, JobSeen(job, answer.ended_s))
            self._own.append(job)

    async def look_at(self, job: str) -> str:
        """The job's state as it is shown now, "" without an answer."""
        answer = await self._send("GET", PREFIX + job, b"")
        if answer is None or answer.status != HTTPStatus.OK:
            return ""
        state = str(json.loads(answer.body).get("state", ""))
        self._record.jobs[job].state = state
        return state

    def _draw_job(self) -> bytes:
        work_ms = self._rng.randint(*WORK_MS)
        steps = [
            {"count": self._rng.randint(1, 3), "cpu": 500, "memMb": 64, "estimateMs": work_ms}
            for _ in range(self._rng.randint(1, 2))
        ]
        if len(steps) > 1:
            steps[1]["dependsOn"] = [0]  # type: ignore[assignment]
        return json.dumps({"spec": f"work_ms={work_ms}", "steps": steps}).encode()


class OperatorClient(Caller):
    """Reads the configuration and puts a new one on top of what it has read."""

    def __init__(self, machines: list[Machine], record: Record, rng: random.Random) -> None:
        super().__init__(machines, record, rng)
        self._newest = 0

    def _address(self, machine: Machine) -> str:
        return machine.control

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            if self._newest and self._rng.random() < CHANGE_SHARE:
                await self.change(self._newest)
            else:
                await self.read()
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    async def change(self, base: int) -> bool:
        """Replace the configuration on top of that version; whether it was acknowledged."""
        document = configuration(base + 1)
        other = {**document["routes"][0], "name": "other-queue", "pathPrefix": OTHER_PREFIX}
        document["routes"].append(other)
        document["limits"]["idleTimeoutMs"] = self._rng.randrange(MOST_IDLE_MS, 2 * MOST_IDLE_MS)
        headers = {"X-Base-Version": str(base), "Content-Type": "application/json"}
        body = json.dumps(document).encode()
        answer = await self._call("POST", "/-/Config.Replace", body, headers, OPERATOR_WITHIN_S)
        self._newest = 0  # read again before the next change
        if answer is None or answer.status != HTTPStatus.OK:
            return False
        self._note(base + 1, answer, by_change=True)
        return True

    async def read(self) -> int:
        """The version that is shown; 0 without an answer."""
        answer = await self._call("GET", "/-/Config.Read", b"", {}, OPERATOR_WITHIN_S)
        if answer is None or answer.status != HTTPStatus.OK:
            return 0
        self._newest = int(json.loads(answer.body)["version"])
        self._note(self._newest, answer, by_change=False)
        return self._newest

    def _note(self, version: int, answer: Answer, by_change: bool) -> None:
        self._record.configurations.append(
            ConfigurationSeen(self._machine.name, version, answer.sent_s, answer.ended_s, by_change)
        )
