"""Remote calls between the system's processes: the public face of the transport.

One TCP connection carries frames both ways; see `frames` for their form, `connection` for what one connection
does, `server` for the listener and `pool` for connections by address.
"""

from __future__ import annotations

from flintfield.transport.connection import Connection, Handler, Handlers
from flintfield.transport.counters import Counters
from flintfield.transport.errors import Rejected, RpcError, Unanswered, Unreachable
from flintfield.transport.pool import Pool, connect
from flintfield.transport.server import Server

__all__ = [
    "Connection",
    "Counters",
    "Handler",
    "Handlers",
    "Pool",
    "Rejected",
    "RpcError",
    "Server",
    "Unanswered",
    "Unreachable",
    "connect",
]
