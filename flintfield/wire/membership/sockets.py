"""The UDP and TCP sockets of a member, on one port."""

from __future__ import annotations

import socket

from flintfield.membership.messages import Address
from flintfield.wire.http1.stream import open_listener

BACKLOG = 64
BUFFER = 1 << 20  # bytes asked of the kernel for datagrams that wait; it may give less
TRIES = 20  # for a port that is free for both


def open_sockets(address: Address) -> tuple[socket.socket, socket.socket]:
    """A datagram socket and a listener on the same address; port 0 takes one that is free for both."""
    for left in range(TRIES - 1, -1, -1):
        listener = open_listener(address, BACKLOG)
        port = listener.getsockname()[1]
        try:
            return _open_datagrams((address[0], port)), listener
        except OSError:
            listener.close()
            if address[1] or not left:
                raise
    raise AssertionError


def _open_datagrams(address: Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
