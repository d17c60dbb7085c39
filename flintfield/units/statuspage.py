"""The status page as a unit: a listener of its own, and the snapshots that it serves."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import anyio

from flintfield import __version__ as VERSION
from flintfield.base.ini import OperatorsError, Section, number, whole
from flintfield.memory.status import take_status
from flintfield.units.interface import Feature, Given, Host, Unit
from flintfield.wire.http1.status import StatusPage

DAY_MS = 86_400_000.0


@dataclass(frozen=True, slots=True)
class StatusPageOn:
    """The side port, how often its snapshot is made, and how long an error is shown."""

    port: int
    refresh_ms: float = 1_000.0
    error_keep_s: float = 300.0


SECTION = Section("statuspage", StatusPageOn, {
    "port": whole(0, 65_535), "refresh_ms": number(50, DAY_MS), "error_keep_s": number(0, 7 * DAY_MS / 1000),
})


class StatusPageUnit(Unit):
    """Serves a snapshot, made beside the serving."""

    def __init__(self, host: Host, given: Given) -> None:
        told = given.one(SECTION)
        assert told is not None  # it stands alone, and it is on
        self._host, self._given = host, told
        self._page = StatusPage(host.config.name, VERSION, host.count)

    def listen(self) -> Mapping[str, int]:
        """Take the side port, on the host of the main listener."""
        try:
            port = self._page.listen((self._host.config.listen[0], self._given.port))
        except OSError as error:
            raise OperatorsError(f"[statuspage] port: found {self._given.port}, "
                                 f"expected a port that can be taken: {error}") from error
        return {"status_port": port}

    async def run(self) -> None:
        """Make snapshots, and serve them."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep)
            tasks.start_soon(self._page.accept_all, tasks)

    async def _keep(self) -> None:
        while True:
            try:
                self._show()
            except Exception as error:  # guards the page that is served: one odd snapshot does not end it
                self._host.defect("status page", error)
            await anyio.sleep(self._given.refresh_ms / 1000)

    def _show(self) -> None:
        host = self._host
        status = take_status(host.state, host.clock(), host.began, host.config.class_names,
                             self._given.error_keep_s * 1000)
        self._page.show(status, {path: make() for path, make in host.side_pages().items()})


FEATURE = Feature((SECTION,), StatusPageUnit)
