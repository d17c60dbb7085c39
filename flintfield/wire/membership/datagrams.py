"""Datagrams in and out: read in short turns, refused before they cost much, sealed for their receiver."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio

from flintfield.membership.messages import Address, Part, Record
from flintfield.membership.rules import MOST_DATAGRAM
from flintfield.wire.membership.codec import MOST, common_version
from flintfield.wire.membership.rates import Sources
from flintfield.wire.membership.seal import Drop, Opened, Seal, glance

TURN = 64  # datagrams read in a row
FULL_TURNS = 4  # so many in a row without an end, and the reader pauses
PAUSE_S = 0.005  # then: at most some 13,000 datagrams a second are looked at, whatever comes
# Datagrams a second from a session that has proven itself, and at once; from an address of strangers; from
# all strangers.
MEMBER_RATE = (1_000.0, 2_000.0, 1e9, 1e9)
STRANGER_RATE = (50.0, 200.0, 500.0, 1_000.0)


class Datagrams:
    """The datagram socket. `record_of` tells what is known of a session's owner."""

    def __init__(self, seal: Seal, record_of: Callable[[int], Record | None],
                 hand_on: Callable[[Opened, Address], None], count: Callable[[str, int], None],
                 clock: Callable[[], float]) -> None:
        self._seal, self._record_of, self._hand_on = seal, record_of, hand_on
        self._count, self._clock = count, clock
        self._sock: socket.socket
        self._members, self._strangers = Sources(*MEMBER_RATE), Sources(*STRANGER_RATE)

    # ------------------------------------------------------------ out

    def send(self, address: Address, to: int, parts: tuple[Part, ...]) -> None:
        """Send one datagram; what the kernel does not take is lost, as the network would lose it."""
        key, version = self.choose(to)
        if key is None or version is None:
            self._count("unsent.no_common_key" if key is None else "unsent.no_common_version", 1)
            return
        data = self._seal.seal(to, parts, key, version)
        assert len(data) <= MOST_DATAGRAM, len(data)
        try:
            self._sock.sendto(data, address)
        except OSError as error:  # its buffer is full, or there is no way there
            self._count(f"unsent.{type(error).__name__}", 1)
            return
        self._count("datagrams.sent", 1)
        self._count("bytes.sent", len(data))

    def choose(self, session: int) -> tuple[int | None, int | None]:
        """The key and the version in which the owner of that session understands us."""
        ring = self._seal.ring
        if record := self._record_of(session):
            return ring.choose(record.keys), common_version(record.least, record.most)
        peer = self._seal.peers.get(session)
        known = ring.choose((peer.key,)) if peer else None
        return known or ring.ids[0], MOST

    # ------------------------------------------------------------ in

    async def read_all(self, sock: socket.socket) -> None:
        """Read from this socket, and send through it, until cancelled."""
        self._sock = sock
        full = 0
        while True:
            if self._read_some() < TURN:
                full = 0
                await anyio.wait_readable(sock)
            elif (full := full + 1) >= FULL_TURNS:
                full = 0
                self._count("floods", 1)
                await anyio.sleep(PAUSE_S)
            else:
                await anyio.sleep(0)

    def _read_some(self) -> int:
        for taken in range(TURN):
            try:
                data, source = self._sock.recvfrom(MOST_DATAGRAM + 1)
            except BlockingIOError:
                return taken
            except OSError:
                continue  # word of a datagram of ours that nobody took
            self.receive(data, (source[0], source[1]))
        return TURN

    def receive(self, data: bytes, source: Address) -> None:
        """A datagram as it came."""
        if (reason := self._refuses(data, source)) is not None:
            self._count(f"dropped.{reason}", 1)
            return
        opened = self._seal.open(data)
        if isinstance(opened, Drop):
            self._count(f"dropped.{opened.value}", 1)
            return
        self._count("datagrams.received", 1)
        self._count("bytes.received", len(data))
        if opened.skipped:
            self._count("parts.skipped", opened.skipped)
        self._hand_on(opened, source)

    def _refuses(self, data: bytes, source: Address) -> str | None:
        """Why a datagram is not worth opening: what it claims to be, and how many came from there."""
        if len(data) > MOST_DATAGRAM or (claims := glance(data)) is None:
            return Drop.SHORT.value
        key, session = claims
        now = self._clock()
        if self._seal.ring.cipher(key, now) is None:
            return Drop.KEY.value
        if session in self._seal.peers or self._record_of(session):
            return None if self._members.admits(session, now, shared=False) else "rate"
        return None if self._strangers.admits(source[0], now) else "rate"
