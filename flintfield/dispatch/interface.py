"""The interfaces that the dispatch service needs from its surroundings."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Protocol

from flintfield.jobs.events import Change, Configuration
from flintfield.placement.interface import Placement

ConfigurationSource = Callable[[], Configuration | None]
"""Returns the newest configuration in force in this process, or None."""

ReadConfiguration = Callable[[], Awaitable[Configuration | None]]
"""Returns the configuration that a majority confirms to be the newest after the call (None: there is none).

Raises whatever kept it from being read; it may be called again.
"""

MakePlacement = Callable[[int], Placement]
"""Creates a placement policy from the seed of its random generator."""


class Leadership(Protocol):
    """One term of leadership, as provided by the coordination library."""

    @property
    def epoch(self) -> int:
        """The fencing token."""

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """The contents of the ordered store at the election."""

    async def write(self, changes: Sequence[Change]) -> None:
        """Return once the changes are durable at a majority; overlapping calls keep their order."""

    def confirmed(self) -> bool:
        """Whether a majority has acknowledged this leader within its lease."""

    def wall_ms(self) -> int:
        """The cluster's common wall clock, in ms since 1970."""


class AgentConnection(Protocol):
    """The part of a connection to an agent that the service uses."""

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""

    def send(self, message: object) -> bool:
        """Send a one-way message."""
