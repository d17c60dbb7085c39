"""The forwarder's end: a connection to each planner, digests up, plans down."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from flintfield.forwarding.core import DIGEST_INTERVAL_MS
from flintfield.planning.messages import Digest, Plan
from flintfield.wire.http1.stream import dial
from flintfield.wire.link.frames import Channel, Count, LinkError, Nonces, greet
from flintfield.wire.membership.keys import Ring

Address = tuple[str, int]
DIAL_MS = 1_000.0
AGAIN_S, LONGEST_AGAIN_S = 0.2, 5.0  # until the next dial: doubled with each failure, times 0.5 to 1.5
SILENT_S = 10.0  # a planner that says nothing for so long is dialled anew; one that listens says nothing


class PlannerLinks:
    """Keeps a link to each planner, as long as it runs."""

    def __init__(self, ring: Ring, planners: tuple[Address, ...], newest: Callable[[], Digest],
                 take: Callable[[Plan], None], count: Count, draws: random.Random) -> None:
        """`newest` gives the newest digest, at most one per DIGEST_INTERVAL_MS; `take` gets each plan."""
        self._ring, self._planners, self._newest, self._take = ring, planners, newest, take
        self._count, self._draws, self._nonces = count, draws, Nonces()
        self.connected: dict[int, bool] = dict.fromkeys(range(len(planners)), False)
        self.last_error: dict[int, str] = {}

    async def run(self) -> None:
        """Until cancelled."""
        async with anyio.create_task_group() as tasks:
            for place, address in enumerate(self._planners):
                tasks.start_soon(self._keep, place, address)

    async def _keep(self, place: int, address: Address) -> None:
        failures = 0
        while True:
            began = anyio.current_time()
            try:
                await self._serve(place, address)
            except LinkError as error:
                self._count(f"link.{error.kind}")
                self.last_error[place] = str(error)
            finally:
                self.connected[place] = False
            # Guards a planner that comes back against all forwarders at one moment, and against a tight loop.
            failures = 1 if anyio.current_time() - began > LONGEST_AGAIN_S else failures + 1
            wait = min(LONGEST_AGAIN_S, AGAIN_S * 2.0 ** min(failures - 1, 10))
            await anyio.sleep(wait * self._draws.uniform(0.5, 1.5))

    async def _serve(self, place: int, address: Address) -> None:
        stream = await dial(address, DIAL_MS)
        if isinstance(stream, int):
            raise LinkError(f"no connection: error {stream}", "no_connection")
        try:
            channel = await greet(stream, self._ring, self._nonces, SILENT_S)
            self.connected[place] = True
            self._count("link.connected")
            await self._both(channel)
        finally:
            stream.close()

    async def _both(self, channel: Channel) -> None:
        """Write and read until either fails: the first error ends both."""
        failed: list[LinkError] = []

        async def guarded(do: Callable[[Channel], object]) -> None:
            try:
                await do(channel)  # type: ignore[misc]
            except LinkError as error:
                failed.append(error)
            tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(guarded, self._write)
            tasks.start_soon(guarded, self._read)
        if failed:
            raise failed[0]

    async def _write(self, channel: Channel) -> None:
        while True:
            await channel.write(self._newest())
            self._count("link.digests")
            await anyio.sleep(DIGEST_INTERVAL_MS / 1_000 * self._draws.uniform(0.9, 1.1))

    async def _read(self, channel: Channel) -> None:
        while True:
            message = await channel.read()
            if isinstance(message, Plan):
                self._count("link.plans")
                self._take(message)
