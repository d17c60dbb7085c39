"""Options of every TCP socket between the system's processes.

A machine behind a cut or without power says nothing at all; without these options a connection to it would
hang for a quarter of an hour.
"""

from __future__ import annotations

import asyncio
import socket

USER_TIMEOUT_MS = 2_000  # sent bytes that stay unacknowledged so long end the connection
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
HIGHEST_PORT = 65_535
LISTEN_BACKLOG = 512  # a full queue drops the opening packet, which is sent again only after seconds


def set_options(transport: asyncio.BaseTransport) -> None:
    """Set the options on the socket of a transport; a socket that is already dead is left alone."""
    sock = transport.get_extra_info("socket")
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    except OSError:
        return  # the peer has reset it; the transport will tell


def parse_address(address: str) -> tuple[str, int]:
    """IP and port of "ip:port"; raises `ValueError`, also for a host's name: names are never looked up."""
    ip, _, port = address.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, ip)
        number = int(port)
    except (OSError, ValueError):
        number = 0
    if not 1 <= number <= HIGHEST_PORT:
        raise ValueError(f"no address: {address!r}")
    return ip, number


def peer_of(transport: asyncio.BaseTransport) -> str:
    """The peer's address as "ip:port"; "?" where the socket has none any more."""
    name = transport.get_extra_info("peername")
    return f"{name[0]}:{name[1]}" if name else "?"
