"""The world that schedulers live in, as pure machines: worker nodes, discovery, clients, front, network.

Rules. No machine here reads a clock, does I/O or knows which engine plays it: the time is handed in, in ms
from the run's start, and must not fall. Each draws only from a stream of its own, named by what it is, so
that one node more changes no other's draws. What a machine wants to say it returns as values; when it has
something to do by itself `next_at()` tells the time and `wake(now)` does it.
"""

from flintfield.lab.world.clients import Clients, GiveUp, Leave, Try, Wish, draw_clients
from flintfield.lab.world.discovery import Discovery, Line, Reply, Word
from flintfield.lab.world.fleet import Fleet, Machine, draw_fleet
from flintfield.lab.world.front import Front
from flintfield.lab.world.network import Network
from flintfield.lab.world.node import Errand, Happening, Node, Reading, What
from flintfield.lab.world.streams import Draws, Streams
from flintfield.lab.world.troubles import Deed, Do, schedule

__all__ = [
    "Clients", "Deed", "Discovery", "Do", "Draws", "Errand", "Fleet", "Front", "GiveUp", "Happening", "Leave",
    "Line", "Machine", "Network", "Node", "Reading", "Reply", "Streams", "Try", "What", "Wish", "Word",
    "draw_clients", "draw_fleet", "schedule",
]
