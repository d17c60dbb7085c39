"""Less common settings: idempotency keys, tenants and their allowances."""

from __future__ import annotations

import socket

import pytest

from flintfield.decision.interface import Event, Request as Asked
from flintfield.memory.messages import Submitted
from flintfield.wire.http1.submission import BadRequest, Request, read_submission

from peers import CLASSES, SOON, Hop, Start, ended, until
from test_memory import Memory

KEYED = [dict(CLASSES[0], effect="guarded", group="all", window_ms=5000), CLASSES[1]]
HEADERS = {b"req-id": b"1f", b"req-kind": b"match-list", b"req-deadline": b"900m"}


@pytest.mark.parametrize("pieces", [1, 2])
def test_idempotency_key_is_forwarded_with_each_attempt(begin: Start, pieces: int) -> None:
    hops = Hop("s-1"), Hop("s-2")
    scheduler = begin(*hops, request_classes=KEYED)
    head = (b"POST /match-list HTTP/1.1\r\nHost: f\r\nReq-Id: 1f\r\nReq-Kind: match-list\r\n"
            b"Req-Deadline: 8000m\r\nIdempotency-Key: \"8a f/\"\r\nContent-Length: 3\r\n\r\njob")
    with socket.create_connection(("127.0.0.1", scheduler.port), SOON) as caller:
        for at in range(0, len(head), -(-len(head) // pieces)):
            caller.sendall(head[at:at + -(-len(head) // pieces)])
        assert until(lambda: not all(h.jobs.empty() for h in hops))
        first, other = hops if not hops[0].jobs.empty() else hops[::-1]
        keys = []
        for hop in (first, other):
            job = hop.job()
            keys.append(job.headers.get("idempotency-key"))
            job.say("done", result="list") if hop is other else job.status(503, Srv_Declined="1")
        assert keys == ['"8a f/"'] * 2
        assert b"200" in caller.makefile("rb").readline()


def test_no_idempotency_key_is_invented(begin: Start) -> None:
    hop = Hop()
    sent = begin(hop, request_classes=KEYED).submit()
    job = hop.job()
    assert "idempotency-key" not in job.headers
    job.say("done", result="list")
    assert ended(sent.getresponse()) == (200, b"list")


def test_line_break_in_a_key_cannot_inject_a_header() -> None:
    headers = HEADERS | {b"idempotency-key": b"1\r\nReq-Id: 2"}
    with pytest.raises(BadRequest):
        read_submission(Request(b"POST", b"/match-list", headers, b""), {"match-list": 0}, {})


@pytest.mark.parametrize(("owner", "tenant"), [(b"north", 0), (b"south", 1), (b"east", -1), (b"", -1)])
def test_decision_module_gets_the_tenant_of_a_job(owner: bytes, tenant: int) -> None:
    memory = Memory(parties=[{"name": name, "allowance_per_s": 1} for name in ("north", "south")])
    events: list[Event] = []

    def tap(_: float, event: Event, __: object) -> None:
        events.append(event)

    memory.state.tap = tap
    given = read_submission(Request(b"POST", b"/match-list", HEADERS | {b"req-owner": owner}, b""),
                            {"match-list": 0}, {"north": 0, "south": 1})
    memory.take(Submitted(1, given))
    assert [e.tenant for e in events if isinstance(e, Asked)] == [tenant]


def test_tenant_over_its_allowance_does_not_delay_another_tenant(begin: Start) -> None:
    """Runs the real program: its settings name the tenants, and the Req-Owner header names a job's tenant."""
    hop = Hop()
    hop.load = b"TEXT lat_ms=5, rif=1, q=0, x0=1"
    parties = [{"name": "north", "allowance_per_s": 0.01}, {"name": "south", "allowance_per_s": 100}]
    scheduler = begin(hop, parties=parties, over_share_worth=0.1)
    sent = [scheduler.submit(owner="north", cost="4000000") for _ in range(20)]  # far beyond its allowance
    running = hop.job()
    last = scheduler.submit(owner="south", name="south", cost="4000000")
    scheduler.counters()
    running.say("done", result="list")
    assert hop.job().name == "south"
    for connection in (*sent, last):
        connection.close()
