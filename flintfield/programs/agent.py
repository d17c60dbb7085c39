"""The agent's program: one process beside each worker.

Run as `python3 -m flintfield.programs.agent`; the path of its settings file stands in `FLINTFIELD_CONFIG`.
SIGTERM lets orders that are under way finish; SIGHUP reads the seeds again. Exit codes: 0 after SIGTERM, 2
for faulty settings.
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

from flintfield.agent.service import AgentService
from flintfield.coordination.directory import Directory
from flintfield.programs.early_signals import take_reload
from flintfield.runtime import logs
from flintfield.runtime.settings import (
    EXIT_CODE,
    NodeSettings,
    SettingsError,
    path_from_environment,
    rpc_address,
)
from flintfield.transport.rpc import Pool

LOG = logging.getLogger("flintfield.agent")


def seed_addresses(settings: NodeSettings) -> tuple[str, ...]:
    """The RPC listeners of the seeds, which the settings name by their control addresses."""
    return tuple(rpc_address(seed.rpartition(":")[0], settings) for seed in settings.seeds)


class AgentProgram:
    """The process: its agent and its signals."""

    def __init__(self, settings: NodeSettings, path: str) -> None:
        self._path = path
        self._seeds = settings.seeds
        self._rng = random.Random(os.urandom(16))
        self._pool = Pool()
        self._stopping = asyncio.Event()
        self._directory = Directory(seed_addresses(settings), self._pool, self._rng)
        self._agent = AgentService(settings, self._directory, self._rng)

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if take_reload():
            self._reload()
        self._agent.start()
        logs.event(LOG, "started", seeds=self._seeds)
        gc.collect()
        gc.freeze()
        await self._stopping.wait()
        await self._agent.stop()
        logs.event(LOG, "stopped")

    def _reload(self) -> None:
        """Read the settings again; what takes effect in a running process is the list of seeds."""
        from flintfield.runtime.settings_file import load

        try:
            settings = load(self._path)
        except SettingsError as error:
            logs.event(LOG, "settings_kept", error=str(error))
            return
        self._directory.set_seeds(seed_addresses(settings))
        logs.event(LOG, "seeds", addresses=settings.seeds)


async def _serve(settings: NodeSettings, path: str) -> None:
    await AgentProgram(settings, path).run()


def main() -> int:
    """Run one agent; returns the exit code."""
    from flintfield.runtime.settings_file import load

    try:
        path = path_from_environment()
        settings = load(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_CODE
    if not settings.listen.control:
        print(f"{path}: listen.control: found nothing, expected an address", file=sys.stderr)
        return EXIT_CODE
    logs.configure(settings.node_name, "agent")
    asyncio.run(_serve(settings, path))
    return 0


if __name__ == "__main__":
    sys.exit(main())
