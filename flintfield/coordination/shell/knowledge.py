"""What this process knows of the core: the newest set, the newest leader, other schedulers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from flintfield.coordination.contacts import KnownLeader
from flintfield.coordination.model import CoreSet, LeaderView
from flintfield.coordination.timing import SCHEDULER_FORGOTTEN_MS, SCHEDULERS_KEPT


class Knowledge:
    """Newest wins: sets by version, leaders by epoch. `on_core` and `on_leader` are called at each change."""

    def __init__(self, steady_ms: Callable[[], int], seeds: tuple[str, ...], own_address: str) -> None:
        self._steady_ms = steady_ms
        self._own_address = own_address
        self._schedulers: dict[str, int] = {}
        self._core_known = asyncio.Event()
        self.seeds = seeds
        self.core: CoreSet | None = None
        self.leader: LeaderView | None = None
        self.on_core: list[Callable[[CoreSet], None]] = []
        self.on_leader: list[Callable[[LeaderView], None]] = []

    def note_core(self, core: CoreSet | None) -> None:
        """A decided core set was told."""
        if core is None or (self.core is not None and core.version <= self.core.version):
            return
        self.core = core
        self._core_known.set()
        for callback in tuple(self.on_core):
            callback(core)

    async def core_known(self) -> CoreSet:
        """The newest set, waiting for the first."""
        await self._core_known.wait()
        assert self.core is not None
        return self.core

    def note_leader(self, epoch: int, name: str, address: str, heard_ms: int) -> None:
        """A leader was heard of, as of that steady time."""
        before = self.leader
        if before is not None and (epoch, heard_ms) <= (before.epoch, before.heard_ms):
            return
        self.leader = LeaderView(epoch, name, address, heard_ms)
        if before is None or epoch > before.epoch:
            for callback in tuple(self.on_leader):
                callback(self.leader)

    def note_known_leader(self, told: KnownLeader | None) -> None:
        """Somebody else's word on the leader; the way here makes it a little older than it says."""
        if told is not None:
            self.note_leader(told.epoch, told.name, told.address, self._steady_ms() - told.heard_ago_ms)

    def known_leader(self) -> KnownLeader | None:
        """The newest leader, for others."""
        view = self.leader
        if view is None:
            return None
        return KnownLeader(view.epoch, view.name, view.address, max(0, self._steady_ms() - view.heard_ms))

    def note_scheduler(self, address: str) -> None:
        """A scheduler showed itself. The table is bounded: the one longest unseen goes first."""
        if not address or address == self._own_address:
            return
        self._schedulers.pop(address, None)
        self._schedulers[address] = self._steady_ms()
        if len(self._schedulers) > SCHEDULERS_KEPT:
            del self._schedulers[next(iter(self._schedulers))]

    def schedulers(self) -> tuple[str, ...]:
        """Addresses of schedulers that showed themselves lately."""
        oldest_ms = self._steady_ms() - SCHEDULER_FORGOTTEN_MS
        return tuple(address for address, seen_ms in self._schedulers.items() if seen_ms >= oldest_ms)

    def contacts(self) -> tuple[str, ...]:
        """All addresses where one may ask after the core, without the own: members, seeds, schedulers."""
        members = tuple(member.address for member in self.core.members) if self.core is not None else ()
        addresses = dict.fromkeys((*members, *self.seeds, *self.schedulers()))
        addresses.pop(self._own_address, None)
        return tuple(addresses)
