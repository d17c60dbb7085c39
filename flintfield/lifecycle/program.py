"""The running scheduler: passes messages and timer events to the reducer and performs its effects."""

from __future__ import annotations

import asyncio
import gc
import signal
import time
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from flintfield.base.config import Config
from flintfield.base.ini import OperatorsError
from flintfield.base.stderr import ErrorOut
from flintfield.base.stop import (
    DRAIN_NOTICE_S, STOP_ACCEPT_S, STOP_CHECK_S, STOP_LINGER_S, STOP_MARGIN_MS, kill_after_ms,
)
from flintfield.decision.policy import Dispatcher
from flintfield.lifecycle.operators import Chosen
from flintfield.memory.messages import (
    Answer, CallDiscovery, Defect, DiscoveryMoved, DropBranch, Effect, HoldBranch, LeaveDiscovery, Message,
    OpenBranch, ProbeWorker, CloseIdleClients, CloseIdleConnections, StopRequested, WatchFailed, TimerFired,
    WriteBranch,
)
from flintfield.memory.reducer import reduce
from flintfield.memory.turn import FINAL_CLOSE_MS
from flintfield.memory.state import State
from flintfield.units.interface import Host, SidePage
from flintfield.wire.http1.caller import Callers, Page, Pages
from flintfield.wire.http1.client import RETIRE_PART, Pool
from flintfield.wire.http1.discovery import Discovery, Reader
from flintfield.wire.http1.hop import NextHops
from flintfield.wire.http1.poller import Poller
from flintfield.wire.http1.spares import Spares

SWEEP_S = 1.0
MIN_WAKE_INTERVAL_MS = 1.0  # minimum time between timer checks; batches the timers of thousands of jobs
# Thresholds of the garbage collector: container allocations minus deallocations before a collection of the
# youngest generation, and the number of collections before the next older generation is included. Our values
# hold no cycles, so garbage is rare, and a collection over 10,000 open transactions stalls the event loop.
GC_THRESHOLD_0, GC_THRESHOLD_1, GC_THRESHOLD_2 = 10_000, 20, 50
CALLER_SHARE = 0.5  # share of the descriptors for caller connections; clients use a third of all for requests
# Share of the descriptors for idle connections, half of them of jobs. The rest of the descriptors is for
# branches, probes and the process itself.
IDLE_SHARE = 0.1
UNIT_END_LIMIT_S = 1.0  # time limit for all units to end
FLUSH_LIMIT_S = 0.1  # time limit for flushing standard error at the end


def make_clock() -> Callable[[], float]:
    """Make a clock that returns Unix milliseconds and never steps back."""
    base = time.time() - time.monotonic()
    return lambda: (base + time.monotonic()) * 1000.0


class Program:
    """One scheduler process on real sockets and a real clock."""

    def __init__(self, config: Config, features: Sequence[Chosen], log: Any) -> None:
        self._config, self._log = config, log
        self._clock = make_clock()
        self._first_answer_deadline = self._clock() + config.settings.first_word_ms
        self.state = State(Dispatcher(config.settings, config.seed), config.most_held, config.discovery)
        self._errors = ErrorOut(self._count)
        self._inbox: deque[Message] = deque()
        self._processing = False
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = float("inf")  # when the alarm fires
        self._ports: dict[str, int] = {}
        self._tasks: TaskGroup
        host = Host(config, self.state, self._clock, self._clock(), self.tell, self._start_unit_task,
                    self._errors, log, self._count, self._defect, self._side_pages, lambda: self._ports,
                    asyncio.get_running_loop(), lambda: self._pool.make_room())
        self.units = [feature.build(host) for feature in features]
        self._poller = Poller()
        idle = int(config.sockets * IDLE_SHARE) // 2
        spares = Spares(self._poller, config.conn_idle_ms * RETIRE_PART / 1000, idle)
        pool = Pool(self._clock, config.conn_idle_ms, config.dial_timeout_ms, idle,
                    lambda: spares.close_oldest() or self._callers.make_room())
        self._pool = pool
        reader = Reader(config.zones, config.kinds)
        self._initial_routes = reader.news(config.known, cached=True)
        self._hops = NextHops(self.tell, self._clock, pool, config.report_names, self._poller, spares,
                              self._count, lambda rid: self._callers.caller_of(rid),
                              lambda rid: self._callers.is_waiting(rid), config.dial_timeout_ms)
        self._discovery = Discovery(self.tell, pool, reader)
        pages = Pages(self._ready, lambda: self.state.counters, self._pages())
        gate = next((gate for unit in self.units if (gate := unit.gate())), None)
        self._callers = Callers(self.tell, pages, config.class_names, config.tenant_names,
                                self._max_caller_connections, self._count, self._poller, gate)
        self._perform: dict[type, Callable[[Any], None]] = {
            OpenBranch: self._hops.open,
            HoldBranch: self._hops.hold,
            WriteBranch: self._hops.write,
            DropBranch: self._hops.drop,
            Answer: self._callers.answer,
            ProbeWorker: self._start(self._hops.probe),
            CallDiscovery: self._call_discovery,
            LeaveDiscovery: self._discovery.leave,
            CloseIdleConnections: self._hops.shut,
            CloseIdleClients: self._start(self._close_idle_while_drained),
            Defect: lambda e: self._log.error("defect", where=e.where, error=e.error),
            WatchFailed: lambda e: self._log.warning("watch failed", word=e.word),
        }
        for unit in self.units:
            self.state.handlers.update(unit.handlers())
            self._perform.update(unit.effects())

    def _max_caller_connections(self) -> int:
        """The maximum of caller connections; halved while two processes of this scheduler share the limit."""
        return int(self._config.sockets * CALLER_SHARE) // (2 if self.state.linked else 1)

    def _ready(self) -> bool:
        """Whether this scheduler is ready; a stopping process is ready if the newest process is."""
        state = self.state
        if not state.discovery_answered and self._clock() < self._first_answer_deadline:
            # Jobs would wait here: none is sent by the list from before the start (discovery_schedule.py).
            return False
        return not state.drained and (not state.stopping or state.newer_ready)

    def _pages(self) -> dict[bytes, Page]:
        return {path: page for unit in self.units for path, page in unit.pages().items()}

    def _side_pages(self) -> dict[bytes, SidePage]:
        return {path: page for unit in self.units for path, page in unit.side_pages().items()}

    def signals(self) -> dict[signal.Signals, Callable[[], None]]:
        """The signals that units handle, with their handlers."""
        return {number: handle for unit in self.units for number, handle in unit.signals().items()}

    def _start(self, task: Callable[[Any], Coroutine[Any, Any, None]]) -> Callable[[Any], None]:
        """Make a function that performs an effect in a new task."""
        async def guarded(effect: Any) -> None:
            try:
                await task(effect)
            except Exception as error:  # an exception would cancel all other tasks
                self._defect(task.__qualname__, error)

        def start(effect: Any) -> None:
            self._tasks.start_soon(guarded, effect)

        return start

    def _call_discovery(self, effect: CallDiscovery) -> None:
        self._discovery.open(effect)
        self._start(self._discovery.run)(effect)

    def _defect(self, where: str, error: Exception) -> None:
        self._count("defects")
        self._log.exception("defect", where=where, error=repr(error))

    def _count(self, name: str) -> None:
        self.state.counters[name] += 1

    # -------------------------------------------------------------- messages

    def tell(self, message: Message) -> None:
        """Pass a message to the reducer and perform its effects."""
        self._inbox.append(message)
        if self._processing:  # called while an effect is performed: the outer call handles it
            return
        self._processing = True
        try:
            while self._inbox:
                for effect in self._reduce(self._inbox.popleft()):
                    self._carry_out(effect)
        finally:
            self._processing = False
        due = self.state.timers.next_at()
        if due is not None and due < self._alarm_at:
            self._arm(due)

    def _arm(self, due: float) -> None:
        """Schedule a `TimerFired` message at `due`."""
        if self._alarm:
            self._alarm.cancel()
        self._alarm_at = due
        after_ms = max(MIN_WAKE_INTERVAL_MS, due - self._clock())
        self._alarm = self._poller.loop.call_later(after_ms / 1000, self._wake)

    def _wake(self) -> None:
        self._alarm, self._alarm_at = None, float("inf")
        self.tell(TimerFired())

    def _reduce(self, message: Message) -> list[Effect]:
        try:
            return reduce(self.state, self._clock(), message)
        except Exception as error:  # one failing message must not end the program
            self._defect(type(message).__name__, error)
            return []

    def _carry_out(self, effect: Effect) -> None:
        try:
            self._perform[type(effect)](effect)
        except Exception as error:
            self._defect(type(effect).__name__, error)

    # ----------------------------------------------------------------- tasks

    def listen(self) -> None:
        """Listen on the configured address and on the units' ports."""
        descriptor = self._config.accept_fd
        self.state.shared = descriptor is not None
        self._ports = {"port": self._callers.listen(self._config.listen) if descriptor is None
                       else self._callers.share(descriptor)}
        for unit in self.units:
            self._ports.update(unit.listen())

    async def _guarded(self, task: Callable[[], Awaitable[None]], where: str) -> None:
        """Run a unit's task and log its exceptions, which would cancel all other tasks."""
        try:
            await task()
        except Exception as error:
            self._defect(where, error)

    def _start_unit_task(self, task: Callable[[], Awaitable[None]]) -> None:
        self._tasks.start_soon(self._guarded, task, getattr(task, "__qualname__", repr(task)))

    async def run(self, stop_asked: anyio.Event) -> None:
        """Serve until asked to stop, then settle all transactions and end."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.tell(self._initial_routes)
            for message in (m for unit in self.units for m in unit.first()):
                self.tell(message)
            tasks.start_soon(self._sweep)
            tasks.start_soon(self._poller.run)
            for unit in self.units:
                await self._guarded(unit.prepare, type(unit).__name__)
            self._callers.start(tasks)
            for unit in self.units:
                self._start_unit_task(unit.run)
            self._log.info("serving", **self._ports, next_hops=len(self.state.routes),
                           generation=self.state.generation)
            gc.collect()
            gc.freeze()  # objects that exist now are permanent; exclude them from collections
            gc.set_threshold(GC_THRESHOLD_0, GC_THRESHOLD_1, GC_THRESHOLD_2)
            await stop_asked.wait()
            await self._stop()
            await self._end_units()
            tasks.cancel_scope.cancel()
        self._errors.flush(FLUSH_LIMIT_S)
        self._log.info("stopped", counters=dict(sorted(self.state.counters.items())))

    def reload(self, config: Config) -> None:
        """Apply discovery's address of a new configuration; all other changes need a restart."""
        self._log.info("reloaded", discovery="{}:{}".format(*config.discovery))
        self.tell(DiscoveryMoved(config.discovery))

    def reload_units(self) -> None:
        """Let the units reload their files; a faulty file is logged and does not end the program."""
        for unit in self.units:
            try:
                unit.reload()
            except (OperatorsError, OSError) as error:
                self._log.error("reload refused", error=str(error))
            except Exception as error:
                self._defect("reload", error)

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_S)
            self._pool.sweep()

    async def _stop(self) -> None:
        """Keep serving connected callers, settle all transactions, and end.

        Other schedulers may be restarting at the same time, so callers are not disconnected until shortly
        before the kill; otherwise none might serve them.
        """
        self._log.info("stopping", transactions=len(self.state.transactions), legs=self._callers.open_legs)
        grace_ms = kill_after_ms(c.deadline_ms for c in self._config.settings.classes) - STOP_MARGIN_MS
        self.tell(StopRequested(self._clock() + grace_ms))
        if self.state.shared:
            await self._drain_shared()
            return
        await anyio.sleep(STOP_ACCEPT_S)
        with anyio.move_on_after((grace_ms - FINAL_CLOSE_MS) / 1000 - STOP_ACCEPT_S):
            while self._busy():
                await anyio.sleep(STOP_CHECK_S)
        self._callers.stop_listening()
        while self._busy():
            self._callers.close_idle()
            self._callers.hurry(STOP_LINGER_S)
            await anyio.sleep(STOP_CHECK_S)

    async def _close_idle_while_drained(self, _: CloseIdleClients) -> None:
        """Close callers' idle connections as long as the scheduler is drained.

        Starts after a delay: until the front notices the drain, it would send those callers here again.
        """
        await anyio.sleep(DRAIN_NOTICE_S)
        while self.state.drained:
            self._callers.close_idle(spare_young=True)
            await anyio.sleep(STOP_CHECK_S)

    async def _drain_shared(self) -> None:
        """Settle and end without serving the shared listening socket; another process accepts from it."""
        self._callers.let_go()
        while self._busy():
            self._callers.close_idle(spare_young=True)
            self._callers.hurry(STOP_LINGER_S)
            await anyio.sleep(STOP_CHECK_S)

    async def _end_units(self) -> None:
        """End all units concurrently, then close them. Both have a time limit, since the kill is near."""
        with anyio.move_on_after(UNIT_END_LIMIT_S):
            async with anyio.create_task_group() as ends:
                for unit in self.units:
                    ends.start_soon(self._guarded, unit.end, type(unit).__name__)
        with anyio.move_on_after(UNIT_END_LIMIT_S):
            for unit in reversed(self.units):
                await self._guarded(unit.close, type(unit).__name__)

    def _busy(self) -> bool:
        return bool(self.state.transactions or self._callers.open_legs)
