"""The shell of a leader: carries its messages, wakes writers, keeps its lease and its common time."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType

from flintfield.coordination.leader import Leader, Outgoing
from flintfield.coordination.messages import Pair, Resign
from flintfield.coordination.model import CoreSet, Deposed
from flintfield.coordination.shell.peers import MS_PER_S, Peers
from flintfield.coordination.timing import CHUNK_BYTES, LEADER_GIVES_UP_MS
from flintfield.runtime.waiting import wait_for_event
from flintfield.transport.rpc import RpcError

TAKEOVER_MS = 2_500  # a new leader that no majority follows by then gives up
RESIGN_TIMEOUT_MS = 250
LARGEST_BACKLOG_BYTES = 4 * 1024 * 1024  # of writes that are not durable yet; further writers wait


class Leadership:
    """One epoch of leading. `items` is the live content of the ordered store, as written, durable or not."""

    def __init__(
        self,
        leader: Leader,
        peers: Peers,
        rng: random.Random,
        steady_ms: Callable[[], int],
        wall_ms: Callable[[], int],
    ) -> None:
        self.epoch = leader.epoch
        self.leader = leader
        self.items: Mapping[bytes, bytes] = MappingProxyType(leader.items)
        self.over = False
        self.on_sealed: Callable[[], None] = lambda: None
        self.on_newer: Callable[[CoreSet], None] = lambda _: None
        self._peers = peers
        self._rng = rng
        self._steady_ms = steady_ms
        self._wall_ms = wall_ms
        self._wake = asyncio.Event()
        self._pending: list[Pair] = []
        self._pending_bytes = 0
        self._backlog: deque[tuple[int, int, asyncio.Future[None]]] = deque()
        self._backlog_bytes = 0
        self._flush_planned = False
        self._batch: asyncio.Future[None] | None = None
        self._started_ms = steady_ms()

    # What the dispatcher uses.

    async def write(self, changes: Sequence[tuple[bytes, bytes | None]]) -> None:
        """Return once the changes are durable at a majority. Writes take effect in the order of the calls,
        each whole.

        Raises `Deposed`; the changes may then have been taken or not.
        """
        while self._backlog_bytes > LARGEST_BACKLOG_BYTES and self._backlog and not self.over:
            await asyncio.wait((self._backlog[0][2],))
        if self.over:
            raise Deposed(f"epoch {self.epoch} is over")
        if self._batch is None:
            self._batch = asyncio.get_running_loop().create_future()
        batch = self._batch
        self._pending += changes
        self._pending_bytes += sum(len(key) + len(value or b"") for key, value in changes)
        if self._pending_bytes >= CHUNK_BYTES:
            self._flush()
        elif not self._flush_planned:
            self._flush_planned = True
            asyncio.get_running_loop().call_soon(self._flush)
        await asyncio.shield(batch)

    def confirmed(self) -> bool:
        """Whether the lease holds at this moment. Reads the clock: a process that was frozen finds out
        here."""
        return not self.over and self._steady_ms() < self.leader.lease_until_ms()

    def wall_ms(self) -> int:
        """Common time: the median of the replicas' wall clocks, carried on by the own steady clock."""
        now_ms = self._steady_ms()
        offset = self.leader.wall_offset_ms(now_ms)
        return self._wall_ms() if offset is None else now_ms + offset

    # What the election uses.

    async def established(self) -> bool:
        """Run until a majority has this epoch's state; False where that fails."""
        while not self._lost():
            self._pump()
            if self.leader.committed >= 0 and self.confirmed():
                return True
            await self._next()
        self._end()
        return False

    async def run(self) -> None:
        """Lead until deposed, resigned, or without a lease for too long."""
        while not self._lost():
            self._pump()
            await self._next()
        self._end()

    async def resign(self) -> None:
        """Stop acting, then tell all replicas, so that the best of them campaigns at once."""
        if self.over:
            return
        self._end()
        leader = self.leader
        others = [progress for identity, progress in leader.followers.items() if identity != leader.identity]
        best = max(others, key=lambda progress: (progress.acked, progress.contact_ms), default=None)
        message = Resign(leader.core.version, leader.epoch, best.member.identity if best is not None else 0)
        members = [progress.member for progress in others]
        await self._peers.gather(members, message, RESIGN_TIMEOUT_MS, lambda _, __: False)

    def change_core(self, core: CoreSet) -> None:
        """A newer set is known: go on in it, or end where it doesn't name this replica."""
        if core.version <= self.leader.core.version:
            return
        if core.member(self.leader.identity) is None:
            self._end()
        else:
            self._started_ms = self._steady_ms()  # the lease begins anew
            self.leader.change_core(core)
        self._wake.set()

    # The loop.

    def _lost(self) -> bool:
        now_ms = self._steady_ms()
        if self.over or self.leader.deposed:
            return True
        without_ms = now_ms - max(self.leader.lease_until_ms(), self._started_ms)
        return without_ms > (LEADER_GIVES_UP_MS if self.leader.committed >= 0 else TAKEOVER_MS)

    async def _next(self) -> None:
        wait_ms = max(1, self.leader.next_due_ms() - self._steady_ms())
        await wait_for_event(self._wake, wait_ms / MS_PER_S)
        self._wake.clear()

    def _flush(self) -> None:
        self._flush_planned = False
        if self.over or self._batch is None:
            return
        sequence = self.leader.write(self._pending)
        self._backlog.append((sequence, self._pending_bytes, self._batch))
        self._backlog_bytes += self._pending_bytes
        self._pending, self._pending_bytes, self._batch = [], 0, None
        self._pump()

    def _pump(self) -> None:
        for outgoing in self.leader.outgoing(self._steady_ms()):
            self._peers.start(self._deliver(outgoing))

    async def _deliver(self, outgoing: Outgoing) -> None:
        try:
            answer = await self._peers.call(outgoing.member, outgoing.message, outgoing.timeout_ms)
        except RpcError:
            self.leader.failed(self._steady_ms(), outgoing)
            self._wake.set()
            return
        if self.over:
            return
        version = self.leader.core.version
        self.leader.answered(self._steady_ms(), outgoing, answer)
        self._acknowledge()
        self._report(version)
        if self.leader.deposed:
            self._wake.set()
        else:
            self._pump()

    def _acknowledge(self) -> None:
        while self._backlog and self._backlog[0][0] <= self.leader.committed:
            _, size, batch = self._backlog.popleft()
            self._backlog_bytes -= size
            if not batch.done():
                batch.set_result(None)
        if self.leader.committed == 0:
            self._wake.set()

    def _report(self, version: int) -> None:
        if self.leader.newer is not None and self.leader.core.version == version:
            self.on_newer(self.leader.newer)
        elif self.leader.sealed:
            self.on_sealed()

    def _end(self) -> None:
        if self.over:
            return
        self.over = True
        waiting = [batch for _, _, batch in self._backlog]
        if self._batch is not None:
            waiting.append(self._batch)
        self._backlog.clear()
        for batch in waiting:
            if not batch.done():
                batch.set_exception(Deposed(f"epoch {self.epoch} is over"))
                batch.exception()  # its writers may be gone; that is no fault
        self._wake.set()
