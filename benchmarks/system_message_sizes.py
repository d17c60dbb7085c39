"""Bytes of the messages that grow with the deployment, and the time of the steps that read them.

    python -m benchmarks.system_message_sizes

Routes are of the form that the operator sends, with names drawn at random. Times are processor time of this
machine, the least of three rounds; a machine with a quarter of a core takes four times as long.
"""

from __future__ import annotations

import dataclasses
import os
import random
import string
import zlib
from collections.abc import Callable
from functools import partial
from typing import Any

from benchmarks.system_takeover_steps import (
    AGENTS,
    SERVICES,
    SPEC,
    TASKS_A_JOB,
    WALL_MS,
    job_body,
    least_ms,
    new_dispatcher,
)
from flintfield.control import documents, orders
from flintfield.control.configuration import Configuration
from flintfield.control.forwarding import PACK_LEVEL
from flintfield.control.messages import ForwardedOrder, Kind
from flintfield.control.operator import OperatorCounters
from flintfield.control.stored import decode_configuration, decode_stored
from flintfield.coordination.contacts import KnownLeader, LeaderAnswer
from flintfield.coordination.delta import _patch, difference, patched
from flintfield.coordination.model import NO_BALLOT, NOWHERE, CoreSet, Member
from flintfield.coordination.messages import StateAnswer
from flintfield.coordination.register_messages import ValueAnswer
from flintfield.coordination.shell.known_values import ValueCounters
from flintfield.coordination.storage.pool import PoolCounters
from flintfield.coordination.storage.store import StoreCounters
from flintfield.ingress.link import LinkCounters
from flintfield.ingress.messages import ListenerCounters
from flintfield.ingress.server import IngressCounters
from flintfield.jobs.messages import AgentOrders, JobCall, Method, StartOrder
from flintfield.jobs.recorder import JobEvent
from flintfield.jobs.state import Counters as DispatcherCounters
from flintfield.jobs.states import RunState, TaskState
from flintfield.observe.history import HistoryCounters
from flintfield.observe.messages import (
    Counter,
    EventRow,
    JobDetail,
    JobRow,
    Jobs,
    ProcessStatus,
    RunRow,
    TasksRow,
    WaitReason,
    WorkerCondition,
    WorkerRow,
    Workers,
)
from flintfield.observe.questions import PAGE_ROWS
from flintfield.transport.counters import Counters as TransportCounters
from flintfield.transport.records import encode

ROUTES = (1_600, 3_200, 4_200, 19_000)
LINK_BYTES_PER_S = 250_000  # 2 Mbit/s
HOST = "ficu95.example"
SCHEDULERS, MEMBERS = 64, 6

Document = dict[str, Any]


def random_text(rng: random.Random, pattern: str) -> str:
    """A text with a consonant, a vowel, a digit or any of letters and digits for each of `cvd*`."""
    letters = {"c": "bcdfghjklmnpqrstvwxyz", "v": "aeiou", "d": string.digits}
    return "".join(rng.choice(letters.get(sign, string.ascii_lowercase + string.digits)) for sign in pattern)


def route(rng: random.Random, number: int) -> Document:
    """A route of the form that the operator sends."""
    return {
        "name": f"r-{random_text(rng, '*******')}",
        "host": HOST,
        "pathPrefix": f"/{random_text(rng, 'cvcvddd')}{number:x}/",
        "routeType": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": rng.choice((250, 1000, 2000, 3000)),
        "priority": rng.choice((0, 1, 2)),
        "service": rng.choice(SERVICES),
        "maxAttempts": rng.choice((2, 3)),
        "extension": rng.choice((1.5, 2.2, 4.0)),
    }


def configuration(routes: int, version: int = 5) -> Document:
    """A whole configuration."""
    rng = random.Random(routes)
    service = {
        "healthPath": "/health",
        "maxConnections": 64,
        "protocol": "h1",
        "tls": False,
        "guards": False,
    }
    return {
        "version": version,
        "routes": [route(rng, number) for number in range(routes)],
        "services": [{"name": name, **service} for name in SERVICES],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def print_bytes(name: str, size: int, items: int = 1) -> None:
    """A line of the table of sizes."""
    each = f"{size / items:9.1f} each" if items > 1 else ""
    print(f"  {name:58s} {size:9d} bytes {size / LINK_BYTES_PER_S:7.3f} s {each}")


def print_configuration(routes: int) -> None:
    """Sizes and times at this number of routes."""
    document = configuration(routes)
    body = documents.dump(document)
    replace = orders.read_order(Kind.REPLACE, 0, body)
    value = orders.judge(replace, None).successor
    assert value is not None
    small = change_of(value, random.Random(1), 1, 6)
    large = change_of(value, random.Random(2), 1_000, 6)
    after_small, after_large = judged(small, value), judged(large, value)
    packed = zlib.compress(body, PACK_LEVEL)
    print(f"{routes} routes")
    print_bytes("answer of Config.Read, body of Config.Replace", len(body), routes)
    print_bytes("ForwardedOrder with it", len(encode(ForwardedOrder(Kind.REPLACE, "0", packed))), routes)
    print_bytes("ValueAnswer, whole; also StateAnswer", len(encode(ValueAnswer(True, value))), routes)
    for name, newer in (("one route changed", after_small), ("1,000 routes added", after_large)):
        delta = difference(value, newer)
        size = len(encode(ValueAnswer(True, None, delta))) if delta is not None else len(newer)
        print_bytes(f"ValueAnswer, difference, {name}", size)
    print_steps(body, value, after_small, small)


def change_of(value: bytes, rng: random.Random, routes: int, version: int) -> bytes:
    """The body of an order that adds so many routes."""
    base = len(decode_stored(value).document)  # a number that no other prefix has
    added = [route(rng, base + number) for number in range(routes)]
    return documents.dump({"version": version, "upsert": {"routes": added}})


def judged(body: bytes, value: bytes) -> bytes:
    """The value after an order that is possible on top of this one."""
    base = decode_stored(value).version
    judgement = orders.judge(orders.read_order(Kind.UPDATE, base, body), value)
    assert judgement.successor is not None, judgement
    return judgement.successor


def print_steps(body: bytes, value: bytes, newer: bytes, small: bytes) -> None:
    """The steps of the event loop that an order, a value and an answer take."""
    order = orders.read_order(Kind.UPDATE, decode_stored(value).version, small)
    delta = difference(value, newer)
    assert delta is not None
    steps: dict[str, Callable[[], object]] = {
        "read and check Config.Replace (orders.read_order)": partial(
            orders.read_order, Kind.REPLACE, 0, body
        ),
        "judge an update of one route (orders.judge)": partial(orders.judge, order, value),
        "  of it: documents.parse": partial(documents.parse, body),
        "  of it: documents.check_whole": partial(documents.check_whole, documents.parse(body)),
        "judge it again, taken": partial(orders.judge, order, newer),
        "decode for a view (decode_configuration)": partial(decode_configuration, newer),
        "take up at the dispatcher (Intake.configure)": partial(take_up, decode_configuration(newer)),
        "decode for a read (decode_stored)": partial(decode_stored, newer),
        "make the difference": partial(_patch.__wrapped__, value, newer),
        "rebuild from the difference": partial(patched, value, delta),
    }
    for name, step in steps.items():
        print(f"  {name:58s} {least_ms(step):9.1f} ms")


def take_up(current: Configuration) -> None:
    """What the dispatcher makes of a configuration, apart from its jobs."""
    dispatcher = new_dispatcher()
    dispatcher._reconfiguration.configure(current)


def print_answers() -> None:
    """Answers that grow with schedulers, workers and jobs."""
    address = "10.123.210.235:47660"
    members = tuple(Member("frontend-kazanchis-hall-1", address, "kazanchis-hall", 1 << 60) for _ in range(6))
    leader = KnownLeader(7, members[0].name, address, 20)
    core = CoreSet(3, members, 6, members)
    answer = LeaderAnswer(leader, (address,) * MEMBERS, (address,) * SCHEDULERS)
    print(f"answers: {SCHEDULERS} schedulers, {MEMBERS} members, pages of {PAGE_ROWS} rows")
    print_bytes("LeaderAnswer", len(encode(answer)))
    print_bytes(f"  to {AGENTS} agents", AGENTS * len(encode(answer)))
    status = len(encode(process_status(core, leader)))
    print_bytes("ProcessStatus", status)
    print_bytes("  of 40 schedulers to one console", 40 * status)
    worker = WorkerRow(
        "i-7f3a91c2", "side-kazanchis-hall-12", "huvo11a", "kazanchis-hall", "r1-3", ("a", "r1-3"),
        WorkerCondition.READY, True, 32_000, 65_536, 8, 1, 1, 1, 9, 1.0, 1.0, 1.0, 400, -1,
    )  # fmt: skip
    job = JobRow("5c0e7a21d94b36f8", "r-3d3zji9", "huvo11a", 1, "running", WALL_MS, 0, 20, 3, 0, 0)
    print_bytes("Workers, a page", len(encode(Workers(7, 200, (worker,) * PAGE_ROWS))), PAGE_ROWS)
    print_bytes("Jobs, a page", len(encode(Jobs(7, 200, (job,) * PAGE_ROWS))), PAGE_ROWS)
    print_bytes("JobDetail, the longest", len(encode(job_detail(job))))
    call = JobCall(Method.SUBMIT, HOST, "/lohu930/5c0e7a21d94b36f8", job_body(TASKS_A_JOB), 1)
    print_bytes(f"JobCall with a spec of {len(SPEC)} bytes", len(encode(call)))
    print_bytes("JobCall with the longest body", len(encode(dataclasses.replace(call, body=bytes(262_144)))))
    start = StartOrder(1 << 34, "5c0e7a21d94b36f8.0.1.17", 1, "s" * 4_000, "")
    print_bytes(
        "AgentOrders, 64 starts of 4,000 bytes", len(encode(AgentOrders(3, "i", 1, 1, 1, (start,) * 64, ())))
    )
    print_bytes(
        "StateAnswer without a value", len(encode(StateAnswer(1, core, True, 7, NOWHERE, NO_BALLOT, None)))
    )


def process_status(core: CoreSet, leader: KnownLeader) -> ProcessStatus:
    """The status of a scheduler with all its counters."""
    kinds = (
        TransportCounters, TransportCounters, IngressCounters, ListenerCounters, LinkCounters, ValueCounters,
        OperatorCounters, DispatcherCounters, HistoryCounters, StoreCounters, PoolCounters,
    )  # fmt: skip
    counters = [
        Counter(kind.__qualname__.lower(), field.name, 1)
        for kind in kinds
        for field in dataclasses.fields(kind)
    ]
    return ProcessStatus(
        "frontend-kazanchis-hall-1", "scheduler", "1.0.0", "kazanchis-hall", "10.123.210.235:47660", 1, 1,
        True, False, leader, core, 5, WALL_MS, 100, None, None, tuple(counters),
    )  # fmt: skip


def job_detail(job: JobRow) -> JobDetail:
    """The longest answer about one job."""
    tasks = TasksRow(0, 1, TaskState.READY, WaitReason.NO_ROOM, 3)
    run = RunRow(
        "5c0e7a21d94b36f8.0.1.17", 1, "i-7f3a91c2", "side-kazanchis-hall-12", 3, RunState.RUNNING, 1, 1, 40
    )
    event = EventRow(WALL_MS, JobEvent.ACCEPTED, 0, 1, 17, 1, "i-7f3a91c2", "", 3)
    return JobDetail(3, job, (tasks,) * PAGE_ROWS, (run,) * PAGE_ROWS, (event,) * 32)


def main() -> None:
    """Measure and print."""
    print(f"load of the machine {os.getloadavg()[0]:.1f}; seconds are those of an idle link of 2 Mbit/s")
    for routes in ROUTES:
        print_configuration(routes)
    print_answers()


if __name__ == "__main__":
    main()
