"""The operator: changes of the configuration, some of them at once on top of one version, some invalid."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any

from flintfield.simulation.cluster import Cluster
from flintfield.simulation.faults import Trigger
from flintfield.simulation.operator_calls import OperatorCalls
from flintfield.simulation.process import Process
from flintfield.simulation.record import Document, OrderSeen, ReadSeen
from flintfield.simulation.scenario import HOST, QUEUES, SERVICES
from flintfield.simulation.scripts import MAX_ATTEMPTS, ChangeScript

FIRST_MS = 300
TRIES = 20
ATTEMPTS = (1, 2, 3, 4)  # that a queue may be given
BACKOFF_MS = (80.0, 500.0)
FINAL = (200, 400, 409, 412, 413, 422)  # end an order's call


def route(name: str, prefix: str, service: str, priority: int) -> Document:
    """An item of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "non_idempotent",
        "timeoutMs": 3_000,
        "targetLatencyMs": 1_000,
        "priority": priority,
        "service": service,
        "maxAttempts": MAX_ATTEMPTS,
        "extension": 2.0,
    }


def first_document(version: int, idle_routes: int = 0) -> Document:
    """The configuration that everything begins with; nothing is handed in at its idle routes."""
    routes = [route(f"q{number}", *queue) for number, queue in enumerate(QUEUES)]
    routes += [route(f"idle{number}", f"/idle/{number}/", SERVICES[0], 3) for number in range(idle_routes)]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name} for name in SERVICES],
        "limits": {"maxBodyBytes": 262_144},
    }


class Operator(Process):
    """One operator, or two that do not know of each other."""

    def __init__(self, cluster: Cluster, on_path: Callable[[str], None]) -> None:
        super().__init__(cluster.world, cluster.world.add_machine("operator", "10.0.2.1:1"))
        self._cluster = cluster
        self._record = cluster.record
        self._rng: random.Random = cluster.world.draw()
        self._on_path = on_path
        self._calls = OperatorCalls(self, cluster)
        self._newest: Document | None = None
        self._highest = 0
        self._number = 0
        self._paths = 0
        self._under_way = 0

    def begin(self, scripts: tuple[ChangeScript, ...]) -> None:
        """Start."""
        self.later(FIRST_MS, lambda: self._spawn(self._first()))
        for script in scripts:
            self.later(script.at_ms, partial(self._spawn_change, script))
        for round_ms in self._cluster.scenario.read_rounds_ms:
            self.later(round_ms, lambda: self._spawn(self._read_everywhere()))

    @property
    def idle(self) -> bool:
        """Whether no order and no round of reads is under way."""
        return self._under_way == 0

    def _spawn_change(self, script: ChangeScript) -> None:
        self._spawn(self._change(script))

    def finish(self) -> None:
        """Read the configuration back until it comes."""
        self._spawn(self._read_at_last())

    def _spawn(self, work: Any) -> None:
        self.loop.create_task(work)

    async def _first(self) -> None:
        document = first_document(self._version(), self._cluster.scenario.idle_routes)
        await self._send(self._order(0, document, document, True), True)

    def _version(self) -> int:
        self._highest += self._rng.randint(1, 3)
        return self._highest

    def _order(self, base: int, sent: Document, result: Document, valid: bool) -> tuple[OrderSeen, bytes]:
        self._number += 1
        order = OrderSeen(f"order {self._number}", sent["version"], base, valid, result, self.world.now_ms)
        self._record.orders.append(order)
        return order, json.dumps(sent).encode()

    async def _change(self, script: ChangeScript) -> None:
        present = self._newest
        if present is None:
            return
        self._under_way += 1
        await self._change_from(present, script)
        self._under_way -= 1

    async def _change_from(self, present: Document, script: ChangeScript) -> None:
        work = []
        same_version = self._rng.random() < 0.5
        version = self._version()
        for _ in range(script.orders):
            version = version if same_version else self._version()
            work.append(self._send(self._compose(present, version, script), script.whole))
        results = await asyncio.gather(*work)
        taken = len(results) == 1 and results[0].acked_ms is not None
        if script.repeats and taken and not self._others(results[0]):
            await self._again(results[0], script.whole)
        if all(order.acked_ms is None for order in results):
            await self._learn()

    def _others(self, order: OrderSeen) -> bool:
        """Whether another order was under way since this one was sent, or is."""
        acked = order.acked_ms or 0.0
        return any(
            other is not order
            and (
                other.sent_ms >= order.sent_ms
                or not other.tries
                or other.tries[-1][1] >= acked
                or other.acked_ms is None
            )
            for other in self._record.orders
        )

    def _compose(self, present: Document, version: int, script: ChangeScript) -> tuple[OrderSeen, bytes]:
        if script.terms:
            return self._compose_terms(present, version, script.whole)
        self._paths += 1
        prefix = f"/x{self._paths}/"
        added = route(f"x{self._paths}", prefix, SERVICES[0], 3)
        old = [item["name"] for item in present["routes"] if item["name"].startswith("x")]
        removed = [self._rng.choice(old)] if old and self._rng.random() < 0.6 else []
        if script.invalid:
            added = {**added, "timeoutMs": 0} if self._rng.random() < 0.5 else {**added, "service": "nobody"}
        routes = [item for item in present["routes"] if item["name"] not in removed] + [added]
        result = {**present, "version": version, "routes": routes}
        sent: Document = result
        if not script.whole:
            sent = {"version": version, "upsert": {"routes": [added]}, "remove": {"routes": removed}}
        self._on_path(prefix)
        return self._order(present["version"], sent, result, not script.invalid)

    def _compose_terms(self, present: Document, version: int, whole: bool) -> tuple[OrderSeen, bytes]:
        """Change how often the tasks of a queue may fail, and its priority."""
        queues = [item for item in present["routes"] if item["name"].startswith("q")]
        queue = self._rng.choice(queues)
        changed = {
            **queue,
            "maxAttempts": self._rng.choice(ATTEMPTS),
            "priority": self._rng.choice((0, 1, 2)),
        }
        routes = [changed if item is queue else item for item in present["routes"]]
        result: Document = {**present, "version": version, "routes": routes}
        sent = result if whole else {"version": version, "upsert": {"routes": [changed]}, "remove": {}}
        return self._order(present["version"], sent, result, True)

    async def _send(self, made: tuple[OrderSeen, bytes], whole: bool) -> OrderSeen:
        order, body = made
        for _ in range(TRIES):
            status = await self._try(order, body, whole)
            if status in FINAL:
                break
            await asyncio.sleep(self._rng.uniform(*BACKOFF_MS) / 1_000)
        if order.acked_ms is not None and (self._newest is None or self._newest["version"] < order.version):
            self._newest = order.document
        return order

    async def _again(self, order: OrderSeen, whole: bool) -> None:
        """Send an order that was acknowledged once more."""
        sent: Document = order.document
        if not whole:
            return
        await self._try(order, json.dumps(sent).encode(), whole)

    async def _try(self, order: OrderSeen, body: bytes, whole: bool) -> int:
        name = self._rng.choice(self._cluster.scenario.schedulers)
        sent_ms = self.world.now_ms
        answer = await self._calls.order(name, whole, order.base, body)
        status = answer.status if answer is not None else 0
        order.tries.append((sent_ms, self.world.now_ms, status))
        if status == 200:
            self._cluster.signal(Trigger.ACK)
        what = f"{order.name} (version {order.version} on {order.base})"
        self.world.note(f"operator: {what} at {name}: {status}")
        return status

    async def _learn(self) -> None:
        document = await self._read()
        if document is not None and (self._newest is None or document["version"] > self._newest["version"]):
            self._newest = document

    async def _read(self) -> Document | None:
        return await self._read_at(self._rng.choice(self._cluster.scenario.schedulers))

    async def _read_at(self, name: str) -> Document | None:
        sent_ms = self.world.now_ms
        answer = await self._calls.read(name)
        document: Document | None = None
        if answer is not None and answer.status == HTTPStatus.OK:
            document = json.loads(answer.body)
        version = None if document is None else document["version"]
        self._record.reads.append(ReadSeen(name, sent_ms, self.world.now_ms, version))
        self.world.note(f"operator: read at {name}: version {version}")
        return document

    async def _read_everywhere(self) -> None:
        """Read at one scheduler after the other."""
        self._under_way += 1
        for name in self._cluster.scenario.schedulers:
            await self._read_at(name)
        self._under_way -= 1

    async def _read_at_last(self) -> None:
        """Read at schedulers drawn at random until the configuration comes, for the contact time."""
        until_ms = self.world.now_ms + self._cluster.bounds.contact_ms
        while self.world.now_ms < until_ms:
            document = await self._read()
            if document is not None:
                self._record.last_read = document
                return
            await asyncio.sleep(self._rng.uniform(*BACKOFF_MS) / 1_000)
