"""The dispatcher of the takeover world, with the store that its writes go to.

Writes become durable one by one, when the explorer says so; a successor begins with what is durable.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from flintfield.control.configuration import Configuration, from_document
from flintfield.jobs import events
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.messages import AgentOrders, JobCall, Method
from flintfield.placement.market import MarketPlacement
from flintfield.simulation.clock import WALL_START_MS
from flintfield.simulation.operator import first_document
from flintfield.simulation.scenario import HOST

JOB = "00000000000000aa"
HOLD_MAX_MS = 5_000


@dataclass
class DurableDispatcher:
    """The dispatcher in office. `clock` tells steady ms; `send` takes the orders that it gives."""

    clock: Callable[[], int]
    send: Callable[[AgentOrders], None]
    store: dict[bytes, bytes] = field(default_factory=dict)
    writes: list[events.Write] = field(default_factory=list)  # not durable yet, oldest first
    epoch: int = 0

    def __post_init__(self) -> None:
        self.configuration: Configuration = from_document(first_document(1))
        self.elect()

    def elect(self) -> None:
        """A new dispatcher takes over with what is durable."""
        self.epoch += 1
        bounds = DispatcherBounds(hold_max_ms=HOLD_MAX_MS)
        self.dispatcher = Dispatcher(
            self.epoch, self.clock(), bounds, MarketPlacement(1), random.Random(1), self.configuration
        )
        self.dispatcher.restore(dict(self.store))
        self.tick()

    def end(self, durable: int) -> None:
        """The dispatcher ends; so many of its open writes turn out to be durable."""
        for write in self.writes[:durable]:
            self._apply(write)
        self.writes.clear()

    def tick(self) -> None:
        """Tell it the time of day."""
        self.feed(events.Tick(WALL_START_MS + self.clock()))

    def feed(self, event: events.Event) -> None:
        """Let it handle an event."""
        for effect in self.dispatcher.handle(self.clock(), event):
            match effect:
                case events.Write():
                    self.writes.append(effect)
                case events.SendOrders():
                    self.send(effect.orders)

    def make_durable(self) -> None:
        """The oldest write is durable."""
        write = self.writes.pop(0)
        self._apply(write)
        self.feed(events.Written(write.write))

    def _apply(self, write: events.Write) -> None:
        for key, value in write.changes:
            if value is None:
                self.store.pop(key, None)
            else:
                self.store[key] = value

    def accept_job(self) -> None:
        """A client hands in a job of one task."""
        steps = [{"count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": 60_000}]
        body = json.dumps({"spec": "spec", "steps": steps}).encode()
        self.feed(events.CallArrived(1, JobCall(Method.SUBMIT, HOST, f"/a/{JOB}", body, 1)))
