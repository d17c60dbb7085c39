"""The sockets engine: the world model played in real time against real `python -m flintfield` processes.

`engine.py` plays a run and `validity.py` says whether it counts; `machines.py` holds the worker nodes,
`supervisor.py` the schedulers' processes, `troubles.py` does what the schedule says. `nodes.py`,
`directory.py` and `callers.py` are the faces of worker nodes, discovery and clients on sockets, `rude.py` bad
clients; `wire.py` speaks HTTP/1.1 for them, `listener.py` listens or falls silent, `processes.py` is one
scheduler's process, `timing.py` keeps time. `faults.py` says what
befalls bytes on the way, `proxy.py` does it to any TCP connection. What is heavy is imported once a run is
played.
"""

from typing import TYPE_CHECKING, Any

from flintfield.lab.sockets.errors import StartError

if TYPE_CHECKING:
    from flintfield.lab.sockets.engine import play

__all__ = ["StartError", "play"]


def __getattr__(name: str) -> Any:
    if name != "play":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from flintfield.lab.sockets.engine import play as found

    return found
