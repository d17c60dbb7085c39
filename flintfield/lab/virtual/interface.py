"""What the parts of a scheduler's shell need of the run and of the shell itself, as protocols.

The engine is a `Run` and the shell a `Process`; both stand above the parts, which therefore import neither.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from flintfield.lab import log
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual.callers import Callers
from flintfield.lab.virtual.listing import Listing
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.virtual.sites import Sites
from flintfield.lab.virtual.wires import Wires
from flintfield.memory.messages import Effect, Message
from flintfield.memory.state import State

Reducer = Callable[[State, float, Message], list[Effect]]
"""Takes one message in and returns the effects it calls for, as `memory.reducer.reduce`."""


class Run(Protocol):
    """The run that a scheduler belongs to."""

    scenario: Scenario
    loop: Loop
    wires: Wires
    listing: Listing
    sites: Sites
    callers: Callers
    reducer: Reducer
    spent_reducing: float  # seconds
    defects: list[tuple[float, str, str, str]]  # when, whose, where and what

    def write(self, record: log.AnyRecord) -> None:
        """Write one record down."""


class Process(Protocol):
    """A scheduler's process, as its parts see it."""

    run: Run
    name: str
    zone: str
    alive: bool

    def tell(self, message: Message, then: Callable[[], None] | None = None) -> None:
        """Hand a message to the reducer, carry out what it asks for, and do `then`."""
