"""Connections to worker nodes and the attempts that go over them, as the parties of a run share them.

Protocols stand here for what lies above: `Endpoint` for a machine (`sites.py`) and `AttemptOwner` for the
part of a scheduler that has attempts out (`attempts.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from flintfield.lab.world import Errand, Node
from flintfield.lab.world.node import Key
from flintfield.memory.messages import End, Reach, WriteBranch

NOWHERE, ON_THE_WAY_THERE = -1, 0  # where a connection that carries an attempt is reset

Do = Callable[[], None]


class Endpoint(Protocol):
    """A machine as connections see it."""

    node: Node
    silent: bool

    @property
    def name(self) -> str:
        """What the machine is called; its address too."""

    @property
    def zone(self) -> str:
        """Where it stands."""

    def answers(self, life: int) -> bool:
        """Whether the process of that life takes a word now."""

    def take(self, link: Link) -> bool:
        """A connection is asked for; whether the process takes it."""

    def missed(self, link: Link | None, later: Do | None) -> None:
        """A word came that the process does not take now."""

    def arrive(self, attempt: Attempt, errand: Errand) -> None:
        """An attempt's last byte has reached the machine."""

    def closed(self, link: Link, attempt: Attempt | None) -> None:
        """The scheduler has closed that connection."""


class AttemptOwner(Protocol):
    """Who has an attempt out and is told what comes of it."""

    def word(self, attempt: Attempt, started: bool, share: float) -> None:
        """A note of the worker node has come back."""

    def last_word(self, attempt: Attempt, end: End, body: bytes) -> None:
        """The line or answer that ends the attempt has come back."""


@dataclass(slots=True, eq=False)
class Link:
    """A connection to a worker node's process, as both ends see it."""

    home: str  # the zone that our end stands in
    site: Endpoint
    broken: Do  # what a reset does here
    life: int = 0  # of the process at the other end
    open: bool = True  # at our end
    there_at: float = 0.0  # when the last word on it reaches the node
    here_at: float = 0.0

    def reset(self) -> None:
        """The other end's reset is here."""
        if self.open:
            self.broken()


@dataclass(slots=True, eq=False)
class Attempt:
    """A branch that is out."""

    owner: AttemptOwner
    rid: int
    number: int
    name: str  # the try's id
    link: Link
    reach: Reach = Reach.DIALLING
    order: WriteBranch | None = None
    reuses: bool = False  # it goes on a connection that was used before
    over: bool = False
    sent: bool = False  # its first byte has left
    arrived: bool = False
    words: int = 0  # that have come back
    breaks_at: int = NOWHERE  # or on the way there, or the word back that a reset takes the place of

    @property
    def key(self) -> Key:
        """How the node knows it."""
        return self.name, self.number

    @property
    def site(self) -> Endpoint:
        """The machine that it goes to."""
        return self.link.site
