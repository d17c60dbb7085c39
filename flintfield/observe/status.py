"""The status of one scheduler process, as an answer."""

from __future__ import annotations

import dataclasses
import resource
from collections.abc import Iterator

from flintfield import __version__ as RELEASE
from flintfield.coordination.messages import KnownLeader
from flintfield.coordination.storage.format import entry_bytes
from flintfield.coordination.storage.compaction import content_bound
from flintfield.coordination.storage.store import RingStore
from flintfield.observe.messages import Counter, ProcessStatus, ReplicaStatus, StoreStatus
from flintfield.observe.process import UNKNOWN, ProcessObserver
from flintfield.observe.replica_store import replica_status
from flintfield.transport.records import MalformedRecord

MOST_COUNTERS = 400  # of all parts, in one answer


def process_status(observer: ProcessObserver) -> ProcessStatus:
    """The status now."""
    identity = observer.identity
    current = observer.view.current
    age_ms = observer.view.confirmed_ms_ago()
    return ProcessStatus(
        identity.name,
        identity.role,
        RELEASE,
        identity.zone,
        identity.address,
        observer.steady_ms() - observer.started_ms,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
        observer.ready(),
        observer.leads(),
        _leader(observer),
        observer.core.core,
        current.version if current is not None else 0,
        observer.taken_up_wall_ms,
        age_ms if age_ms is not None else UNKNOWN,
        _replica(observer),
        _store(observer),
        tuple(_counters(observer))[:MOST_COUNTERS],
    )


def _leader(observer: ProcessObserver) -> KnownLeader | None:
    view = observer.core.leader
    if view is None:
        return None
    return KnownLeader(view.epoch, view.name, view.address, max(0, observer.steady_ms() - view.heard_ms))


def _replica(observer: ProcessObserver) -> ReplicaStatus | None:
    if observer.store is None:
        return None
    try:
        return replica_status(observer.store.items)
    except MalformedRecord:
        return None


def _store(observer: ProcessObserver) -> StoreStatus | None:
    store = observer.store
    if not isinstance(store, RingStore):
        return None
    live_bytes = sum(entry_bytes(key, value) for key, value in store.items.items())
    return StoreStatus(
        store.state.name.lower(),
        len(store.items),
        live_bytes,
        content_bound(observer.store_limit_bytes),
        store.ring.chain_bytes,
        round(store.stalled_ms(observer.steady_ms())),
    )


def _counters(observer: ProcessObserver) -> Iterator[Counter]:
    for part, counters in observer.parts.items():
        table = counters()
        if table is None:
            continue
        for field in dataclasses.fields(table):
            yield Counter(part, field.name, int(getattr(table, field.name)))
