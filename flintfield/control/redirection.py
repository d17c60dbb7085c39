"""Redirects a read to a replica where its answer takes too long over this process's own link.

An operator waits for about a second for an answer, counted from the call to the last byte. A configuration of
many routes passes a slow link in more than that, however fast it is looked up. A process without a replica
then names a replica (307), whose link carries the configuration to all others anyway. It prefers one that has
answered during this very read, and falls back to one that answered a moment ago. Where none has, the process
answers by itself.
"""

from __future__ import annotations

import random
import typing
from collections.abc import Sequence

from flintfield.control.stored import UnknownFormat, decode_stored

if typing.TYPE_CHECKING:
    from flintfield.coordination.model import Member

MAX_TRANSMISSION_S = 0.5  # half of the operator's patience: other traffic shares the link
RESPONSIVE_MS = 1_000  # polls are held for a third of that
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class ReplicaView(typing.Protocol):
    """What is known of the replicas and the configuration."""

    def responsive_replicas(self, within_ms: int) -> Sequence[Member]:
        """The members of the newest core set, in touch with a majority, that answered a poll of this process
        within this time."""

    def known(self) -> tuple[bytes | None, int] | None:
        """The newest value known here, and the steady ms as of which it is surely the newest."""


class ReadRedirector:
    """Says where a read is answered sooner. `link_mbps` is this machine's link (Mbit/s), `control_port` the
    port of the operator's API, the same on all machines."""

    def __init__(self, node: ReplicaView, link_mbps: float, control_port: int, rng: random.Random) -> None:
        self._node = node
        self._bytes_per_s = link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE
        self._control_port = control_port
        self._rng = rng

    def is_too_long(self, answer_bytes: int) -> bool:
        """Whether an answer takes too long over the own link."""
        return answer_bytes > self._bytes_per_s * MAX_TRANSMISSION_S

    def is_known_too_long(self) -> bool:
        """Whether the document known here takes too long; False where none is known."""
        known = self._node.known()
        if known is None or known[0] is None:
            return False
        try:
            return self.is_too_long(len(decode_stored(known[0]).document))
        except UnknownFormat:
            return False

    def location(self, path: str, reading_ms: int) -> str | None:
        """The URL to redirect a read to that began `reading_ms` ago; None where no replica is responsive."""
        replicas = self._node.responsive_replicas(reading_ms) or self._node.responsive_replicas(RESPONSIVE_MS)
        if not replicas:
            return None
        ip, _, _ = self._rng.choice(replicas).address.rpartition(":")
        return f"http://{ip}:{self._control_port}{path}"
