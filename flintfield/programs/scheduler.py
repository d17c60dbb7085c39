"""The scheduler's program: one process on each machine that clients reach.

It assembles the planes: coordination (a replica where the machine counts for the quorum), the dispatcher
where this process is elected, the operator's API and the ingress. Run as
`python3 -m flintfield.programs.scheduler`; the path of its settings file stands in `FLINTFIELD_CONFIG`.
Exit codes: 0 after SIGTERM, 2 for faulty settings.
"""

from __future__ import annotations

if __name__ == "__main__":
    from flintfield.programs import early_signals

    early_signals.hold()  # before the imports below, which take most of the time of a start

import asyncio
import gc
import logging
import os
import random
import signal
import sys
from functools import partial

from flintfield.control.configuration import Configuration
from flintfield.control.forwarding import OrderForwarder
from flintfield.control.redirection import ReadRedirector
from flintfield.control.server import ControlServer
from flintfield.control.view import ConfigurationView
from flintfield.coordination.node import CoreNode
from flintfield.coordination.storage import KeyedStore, MemoryStore, open_store
from flintfield.coordination.storage.compaction import content_bound
from flintfield.coordination.storage.store import RingStore
from flintfield.dispatch.service import DispatchService
from flintfield.ingress.link import DispatcherLink
from flintfield.ingress.server import IngressServer
from flintfield.observe.history import HistoryCounters, JobHistory
from flintfield.observe.process import Identity, ProcessObserver
from flintfield.observe.service import ObserveService
from flintfield.jobs.bounds import DispatcherBounds
from flintfield.jobs.state import Counters
from flintfield.placement.market import MarketPlacement
from flintfield.programs.early_signals import take_reload
from flintfield.runtime import logs
from flintfield.runtime.clock import steady_ms, wall_ms
from flintfield.runtime.settings import (
    EXIT_CODE,
    NodeSettings,
    SettingsError,
    path_from_environment,
    rpc_address,
)
from flintfield.transport.rpc import Pool, Server

LOG = logging.getLogger("flintfield.scheduler")
MEGABYTE = 1024 * 1024
MS_PER_S = 1_000
JOBS_PART_OF_STORE = 3 / 4  # the rest is for ended jobs, the configuration and the records of the core
JOBS_PART_OF_MEMORY = 1 / 16  # of a replica without a disk, whose content is held in memory alone
SHUTDOWN_RESERVE_S = 1.0  # of the grace period, kept for closing the store


def seed_addresses(settings: NodeSettings) -> tuple[str, ...]:
    """The RPC listeners of the seeds, which the settings name by their control addresses."""
    return tuple(rpc_address(seed.rpartition(":")[0], settings) for seed in settings.seeds)


def open_replica_store(settings: NodeSettings) -> KeyedStore | None:
    """The store of a replica; None on a machine that doesn't count for the quorum."""
    if not settings.counts_for_quorum:
        return None
    if settings.data_dir is None:
        return MemoryStore()
    return open_store(settings.data_dir, settings.limits.disk_mb * MEGABYTE)


def most_kept_bytes(settings: NodeSettings) -> int:
    """What jobs may take in the stores of the replicas, which are taken to be alike (bytes)."""
    limits = settings.limits
    if settings.data_dir is None:
        return round(limits.memory_mb * MEGABYTE * JOBS_PART_OF_MEMORY)
    return round(content_bound(limits.disk_mb * MEGABYTE) * JOBS_PART_OF_STORE)


def dispatcher_bounds(settings: NodeSettings) -> DispatcherBounds:
    """The bounds of the dispatcher, as this deployment sets them."""
    bounds = settings.bounds
    return DispatcherBounds(
        hold_max_ms=bounds.hold_max_ms,
        stop_ms=bounds.stop_ms,
        gang_ms=bounds.gang_ms,
        early_ms=bounds.early_ms,
        status_s=round(bounds.status_s),
        far_x=bounds.far_x,
        max_kept_bytes=most_kept_bytes(settings),
    )


class Scheduler:
    """The parts of one scheduler process, started and stopped in order."""

    def __init__(self, settings: NodeSettings, settings_path: str) -> None:
        self.settings = settings
        self._settings_path = settings_path
        self._stopping = asyncio.Event()
        generator = random.Random(os.urandom(16))
        self._store = open_replica_store(settings)
        self._pool = Pool()
        self._dispatch = DispatchService(
            bounds=dispatcher_bounds(settings),
            configuration=self._current_configuration,
            make_placement=partial(MarketPlacement, far_x=settings.bounds.far_x),
            steady_ms=steady_ms,
            rng=generator,
            read_configuration=self._read_configuration,
            leader_address=self._leader_address,
            make_recorder=JobHistory,
        )
        self._node = CoreNode(
            name=settings.node_name,
            address=rpc_address(settings.ip, settings),
            zone=settings.zone,
            seeds=seed_addresses(settings),
            first_start=settings.bootstrap,
            counts=settings.counts_for_quorum,
            store=self._store,
            tolerance_machines=settings.tolerance.machines,
            pool=self._pool,
            listener=self._dispatch if self._store is not None else None,
            rng=generator,
            steady_ms=steady_ms,
            wall_ms=wall_ms,
        )
        self._view = ConfigurationView(self._node, steady_ms)
        self._view.on_change(self._dispatch.set_configuration)
        observer = self._observer()
        observing = ObserveService(observer, self._dispatch, self._node)
        self._control = ControlServer(
            settings, self._node, self._order_forwarder(generator), self._read_redirector(generator)
        )
        self._rpc = Server(
            {
                **self._node.handlers(),
                **self._dispatch.handlers(),
                **observing.handlers(),
                **self._control.handlers(),
            }
        )
        link = DispatcherLink(self._pool, self._node)
        self._ingress = IngressServer(settings, self._view, link, self._node)
        self._watch_parts(observer, link)

    def _order_forwarder(self, generator: random.Random) -> OrderForwarder | None:
        """Where there is no replica here, what hands the operator's orders on to one."""
        if self._store is not None:
            return None
        return OrderForwarder(self._pool, self._node, self.settings.zone, generator)

    def _read_redirector(self, generator: random.Random) -> ReadRedirector | None:
        """Where there is no replica here, what redirects the operator's long reads to one."""
        address = self.settings.listen.control
        if self._store is not None or address is None:
            return None
        _, _, port = address.rpartition(":")
        return ReadRedirector(self._node, self.settings.limits.link_mbps, int(port), generator)

    def _observer(self) -> ProcessObserver:
        settings = self.settings
        identity = Identity(
            settings.node_name, settings.role, settings.zone, rpc_address(settings.ip, settings)
        )
        return ProcessObserver(
            identity,
            self._node,
            self._view,
            self._store,
            settings.limits.disk_mb * MEGABYTE,
            steady_ms,
            wall_ms,
        )

    def _watch_parts(self, observer: ProcessObserver, link: DispatcherLink) -> None:
        """Have the process's status tell the counters of its parts."""
        observer.ready = self._ingress.ready
        observer.leads = lambda: self._dispatch.leads
        observer.watch("rpc_server", lambda: self._rpc.counters)
        observer.watch("rpc_pool", lambda: self._pool.counters)
        observer.watch("ingress", lambda: self._ingress.counters)
        observer.watch("ingress_listener", lambda: self._ingress.listener.counters)
        observer.watch("dispatcher_link", lambda: link.counters)
        observer.watch("values", lambda: self._node.value_counters)
        observer.watch("operator", lambda: self._control.service.counters)
        observer.watch("dispatcher", self._dispatcher_counters)
        observer.watch("history", self._history_counters)
        if isinstance(self._store, RingStore):
            ring_store = self._store
            observer.watch("store", lambda: ring_store.counters)
            observer.watch("disk", lambda: ring_store.ring.pool.counters)

    def _dispatcher_counters(self) -> Counters | None:
        dispatcher = self._dispatch.dispatcher
        return dispatcher.counters if dispatcher is not None else None

    def _history_counters(self) -> HistoryCounters | None:
        dispatcher = self._dispatch.dispatcher
        recorder = dispatcher.state.recorder if dispatcher is not None else None
        return recorder.counters if isinstance(recorder, JobHistory) else None

    def _current_configuration(self) -> Configuration | None:
        return self._view.current

    async def _read_configuration(self) -> Configuration | None:
        return await self._view.read()

    def _leader_address(self) -> str:
        leader = self._node.leader
        return leader.address if leader is not None else ""

    async def run(self) -> None:
        """Serve until SIGTERM."""
        self._watch_signals()
        ip, _, port = rpc_address(self.settings.ip, self.settings).rpartition(":")
        await self._rpc.start(ip, int(port))
        await self._node.start()
        await self._control.start()
        await self._ingress.start()
        logs.event(LOG, "started", replica=self._store is not None, seeds=self.settings.seeds)
        gc.collect()
        gc.freeze()
        await self._stopping.wait()
        await self._stop()

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if take_reload():
            self._reload()

    def _reload(self) -> None:
        """Read the settings again; what takes effect in a running process is the list of seeds."""
        from flintfield.runtime.settings_file import load

        try:
            settings = load(self._settings_path)
        except SettingsError as error:
            logs.event(LOG, "settings_kept", error=str(error))
            return
        self._node.set_seeds(seed_addresses(settings))
        logs.event(LOG, "seeds", addresses=settings.seeds)

    async def _stop(self) -> None:
        """Hand leadership over, answer what was taken in, wait until the core spares this replica, close."""
        logs.event(LOG, "stopping")
        started_ms = steady_ms()
        grace_s = self.settings.bounds.grace_s - SHUTDOWN_RESERVE_S
        await self._node.resign()
        await self._ingress.drain(grace_s)
        left_s = grace_s - (steady_ms() - started_ms) / MS_PER_S
        spared = await self._node.spared(max(0.0, left_s))
        await self._control.stop()
        await self._node.stop()
        await self._rpc.stop()
        if self._store is not None:
            await self._store.close()
        logs.event(LOG, "stopped", spared=spared)


async def _serve(settings: NodeSettings, path: str) -> None:
    await Scheduler(settings, path).run()


def main() -> int:
    """Run one scheduler; returns the exit code."""
    from flintfield.runtime.settings_file import load

    try:
        path = path_from_environment()
        settings = load(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_CODE
    logs.configure(settings.node_name, "scheduler")
    asyncio.run(_serve(settings, path))
    return 0


if __name__ == "__main__":
    sys.exit(main())
