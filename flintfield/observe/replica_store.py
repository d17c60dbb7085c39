"""What the records of a replica's store say, of a running process and of a disk that nobody uses alike."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from flintfield.control.stored import UnknownFormat, decode_stored
from flintfield.coordination.model import CoreSet
from flintfield.coordination.stored import (
    ACTIVE_KEY,
    CONFIGURATION_KEY,
    IDENTITY_KEY,
    ITEM_PREFIX,
    KNOWN_KEY,
    ORDER_KEY,
    SUCCESSOR_KEY,
    StoredAcceptor,
    StoredIdentity,
    StoredOrder,
)
from flintfield.jobs import durable
from flintfield.observe.messages import ReplicaStatus
from flintfield.transport.records import MalformedRecord, decode

UNREADABLE = -1
Kind = TypeVar("Kind")


def replica_status(items: Mapping[bytes, bytes]) -> ReplicaStatus | None:
    """The status; None where the store has no identity. Raises `MalformedRecord`."""
    identity = _read(items, IDENTITY_KEY, StoredIdentity)
    if identity is None:
        return None
    order = _read(items, ORDER_KEY, StoredOrder) or StoredOrder()
    configuration = _read(items, CONFIGURATION_KEY, StoredAcceptor) or StoredAcceptor()
    successor = _read(items, SUCCESSOR_KEY, StoredAcceptor) or StoredAcceptor()
    kinds = _count_items(items)
    return ReplicaStatus(
        identity=identity.identity,
        founding=identity.founding,
        active_core=_read(items, ACTIVE_KEY, CoreSet),
        known_core=_read(items, KNOWN_KEY, CoreSet),
        successor_accepted=successor.value is not None,
        promised_epoch=order.promised,
        promised_candidate=order.candidate,
        epoch=order.position.epoch,
        sequence=order.position.sequence,
        promised_core=configuration.promised.core,
        promised_counter=configuration.promised.counter,
        accepted_core=configuration.accepted.core,
        accepted_counter=configuration.accepted.counter,
        configuration_version=_version(configuration.value),
        jobs=kinds[durable.JOB],
        ended_jobs=kinds[durable.END],
        tasks=kinds[durable.TASK],
        other_items=kinds[b""],
    )


def _read(items: Mapping[bytes, bytes], key: bytes, kind: type[Kind]) -> Kind | None:
    value = items.get(key)
    if value is None:
        return None
    found: Any = decode(value)
    if not isinstance(found, kind):
        raise MalformedRecord(f"{key!r} holds a {type(found).__name__}")
    return found


def _count_items(items: Mapping[bytes, bytes]) -> dict[bytes, int]:
    """How many items of the ordered store there are of each kind; b"" stands for all others."""
    counts = {durable.JOB: 0, durable.END: 0, durable.TASK: 0, b"": 0}
    cut = len(ITEM_PREFIX)
    for key in items:
        if key.startswith(ITEM_PREFIX):
            kind = key[cut : cut + 1]
            counts[kind if kind in counts else b""] += 1
    return counts


def _version(value: bytes | None) -> int:
    if value is None:
        return 0
    try:
        return decode_stored(value).version
    except UnknownFormat:
        return UNREADABLE
