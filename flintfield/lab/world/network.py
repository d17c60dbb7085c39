"""The network between clients, schedulers, worker nodes and discovery: how long, and whether at all.

Parties stand in zones. A message within a zone takes `same_ms` one way, between zones `cross_ms`, between a
client and its scheduler `client_ms`, each times a lognormal factor of mean 1 and spread `jitter`. A zone that
is cut off lets nothing out (`one_way`) or nothing in or out; nothing is reset by it, things fall silent.
Clients and the front stand in the zone of the scheduler that they reach and are never cut off from it.
"""

from __future__ import annotations

from collections import Counter

from flintfield.lab.scenario import Network as Figures
from flintfield.lab.world.streams import Draws


class Network:
    """Delays in ms, and cuts."""

    def __init__(self, figures: Figures, draws: Draws) -> None:
        self._figures, self._draws = figures, draws
        self._out: Counter[str] = Counter()  # zones that nothing leaves, by how many troubles
        self._in: Counter[str] = Counter()  # zones that nothing enters

    def one_way(self, sender: str, receiver: str) -> float:
        """How long a message takes now from a zone to a zone."""
        usual = self._figures.same_ms if sender == receiver else self._figures.cross_ms
        return usual * self._draws.spread(self._figures.jitter)

    def client_way(self) -> float:
        """How long a message takes now between a client and a scheduler."""
        return self._figures.client_ms * self._draws.spread(self._figures.jitter)

    def usual_round_trip(self, one: str, other: str) -> float:
        """The round trip between two zones without jitter."""
        return 2 * (self._figures.same_ms if one == other else self._figures.cross_ms)

    def passes(self, sender: str, receiver: str) -> bool:
        """Whether a message from a zone to a zone arrives at all."""
        return sender == receiver or not (self._out[sender] or self._in[receiver])

    def cut(self, zone: str, one_way: bool) -> None:
        """Cut a zone off, or only what leaves it."""
        self._out[zone] += 1
        self._in[zone] += not one_way

    def mend(self, zone: str, one_way: bool) -> None:
        """Undo one `cut`."""
        self._out[zone] -= 1
        self._in[zone] -= not one_way
