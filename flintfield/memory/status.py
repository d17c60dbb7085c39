"""What the status page tells: the next hops as they stand, and the jobs in work."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from flintfield.decision.interface import State as Lifecycle
from flintfield.memory.state import State

WORDS = {Lifecycle.READY: "in_service", Lifecycle.DRAINING: "terminating", Lifecycle.GONE: "terminated"}


@dataclass(frozen=True, slots=True)
class Server:
    """A next hop; its last error, and how long ago that was, unless it was too long ago."""

    name: str
    address: str
    state: str
    last_error: str | None = None
    error_age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Status:
    """All that the page tells at one time."""

    uptime_s: float
    servers: tuple[Server, ...]
    load: dict[str, int]  # jobs in work, of every class


def take_status(state: State, now: float, began: float, classes: Sequence[str], keep_ms: float) -> Status:
    """Look at the memory as it is now; errors older than `keep_ms` are left out."""
    load = dict.fromkeys(classes, 0)
    for transaction in state.transactions.values():
        if not transaction.answered:
            load[transaction.submission.class_name] += 1
    servers = []
    for worker, route in state.routes.items():
        at, word = state.last_errors.get(worker, (now, None))
        shown = word if now - at <= keep_ms else None
        servers.append(Server(route.name, "{}:{}".format(*route.address), WORDS[route.entry.state], shown,
                              (now - at) / 1000))
    return Status((now - began) / 1000, tuple(servers), load)
