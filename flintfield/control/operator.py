"""Carrying out the operator's orders on the configuration register.

An order is acknowledged once the register says that it is committed. It is refused only where it can never
come into force: `change` returned a value without it, or it is invalid whatever it builds on. Everything else
(no quorum, no answer in time) is left without a clear answer, and the operator repeats the order. A process
without a replica forwards orders to one (`forwarding`), and redirects reads to one where its own link is too
slow for the answer (`redirection`).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import typing
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from flintfield.control.forwarding import NoReplicaTakes, OrderForwarder, unpack
from flintfield.control.messages import ForwardedAnswer, ForwardedOrder, Kind
from flintfield.control.redirection import ReadRedirector
from flintfield.control.stored import UnknownFormat, decode_stored

if typing.TYPE_CHECKING:
    from flintfield.control import orders

_log = logging.getLogger(__name__)

CALL_DEADLINE_S = 1.5  # of an order: operators wait for a second, and longer where its body is large
READ_DEADLINE_S = 0.8  # operators wait for a second; the rest is for the ways of the call and its answer
MAX_BODY_BYTES = 4 * 1024 * 1024  # of an order: about 19,000 routes of the printed form
PROBE_DEADLINE_S = 0.2  # of a read that is going to be redirected; a quorum round takes some 20 ms
MS_PER_S = 1_000
READ_PATH = "/-/Config.Read"
MAX_CALLS = 32  # at once; the operators have at most eight orders under way, and repeat them


class RegisterNode(typing.Protocol):
    """What the orders need of the coordination layer's node."""

    async def read(self) -> bytes | None:
        """The newest value; raises where no quorum answers."""

    async def change(self, decide: Callable[[bytes | None], bytes | None]) -> bytes | None:
        """Let `decide` turn the committed value into the next one; raises where the outcome is unknown."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP status and a JSON document, as bytes; `location` is where a redirect (307) points to."""

    status: int
    body: bytes
    location: str = ""


@dataclass(slots=True)
class OperatorCounters:
    """What became of the operator's calls."""

    acknowledged: int = 0
    stale: int = 0
    invalid: int = 0
    in_doubt: int = 0
    overload: int = 0
    forwarded: int = 0  # to a replica, whose answer is counted there
    taken_for_others: int = 0  # from a process without a replica
    reads: int = 0  # answered with the configuration
    redirected_reads: int = 0  # to a replica
    answer_bytes: int = 0  # of all answers, as far as the kernel took them
    cut_answers: int = 0  # whose caller left before the last byte


class OperatorService:
    """Takes orders and reads for one process; without a replica, `forwarder` hands orders on and `redirector`
    redirects reads that are too long for the process's link."""

    def __init__(
        self,
        node: RegisterNode,
        deadline_s: float = CALL_DEADLINE_S,
        *,
        forwarder: OrderForwarder | None = None,
        redirector: ReadRedirector | None = None,
    ) -> None:
        self.counters = OperatorCounters()
        self._node = node
        self._forwarder = forwarder
        self._redirector = redirector
        self._deadline_s = deadline_s
        self._calls = 0

    async def replace(self, base_version: str | None, body: bytes) -> Answer:
        """Take a whole configuration."""
        return await self._take(Kind.REPLACE, base_version, body)

    async def update(self, base_version: str | None, body: bytes) -> Answer:
        """Take a change of named items."""
        return await self._take(Kind.UPDATE, base_version, body)

    async def take_forwarded(self, order: ForwardedOrder) -> ForwardedAnswer:
        """Take an order that came to a process without a replica; it is forwarded once only."""
        self.counters.taken_for_others += 1
        if self._forwarder is not None:
            answer = self._doubt(503, "there is no replica here")
        else:
            body = unpack(order, MAX_BODY_BYTES)
            if body is None:
                self.counters.invalid += 1
                answer = _error(400, "the body can't be unpacked")
            else:
                answer = await self._order(order.kind, order.base_version, body)
        return ForwardedAnswer(answer.status, answer.body)

    async def _take(self, kind: Kind, base_version: str | None, body: bytes) -> Answer:
        if self._forwarder is not None:
            try:
                self.counters.forwarded += 1
                forwarded = await self._forwarder.forward(kind, base_version, body)
            except NoReplicaTakes:
                return await self._order(kind, base_version, body)
            if forwarded is None:
                return self._doubt(504, "no replica answered in time")
            return Answer(forwarded.status, forwarded.body)
        return await self._order(kind, base_version, body)

    async def read(self) -> Answer:
        """The newest configuration, as the operator would have sent it, or a redirect to a replica."""
        started_s = asyncio.get_running_loop().time()
        if self._redirector is not None and self._redirector.is_known_too_long():
            await self._poll_replicas()
            redirect = self._redirect(self._redirector, started_s)
            if redirect is not None:
                return redirect
        answer = await self._read_here(started_s + READ_DEADLINE_S)
        if self._redirector is not None and self._redirector.is_too_long(len(answer.body)):
            return self._redirect(self._redirector, started_s) or self._count_read(answer)
        return self._count_read(answer)

    async def _poll_replicas(self) -> None:
        """Read for the polls alone, which show the replicas that answer now; the replica reads again."""
        with contextlib.suppress(Exception):  # an older answer of theirs has to do then
            async with asyncio.timeout(PROBE_DEADLINE_S):
                await self._node.read()

    def _redirect(self, redirector: ReadRedirector, started_s: float) -> Answer | None:
        """A redirect to a responsive replica, or None."""
        reading_s = asyncio.get_running_loop().time() - started_s
        location = redirector.location(READ_PATH, math.ceil(reading_s * MS_PER_S))
        if location is None:
            return None
        self.counters.redirected_reads += 1
        return Answer(HTTPStatus.TEMPORARY_REDIRECT, b"", location)

    def _count_read(self, answer: Answer) -> Answer:
        self.counters.reads += answer.status == HTTPStatus.OK
        return answer

    async def _read_here(self, deadline_s: float) -> Answer:
        """The newest configuration, read by a quorum round until this time of the event loop."""
        left_s = deadline_s - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(min(self._deadline_s, left_s)):
                value = await self._node.read()
        except TimeoutError:
            return self._doubt(504, "no quorum answered in time")
        except Exception as error:  # whatever failed, the caller may ask again
            return self._doubt(503, f"the configuration cannot be read now: {error}")
        if value is None:
            return _error(404, "there is no configuration yet")
        try:
            return Answer(HTTPStatus.OK, decode_stored(value).document)
        except UnknownFormat as error:
            return self._doubt(503, f"a later release wrote the configuration: {error}")

    async def _order(self, kind: Kind, base_version: str | None, body: bytes) -> Answer:
        from flintfield.control import documents, orders

        try:
            order = orders.read_order(kind, _read_base_version(base_version), body)
        except documents.InvalidConfiguration as error:
            self.counters.invalid += 1
            return _error(400, str(error))
        if self._calls >= MAX_CALLS:
            self.counters.overload += 1
            return _error(503, "too many orders are under way")
        self._calls += 1
        try:
            return await self._commit(order)
        finally:
            self._calls -= 1

    async def _commit(self, order: orders.Order) -> Answer:
        from flintfield.control import orders

        try:
            async with asyncio.timeout(self._deadline_s):
                value = await self._node.change(lambda present: orders.judge(order, present).successor)
            judgement = orders.judge(order, value)
        except TimeoutError:
            return self._doubt(504, "no quorum answered in time")
        except Exception as error:  # the order may have been taken or may yet be: never a refusal
            return self._doubt(503, f"the order is in doubt: {error}")
        return self._answer(order, judgement)

    def _answer(self, order: orders.Order, judgement: orders.Judgement) -> Answer:
        from flintfield.control.orders import Verdict

        match judgement.verdict:
            case Verdict.TAKEN:
                self.counters.acknowledged += 1
                _log.info("order_taken", extra={"version": order.version, "base_version": order.base_version})
                return Answer(200, b"{}")
            case Verdict.STALE:
                self.counters.stale += 1
                return _error(412, judgement.reason)
            case Verdict.INVALID:
                self.counters.invalid += 1
                return _error(400, judgement.reason)
            case Verdict.FORGOTTEN:
                return self._doubt(503, judgement.reason)
            case _:
                return self._doubt(503, "the register left the order out")

    def _doubt(self, status: int, reason: str) -> Answer:
        self.counters.in_doubt += 1
        _log.warning("operator_call_in_doubt", extra={"status": status, "reason": reason})
        return _error(status, reason)


def _read_base_version(text: str | None) -> int:
    """The header's number; raises `InvalidConfiguration`."""
    from flintfield.control.documents import InvalidConfiguration

    if text is None:
        raise InvalidConfiguration("X-Base-Version: is missing")
    if not (text.isascii() and text.isdigit() and len(text) <= 16):
        raise InvalidConfiguration("X-Base-Version: is not a whole number")
    return int(text)


def _error(status: int, reason: str) -> Answer:
    return Answer(status, json.dumps({"error": reason}).encode())
