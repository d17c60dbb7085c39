"""What may stand beside a run on sockets: something that starts with it, adds to it and ends with it.

The engine knows no more of it than this; the fleet trials (`flintfield.lab.fleet`) are one.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.processes import Scheduler


@dataclass(frozen=True, slots=True)
class Deeds:
    """What the engine does to its processes for somebody else; by the scheduler's place."""

    kill: Callable[[int], None]  # SIGKILL, written down
    term: Callable[[int], None]  # SIGTERM, written down
    restart: Callable[[int], None]  # a new process once the last is over; clients return when it is ready
    out: Callable[[int], None]  # the front sends no more clients there, until it is up
    up: Callable[[int], None]  # clients go there again
    notice: Callable[[int], None]  # the front will notice, as late as it notices a death


class Beside(Protocol):
    """Stands beside one run."""

    async def open(self, run: Run, schedulers: Sequence[Scheduler], deeds: Deeds) -> None:
        """Before any scheduler starts; an OSError or `StartError` ends the run."""

    def arguments(self, place: int) -> Sequence[str]:
        """More arguments for that scheduler's command line; asked at each of its starts."""

    def started(self, place: int) -> None:
        """A process of that scheduler was started."""

    def ended(self, place: int) -> None:
        """A process of that scheduler is over."""

    def set_off(self) -> None:
        """The clients begin: it is time 0."""

    async def close(self) -> None:
        """The run is over, or broke; processes are killed after this."""


class Nothing:
    """Nothing stands beside the run."""

    async def open(self, run: Run, schedulers: Sequence[Scheduler], deeds: Deeds) -> None:
        """Nothing to open."""

    def arguments(self, place: int) -> Sequence[str]:
        """None."""
        return ()

    def started(self, place: int) -> None:
        """Nobody asks."""

    def ended(self, place: int) -> None:
        """Nobody asks."""

    def set_off(self) -> None:
        """Nothing begins."""

    async def close(self) -> None:
        """Nothing to close."""
