"""The simulator protocol's codec: example frames, round trips, malformed input."""

from __future__ import annotations

import io
import json
import struct

import pytest
from hypothesis import given, strategies as st

from flintfield import drill
from flintfield.wire.simulator import frames as wire
from flintfield.decision.interface import (
    Action, AttemptEnded, Cancel, Effect, Fail, Group, ListMode, AttemptProgress, Outcome, Probe, Refuse,
    Request, Send, ServerList, SetTimer, State, Timer, Watch,
)
from flintfield.decision.policy import Dispatcher

FIELDS = ("util", "latency_ms", "free")
RAW_SETTINGS = {
    "request_classes": [
        {"aim_ms": 400, "hard_limit_ms": 5000, "effect": "guarded", "group": "cell", "window_ms": 7500,
         "worth": 2, "surprise": 1},
    ],
    "family_info": {"class_stretch": [1.75], "class_kind": [-1], "report_x0": "free slots"},
    "report": {"how": "inline", "fields": ["busy", "lat_ms", "x0"]},
    "membership_mode": "subscribe", "replicas_of_me": 3, "unknown": {},
}


def test_example_request_is_decoded() -> None:
    body = bytes.fromhex("c4913a5d 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00000040"
                         "00000000 01")
    event = wire.read_event(wire.ACCEPT, body, {}, FIELDS)
    assert event == Request(0x5D3A91C4, 0, 8652.25, 0, 0x91F03B7C55D20A64, 12.0, 2.0, 0.0, False)


def test_example_outcome_is_decoded_with_its_report() -> None:
    body = bytes.fromhex("c4913a5d 00 01 00 c800 0000000000803240 0a124a07 5b1b 03"
                         "52b81e3f 00006841 cdcccc3e")
    event = wire.read_event(wire.ENDED, body, {}, FIELDS)
    assert isinstance(event, AttemptEnded)
    assert (event.rid, event.attempt, event.outcome, event.took_ms, event.over) == (
        0x5D3A91C4, 0, Outcome.OK, 18.5, True)
    assert event.worker == int.from_bytes(bytes.fromhex("0a124a075b1b"), "little")
    assert event.report is not None
    assert event.report.free == pytest.approx(0.4)
    assert event.report.util == pytest.approx(0.62)
    assert event.report.latency_ms == 14.5


def test_example_list_is_decoded() -> None:
    sheet = bytes.fromhex("00000000 02000000 0000 00 01 0000 0000000000000000 0a124a07 5b1b 0000803f"
                          "0000 00 02 0000 0000000000d4b740 0a9011f2 841b 0000c03f")
    number, rows = wire.read_rows(sheet)
    body = bytes.fromhex("02 2900000000000000 00000000")
    event = wire.read_event(wire.REGISTRY, body, {number: rows}, ())
    assert isinstance(event, ServerList)
    assert event.mode is ListMode.CACHED
    assert [(e.state, e.started_ms, e.weight) for e in event.entries] == [
        (State.READY, 0.0, 1.0), (State.DRAINING, 6100.0, 1.5)]


def test_notes_and_timers_are_decoded() -> None:
    note = bytes.fromhex("c4913a5d 00 0a124a07 5b1b 02 0000003f")
    event = wire.read_event(wire.NOTICE, note, {}, ())
    assert isinstance(event, AttemptProgress)
    assert (event.started, event.done) == (False, 0.5)
    assert wire.read_event(wire.ELAPSED, bytes.fromhex("4d000000"), {}, ()) == Timer(77)


def test_example_actions_are_encoded() -> None:
    worker = int.from_bytes(bytes.fromhex("0a124a075b1b"), "little")
    other = int.from_bytes(bytes.fromhex("0a9011f2841b"), "little")
    frames: dict[Action, str] = {
        Send(0x5D3A91C4, worker, 80.0): "0012000000c4913a5d0a124a075b1b0000000000005440",
        Cancel(0x5D3A91C4, 0): "0305000000c4913a5d00",
        Refuse(0x0E6F2B19, 250.0): "010c000000192b6f0e0000000000406f40",
        Fail(0x0E6F2B19): "0204000000192b6f0e",
        SetTimer(500.0, 77): "040c0000000000000000407f404d000000",
        Probe(other): "05060000000a9011f2841b",
        Watch(): "0a0100000001",
    }
    for action, frame in frames.items():
        assert wire.write_action(action) == bytes.fromhex(frame)


@given(st.integers(0, 2**32 - 1), st.integers(0, 2**48 - 1), st.floats(0, 1e6))
def test_send_round_trip(rid: int, worker: int, timeout: float) -> None:
    ((code, body),) = wire.split_records(wire.write_action(Send(rid, worker, timeout)), 1)
    decoded_rid, raw, decoded_timeout = struct.unpack("<I6sd", body)
    assert (code, decoded_rid, wire.worker_id(raw), decoded_timeout) == (0, rid, worker, timeout)


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    settings, fields = wire.read_settings(json.dumps(RAW_SETTINGS).encode())
    (cls,) = settings.classes
    assert (cls.effect, cls.group, cls.kind) == (Effect.KEYED, Group.CELL, None)
    assert (cls.stretch, cls.worth) == (1.75, 2)
    assert settings.ask_list and settings.reports_in_answers and settings.dispatchers == 3
    assert fields == FIELDS


def batch(*records: bytes, now: float = 1000.0) -> bytes:
    body = b"".join(records)
    return wire.BATCH_HEAD.pack(now, 4 + len(body), len(records)) + body


def record(code: int, body: bytes) -> bytes:
    return wire.RECORD_HEAD.pack(code, len(body)) + body


def start_records(instance: int = 3) -> list[bytes]:
    text = json.dumps(RAW_SETTINGS).encode()
    return [record(wire.INSTANCE, wire.U16.pack(instance)),
            record(0, struct.pack("<QI", 7, len(text)) + text)]


def run_adapter(data: bytes) -> bytes:
    sink = io.BytesIO()
    drill.serve(io.BytesIO(data), sink)
    return sink.getvalue()


def test_empty_batch_gets_an_empty_reply() -> None:
    assert run_adapter(batch()) == bytes.fromhex("0400000000000000")


def test_instance_acts_once_it_has_its_server_list() -> None:
    sheet = record(wire.SERVER_LIST, struct.pack("<II", 0, 0))
    reply = run_adapter(batch(sheet, *start_records(), record(wire.REGISTRY, struct.pack("<BQI", 2, 1, 0))))
    codes = [code for code, _ in wire.split_records(reply[8:], struct.unpack_from("<I", reply, 4)[0])]
    assert codes[0] == wire.INSTANCE
    assert 10 in codes and 4 in codes


@pytest.mark.parametrize("data", [
    b"\0" * 5, batch()[:-1], batch(record(99, b"")), batch(record(wire.INSTANCE, b"\1")),
    batch(*start_records(), record(99, b"")), batch(*start_records(), record(wire.ENDED, b"\0" * 5)),
    batch(*start_records(), record(wire.REGISTRY, struct.pack("<BQI", 2, 1, 5))),
    batch(record(wire.INSTANCE, wire.U16.pack(1)), record(wire.ELAPSED, wire.U32.pack(0))),
])
def test_malformed_input_is_reported_in_one_line(data: bytes) -> None:
    with pytest.raises(wire.WireError) as caught:
        run_adapter(data)
    assert "\n" not in str(caught.value)


def test_exception_in_the_decision_code_becomes_the_fault_action(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise RuntimeError("on purpose")

    monkeypatch.setattr(Dispatcher, "handle", broken)
    reply = run_adapter(batch(*start_records(), record(wire.ELAPSED, wire.U32.pack(0))))
    assert b"RuntimeError: on purpose" in reply
