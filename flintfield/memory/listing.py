"""Discovery: the route set, calls that fail, and a new address."""

from __future__ import annotations

import math

from flintfield.decision.interface import ListMode, ServerList, State as Lifecycle, Watch
from flintfield.memory.messages import (
    CallDiscovery, DiscoveryMoved, LeaveDiscovery, RouteCallFailed, RouteNews, ShutHops, WatchFailed,
)
from flintfield.memory.taking import Taking

SILENCE_MS = 6_000.0  # what a silent watch hides counts as told so long after it fell silent, at the earliest
MOVED_MS = 4_000.0  # the same after a new configuration moved discovery (the operators' later days)


class Listing(Taking):
    """The route set as discovery tells it; when it is asked is decided in decision/asking.py."""

    def watch(self, _: Watch) -> None:
        if not self.state.watching:
            self.state.watching = True
            self._call_discovery()

    def route_news(self, message: RouteNews) -> None:
        state = self.state
        cached = message.mode is ListMode.CACHED
        if not cached and self._is_late(message.call):
            return
        if message.mode is ListMode.DELTA and message.generation < (state.generation or 0):
            # Guards against a discovery that started anew while we kept our count: it tells of another.
            state.counters["discovery.counts_anew"] += 1
            state.generation = None
            self._call_discovery()
            return
        if message.mode is not ListMode.DELTA:
            state.routes.clear()
        for route in message.routes:
            if route.entry.state is Lifecycle.GONE:
                state.routes.pop(route.entry.worker, None)
            else:
                state.routes[route.entry.worker] = route
        if state.barred:
            self.shut_barred()
        for worker in state.last_errors.keys() - state.routes.keys():
            del state.last_errors[worker]
        state.generation = message.generation
        if not cached:
            state.due, state.told = None, True
            state.counters["discovery.lines"] += len(message.routes)
            state.counters[f"discovery.answers.{message.mode.value if message.routes else 'empty'}"] += 1
            self._call_discovery()  # at once: a watch that pauses for 200 ms is a new one
        self._events.append(ServerList(message.mode, tuple(r.entry for r in message.routes)))

    def shut_barred(self) -> None:
        """Guards next hops that are out by hand against connections of ours that would wait there."""
        state = self.state
        self.effects.append(ShutHops(frozenset(
            r.address for worker, r in state.routes.items() if worker in state.barred)))

    def route_call_failed(self, message: RouteCallFailed) -> None:
        if self._is_late(message.call):
            return
        state = self.state
        state.watching = False
        if message.silent:
            # It fell silent after the call at the earliest, so this is the earliest that its news count.
            state.due = min(state.due or math.inf, state.called_at + SILENCE_MS)
            state.counters["discovery.silent"] += 1
        elif not message.busy:
            # Guards against a discovery that starts anew and counts from nothing: it has nothing newer
            # than ours. One that says it is busy, or whose way is cut, is the old one, and the whole list
            # is the most to ask.
            state.generation = None
        self.effects.append(WatchFailed(message.word))
        state.counters["discovery.failed"] += 1
        self._events.append(ServerList(ListMode.FAILED, due=state.due))

    def discovery_moved(self, message: DiscoveryMoved) -> None:
        """Leave the old address and ask at the new one at once, for the whole list."""
        state = self.state
        if message.address == state.discovery:
            return
        state.counters["discovery.moved"] += 1
        self.effects.append(LeaveDiscovery(state.discovery))
        state.discovery, state.generation, state.watching = message.address, None, True
        # A clock that is over presses for nothing: it must not stand before the new address's own.
        pending = state.due if state.due is not None and state.due > self.now else math.inf
        state.due = min(pending, self.now + MOVED_MS)
        self._call_discovery()

    def _is_late(self, call: int) -> bool:
        """Guards against the answer of an address that we have left."""
        if call == self.state.calls:
            return False
        self.state.counters["discovery.late_word"] += 1
        return True

    def _call_discovery(self) -> None:
        state = self.state
        state.calls += 1
        state.called_at = self.now
        state.counters["discovery.calls"] += 1
        # Guards against a second silence: a call that need not wait is known to be silent sooner. And against
        # a new process that waits for news where there are none before it trusts its list.
        waits = state.told and state.due is None
        self.effects.append(CallDiscovery(state.calls, state.discovery, state.generation, waits))
