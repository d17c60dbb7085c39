"""Loopback addresses for one run: each scheduler reaches every party at an address set aside for it alone.

127.B.s.p: `B` is the run's own block, `s` the scheduler's number, `p` the party's. So whoever is called knows
which scheduler calls, and two runs on one machine do not meet. Ports are the kernel's choice.
"""

from __future__ import annotations

import itertools
import os
import socket

Address = tuple[str, int]

LISTEN, DISCOVERY, FIRST_NODE, NODE_HOSTS = 1, 2, 10, 240
MOST_SCHEDULERS = 250
_blocks = itertools.count(os.getpid())


class Addresses:
    """One run's block."""

    def __init__(self) -> None:
        self._block = 16 + next(_blocks) * 37 % 224  # 127.0 to 127.15 are left to others

    def host(self, scheduler: int, party: int) -> str:
        """The host at which that scheduler finds that party (`LISTEN` is its own)."""
        if not 0 <= scheduler < MOST_SCHEDULERS:
            raise ValueError(f"scheduler {scheduler}: the sockets engine has room for {MOST_SCHEDULERS}")
        return f"127.{self._block}.{scheduler}.{party}"

    def node(self, scheduler: int, place: int) -> str:
        """The host at which that scheduler finds the node at that place; hosts are shared beyond 240."""
        return self.host(scheduler, FIRST_NODE + place % NODE_HOSTS)


def listen(host: str, port: int = 0, backlog: int = 256) -> socket.socket:
    """A listening socket, non-blocking; port 0 lets the kernel choose."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener


def free_port(host: str) -> int:
    """A port of that host that nobody has now."""
    with listen(host) as probe:
        return int(probe.getsockname()[1])


def text(address: Address) -> str:
    """`host:port`."""
    return f"{address[0]}:{address[1]}"
