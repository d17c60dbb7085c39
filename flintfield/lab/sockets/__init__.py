"""The sockets engine: the world model played in real time against real `python -m flintfield` processes.

`engine.py` plays a run; `nodes.py`, `directory.py` and `callers.py` are the faces of worker nodes, discovery
and clients on sockets, `rude.py` bad clients; `wire.py` speaks HTTP/1.1 for them, `listener.py` listens or
falls silent, `processes.py` starts and ends the schedulers, `timing.py` keeps time. `faults.py` says what
befalls bytes on the way, `proxy.py` does it to any TCP connection.
"""

from flintfield.lab.sockets.engine import play
from flintfield.lab.sockets.errors import StartError

__all__ = ["StartError", "play"]
