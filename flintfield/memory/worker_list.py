"""Discovery: the route set, calls that fail, and a new address."""

from __future__ import annotations

import math

from flintfield.decision.interface import ListMode, ServerList, State as Lifecycle, Watch
from flintfield.memory.messages import (
    CallDiscovery, DiscoveryMoved, LeaveDiscovery, RouteCallFailed, RouteUpdate, CloseIdleConnections,
    WatchFailed,
)
from flintfield.memory.submission import Taking

SILENCE_MS = 6_000.0  # from a silent call to when changes that it missed take effect, at the earliest
MOVED_MS = 4_000.0  # the same after a configuration change moved discovery (the operators' later days)


class Listing(Taking):
    """Maintains the route set from discovery's answers; decision/discovery_schedule.py says when to call."""

    def watch(self, _: Watch) -> None:
        if not self.state.watching:
            self.state.watching = True
            self._call_discovery()

    def route_news(self, message: RouteUpdate) -> None:
        state = self.state
        cached = message.mode is ListMode.CACHED
        if not cached and self._is_outdated(message.call):
            return
        if message.mode is ListMode.DELTA and message.generation < (state.generation or 0):
            # Discovery restarted, so its generations are not comparable with ours: request the whole list.
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
            self.close_barred_connections()
        for worker in state.last_errors.keys() - state.routes.keys():
            del state.last_errors[worker]
        state.generation = message.generation
        if not cached:
            state.changes_due_at, state.discovery_answered = None, True
            state.counters["discovery.lines"] += len(message.routes)
            state.counters[f"discovery.answers.{message.mode.value if message.routes else 'empty'}"] += 1
            self._call_discovery()  # immediately: after a pause of 200 ms it would count as a new watch
        self._events.append(ServerList(message.mode, tuple(r.entry for r in message.routes)))

    def close_barred_connections(self) -> None:
        """Close our idle connections to excluded next hops."""
        state = self.state
        self.effects.append(CloseIdleConnections(frozenset(
            r.address for worker, r in state.routes.items() if worker in state.barred)))

    def route_call_failed(self, message: RouteCallFailed) -> None:
        if self._is_outdated(message.call):
            return
        state = self.state
        state.watching = False
        if message.silent:
            # Discovery fell silent after the call at the earliest, so its changes take effect no earlier.
            state.changes_due_at = min(state.changes_due_at or math.inf, state.called_at + SILENCE_MS)
            state.counters["discovery.silent"] += 1
        elif not message.busy:
            # A restarted discovery counts from zero and would report nothing newer than our generation, so
            # the whole list is requested. One that is busy or unreachable has not restarted; there the
            # whole list is at worst more than needed.
            state.generation = None
        self.effects.append(WatchFailed(message.word))
        state.counters["discovery.failed"] += 1
        self._events.append(ServerList(ListMode.FAILED, due=state.changes_due_at))

    def discovery_moved(self, message: DiscoveryMoved) -> None:
        """Drop the old address and call the new one at once for the whole list."""
        state = self.state
        if message.address == state.discovery:
            return
        state.counters["discovery.moved"] += 1
        self.effects.append(LeaveDiscovery(state.discovery))
        state.discovery, state.generation, state.watching = message.address, None, True
        # A due time that has passed is ignored: it must not precede the one of the new address.
        pending = (state.changes_due_at
                   if state.changes_due_at is not None and state.changes_due_at > self.now else math.inf)
        state.changes_due_at = min(pending, self.now + MOVED_MS)
        self._call_discovery()

    def _is_outdated(self, call: int) -> bool:
        """Whether a message belongs to an earlier call, such as one to a previous address."""
        if call == self.state.calls:
            return False
        self.state.counters["discovery.late_word"] += 1
        return True

    def _call_discovery(self) -> None:
        state = self.state
        state.calls += 1
        state.called_at = self.now
        state.counters["discovery.calls"] += 1
        # After a silent call the next one does not wait for changes, so that another silence is detected
        # sooner. A new process does not wait either, since it trusts its list only after the first answer.
        waits = state.discovery_answered and state.changes_due_at is None
        self.effects.append(CallDiscovery(state.calls, state.discovery, state.generation, waits))
