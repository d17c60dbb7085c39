"""Data of the status page: the current next hops, and the number of open jobs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from flintfield.decision.interface import State as Lifecycle
from flintfield.memory.state import State

STATE_NAMES = {Lifecycle.READY: "in_service", Lifecycle.DRAINING: "terminating", Lifecycle.GONE: "terminated"}


@dataclass(frozen=True, slots=True)
class Server:
    """A next hop, with its last error and the age of that error; `last_error` is None if it is too old."""

    name: str
    address: str
    state: str
    last_error: str | None = None
    error_age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Status:
    """A snapshot of the data of the status page."""

    uptime_s: float
    servers: tuple[Server, ...]
    load: dict[str, int]  # number of open jobs by class


def take_status(state: State, now: float, began: float, classes: Sequence[str], keep_ms: float) -> Status:
    """Take a snapshot of the state; errors older than `keep_ms` are omitted."""
    load = dict.fromkeys(classes, 0)
    for transaction in state.transactions.values():
        if not transaction.answered:
            load[transaction.submission.class_name] += 1
    servers = []
    for worker, route in state.routes.items():
        at, error = state.last_errors.get(worker, (now, None))
        shown = error if now - at <= keep_ms else None
        servers.append(Server(route.name, "{}:{}".format(*route.address), STATE_NAMES[route.entry.state],
                              shown, (now - at) / 1000))
    return Status((now - began) / 1000, tuple(servers), load)
