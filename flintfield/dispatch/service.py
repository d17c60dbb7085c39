"""The dispatch service of a scheduler process: runs `flintfield.jobs.dispatcher.Dispatcher` on asyncio.

While this process leads, client calls and agent reports become events of the state machine, and its effects
become answers, writes and orders. The service sends no results unless its leadership is confirmed at that
moment: otherwise a call is answered by `NotDispatcher`, or by 504 if it may have been accepted. When the term
ends, the whole state machine is discarded.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Iterator, Mapping
from functools import partial
from typing import Any

from flintfield.coordination.timing import LEASE_MS
from flintfield.dispatch.confirmation import read_until_confirmed
from flintfield.dispatch.interface import (
    AgentConnection,
    ConfigurationSource,
    Leadership,
    MakePlacement,
    ReadConfiguration,
)
from flintfield.dispatch.term import OpenCall, Reply, Term
from flintfield.dispatch.writes import WriteQueue
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.events import (
    AgentLost,
    Answer,
    CallArrived,
    Configuration,
    ConfigurationChanged,
    Effect,
    Event,
    ReportArrived,
    SendOrders,
    Tick,
    Write,
    Written,
)
from flintfield.jobs.recorder import Recorder
from flintfield.jobs.messages import AgentReport, JobAnswer, JobCall, Method, NotDispatcher
from flintfield.runtime import logs

TICK_MS = 50
RESTORE_TURN_MS = 100  # an eighth of the lease; a longer restore goes on in the next turn of the event loop
LONG_TURN_MS = LEASE_MS // 4  # longest that one event should take: others wait, and the lease is not renewed
TICK_JITTER = 0.1  # fraction of the period, in either direction
MAX_CALLS = 2_000  # limit on calls that wait for a write; beyond it calls get a 503
OUTDATED_RETRY_MS = 200  # retry delay for a caller that has seen a newer configuration than this process

logger = logging.getLogger(__name__)


class DispatchService:
    """Serves `JobCall` and `AgentReport`; a `LeaderListener` of the coordination library.

    `configuration` returns the newest configuration known here, `read_configuration` the one that a majority
    confirms to be the newest, `make_placement` a policy from a seed, `steady_ms` the time of a monotonic
    clock, `leader_address` the address of the leading process ("" if unknown), `make_recorder` a recorder of
    the jobs' history in one term (None: no recording). `processor_ns` is the processor time of this process.
    """

    def __init__(
        self,
        bounds: DispatcherBounds,
        configuration: ConfigurationSource,
        make_placement: MakePlacement,
        steady_ms: Callable[[], int],
        rng: random.Random,
        read_configuration: ReadConfiguration,
        leader_address: Callable[[], str] = lambda: "",
        make_recorder: Callable[[], Recorder] | None = None,
        processor_ns: Callable[[], int] = time.process_time_ns,
    ) -> None:
        self._bounds = bounds
        self._configuration = configuration
        self._make_placement = make_placement
        self._steady_ms = steady_ms
        self._rng = rng
        self._read_configuration = read_configuration
        self._leader_address = leader_address
        self._make_recorder = make_recorder
        self._processor_ns = processor_ns
        self._term: Term | None = None
        self._last_epoch = 0
        self._next_call = 0

    def handlers(self) -> Mapping[type, Callable[[Any, Any], Any]]:
        """The RPC handlers by request type."""
        return {JobCall: self._job_call, AgentReport: self._agent_report}

    @property
    def leads(self) -> bool:
        """Whether this process is the dispatcher, with confirmed leadership."""
        return self._serving_term() is not None

    @property
    def dispatcher(self) -> Dispatcher | None:
        """The state machine while this process is the confirmed leader, else None; for reading only."""
        term = self._serving_term()
        return term.dispatcher if term is not None else None

    def _serving_term(self) -> Term | None:
        """The present term, if its tables are whole and its leadership is confirmed."""
        term = self._term
        return term if term is not None and term.restored and term.leadership.confirmed() else None

    # Terms

    def elected(self, leadership: Leadership) -> None:
        """Begin a term: build the state machine from the durable items."""
        self.deposed()
        now_ms = self._steady_ms()
        placement = self._make_placement(self._rng.getrandbits(31))
        dispatcher = Dispatcher(
            leadership.epoch,
            now_ms,
            self._bounds,
            placement,
            self._rng,
            self._configuration(),
            configuration_confirmed=False,
        )
        if self._make_recorder is not None:
            dispatcher.state.recorder = self._make_recorder()
        term = self._term = Term(leadership, dispatcher)
        term.writes = WriteQueue(leadership, partial(self._written, term), partial(self._write_failed, term))
        self._last_epoch = leadership.epoch
        term.reading = asyncio.get_running_loop().create_task(self._read(term))
        self._restore(term, dispatcher.restore_in_parts(leadership.items))

    def _restore(self, term: Term, parts: Iterator[None]) -> None:
        """Restore for one turn of the event loop; calls and reports are turned away until the last one."""
        if term.over:
            return
        turn_ends_ms = self._steady_ms() + RESTORE_TURN_MS
        for _ in parts:
            if self._steady_ms() >= turn_ends_ms:
                asyncio.get_running_loop().call_soon(self._restore, term, parts)
                return
        term.restored = True
        items = len(term.leadership.items)
        logger.info("dispatching in epoch %d from %d items", term.leadership.epoch, items)
        self._follow(term, self._configuration())
        self._tick(term)
        self._confirm(term)

    async def _read(self, term: Term) -> None:
        """Read the configuration, then let the dispatcher decide by it."""
        term.confirmation = await read_until_confirmed(self._read_configuration, self._steady_ms, self._rng)
        self._confirm(term)

    def _confirm(self, term: Term) -> None:
        """Tell the dispatcher that the configuration is confirmed, once its tables are whole."""
        if term.confirmation is not None and term.restored and not term.over:
            self._feed(term, term.confirmation)

    def deposed(self) -> None:
        """End the term: discard its state and answer its open calls."""
        term, self._term = self._term, None
        if term is None:
            return
        term.over = True
        if term.timer is not None:
            term.timer.cancel()
        if term.reading is not None:
            term.reading.cancel()
        term.writes.cancel()
        for call in term.calls.values():
            call.settle(self._unknown(call))
        for connection in term.agents.values():
            connection.send(self._not_dispatcher())
        logger.info("no longer dispatching in epoch %d", term.leadership.epoch)

    def set_configuration(self, configuration: Configuration) -> None:
        """Take up a configuration that is now in force in this process."""
        if self._term is not None and self._term.restored:
            self._follow(self._term, configuration)

    def _follow(self, term: Term, configuration: Configuration | None) -> None:
        """Pass the configuration to the state machine unless that has the same version or a newer one."""
        if configuration is not None and configuration.version > term.dispatcher.configuration_version:
            self._feed(term, ConfigurationChanged(configuration))

    def _tick(self, term: Term) -> None:
        if term.over:
            return
        period_ms = TICK_MS * (1 + TICK_JITTER * (2 * self._rng.random() - 1))
        term.timer = asyncio.get_running_loop().call_later(period_ms / 1_000, self._tick, term)
        self._feed(term, Tick(term.leadership.wall_ms()))
        term.log_times(self._steady_ms())

    # Calls

    def _job_call(self, request: JobCall, connection: object) -> Reply | Awaitable[Reply]:
        term = self._serving_term()
        if term is None or term.dispatcher.awaits_configuration(self._steady_ms()):
            return self._not_dispatcher()
        configuration = self._configuration()
        version = configuration.version if configuration is not None else 0
        if request.version > version or len(term.calls) >= MAX_CALLS:
            return JobAnswer(503, b'{"error":"no_configuration"}', OUTDATED_RETRY_MS, version)
        self._follow(term, configuration)
        self._next_call += 1
        number = self._next_call
        call = term.calls[number] = OpenCall(request.method)
        self._feed(term, CallArrived(number, request))
        if call.answer is not None:
            return call.answer
        call.waiter = asyncio.get_running_loop().create_future()
        return call.waiter

    def _answer(self, term: Term, effect: Answer) -> None:
        call = term.calls.pop(effect.call, None)
        if call is not None:
            confirmed = term.leadership.confirmed()
            call.settle(effect.answer if confirmed else self._unknown(call))

    def _unknown(self, call: OpenCall) -> Reply:
        """The answer if the call's outcome is unknown; a read-only call is redirected to the leader."""
        if call.method in (Method.SUBMIT, Method.CANCEL):
            return JobAnswer(504, b'{"error":"unknown"}', 0, 0)
        return self._not_dispatcher()

    def _not_dispatcher(self) -> NotDispatcher:
        return NotDispatcher(self._last_epoch, self._leader_address())

    # Agents

    def _agent_report(self, report: AgentReport, connection: Any) -> None:
        term = self._serving_term()
        if term is None:
            connection.send(self._not_dispatcher())
            return
        before = term.agents.get(report.machine)
        if before is not connection:
            if before is not None:
                self._feed(term, AgentLost(report.machine))
            term.agents[report.machine] = connection
            connection.on_close(lambda closed: self._agent_lost(term, report.machine, closed))
        self._feed(term, ReportArrived(report))

    def _agent_lost(self, term: Term, machine: str, connection: AgentConnection) -> None:
        if not term.over and term.agents.get(machine) is connection:
            del term.agents[machine]
            self._feed(term, AgentLost(machine))

    # Effects

    def _feed(self, term: Term, event: Event) -> None:
        for effect in self._handle(term, event):
            match effect:
                case Answer():
                    self._answer(term, effect)
                case Write():
                    term.writes.add(effect)
                case SendOrders():
                    self._send(term, effect)

    def _handle(self, term: Term, event: Event) -> list[Effect]:
        """Let the state machine process the event; log it if that took long."""
        if isinstance(event, Tick):
            term.processor_ns = self._processor_ns()  # a system call: not for each event
        began_ms = self._steady_ms()
        effects = term.dispatcher.handle(began_ms, event)
        turn_ms = self._steady_ms() - began_ms
        if turn_ms >= LONG_TURN_MS:
            self._log_long_turn(term, event, turn_ms)
        return effects

    def _log_long_turn(self, term: Term, event: Event, turn_ms: int) -> None:
        """Log a long event, unless this process was frozen or waited for a processor meanwhile."""
        used_ms = (self._processor_ns() - term.processor_ns) // 1_000_000  # since the last tick
        if used_ms >= LONG_TURN_MS:
            turn_ms = min(turn_ms, used_ms)
            logs.event(
                logger, "long_turn", level=logging.WARNING, turn_ms=turn_ms, cause=type(event).__name__
            )

    def _send(self, term: Term, effect: SendOrders) -> None:
        """Send orders and grants, but only within the lease; orders dropped here are repeated later."""
        connection = term.agents.get(effect.machine)
        if connection is not None and term.leadership.confirmed():
            connection.send(effect.orders)

    def _written(self, term: Term, write: int) -> None:
        if not term.over:
            self._feed(term, Written(write))

    def _write_failed(self, term: Term, error: Exception) -> None:
        """The leader is deposed and will be told so: send nothing until then."""
        logger.info("a write of epoch %d was not taken: %s", term.leadership.epoch, error)
        if self._term is term:
            self.deposed()
