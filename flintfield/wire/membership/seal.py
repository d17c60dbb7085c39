"""Datagrams sealed and opened: AES-GCM, replays, and what is too old.

Layout, numbers big-endian:

    0   1  0xF1
    1   1  version of the format
    2   4  id of the key
    6   8  session of the sender
    14  4  counter of the sender, from 1 in each session
    18     AES-256-GCM of the packet, and its tag of 16 bytes; bytes 0 to 17 are authenticated with it

Session and counter are the nonce [RFC 5116 3.2]: 63 random bits and a number that is never used again, so one
key serves all members. Before the counter is used up, or when too many sessions have been heard to remember
their counters, `wants_new_session` is true and we go on under a new session.

A replay within a session is known by a window of counters [RFC 6479]; a datagram meant for an earlier life of
ours names another session (the core turns it down). One that was held back on its way is known by its age:
the sender tells its own time, and the least difference to ours that was seen is the measure, so no clocks
need agree. The measure gives way by `DRIFT`, more than clocks drift apart.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cryptography.exceptions import InvalidTag

from flintfield.membership.messages import Part
from flintfield.membership.rules import FORMER_MS, MOST_AGE_MS
from flintfield.wire.membership.codec import LEAST, MOST, BadFormat, read_packet, write_packet
from flintfield.wire.membership.keys import Ring

MAGIC = 0xF1
HEAD = struct.Struct(">BBIQI")
TAG = 16
WINDOW = 1_024  # counters behind the highest that are still told apart
DRIFT = 0.001  # by which two clocks may run apart; quartz keeps 0.0001
MOST_PEERS = 16_384  # sessions whose counters are remembered: some 300 bytes each
MOST_COUNTER = 0xFFFFFF00


class Drop(Enum):
    """Why a datagram is dropped; the names are those of the counters."""

    SHORT = "short"  # or not of our kind
    VERSION = "version"
    KEY = "key"  # one that we do not have
    FORGED = "forged"  # does not open
    REPLAY = "replay"
    LATE = "late"
    FORMAT = "format"  # opens, and can not be read


@dataclass(frozen=True, slots=True)
class Opened:
    """A datagram of a member."""

    sender: int
    to: int
    parts: tuple[Part, ...]
    skipped: int  # parts of kinds that we do not know


class Peer:
    """What is remembered of a sender's session."""

    __slots__ = ("heard_ms", "key", "least", "seen", "top")

    def __init__(self) -> None:
        self.top, self.seen = 0, 0  # the highest counter, and which of those behind it have come
        self.least, self.heard_ms = float("inf"), 0.0  # our time less the sender's, at its least
        self.key = 0  # of its last datagram

    def is_replay(self, counter: int) -> bool:
        """Whether the counter has come, or is too far behind to tell."""
        behind = self.top - counter
        return behind >= WINDOW or (behind >= 0 and bool(self.seen >> behind & 1))

    def note(self, counter: int) -> None:
        """The counter has come."""
        if counter > self.top:
            self.seen = (self.seen << min(counter - self.top, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.top = counter
        else:
            self.seen |= 1 << (self.top - counter)

    def age(self, now: float, sent: float) -> float:
        """How much longer than its fastest the datagram was on its way, in ms."""
        self.least = min(self.least + DRIFT * (now - self.heard_ms), now - sent)
        self.heard_ms = now
        return now - sent - self.least


class Seal:
    """Our side of all datagrams."""

    def __init__(self, ring: Ring, session: int, clock: Callable[[], float]) -> None:
        self.ring, self._clock = ring, clock
        self.peers: OrderedDict[int, Peer] = OrderedDict()
        self._trim_at: float | None = None
        self.begin(session)

    def begin(self, session: int) -> None:
        """Go on under this session. Peers are kept while the old session is still answered to."""
        self.session, self._counter, self._began = session, 0, self._clock()
        self._trim_at = self._began + FORMER_MS if self.peers else None

    @property
    def wants_new_session(self) -> bool:
        """Whether the counter or the memory for others' counters is nearly used up."""
        return self._counter >= MOST_COUNTER or (len(self.peers) >= MOST_PEERS and self._trim_at is None)

    def _trim(self) -> None:
        """Forget the counters of sessions long unheard of: what they sent was meant for a session of ours
        that is over, so that a replay is turned down without them."""
        self._trim_at = None
        while len(self.peers) > MOST_PEERS // 2:
            self.peers.popitem(last=False)

    def nonce(self) -> bytes:
        """A number that is used once."""
        self._counter += 1
        if self._counter > 0xFFFFFFFF:
            raise OverflowError("the session's counter is used up")
        return struct.pack(">QI", self.session, self._counter)

    def seal(self, to: int, parts: tuple[Part, ...], key: int, version: int = MOST) -> bytes:
        """A datagram for the session `to`, with a key that we have."""
        now, nonce = self._clock(), self.nonce()
        cipher = self.ring.cipher(key, now)
        assert cipher is not None
        head = HEAD.pack(MAGIC, version, key, self.session, self._counter)
        return head + cipher.encrypt(nonce, write_packet(to, int(now - self._began), parts), head)

    def open(self, data: bytes) -> Opened | Drop:
        """A datagram as it came."""
        if len(data) < HEAD.size + TAG or data[0] != MAGIC:
            return Drop.SHORT
        _, version, key, sender, counter = HEAD.unpack_from(data)
        if not LEAST <= version <= MOST:
            return Drop.VERSION
        now = self._clock()
        if self._trim_at is not None and now > self._trim_at:
            self._trim()
        if (cipher := self.ring.cipher(key, now)) is None:
            return Drop.KEY
        peer = self.peers.get(sender)
        if sender == self.session or (peer and peer.is_replay(counter)):
            return Drop.REPLAY
        head = data[:HEAD.size]
        try:
            packet, skipped = read_packet(cipher.decrypt(head[6:], data[HEAD.size:], head))
        except InvalidTag:
            return Drop.FORGED
        except BadFormat:
            return Drop.FORMAT
        if peer is None:
            peer = self.peers[sender] = Peer()
        peer.note(counter)
        if peer.age(now, packet.sent_ms) > MOST_AGE_MS:
            return Drop.LATE
        peer.key = key
        self.peers.move_to_end(sender)
        return Opened(sender, packet.to, tuple(packet.parts), skipped)


def glance(data: bytes) -> tuple[int, int] | None:
    """The key's id and the sender's session as a datagram claims them, before it is opened; None if it is
    odd."""
    if len(data) < HEAD.size + TAG or data[0] != MAGIC:
        return None
    _, _, key, sender, _ = HEAD.unpack_from(data)
    return key, sender
