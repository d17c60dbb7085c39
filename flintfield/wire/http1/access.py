"""Access control by client address: allow and deny lists, and the PROXY protocol header of trusted proxies.

The gate runs between accepting a connection and serving it. It takes exactly the header's bytes from the
socket, so that nothing of the request is read before the client's real address is known.
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
MAX_V1_LENGTH = 107  # longest version 1 header, with its CRLF
V2_PREFIX = 16
ADDRESS_LENGTHS = {1: 12, 2: 36, 3: 216}  # IPv4, IPv6, Unix: combined length of both addresses
MAX_BUFFERED = V2_PREFIX + max(ADDRESS_LENGTHS.values())
MAX_PROTOCOL = 2  # 1 is stream and 2 datagram; higher values aren't assigned


class BadHeader(Exception):
    """A PROXY header that is invalid, missing from a trusted proxy or sent by an untrusted peer."""


def normalize(text: str) -> Address:
    """Parse an address for comparison with the lists; an IPv4-mapped IPv6 address becomes IPv4."""
    address = ip_address(text)
    return getattr(address, "ipv4_mapped", None) or address


class Gate:
    """Applies the lists to each connection; `say` logs the outcome, `count` increments a counter."""

    def __init__(self, allow: Sequence[Network], deny: Sequence[Network], trusted: Sequence[Network],
                 say: Callable[..., None], count: Callable[[str], None]) -> None:
        self._allow, self._deny, self._trusted = allow, deny, trusted
        self._say, self._count = say, count

    def _admits(self, address: Address) -> bool:
        """`deny` takes precedence over `allow`; an empty `allow` admits every address."""
        if any(address in n for n in self._deny):
            return False
        return not self._allow or any(address in n for n in self._allow)

    def _trusts(self, address: Address) -> bool:
        return any(address in n for n in self._trusted)

    def takes(self, peer: str) -> bool:
        """Whether to keep the connection for now; if not, it must be closed without reading from it."""
        address = normalize(peer)
        return self._trusts(address) or self._check_address(address)

    def _check_address(self, address: Address, **more: object) -> bool:
        is_admitted = self._admits(address)
        if not is_admitted:
            self._count("legs.denied")
        self._say("connection taken" if is_admitted else "connection denied", client=address, **more)
        return is_admitted

    async def admit(self, stream: Stream, peer: str, deadline: float) -> bytes | None:
        """The part of the request read so far; None if the connection must be closed."""
        peer_address = normalize(peer)
        try:
            if not self._trusts(peer_address):
                return await _read_no_header(stream, deadline)
            client = read_address(await _read_header(stream, deadline))
        except BadHeader as error:
            self._count("legs.bad_proxy_header")
            self._say("bad proxy header", client=peer_address, error=error)
            return None
        return b"" if self._check_address(client or peer_address, front=peer_address) else None


# ------------------------------------------------------------------ headers


async def _read_no_header(stream: Stream, deadline: float) -> bytes:
    """Read an untrusted peer's first bytes, up to the one that rules out a PROXY header."""
    seen = b""
    while any(s.startswith(seen) for s in (V1, V2)):
        if not (data := await stream.receive_by(deadline)):
            return seen  # the connection handles an incomplete request
        seen += data
        if seen.startswith((V1, V2)):
            raise BadHeader("from an untrusted peer")
    return seen


async def _read_header(stream: Stream, deadline: float) -> bytes:
    """Read a trusted proxy's whole header and nothing after it; returns it without long TLVs."""
    header, taken = b"", 0
    while True:
        seen = await stream.receive_by(deadline, flags=socket.MSG_PEEK)
        if not seen:
            raise BadHeader("missing" if not header else "header is truncated")
        size = _header_length(header + seen)
        data = await stream.receive_by(deadline, len(seen) if size is None else min(size - taken, len(seen)))
        taken += len(data or b"")
        header = (header + (data or b""))[:MAX_BUFFERED]  # long TLVs are read but not buffered
        if taken == size:
            return header


def _header_length(text: bytes) -> int | None:
    """The length of the header that starts with `text`; None while `text` is too short to tell."""
    if V2.startswith(text[:len(V2)]):
        return V2_PREFIX + int.from_bytes(text[14:16], "big") if len(text) >= V2_PREFIX else None
    if not V1.startswith(text[:len(V1)]):
        raise BadHeader("missing")
    end = text.find(b"\n", 0, MAX_V1_LENGTH)
    if end >= 0 and text[end - 1:end] == b"\r":
        return end + 1
    if end >= 0 or len(text) >= MAX_V1_LENGTH:
        raise BadHeader("PROXY version 1 header without CRLF")
    return None


def read_address(header: bytes) -> Address | None:
    """The client address in a complete header; None if it has none, so that the peer's address applies."""
    try:
        result = _unpack(header)
    except (ValueError, struct.error) as error:
        raise BadHeader(str(error) or type(error).__name__) from error
    return normalize(str(result.source[0])) if is_ipv4(result) or is_ipv6(result) else None


def _unpack(header: bytes) -> ProxyResult:
    if header.startswith(V1):
        return ProxyProtocolV1().unpack_line(header)
    parser, head = ProxyProtocolV2(), header[:V2_PREFIX]
    fields = parser.unpack_header(head)
    family, protocol = head[13] >> 4, head[13] & 0x0F
    # The parser treats unassigned values as 'unspecified'; the protocol requires rejecting them.
    if fields.command == "proxy" and (family > max(ADDRESS_LENGTHS) or protocol > MAX_PROTOCOL):
        raise BadHeader("PROXY version 2 header with an unassigned family or protocol")
    addresses = header[V2_PREFIX:][:ADDRESS_LENGTHS.get(family, 0)]  # TLVs follow: ignored
    return parser.unpack_data(fields, head, b"" if fields.command == "local" else addresses)
