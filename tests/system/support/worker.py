"""A stand-in worker: `worker_model.WorkerModel` behind HTTP on loopback, with heartbeats to an agent.

Public names: `StandInWorker` (the server), `WorkerOptions`, `Trouble` (faults that are switched on and off),
`ManualClock`, and from the model `RunPlan`, `plan_of_spec`, `Bounds`, `Capacity`.

In a local cluster, one worker a process, started at the root of the repository:

    python3 -m tests.system.support.worker --app 127.0.0.1:9001 --agent 127.0.0.1:9002 --service print

On SIGUSR1 it deregisters, serves on for some seconds, and comes back as another incarnation.
A spec of a task is read by `plan_of_spec`: "work_ms=500 how=failed gang=4 checkpoints=1 cpu=1000".
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any

from tornado.httputil import HTTPServerRequest

from flintfield.transport.http import BoundedServer, ServerLimits, respond, start_server
from .run_events import RunEventPrinter
from .worker_model import Fields, WorkerModel
from .worker_options import ManualClock, Trouble, WorkerOptions, steady_ms
from .worker_plan import Bounds, Capacity, RunPlan, plan_of_spec

__all__ = [
    "Bounds",
    "Capacity",
    "ManualClock",
    "RunPlan",
    "StandInWorker",
    "Trouble",
    "WorkerOptions",
    "plan_of_spec",
]

DEREGISTER_TRIES = 5  # until one is acknowledged
DEREGISTER_PAUSE_S = 0.5
SERVES_ON_S = (1.0, 7.0)  # after it has deregistered, in a local cluster
LIMITS = ServerLimits(max_body_bytes=64 * 1024)


class StandInWorker:
    """A worker on loopback. Make it within a running event loop; `await start()`, `await stop()`."""

    def __init__(self, options: WorkerOptions, clock: Callable[[], int] = steady_ms) -> None:
        self.options = options
        self.trouble = Trouble()
        self.clock = clock
        self.address = ""
        self.calls: list[tuple[str, Fields]] = []  # every call as it came: path, body
        self.peers: set[tuple[str, int]] = set()  # one for each connection that brought a call
        self.draining = False
        self.remaining_ms = 0
        self.heartbeat_answers: list[int] = []
        self.model = self._new_incarnation(options.instance)
        self._seq = 0
        self._server: BoundedServer | None = None
        self._heart: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._changed = asyncio.Event()
        self._seen_number = 0
        self._held: list[HTTPServerRequest] = []  # calls that are never answered
        self._tasks: set[asyncio.Task[None]] = set()
        self._run_events = RunEventPrinter()
        if isinstance(clock, ManualClock):
            clock.watch(self.poke)

    @property
    def instance(self) -> str:
        """The id of this incarnation."""
        return self.model.instance

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> str:
        """Listen, and begin with heartbeats; returns the address."""
        self._server = start_server(self._serve, ip, port, LIMITS)
        self.address = f"{ip}:{self._server.port}"
        if self.options.agent and self.options.heartbeat_ms:
            self._heart = asyncio.get_running_loop().create_task(self._beat())
        return self.address

    async def stop(self) -> None:
        """End without a word, as in a crash, and close all connections."""
        for task in (self._heart, *self._tasks):
            if task is not None:
                task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def crash(self, instance: str = "") -> str:
        """Lose everything and come back at once with another id, which is returned."""
        if self.options.tells_runs:
            self._run_events.tell(self.model.log)
            self._run_events.tell_gone(self.clock())
        self.model.crash()
        self.model = self._new_incarnation(instance)
        self._seq = 0
        self._seen_number = 0
        self.draining = False
        return self.instance

    def drain(self, remaining_ms: int) -> None:
        """Say so from the next heartbeat on."""
        self.draining = True
        self.remaining_ms = remaining_ms

    async def leave(self, serves_on_s: float) -> None:
        """Deregister without a word before, beat no more, serve on for so long, and come back anew."""
        if self._heart is not None:
            self._heart.cancel()
        for _ in range(DEREGISTER_TRIES):
            if 200 <= await self.deregister() < 300:
                break
            await asyncio.sleep(DEREGISTER_PAUSE_S)
        await asyncio.sleep(serves_on_s)
        self.poke()
        self.crash()
        self._heart = asyncio.get_running_loop().create_task(self._beat())

    def poke(self) -> None:
        """Bring the model up to the clock, and answer holds that wait for an end."""
        now = self.clock()
        self.model.advance(now)
        if self.model.last_number != self._seen_number:
            self._seen_number = self.model.last_number
            self._changed.set()
            self._changed = asyncio.Event()
        if self.options.tells_runs:
            self._run_events.tell(self.model.log)
        if not isinstance(self.clock, ManualClock):
            self._arm(now)

    async def heartbeat(self, seq: int | None = None) -> int:
        """Send one heartbeat now; returns the status (0: none)."""
        if seq is None:
            self._seq += 1
            seq = self._seq
        return await self._tell(f"/-/Instances.Heartbeat/{self.instance}", self._heartbeat_fields(seq))

    async def deregister(self) -> int:
        """Say goodbye; returns the status (0: none)."""
        return await self._tell(f"/-/Instances.Deregister/{self.instance}", {})

    # Heartbeats.

    def _new_incarnation(self, instance: str) -> WorkerModel:
        options = self.options
        name = instance or f"i-{random.getrandbits(32):08x}"
        return WorkerModel(name, self.clock(), options.bounds, options.capacity, options.guards, options.plan)

    def _heartbeat_fields(self, seq: int) -> Fields:
        capacity = self.options.capacity
        fields: Fields = {
            "service": self.options.service,
            "address": self.address,
            "zone": self.options.zone,
            "version": self.options.version,
            "slots": self.options.slots,
            "state": "draining" if self.draining else "ready",
            "capacity": {"cpu": capacity.cpu, "memMb": capacity.memory_mb, "gpu": capacity.gpu},
            "labels": list(self.options.labels),
            "clockMs": self.clock(),
            "seq": seq,
        }
        if self.draining:
            fields["remainingMs"] = self.remaining_ms
        return fields

    async def _beat(self) -> None:
        while True:
            self.heartbeat_answers.append(await self.heartbeat())
            await asyncio.sleep(self.options.heartbeat_ms / 1_000 * random.uniform(0.9, 1.1))

    async def _tell(self, path: str, fields: Fields) -> int:
        """POST to the agent over a connection of its own; returns the status (0: none within a second)."""
        ip, _, port = self.options.agent.rpartition(":")
        body = json.dumps(fields).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self.options.agent}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(head.encode() + body)
                line = await reader.readline()
                return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError):
            return 0
        finally:
            if writer is not None:
                writer.close()

    # Calls.

    def _serve(self, request: HTTPServerRequest) -> None:
        path = request.path or ""
        try:
            fields = json.loads(request.body)
        except ValueError:
            respond(request, 400, b'{"error":"no JSON"}')
            return
        self.calls.append((path, fields))
        self.peers.add(request.connection.context.address)  # type: ignore[union-attr]
        if self.trouble.dark:
            self._held.append(request)
        elif self.trouble.unhealthy_status:
            respond(request, self.trouble.unhealthy_status)
        elif request.headers.get("X-Expected-Instance", self.instance) != self.instance:
            respond(request, 421)
        elif path == "/-/hold":
            self._spawn(self._hold(request, fields))
        elif path in ("/-/run-start", "/-/run-stop"):
            self._order(request, path, fields)
        else:
            respond(request, 404)

    def _order(self, request: HTTPServerRequest, path: str, fields: Fields) -> None:
        if self.trouble.late_orders:
            self.trouble.late_orders -= 1
            self._held.append(request)
            self._spawn(self._do_late(path, fields, self.instance))
            return
        status, answer = self._do(path, fields)
        if self.trouble.lost_answers:
            self.trouble.lost_answers -= 1
            self._held.append(request)
            return
        respond(request, status, json.dumps(answer).encode())

    def _do(self, path: str, fields: Fields) -> tuple[int, Fields]:
        now = self.clock()
        done = self.model.start(now, fields) if path == "/-/run-start" else self.model.stop(now, fields)
        self.poke()
        return done

    async def _do_late(self, path: str, fields: Fields, instance: str) -> None:
        due = self.clock() + self.trouble.late_ms
        while self.clock() < due:
            await self._next_change(due - self.clock())
        if instance == self.instance:
            self._do(path, fields)

    async def _hold(self, request: HTTPServerRequest, fields: Fields) -> None:
        status, answer = self.model.hold(self.clock(), fields)
        if status != 200:
            respond(request, status, json.dumps(answer).encode())
            return
        self.poke()
        model, wait_ms = self.model, int(str(fields.get("waitMs", 0)))
        due, known = self.clock() + wait_ms, model.last_number
        while self.clock() < due and model.last_number == known and model is self.model:
            if model.ends_to_tell and not self.options.waits_for_new_ends:
                break
            await self._next_change(due - self.clock())
        if model is not self.model:
            self._held.append(request)  # crashed meanwhile
            return
        respond(request, 200, json.dumps(model.lists(self.clock())).encode())

    async def _next_change(self, at_most_ms: int) -> None:
        """Wait until an end has come or the time is over; under a manual clock, until it moves."""
        if isinstance(self.clock, ManualClock):
            moved = asyncio.Event()
            self.clock.watch(moved.set)
            await moved.wait()
            return
        try:
            async with asyncio.timeout(at_most_ms / 1_000):
                await self._changed.wait()
        except TimeoutError:
            return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _arm(self, now: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self.model.next_event()
        if at is not None:
            self._timer = asyncio.get_running_loop().call_later(max(0, at - now + 1) / 1_000, self.poke)


async def _run(arguments: argparse.Namespace) -> None:
    options = WorkerOptions(
        service=arguments.service,
        zone=arguments.zone,
        labels=tuple(arguments.label),
        agent=arguments.agent,
        heartbeat_ms=arguments.heartbeat_ms,
        guards=arguments.guards,
        capacity=Capacity(arguments.cpu, arguments.memory_mb, arguments.gpu),
        bounds=Bounds(hold_max_ms=arguments.hold_max_ms),
        tells_runs=arguments.tell_runs,
    )
    worker = StandInWorker(options)
    ip, _, port = arguments.app.rpartition(":")
    await worker.start(ip, int(port))
    stopping = asyncio.Event()
    leaving: set[asyncio.Task[None]] = set()

    def leave() -> None:
        if not any(not task.done() for task in leaving):
            leaving.add(asyncio.create_task(worker.leave(random.uniform(*SERVES_ON_S))))

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, leave)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    asyncio.get_running_loop().add_signal_handler(signal.SIGINT, stopping.set)
    await stopping.wait()
    await worker.stop()


def main() -> None:
    """Run one worker until SIGTERM."""
    parser = argparse.ArgumentParser(description="A stand-in worker for a local cluster.")
    parser.add_argument("--app", required=True, help="address to serve, ip:port")
    parser.add_argument("--agent", required=True, help="control address of the agent, ip:port")
    parser.add_argument("--service", default="service-a")
    parser.add_argument("--zone", default="zone-a")
    parser.add_argument("--label", action="append", default=[])
    parser.add_argument("--cpu", type=int, default=16_000, help="thousandths of a core")
    parser.add_argument("--memory-mb", type=int, default=32_768)
    parser.add_argument("--gpu", type=int, default=0)
    parser.add_argument("--guards", action="store_true", help="reject what doesn't fit")
    parser.add_argument("--heartbeat-ms", type=int, default=1_500)
    parser.add_argument("--hold-max-ms", type=int, default=10_000)
    parser.add_argument("--tell-runs", action="store_true", help="print what runs, for whoever judges by it")
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
