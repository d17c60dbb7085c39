"""Base layer of the reducer: queues events for the decision module and dispatches its actions.

The reducer consists of layers, one file for each group of messages; a layer calls only those above it here:

    turn         events to the decision module, and its actions       (this file)
    answering    the single answer of a transaction, and its job record
    branching    how branches are sent and end
    keeping      steps that wait for a record on disk
    taking       incoming requests, and callers that disconnect
    listing      discovery: the route set, calls that fail, a new address
    reducer      timers, actions of the decision module, message dispatch table
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, ClassVar

from flintfield.decision.ending import TICK_MS
from flintfield.decision.interface import Action, Event, Fail, Request, Send, SetTimer, Timer
from flintfield.decision.policy import TICK_TOKEN
from flintfield.memory.messages import Defect, Effect, Message
from flintfield.memory.state import State

FINAL_CLOSE_MS = 300.0  # before the end of a stop; from then on every answer closes its connection

Table = dict[type, Callable[[Any, Any], None]]


class TurnBase:
    """State and helpers common to all layers.

    A unit's handler reads `state` and `now`, changes only its own data, and appends to `effects`.
    """

    MESSAGES: ClassVar[Table] = {}
    ACTIONS: ClassVar[Table] = {}

    def __init__(self, state: State, now: float) -> None:
        self.state, self.now = state, now
        self.effects: list[Effect] = []
        self._events: deque[Event] = deque()

    def take(self, message: Message) -> None:
        """Process a message and all events that follow from it."""
        kind = type(message)
        (self.MESSAGES.get(kind) or self.state.handlers[kind])(self, message)
        self._run_events()

    def ask(self, event: Event) -> None:
        """Queue an event that is passed to the decision module before the turn ends."""
        self._events.append(event)

    def _run_events(self) -> None:
        while self._events:
            event = self._events.popleft()
            for action in self._decide(event):
                try:
                    self.ACTIONS[type(action)](self, action)
                except Exception as error:  # the remaining actions still run; one may set the next tick
                    self._defect(f"action {type(action).__name__}", repr(error))

    def _decide(self, event: Event) -> list[Action]:
        dispatcher = self.state.dispatcher
        try:
            actions = dispatcher.handle(self.now, event)
        except Exception as error:
            # A failing event must neither stop the price tick nor leave a caller without an answer.
            self._defect(f"decision on {type(event).__name__}", repr(error))
            actions = list(dispatcher.actions)
            self._call_tap(event)
            if isinstance(event, Timer) and event.token == TICK_TOKEN:
                actions = [a for a in actions if not (isinstance(a, SetTimer) and a.token == TICK_TOKEN)]
                actions.append(SetTimer(TICK_MS, TICK_TOKEN))
            if isinstance(event, Request) and not any(isinstance(a, Send) for a in actions):
                actions.append(Fail(event.rid))
            return actions
        self._call_tap(event)
        return actions

    def _call_tap(self, event: Event) -> None:
        """Pass the event and the module's own actions to the tap; a tap that raises is removed."""
        if self.state.tap:
            try:
                self.state.tap(self.now, event, self.state.dispatcher.actions)
            except Exception as error:
                self.state.tap = None
                self._defect("tap", repr(error))

    def _defect(self, where: str, error: str) -> None:
        self.state.counters["defects"] += 1
        self.effects.append(Defect(where, error))

    def final_close_at(self) -> float:
        """The time from which answers close callers' connections during a stop."""
        return self.state.settle_by - FINAL_CLOSE_MS
