"""Loopback addresses for one run: each scheduler reaches every party at an address set aside for it alone.

127.B.s.p: `B` is the run's own block, `s` the scheduler's number, `p` the party's. So whoever is called knows
which scheduler calls. Two runs on one machine do not meet: a block is locked by a socket that stays bound
while the run lasts. Ports are the kernel's choice; one that is told to a program is bound before, and stays
so: who listens there with SO_REUSEADDR, as the program does, may, and the kernel gives it to nobody else.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import socket

Address = tuple[str, int]

LISTEN, DISCOVERY, FIRST_NODE, NODE_HOSTS = 1, 2, 10, 240
MOST_SCHEDULERS = 250
FIRST_BLOCK, BLOCKS = 16, 224  # 127.0 to 127.15 are left to others
LOCK_PORT = 20_001  # of a block's lock; the kernel draws none so low
_blocks = itertools.count(os.getpid())


class Addresses:
    """One run's block."""

    def __init__(self) -> None:
        """Lock a block; an OSError tells that none is free."""
        self._bound: list[socket.socket] = []
        for left in range(BLOCKS - 1, -1, -1):
            self._block = FIRST_BLOCK + next(_blocks) * 37 % BLOCKS
            lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._bound.append(lock)
            try:
                lock.bind((f"127.{self._block}.255.254", LOCK_PORT))
                return
            except OSError:
                self._bound.pop().close()
                if not left:
                    raise

    def hold(self, host: str) -> int:
        """A port of that host that is the run's own from now on, for somebody to listen on."""
        while True:
            held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind((host, 0))
            self._bound.append(held)
            port = int(held.getsockname()[1])
            with socket.socket(type=socket.SOCK_DGRAM) as probe, contextlib.suppress(OSError):
                probe.bind((host, port))  # some are for datagrams as well
                return port

    def close(self) -> None:
        """The run is over."""
        for sock in self._bound:
            sock.close()
        self._bound.clear()

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


def text(address: Address) -> str:
    """`host:port`."""
    return f"{address[0]}:{address[1]}"
