"""Forwarders and planners as real processes on loopback: plans, killed planners, settings, commands, and the
link between them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import pytest

from flintfield.base.ini import OperatorsError
from flintfield.cli.group import run_command
from flintfield.lifecycle.operators import read_operators
from flintfield.planning.messages import Digest, Plan, Seen
from flintfield.wire.http1.stream import Stream, dial, open_listener
from flintfield.wire.link.frames import LinkError, Nonces, be_greeted, decode, greet
from flintfield.wire.membership.keys import PUBLIC, Ring, make_key
from peers import ROOT, SOON, Hop, Scheduler, ended, until
from support.group import held_ports

RULES = {"rules": {"drain_grace_ms": 400, "ask_within_ms": 2000, "ramp_time_ms": 6000, "cold_from": 0.4,
                   "tip_multiple": 3.0, "fall_ms": 1000}}


def complete_jobs(hop: Hop) -> None:
    """Complete each job of the hop at once, in a background thread."""
    def run() -> None:
        while True:
            job = hop.jobs.get()
            with suppress(OSError, ValueError):
                job.say("running", share=0.5)
                job.say("done", result="seat")

    threading.Thread(target=run, daemon=True).start()


def plan_page(instance: Scheduler) -> dict[str, Any]:
    url = f"http://127.0.0.1:{instance.ports['status_port']}/plan"
    with urllib.request.urlopen(url, timeout=SOON) as response:
        content: dict[str, Any] = json.loads(response.read())
    return content


@contextmanager
def fleet(folder: Path, forwarders: int, planners: int, hops: int,
          keys: str = "") -> Iterator[tuple[list[Scheduler], list[Scheduler]]]:
    """Start forwarders and planners that share `hops` hops; yields the forwarders and the planners."""
    all_hops = [Hop(f"s-{i}") for i in range(hops)]
    for hop in all_hops:
        complete_jobs(hop)
    with held_ports(planners) as ports:
        listed = ", ".join(f"127.0.0.1:{port}" for port in ports)
        instances: list[Scheduler] = []

        def start_process(name: str, role: str, count: int, me: int) -> Scheduler:
            (folder / name).mkdir(exist_ok=True)
            ini = ("[statuspage]\nport = 0\nrefresh_ms = 100\n"
                   f"[role]\nrole = {role}\nplanners = {listed}\n{keys}")
            settings = RULES | {"replicas_of_me": count, "me": me}
            instances.append(Scheduler(folder / name, all_hops, settings, 512, ini=ini, name=name))
            return instances[-1]

        try:
            planner_processes = [start_process(f"p{i}", f"planner\nplace = {i}", forwarders, 0)
                                 for i in range(planners)]
            yield ([start_process(f"f{i}", "forwarder", forwarders, i) for i in range(forwarders)],
                   planner_processes)
        finally:
            for instance in instances:
                instance.process.kill()
                instance.process.communicate()


def completes_job(forwarder: Scheduler) -> bool:
    return ended(forwarder.submit("match-list").getresponse())[0] == 200


def test_plans_arrive_are_shown_and_jobs_continue_when_all_planners_are_killed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with fleet(tmp_path, 3, 2, 6) as (forwarders, planners):
        assert until(lambda: all(plan_page(f)["plan"] for f in forwarders))
        plan_pages = [plan_page(f) for f in forwarders]
        assert {page["plan"]["place"] for page in plan_pages} <= {0, 1}
        assert until(lambda: sum(r["home"] for f in forwarders for r in plan_page(f)["plan"]["rows"]) == 6)
        addresses = [f"127.0.0.1:{f.ports['status_port']}" for f in forwarders]
        assert run_command(["plan", "show", "--at", addresses[0]]) == 0
        assert "home" in capsys.readouterr().out
        assert run_command(["plan", "show", "--at", f"127.0.0.1:{planners[0].ports['status_port']}"]) == 0
        assert "3 links" in capsys.readouterr().out
        assert until(lambda: run_command(["plan", "diff", addresses[0], addresses[1]]) == 0)
        assert run_command(["plan", "diff", "here", addresses[1]]) == 2
        assert all(completes_job(f) for f in forwarders)
        assert planners[0].submit("match-list").getresponse().status == 503  # a planner accepts no jobs
        for planner in planners:
            planner.process.send_signal(signal.SIGKILL)
        assert all(completes_job(f) for f in forwarders for _ in range(5))
        assert until(lambda: not any(plan_page(f)["plan"] for f in forwarders))
        assert all(completes_job(f) for f in forwarders for _ in range(5))
        counters = forwarders[0].counters()
        assert counters["planning.plans.in_force"] > 0  # the number depends on the duration of the test
        assert counters.get("defects", 0) == 0


def test_a_killed_planner_is_replaced_by_another_without_failed_jobs(tmp_path: Path) -> None:
    with fleet(tmp_path, 2, 2, 4) as (forwarders, planners):
        assert until(lambda: all(plan_page(f)["plan"] for f in forwarders))
        place = plan_page(forwarders[0])["plan"]["place"]
        planners[place].process.send_signal(signal.SIGKILL)
        expected = [1 - place] * 2
        assert until(lambda: [(plan_page(f)["plan"] or {}).get("place") for f in forwarders] == expected)
        assert all(completes_job(f) for f in forwarders)


@pytest.mark.parametrize("text, expected_text", [
    ("role = boss\n", "role: found 'boss'"),
    ("role = planner\nplace = 3\nplanners = 127.0.0.1:1\n", "place: found 3"),
    ("role = forwarder\n", "planners: found 0"),
    ("role = forwarder\nplanners = nowhere\n", "planners: found 'nowhere'"),
])
def test_an_invalid_role_section_is_reported(tmp_path: Path, text: str, expected_text: str) -> None:
    (tmp_path / "ini").write_text(f"[role]\n{text}")
    with pytest.raises(OperatorsError, match=r"\[role\]") as raised:
        read_operators(str(tmp_path / "ini"))
    assert expected_text in str(raised.value)


def test_without_a_role_section_no_planning_module_is_imported(tmp_path: Path) -> None:
    script = "import sys, flintfield.lifecycle.start as s; s.main(['--ini', sys.argv[1]]); " \
           "print([m for m in sys.modules if 'planning' in m or 'planned' in m or 'forwarding' in m])"
    (tmp_path / "ini").write_text("[jobstatus]\n")
    completed = subprocess.run([sys.executable, "-c", script, str(tmp_path / "ini")], cwd=ROOT, text=True,
                          capture_output=True, timeout=SOON)
    assert completed.stdout.splitlines()[-1] == "[]"


# ------------------------------------------------------------------------- the link

def make_ring(secret: bytes = PUBLIC) -> Ring:
    return Ring([make_key(secret)])


async def exchange_messages(client_ring: Ring, server_ring: Ring, invalid_bytes: bytes = b"") -> list[Any]:
    """The messages that the two ends of a link read, or the kinds of their errors."""
    listener, received = open_listener(("127.0.0.1", 0), 4), list[Any]()

    async def serve() -> None:
        await anyio.wait_readable(listener)
        stream = Stream(listener.accept()[0])
        try:
            channel = await be_greeted(stream, server_ring, Nonces(), 2.0)
            received.append(await channel.read())
            await channel.write(Plan(0, 1, 1, 0.0, 100.0))
        except LinkError as error:
            received.append(error.kind)
        finally:
            stream.close()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve)
        stream = await dial(listener.getsockname(), 1_000)
        assert isinstance(stream, Stream)
        try:
            channel = await greet(stream, client_ring, Nonces(), 2.0)
            if invalid_bytes:
                await stream.send(invalid_bytes)
            else:
                await channel.write(Digest("f", 0, 1, 5.0, 1.5, (Seen(3, 1.0, 2.0, 1.0, 5.0),)))
            received.append(await channel.read())
        except LinkError as error:
            received.append(error.kind)
        stream.close()
    listener.close()
    return received


def test_a_link_carries_digests_and_plans_and_rejects_other_peers() -> None:
    received = anyio.run(exchange_messages, make_ring(), make_ring())
    assert received[0] == Digest("f", 0, 1, 5.0, 1.5, (Seen(3, 1.0, 2.0, 1.0, 5.0),))
    assert received[1] == Plan(0, 1, 1, 0.0, 100.0)
    assert sorted(anyio.run(exchange_messages, make_ring(), make_ring(os.urandom(32)))) == [
        "no_common_key", "no_common_key"]
    assert "bad" in anyio.run(partial(exchange_messages, invalid_bytes=b"\xff" * 64),
                              make_ring(), make_ring())
    assert "bad" in anyio.run(partial(exchange_messages, invalid_bytes=b"\0\0\0\x20" + b"\1" * 44),
                              make_ring(), make_ring())


def test_frames_of_unknown_kinds_are_skipped_and_unreadable_ones_are_errors() -> None:
    assert decode(b"\x92\x63\xc0") is None  # [99, nil]
    for payload in (b"", b"\xc1", b"\x92\x01\xc0", b"\x92\x02\x91\xa1x"):
        with pytest.raises(LinkError):
            decode(payload)
