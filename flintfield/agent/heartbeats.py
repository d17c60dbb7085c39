"""Reads the bodies of the worker's heartbeats."""

from __future__ import annotations

import json
from typing import Any

from flintfield.agent.events import Heartbeat
from flintfield.jobs.messages import WorkerState

MAX_INSTANCE = 128  # characters
MAX_TEXT = 256
MAX_LABELS = 64
MAX_NUMBER = 2**62
STATES = ("ready", "draining")


class MalformedHeartbeat(ValueError):
    """A heartbeat that can't be read; its text says why."""


def read_heartbeat(instance: str, body: bytes) -> Heartbeat:
    """The heartbeat in this body; raises `MalformedHeartbeat`. Numbers that are left out are 0."""
    if not instance or len(instance) > MAX_INSTANCE or not instance.isprintable():
        raise MalformedHeartbeat(f"an id of {len(instance)} characters, or unprintable")
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedHeartbeat(f"no JSON: {error}") from error
    if not isinstance(fields, dict):
        raise MalformedHeartbeat("no JSON object")
    capacity = fields.get("capacity", {})
    if not isinstance(capacity, dict):
        raise MalformedHeartbeat("`capacity` is no object")
    state = _text(fields, "state")
    if state not in STATES:
        raise MalformedHeartbeat(f"`state` is none of {', '.join(STATES)}")
    worker = WorkerState(
        instance=instance,
        service=_text(fields, "service"),
        address=_text(fields, "address"),
        zone=_text(fields, "zone"),
        draining=state == "draining",
        cpu=_number(capacity, "cpu"),
        memory_mb=_number(capacity, "memMb"),
        gpu=_number(capacity, "gpu"),
        labels=_labels(fields),
        remaining_ms=_number(fields, "remainingMs"),
        slots=_number(fields, "slots"),
        cold_left_ms=_number(fields, "coldLeftMs"),
    )
    clock_ms = _number(fields, "clockMs") if "clockMs" in fields else None
    return Heartbeat(worker, _number(fields, "seq"), clock_ms)


def _text(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name, "")
    if not isinstance(value, str) or len(value) > MAX_TEXT:
        raise MalformedHeartbeat(f"`{name}` is no text of at most {MAX_TEXT} characters")
    return value


def _number(fields: dict[str, Any], name: str) -> int:
    value = fields.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < MAX_NUMBER:
        raise MalformedHeartbeat(f"`{name}` is no number from 0")
    return int(value)


def _labels(fields: dict[str, Any]) -> tuple[str, ...]:
    value = fields.get("labels", [])
    if not isinstance(value, list) or len(value) > MAX_LABELS:
        raise MalformedHeartbeat(f"`labels` is no list of at most {MAX_LABELS}")
    for label in value:
        if not isinstance(label, str) or len(label) > MAX_TEXT:
            raise MalformedHeartbeat(f"a label is no text of at most {MAX_TEXT} characters")
    return tuple(value)
