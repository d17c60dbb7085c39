"""A dispatcher whose writes are durable at once, played one event at a time."""

from __future__ import annotations

import random
import time

from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import Answer, CallArrived, Configuration, Effect, Event, SendOrders, Tick
from flintfield.jobs.events import Write, Written
from flintfield.jobs.messages import JobAnswer, JobCall, Method, StartOrder, StopOrder
from flintfield.placement.market import MarketPlacement

from .jobs_world import HOST, WALL_0, ConfigurationModel


class PlayedDispatcher:
    """The dispatcher, its durable records, and what it has sent and answered in this term."""

    def __init__(self, epoch: int = 3, configuration: Configuration | None = None) -> None:
        self.now = 1_000
        self.configuration: Configuration = configuration or ConfigurationModel()
        self.items: dict[bytes, bytes] = {}
        self.writes_are_durable = True
        self.calls = 0
        self.longest_turn_s = 0.0  # processor time of one event
        self.elect(epoch)

    def elect(self, epoch: int, configuration_confirmed: bool = True) -> None:
        """Start a dispatcher from the durable records."""
        self.starts: list[StartOrder] = []
        self.stops: list[StopOrder] = []
        self.answers: dict[int, JobAnswer] = {}
        self.writes: list[Write] = []
        self.last_seen = 0
        self.granted = 0
        self.hold_ms = 0
        bounds, placement = DispatcherBounds(), MarketPlacement(1)
        self.dispatcher = Dispatcher(
            epoch,
            self.now,
            bounds,
            placement,
            random.Random(1),
            self.configuration,
            configuration_confirmed=configuration_confirmed,
        )
        self.dispatcher.restore(dict(self.items))
        self.tick()

    def tick(self, after_ms: int = 0) -> None:
        """Let time pass, and tell the common time."""
        self.now += after_ms
        self.handle(Tick(WALL_0 + self.now))

    def handle(self, event: Event) -> None:
        """Process an event, and make its writes durable unless `writes_are_durable` is off."""
        waiting = self._turn(event)
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, SendOrders):
                self.starts += effect.orders.starts
                self.stops += effect.orders.stops
                self.last_seen = effect.orders.last_seen
                self.granted = effect.orders.echo_stamp
                self.hold_ms = effect.orders.hold_ms
            elif isinstance(effect, Answer):
                self.answers[effect.call] = effect.answer
            elif isinstance(effect, Write):
                self.writes.append(effect)
                if self.writes_are_durable:
                    waiting += self._written(effect)

    def release_writes(self) -> None:
        """Make all writes so far durable, in order."""
        writes, self.writes = self.writes, []
        for write in writes:
            for effect in self._written(write):
                if isinstance(effect, SendOrders):
                    self.starts += effect.orders.starts
                elif isinstance(effect, Write):
                    self.writes.append(effect)

    def _turn(self, event: Event) -> list[Effect]:
        """Process one event, and measure it."""
        began_s = time.process_time()
        effects = self.dispatcher.handle(self.now, event)
        self.longest_turn_s = max(self.longest_turn_s, time.process_time() - began_s)
        return effects

    def _written(self, write: Write) -> list[Effect]:
        for key, value in write.changes:
            if value is None:
                self.items.pop(key, None)
            else:
                self.items[key] = value
        return self._turn(Written(write.write))

    def call(self, method: Method, path: str, body: bytes = b"", host: str = HOST) -> int:
        """Make a call; returns the status of its answer, 0 if there is none yet."""
        self.calls += 1
        self.handle(CallArrived(self.calls, JobCall(method, host, path, body, 0)))
        answer = self.answers.get(self.calls)
        return answer.status if answer is not None else 0
