"""Codec of the simulator's binary protocol: decodes events and settings, encodes actions.

It makes no decisions. A frame that can't be decoded raises `WireError` with a one-line message.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from flintfield.base import settings as base
from flintfield.decision.interface import (
    Action, AttemptEnded, Cancel, Entry, Event, Fail, StreamStarted, ClientLeft, ListMode, AttemptProgress,
    Outcome, Probe, Probed, Refuse, Report, Request, Send, ServerList, SetTimer, Settings, State, Timer,
    Watch,
)

BATCH_HEAD = struct.Struct("<dII")
REPLY_HEAD = struct.Struct("<II")
RECORD_HEAD = struct.Struct("<BI")
ROW = struct.Struct("<HBBHd6sf")
U8, U16, U32 = struct.Struct("<B"), struct.Struct("<H"), struct.Struct("<I")

START, REGISTRY, ACCEPT, STREAMING, ENDED, ABANDONED = 0, 1, 2, 3, 4, 5
ELAPSED, PROBE_RESULT, PEER_DATA, STOP, SERVER_LIST, NOTICE, INSTANCE = 6, 7, 8, 9, 10, 11, 12

LAYOUT = {
    REGISTRY: struct.Struct("<BQI"),
    ACCEPT: struct.Struct("<IBIQddffB"),
    STREAMING: struct.Struct("<IB6sd"),
    ENDED: struct.Struct("<IBBBHd6sB"),
    ABANDONED: U32,
    ELAPSED: U32,
    PROBE_RESULT: struct.Struct("<6sHdB"),
    NOTICE: struct.Struct("<IB6sBf"),
    INSTANCE: U16,
}
OUTCOMES = {
    200: Outcome.OK, 502: Outcome.ERROR, 429: Outcome.FULL, 408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED, 520: Outcome.RESET, 444: Outcome.CANCELLED, 409: Outcome.MOOT,
}
STATES = {0: State.GONE, 1: State.READY, 2: State.DRAINING}
MODES = {0: ListMode.DELTA, 1: ListMode.FULL, 2: ListMode.CACHED, 3: ListMode.FAILED}


class WireError(Exception):
    """The input violates the wire protocol."""


@dataclass(frozen=True, slots=True)
class StartInstance:
    """Start an instance, with its seed, its settings and the field names of its load reports."""

    seed: int
    settings: Settings
    report_fields: tuple[str | None, ...]


@dataclass(frozen=True, slots=True)
class StopInstance:
    """Stop an instance and discard its state."""


@dataclass(frozen=True, slots=True)
class Fault:
    """The decision code raised an exception; the text is sent as the protocol's fault action."""

    text: str


# ------------------------------------------------------------------ settings


def read_settings(text: bytes) -> tuple[Settings, tuple[str | None, ...]]:
    """Parse the JSON settings of the first message; returns them and the report's field names."""
    try:
        return base.read_settings(json.loads(text))
    except (ValueError, base.ConfigError) as error:
        raise WireError(f"invalid settings: {error}") from error


# -------------------------------------------------------------------- events


def worker_id(raw: bytes) -> int:
    return int.from_bytes(raw, "little")


def read_rows(body: bytes) -> tuple[int, tuple[Entry, ...]]:
    """Decode a numbered server list."""
    number, count = U32.unpack_from(body, 0)[0], U32.unpack_from(body, 4)[0]
    if len(body) != 8 + count * ROW.size:
        raise WireError(f"server list of {count} rows has {len(body) - 8} bytes")
    rows = []
    for cell, kind, state, zone, started, raw, weight in ROW.iter_unpack(body[8:]):
        if state not in STATES:
            raise WireError(f"unknown worker state {state}")
        rows.append(Entry(worker_id(raw), STATES[state], zone, cell, kind, weight, started))
    return number, tuple(rows)


def _report(body: bytes, offset: int, fields: tuple[str | None, ...]) -> Report | None:
    values = struct.unpack_from(f"<{body[offset]}f", body, offset + 1)
    known = {name: value for name, value in zip(fields, values, strict=False) if name}
    return Report(**known) if values else None


def _outcome(code: int) -> Outcome:
    if code not in OUTCOMES:
        raise WireError(f"unknown outcome {code}")
    return OUTCOMES[code]


def read_event(
    code: int, body: bytes, server_lists: Mapping[int, tuple[Entry, ...]], fields: tuple[str | None, ...]
) -> Event | StartInstance | StopInstance | None:
    """Decode one record for an instance; None for a record type that the decision code doesn't use."""
    try:
        return _read_event(code, body, server_lists, fields)
    except (struct.error, IndexError) as error:
        raise WireError(f"can't decode record {code} of {len(body)} bytes: {error}") from error


def _read_event(
    code: int, body: bytes, server_lists: Mapping[int, tuple[Entry, ...]], fields: tuple[str | None, ...]
) -> Event | StartInstance | StopInstance | None:
    if code == START:
        seed, size = struct.unpack_from("<QI", body, 0)
        if len(body) < 12 + size:
            raise WireError("settings are truncated")
        settings, names = read_settings(body[12:12 + size])
        return StartInstance(seed, settings, names)
    if code == STOP:
        return StopInstance()
    if code == PEER_DATA:
        return None
    if code not in LAYOUT:
        raise WireError(f"unknown record code {code}")
    v = LAYOUT[code].unpack_from(body, 0)
    if code == REGISTRY:
        if v[0] not in MODES:
            raise WireError(f"unknown list mode {v[0]}")
        mode = MODES[v[0]]
        if mode is ListMode.FAILED:
            return ServerList(mode)
        if v[2] not in server_lists:
            raise WireError(f"server list {v[2]} was never sent")
        return ServerList(mode, server_lists[v[2]])
    if code == ACCEPT:
        rid, cls, tenant, key, deadline, hint, slots, memory, flags = v
        return Request(rid, cls, deadline, tenant, key, hint if flags & 1 else None, slots or 1.0, memory,
                       bool(flags & 2))
    if code == STREAMING:
        return StreamStarted(v[0], v[1], worker_id(v[2]))
    if code == NOTICE:
        return AttemptProgress(v[0], v[1], worker_id(v[2]), v[3] == 1, v[4] if v[3] == 2 else 0.0)
    if code == ENDED:
        rid, _, over, attempt, ending, took, raw, _ = v
        report = _report(body, LAYOUT[ENDED].size - 1, fields)
        return AttemptEnded(rid, attempt, worker_id(raw), _outcome(ending), took, bool(over), report)
    if code == PROBE_RESULT:
        report = _report(body, LAYOUT[PROBE_RESULT].size - 1, fields)
        return Probed(worker_id(v[0]), _outcome(v[1]), v[2], report)
    return ClientLeft(v[0]) if code == ABANDONED else Timer(v[0])


def split_records(body: bytes, count: int) -> Iterator[tuple[int, bytes]]:
    """Split a batch into its records."""
    offset = 0
    for _ in range(count):
        if offset + RECORD_HEAD.size > len(body):
            raise WireError("a batch ends inside a record")
        code, size = RECORD_HEAD.unpack_from(body, offset)
        offset += RECORD_HEAD.size
        if offset + size > len(body):
            raise WireError(f"record {code} is longer than its batch")
        yield code, body[offset:offset + size]
        offset += size
    if offset != len(body):
        raise WireError(f"{len(body) - offset} bytes follow the last record")


# ------------------------------------------------------------------- actions


def _record(code: int, body: bytes) -> bytes:
    return RECORD_HEAD.pack(code, len(body)) + body


def write_action(action: Action | Fault) -> bytes:
    """Encode one action as a record."""
    match action:
        case Send(rid, worker, timeout_ms):
            return _record(0, struct.pack("<I6sd", rid, worker.to_bytes(6, "little"), timeout_ms))
        case Refuse(rid, retry_after_ms):
            return _record(1, struct.pack("<Id", rid, retry_after_ms))
        case Fail(rid):
            return _record(2, U32.pack(rid))
        case Cancel(rid, attempt):
            return _record(3, struct.pack("<IB", rid, attempt))
        case SetTimer(after_ms, token):
            return _record(4, struct.pack("<dI", after_ms, token))
        case Probe(worker):
            return _record(5, worker.to_bytes(6, "little"))
        case Watch():
            return _record(10, U8.pack(1))
        case Fault(text):
            data = text.encode()[:60_000]
            return _record(9, U16.pack(len(data)) + data)
    raise WireError(f"no record type for {action!r}")


def write_reply(groups: Iterable[tuple[int, list[Action | Fault]]]) -> bytes:
    """Encode a reply: for each instance with actions, its number followed by its actions."""
    records: list[bytes] = []
    for instance, actions in groups:
        if actions:
            records.append(_record(INSTANCE, U16.pack(instance)))
            records.extend(write_action(a) for a in actions)
    body = b"".join(records)
    return REPLY_HEAD.pack(U32.size + len(body), len(records)) + body  # the length includes the count field
