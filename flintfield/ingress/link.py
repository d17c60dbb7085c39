"""Passing a client's call on to the dispatcher.

`DispatcherLink` finds the dispatcher (by what the core knows, and by the hints of processes that were asked
in vain) and repeats a `JobCall` while time is left: a call is idempotent by its job's ID. It tells apart what
the client has to know: a call that never left this process was not taken; one that was sent and got no answer
may have been.
"""

from __future__ import annotations

import asyncio
import enum
import random
import typing
from collections.abc import Callable
from dataclasses import dataclass

from flintfield.jobs.messages import JobAnswer, JobCall, Method, NotDispatcher
from flintfield.runtime.clock import steady_ms as system_steady_ms
from flintfield.transport.errors import Rejected, Unanswered, Unreachable
from flintfield.transport.slow_links import transmission_s

# How long an attempt may last beside the transmission of its body. A connection on which nothing comes in for
# so long is given up by the transport.
ATTEMPT_MS = 1_000
WATCH_MS = 100  # how often a call that waits looks whether another dispatcher has taken over
# Mean of the first pause, with jitter of half of it; each further one is half as long again
RETRY_PAUSE_MS = 40
LONGEST_PAUSE_MS = 200  # below the time that a refusal may take
_MS_IN_S = 1_000


class Leader(typing.Protocol):
    """What the link reads of the core's leader."""

    @property
    def epoch(self) -> int:
        """The leader's epoch."""

    @property
    def address(self) -> str:
        """The address of its RPC listener."""


class LeaderSource(typing.Protocol):
    """What the link needs of the coordination layer's node."""

    @property
    def leader(self) -> Leader | None:
        """The leader, as far as it is known here."""


class CallPool(typing.Protocol):
    """What the link needs of `transport.rpc.Pool`."""

    async def call(self, address: str, message: typing.Any, timeout_s: float) -> typing.Any:
        """Call; raises `Unreachable`, `Unanswered` or `Rejected`."""


class Failure(enum.Enum):
    """Why there is no answer."""

    NOT_SENT = "not sent"  # nobody has seen the call: it was not taken
    IN_DOUBT = "in doubt"  # it was sent: it may have been taken


class _Setback(enum.Enum):
    """Why an attempt brought no answer."""

    UNREACHABLE = enum.auto()  # nothing was sent
    UNANSWERED = enum.auto()  # it was sent, or may have been
    REJECTED = enum.auto()  # the peer did not carry it out, or not to the end
    OVERTAKEN = enum.auto()  # another dispatcher has taken over


@dataclass(frozen=True, slots=True)
class Request:
    """A client's call, and when it is given up (steady ms): `unsent_ms` while nobody has seen it, else
    `end_ms`.
    """

    method: Method
    host: str
    path: str
    body: bytes
    unsent_ms: int
    end_ms: int


@dataclass(slots=True)
class LinkCounters:
    """Attempts, and what became of those that failed."""

    attempts: int = 0
    unreachable: int = 0
    unanswered: int = 0
    rejected: int = 0
    overtaken: int = 0
    redirected: int = 0
    outdated_answers: int = 0
    refusals_in_doubt: int = 0


def _abandon(attempt: asyncio.Future[typing.Any]) -> None:
    """Cancel what is under way; the error of an attempt that just failed is not to be logged as unhandled."""
    if not attempt.cancel() and not attempt.cancelled():
        attempt.exception()


class DispatcherLink:
    """The calls of one process to whoever dispatches."""

    def __init__(
        self,
        pool: CallPool,
        core: LeaderSource,
        steady_ms: Callable[[], int] = system_steady_ms,
        rng: random.Random | None = None,
    ) -> None:
        self.counters = LinkCounters()
        self.newest_version = 0  # of the configuration, among the answers of this life
        self.answered_ms: int | None = None  # steady ms of the newest answer of a dispatcher
        self._pool = pool
        self._core = core
        self._steady_ms = steady_ms
        self._rng = rng if rng is not None else random.Random()
        self._hint: NotDispatcher | None = None

    async def call(self, request: Request) -> JobAnswer | Failure:
        """The dispatcher's answer, or why there is none."""
        sent = False
        pause_ms = float(RETRY_PAUSE_MS)
        asked: set[str] = set()  # since the last pause: two that name each other are not asked in a circle
        while (left_ms := self._left_ms(request, sent)) > 0:
            address = self._address()
            if address is None:
                await self._pause(RETRY_PAUSE_MS, left_ms)
                continue
            asked.add(address)
            outcome = await self._attempt(address, request)
            if isinstance(outcome, JobAnswer):
                if not self._is_outdated(request, outcome):
                    return self._settle(request, outcome, sent)
            elif isinstance(outcome, NotDispatcher):
                self._follow(address, outcome)
            else:
                sent = sent or outcome is not _Setback.UNREACHABLE
                self._forget_hint(address)
            if self._address() in asked:
                asked.clear()
                await self._pause(pause_ms, self._left_ms(request, sent))
                pause_ms = min(1.5 * pause_ms, LONGEST_PAUSE_MS)
        return Failure.IN_DOUBT if sent else Failure.NOT_SENT

    async def _attempt(self, address: str, request: Request) -> JobAnswer | NotDispatcher | _Setback:
        """One call to this address, given up once another dispatcher is known."""
        self.counters.attempts += 1
        attempt_s = ATTEMPT_MS / _MS_IN_S + transmission_s(len(request.body))
        timeout_s = min(attempt_s, (request.end_ms - self._steady_ms()) / _MS_IN_S)
        call = JobCall(request.method, request.host, request.path, request.body, self.newest_version)
        attempt = asyncio.ensure_future(self._pool.call(address, call, timeout_s))
        try:
            while not (await asyncio.wait((attempt,), timeout=WATCH_MS / _MS_IN_S))[0]:
                if self._address() not in (address, None):
                    self.counters.overtaken += 1
                    return _Setback.OVERTAKEN
        finally:
            _abandon(attempt)
        return self._outcome(attempt)

    def _outcome(self, attempt: asyncio.Future[typing.Any]) -> JobAnswer | NotDispatcher | _Setback:
        try:
            reply = attempt.result()
        except Unreachable:
            self.counters.unreachable += 1
            return _Setback.UNREACHABLE
        except Unanswered:
            self.counters.unanswered += 1
            return _Setback.UNANSWERED
        except Rejected:
            self.counters.rejected += 1
            return _Setback.REJECTED
        if isinstance(reply, JobAnswer | NotDispatcher):
            return reply
        self.counters.rejected += 1
        return _Setback.REJECTED

    def _is_outdated(self, request: Request, reply: JobAnswer) -> bool:
        """Whether a queue is called unknown by an older version than one that was shown here already."""
        outdated = reply.status == 404 and reply.version < self.newest_version
        self.counters.outdated_answers += outdated
        return outdated

    def _settle(self, request: Request, reply: JobAnswer, sent: bool) -> JobAnswer | Failure:
        """The final answer. A refusal says nothing about an earlier attempt that got no answer."""
        self.answered_ms = self._steady_ms()
        self.newest_version = max(self.newest_version, reply.version)
        if sent and request.method is Method.SUBMIT and not (reply.status < 300 or reply.status == 400):
            self.counters.refusals_in_doubt += 1
            return Failure.IN_DOUBT
        return reply

    def _address(self) -> str | None:
        leader = self._core.leader
        if self._hint is not None and (leader is None or self._hint.epoch > leader.epoch):
            return self._hint.leader
        return leader.address if leader is not None else None

    def _follow(self, address: str, reply: NotDispatcher) -> None:
        """Take the hint of a process that doesn't act, unless a newer one is known."""
        self.counters.redirected += 1
        if reply.leader in ("", address):
            self._forget_hint(address)
        elif self._hint is None or reply.epoch >= self._hint.epoch:
            self._hint = reply

    def _forget_hint(self, address: str) -> None:
        if self._hint is not None and self._hint.leader == address:
            self._hint = None

    def _left_ms(self, request: Request, sent: bool) -> int:
        return (request.end_ms if sent else request.unsent_ms) - self._steady_ms()

    async def _pause(self, mean_ms: float, left_ms: int) -> None:
        pause_ms = mean_ms * self._rng.uniform(0.5, 1.5)
        await asyncio.sleep(max(0.0, min(pause_ms, left_ms)) / _MS_IN_S)
