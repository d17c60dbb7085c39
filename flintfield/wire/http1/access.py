"""Who may connect: the address lists, and the PROXY protocol header that a trusted front puts first.

The gate stands between accept and caller leg. A header's bytes are taken from the socket and not one more, so
that nothing of the request is read before the true address is known.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable, Sequence
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address

from proxyprotocol.result import ProxyResult, is_ipv4, is_ipv6
from proxyprotocol.v1 import ProxyProtocolV1
from proxyprotocol.v2 import ProxyProtocolV2

from flintfield.wire.http1.stream import Stream

Address = IPv4Address | IPv6Address
Network = IPv4Network | IPv6Network

V1, V2 = b"PROXY ", b"\r\n\r\n\0\r\nQUIT\n"
MOST_V1 = 107  # with its line end
V2_HEAD = 16
FAMILIES = {1: 12, 2: 36, 3: 216}  # IPv4, IPv6, Unix: the length of both addresses
MOST_KEPT = V2_HEAD + max(FAMILIES.values())
MOST_PROTOCOL = 2  # stream and datagram; what is above is not assigned


class BadHeader(Exception):
    """A PROXY header that can not be read, or none where one must be, or one where none may be."""


def plain(text: str) -> Address:
    """An address as the lists know it: a mapped IPv4 address counts as IPv4."""
    address = ip_address(text)
    return getattr(address, "ipv4_mapped", None) or address


class Gate:
    """The lists, applied to each connection; `say` tells what became of it, `count` counts it."""

    def __init__(self, allow: Sequence[Network], deny: Sequence[Network], trusted: Sequence[Network],
                 say: Callable[..., None], count: Callable[[str], None]) -> None:
        self._allow, self._deny, self._trusted = allow, deny, trusted
        self._say, self._count = say, count

    def _admits(self, address: Address) -> bool:
        """`deny` wins over `allow`; an empty `allow` means all."""
        if any(address in n for n in self._deny):
            return False
        return not self._allow or any(address in n for n in self._allow)

    def _trusts(self, address: Address) -> bool:
        return any(address in n for n in self._trusted)

    def takes(self, peer: str) -> bool:
        """Whether the peer may stay for now; if not it is to be closed unread."""
        address = plain(peer)
        return self._trusts(address) or self._judge(address)

    def _judge(self, address: Address, **more: object) -> bool:
        admitted = self._admits(address)
        if not admitted:
            self._count("legs.denied")
        self._say("connection taken" if admitted else "connection denied", client=address, **more)
        return admitted

    async def lets_in(self, stream: Stream, peer: str, deadline: float) -> bytes | None:
        """What of the request was read meanwhile; None if the connection is to be closed."""
        front = plain(peer)
        try:
            if not self._trusts(front):
                return await _read_no_header(stream, deadline)
            told = read_address(await _read_header(stream, deadline))
        except BadHeader as error:
            self._count("legs.bad_proxy_header")
            self._say("bad proxy header", client=front, error=error)
            return None
        return b"" if self._judge(told or front, front=front) else None


# ------------------------------------------------------------------ headers


async def _read_no_header(stream: Stream, deadline: float) -> bytes:
    """The first bytes of an untrusted peer, enough to know that they begin no PROXY header."""
    seen = b""
    while any(s.startswith(seen) for s in (V1, V2)):
        if not (data := await stream.receive_by(deadline)):
            return seen  # the leg deals with what is not whole
        seen += data
        if seen.startswith((V1, V2)):
            raise BadHeader("from an untrusted peer")
    return seen


async def _read_header(stream: Stream, deadline: float) -> bytes:
    """A trusted front's header, without its TLVs; it is taken whole, and not a byte of what follows it."""
    header, taken = b"", 0
    while True:
        seen = await stream.receive_by(deadline, flags=socket.MSG_PEEK)
        if not seen:
            raise BadHeader("missing" if not header else "cut short")
        size = _size(header + seen)
        data = await stream.receive_by(deadline, len(seen) if size is None else min(size - taken, len(seen)))
        taken += len(data or b"")
        header = (header + (data or b""))[:MOST_KEPT]  # long TLVs are taken, and not held
        if taken == size:
            return header


def _size(text: bytes) -> int | None:
    """The length of the header that begins so; None if that can not be told yet, and all is of the header."""
    if V2.startswith(text[:len(V2)]):
        return V2_HEAD + int.from_bytes(text[14:16], "big") if len(text) >= V2_HEAD else None
    if not V1.startswith(text[:len(V1)]):
        raise BadHeader("missing")
    end = text.find(b"\n", 0, MOST_V1)
    if end >= 0 and text[end - 1:end] == b"\r":
        return end + 1
    if end >= 0 or len(text) >= MOST_V1:
        raise BadHeader("version 1 without its line end")
    return None


def read_address(header: bytes) -> Address | None:
    """The true address that a whole header tells; None where it tells none, and the peer's counts."""
    try:
        result = _unpack(header)
    except (ValueError, struct.error) as error:
        raise BadHeader(str(error) or type(error).__name__) from error
    return plain(str(result.source[0])) if is_ipv4(result) or is_ipv6(result) else None


def _unpack(header: bytes) -> ProxyResult:
    if header.startswith(V1):
        return ProxyProtocolV1().unpack_line(header)
    parser, head = ProxyProtocolV2(), header[:V2_HEAD]
    fields = parser.unpack_header(head)
    family, protocol = head[13] >> 4, head[13] & 0x0F
    # The parser takes values that are not assigned for 'unspecified'; the protocol has them refused.
    if fields.command == "proxy" and (family > max(FAMILIES) or protocol > MOST_PROTOCOL):
        raise BadHeader("version 2 of a family or protocol that is not assigned")
    addresses = header[V2_HEAD:][:FAMILIES.get(family, 0)]  # what follows are TLVs: skipped, read by nobody
    return parser.unpack_data(fields, head, b"" if fields.command == "local" else addresses)
