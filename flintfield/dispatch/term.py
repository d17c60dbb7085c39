"""What the dispatch service keeps for one term of leadership."""

from __future__ import annotations

import asyncio
import logging

from flintfield.dispatch.interface import AgentConnection, Leadership
from flintfield.dispatch.writes import WriteQueue
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import ConfigurationConfirmed
from flintfield.jobs.messages import JobAnswer, Method, NotDispatcher
from flintfield.jobs.timing import logged_times
from flintfield.runtime import logs

LOG_TIMES_MS = 10_000  # interval between log lines about the queue times of jobs

logger = logging.getLogger(__name__)

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
        self.writes: WriteQueue
        self.timer: asyncio.TimerHandle | None = None
        self.restored = False
        self.reading: asyncio.Task[None] | None = None  # of the configuration
        self.confirmation: ConfigurationConfirmed | None = None
        self.over = False
        self._log_times_ms = 0
        self.processor_ns = 0  # processor time of this process at the last tick

    def log_times(self, now_ms: int) -> None:
        """Log the queue times of jobs every `LOG_TIMES_MS`."""
        if now_ms >= self._log_times_ms and not self.over:
            self._log_times_ms = now_ms + LOG_TIMES_MS
            logs.event(logger, "queue_times", queues=logged_times(self.dispatcher.state.timing))
