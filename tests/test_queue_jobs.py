"""Bookings out of a queue, with the real program, boto3 as the front desk and stand-in worker nodes."""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

import boto3
import pytest
from botocore.config import Config

from peers import Hop, Scheduler, SETTINGS, Start, start, until

INI = """
[store]
dir = {folder}/store
[queues]
port = 0
[queue.social-booking]
"""
CLASS = "social-booking"


def client(scheduler: Scheduler) -> Any:
    """An unmodified boto3 client."""
    return boto3.client("sqs", endpoint_url=f"http://127.0.0.1:{scheduler.ports['queue_port']}",
                        region_name="local", aws_access_key_id="any", aws_secret_access_key="any",
                        config=Config(retries={"max_attempts": 0}, read_timeout=30))


def url_of(scheduler: Scheduler, name: str = CLASS) -> str:
    """A queue's URL, once the queues are open."""
    sqs = client(scheduler)
    found: list[str] = []

    def is_there() -> bool:
        found[:] = [u for u in sqs.list_queues().get("QueueUrls", []) if u.endswith(f"/{name}")]
        return bool(found)

    assert until(is_there)
    return found[0]


def replies(scheduler: Scheduler, seconds: float = 5.0, wanted: int = 1) -> list[dict[str, Any]]:
    """What the reply queue says, each read once."""
    sqs, url = client(scheduler), url_of(scheduler, f"{CLASS}-replies")
    told: list[dict[str, Any]] = []
    ends = time.monotonic() + seconds
    while len(told) < wanted and time.monotonic() < ends:
        for message in sqs.receive_message(QueueUrl=url, MaxNumberOfMessages=10, WaitTimeSeconds=1).get(
                "Messages", []):
            told.append(json.loads(message["Body"]))
            sqs.delete_message(QueueUrl=url, ReceiptHandle=message["ReceiptHandle"])
    return told


def again(scheduler: Scheduler, hops: list[Hop]) -> Scheduler:
    """The same scheduler as a new process, after a kill."""
    scheduler.process.kill()
    scheduler.process.communicate()
    text = (scheduler.folder / "flintfield.ini").read_text()
    scheduler.process = start(scheduler.folder, scheduler.config, ini=text)
    assert scheduler.process.stdout
    scheduler.ports = json.loads(scheduler.process.stdout.readline())
    scheduler.port = scheduler.ports["port"]
    return scheduler


def test_a_visibility_time_that_runs_out_in_mid_run_does_not_run_a_booking_twice(
        begin: Start, tmp_path: Path) -> None:
    hop = Hop()
    scheduler = begin(hop, ini=INI.format(folder=tmp_path))
    sqs, url = client(scheduler), url_of(scheduler)
    sqs.set_queue_attributes(QueueUrl=url, Attributes={"VisibilityTimeout": "1"})
    sent = sqs.send_message(QueueUrl=url, MessageBody="seat 7")
    job = hop.job()
    job.say("started")
    time.sleep(1.5)
    assert "Messages" not in sqs.receive_message(QueueUrl=url) and hop.jobs.empty()
    job.say("done", result="seat 7 booked")
    assert replies(scheduler) == [{"message_id": sent["MessageId"], "outcome": "served", "class": CLASS,
                                   "result": "seat 7 booked"}]
    time.sleep(0.3)
    assert hop.jobs.empty()


def test_a_delete_that_comes_after_a_restart_is_heeded(begin: Start, tmp_path: Path) -> None:
    hop = Hop()
    hop.load = b"TEXT lat_ms=5, rif=4, q=0, x0=0"  # no room: the front desk is quicker
    scheduler = begin(hop, ini=INI.format(folder=tmp_path))
    sqs, url = client(scheduler), url_of(scheduler)
    other = sqs.create_queue(QueueName="plain")["QueueUrl"]
    sqs.send_message(QueueUrl=other, MessageBody="seat 9")
    [message] = sqs.receive_message(QueueUrl=other, VisibilityTimeout=2)["Messages"]
    again(scheduler, [hop])
    sqs = client(scheduler)
    other = url_of(scheduler, "plain")
    sqs.delete_message(QueueUrl=other, ReceiptHandle=message["ReceiptHandle"])
    time.sleep(2.2)
    assert "Messages" not in sqs.receive_message(QueueUrl=other)
    assert url


@pytest.mark.parametrize("kills", [6, pytest.param(200, marks=pytest.mark.slow)])
def test_seats_are_booked_as_they_are_told_though_the_program_is_killed(
        begin: Start, tmp_path: Path, kills: int) -> None:
    """Exactly one run for each seat told `served`, at most one for `failed`, none for `refused`."""
    drawn = random.Random(20261201)
    hops = [Hop("s-1"), Hop("s-2")]
    ran: Counter[str] = Counter()
    scheduler = begin(*hops, ini=INI.format(folder=tmp_path))
    seats: dict[str, str] = {}
    told: dict[str, str] = {}
    for kill in range(kills):
        sqs, url = client(scheduler), url_of(scheduler)
        entries = [{"Id": str(i), "MessageBody": f"seat {kill}-{i}"} for i in range(4)]
        for done in sqs.send_message_batch(QueueUrl=url, Entries=entries)["Successful"]:
            seats[done["MessageId"]] = entries[int(done["Id"])]["MessageBody"]
        ends = time.monotonic() + drawn.uniform(0.0, 0.25)
        while time.monotonic() < ends:
            _work(hops, ran)
            time.sleep(0.005)
        again(scheduler, hops)
    ends = time.monotonic() + 40
    while len(told) < len(seats) and time.monotonic() < ends:
        _work(hops, ran)
        for reply in replies(scheduler, 0.2):
            assert reply["message_id"] not in told, "a seat has one answer"
            told[reply["message_id"]] = reply["outcome"]
    assert told.keys() == seats.keys()
    for message_id, seat in seats.items():
        runs = ran[seat]
        most = {"served": 1, "failed": 1, "refused": 0}[told[message_id]]
        assert runs <= most, f"{seat} was told {told[message_id]} and ran {runs} times"
        assert told[message_id] != "served" or runs == 1
    assert Counter(told.values())["served"] >= len(seats) / 2


def _work(hops: list[Hop], ran: Counter[str]) -> None:
    """Book what has come, at once."""
    for hop in hops:
        while not hop.jobs.empty():
            job = hop.jobs.get()
            ran[job.body.decode()] += 1
            try:
                job.say("started")
                job.say("done", result=f"{job.body.decode()} booked")
            except OSError:
                job.over.set()


@pytest.mark.parametrize(("text", "word"), [
    ("[queues]\nport = 0\n[queue.nobody]\n", "[queue.nobody] class_name: found 'nobody', expected one of"),
    ("[queue.social-booking]\n", "[queues]: found no such section"),
    ("[queues]\nport = 0\nkeys = /nowhere\n", "[queues] keys: found '/nowhere', expected a file"),
])
def test_a_faulty_section_ends_the_start_with_one_line(tmp_path: Path, text: str, word: str) -> None:
    config = {"name": "n", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    process = start(tmp_path, config, ini=f"[store]\ndir = {tmp_path}/s\n{text}")
    _, err = process.communicate(timeout=10)
    assert process.returncode == 2 and word in err and len(err.splitlines()) == 1
