"""Redirects a read to a replica where its answer takes too long over this process's own link.

An operator waits for about a second for an answer, counted from the call to the last byte. A configuration of
many routes passes a slow link in more than that, however fast it is looked up. A process without a replica
then names a replica (307), whose link carries the configuration to all others anyway. The replica has
answered a poll a moment ago, so that it is neither down nor cut off from here. Where none has, the process
answers by itself: late is better than not at all.
"""

from __future__ import annotations

import random
import typing
from collections.abc import Sequence

if typing.TYPE_CHECKING:
    from flintfield.coordination.model import Member

MAX_TRANSMISSION_S = 0.25  # a quarter of the operator's patience: other traffic shares the link
RESPONSIVE_MS = 1_000  # polls are held for a third of that
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class ReplicaView(typing.Protocol):
    """What is known of the replicas."""

    def responsive_replicas(self, within_ms: int) -> Sequence[Member]:
        """The members of the newest core set that answered a poll of this process within this time."""


class ReadRedirector:
    """Says where a read is answered sooner. `link_mbps` is this machine's link (Mbit/s), `control_port` the
    port of the operator's API, the same on all machines."""

    def __init__(self, node: ReplicaView, link_mbps: float, control_port: int, rng: random.Random) -> None:
        self._node = node
        self._bytes_per_s = link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._control_port = control_port
        self._rng = rng

    def location(self, path: str, answer_bytes: int) -> str | None:
        """The URL to redirect to; None where this process answers by itself."""
        if answer_bytes <= self._bytes_per_s * MAX_TRANSMISSION_S:
            return None
        replicas = self._node.responsive_replicas(RESPONSIVE_MS)
        if not replicas:
            return None
        ip, _, _ = self._rng.choice(replicas).address.rpartition(":")
        return f"http://{ip}:{self._control_port}{path}"
