"""What the dispatch service keeps for one term of leadership."""

from __future__ import annotations

import asyncio
from collections import deque

from flintfield.dispatch.interface import AgentConnection, Leadership
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import Write
from flintfield.jobs.messages import JobAnswer, Method, NotDispatcher

Reply = JobAnswer | NotDispatcher


class OpenCall:
    """A client's call, while it has no answer."""

    __slots__ = ("answer", "method", "waiter")

    def __init__(self, method: Method) -> None:
        self.method = method
        self.answer: Reply | None = None
        self.waiter: asyncio.Future[Reply] | None = None

    def settle(self, answer: Reply) -> None:
        """Set the answer; called once."""
        self.answer = answer
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(answer)


class Term:
    """One term of leadership and its state machine."""

    def __init__(self, leadership: Leadership, dispatcher: Dispatcher) -> None:
        self.leadership = leadership
        self.dispatcher = dispatcher
        self.calls: dict[int, OpenCall] = {}
        self.agents: dict[str, AgentConnection] = {}
        self.waiting: deque[Write] = deque()
        self.writes: set[asyncio.Task[None]] = set()
        self.pending_bytes = 0
        self.timer: asyncio.TimerHandle | None = None
        self.restored = False
        self.over = False
        self.log_times_ms = 0
        self.processor_ns = 0  # processor time of this process at the last tick
