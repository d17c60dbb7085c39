"""Whose a TCP connection is that came from a shared loopback address: the kernel's own tables tell.

A connection that a process dials on loopback comes from 127.0.0.1, whoever dials. `/proc/net/tcp` has the
inode of its socket, and `/proc/PID/fd` of our own processes who holds it; both are open to the processes'
own user.
"""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Mapping

Address = tuple[str, int]


def _hex(address: Address) -> str:
    """As the table writes it: the address as one number in the machine's order, and the port."""
    return f"{struct.unpack('=I', socket.inet_aton(address[0]))[0]:08X}:{address[1]:04X}"


def inode_of(near: Address, far: Address) -> int:
    """The inode of the socket at `near` that is connected to `far`; 0 if there is none."""
    wanted = [_hex(near), _hex(far)]
    try:
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in table:
                fields = line.split(None, 10)
                if fields[1:3] == wanted:
                    return int(fields[9])
    except (OSError, ValueError, IndexError):
        pass
    return 0


def owner_of(near: Address, far: Address, pids: Mapping[str, int]) -> str | None:
    """Which of these processes, by name, holds the socket at `near` that dialled `far`; None if none does."""
    inode = inode_of(near, far)
    if not inode:
        return None
    wanted = f"socket:[{inode}]"
    for name, pid in pids.items():
        folder = f"/proc/{pid}/fd"
        try:
            for entry in os.listdir(folder):
                try:
                    if os.readlink(f"{folder}/{entry}") == wanted:
                        return name
                except OSError:
                    continue  # closed meanwhile
        except OSError:
            continue  # the process is over
    return None
