"""What the dispatcher's shell needs of the parts around it."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from flintfield.jobs.events import Change, Configuration
from flintfield.placement.interface import Placement

ConfigurationSource = Callable[[], Configuration | None]
"""The newest configuration in force here, or None."""

MakePlacement = Callable[[int], Placement]
"""A new placement policy from the seed of its random numbers."""


class Leadership(Protocol):
    """One term of leadership, as the coordination library hands it out."""

    @property
    def epoch(self) -> int:
        """The fencing token."""

    @property
    def items(self) -> Mapping[bytes, bytes]:
        """What the ordered store held at the election."""

    async def write(self, changes: Sequence[Change]) -> None:
        """Return when the changes are durable at a majority; calls may overlap and keep their order."""

    def confirmed(self) -> bool:
        """Whether a majority has acknowledged this leader within its lease."""

    def wall_ms(self) -> int:
        """Common time, in ms since 1970."""


class AgentConnection(Protocol):
    """What is used of a connection to an agent."""

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""

    def send(self, message: object) -> bool:
        """Send a one-way message."""
