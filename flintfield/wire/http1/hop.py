"""Client of the next hops: branches that carry jobs, and load probes. It makes no decisions."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Mapping

import anyio

from flintfield.decision.interface import Report
from flintfield.memory.messages import (
    DropBranch, End, Ending, HoldBranch, Message, OpenBranch, ProbeEnded, ProbeWorker, Reach,
    CloseIdleConnections, WriteBranch,
)
from flintfield.wire.http1.answer import Head
from flintfield.wire.http1.branch import BranchConnection, Shared
from flintfield.wire.http1.client import Page, Pool
from flintfield.wire.http1.lines import read_load
from flintfield.wire.http1.poller import Poller
from flintfield.wire.http1.spares import Spares

PROBE_S = 0.4  # time limit of a probe
PROBE_KEPT_S = 0.15  # limit on a kept-alive connection, which may have gone silent, before trying a new one


class NextHops:
    """All branches and probes in flight."""

    def __init__(self, tell: Callable[[Message], None], clock: Callable[[], float], pool: Pool,
                 report_names: Mapping[str, str], poller: Poller, spares: Spares,
                 count: Callable[[str], None], caller_of: Callable[[int], Hashable | None],
                 is_waiting: Callable[[int], bool], dial_timeout_ms: float) -> None:
        self._tell, self._clock, self._pool, self._names = tell, clock, pool, report_names
        self._shared = Shared(tell, poller, pool, report_names, spares, count, caller_of,
                              is_waiting, self._remove, dial_timeout_ms)
        self._branches: dict[tuple[int, int], BranchConnection] = {}

    # -------------------------------------------------------------- branches

    def open(self, effect: OpenBranch) -> None:
        """Start a branch; it sends `BranchUp` once it is connected."""
        connection = self._branches[effect.rid, effect.branch] = BranchConnection(effect, self._shared)
        try:
            connection.begin()
        except Exception as error:  # must not affect other connections
            connection.broke(error)

    def hold(self, effect: HoldBranch) -> None:
        """Let a branch that has sent `BranchUp` wait for its `WriteBranch`."""
        if connection := self._branches.get((effect.rid, effect.branch)):
            connection.hold()

    def write(self, effect: WriteBranch) -> None:
        """Let a branch that has sent `BranchUp` write its request."""
        if connection := self._branches.get((effect.rid, effect.branch)):
            connection.write(effect)

    def drop(self, effect: DropBranch) -> None:
        """Close a branch's connection before anything else is written."""
        if connection := self._branches.pop((effect.rid, effect.branch), None):
            connection.close()

    def shut(self, effect: CloseIdleConnections) -> None:
        """Close all idle connections to these next hops, and keep none from now on."""
        self._shared.spares.shut(effect.addresses)
        for address in effect.addresses:
            self._shared.pool.forget(address)

    def _remove(self, connection: BranchConnection) -> None:
        self._branches.pop((connection.rid, connection.branch), None)

    # ---------------------------------------------------------------- probes

    async def probe(self, effect: ProbeWorker) -> None:
        """Ask once for the load report, and send the result as `ProbeEnded`."""
        began, ending = self._clock(), Ending(End.BROKEN, Reach.SENT, word="no answer in time")
        try:
            with anyio.move_on_after(PROBE_S):
                page = await self._pool.fetch(effect.address, b"/status/load", PROBE_KEPT_S)
                ending = self._probe_ending(page)
        except Exception as error:  # must not affect other connections
            ending = Ending(End.BROKEN, Reach.SENT, word=repr(error))
        self._tell(ProbeEnded(effect.worker, ending, self._clock() - began))

    def _probe_ending(self, page: Page | Reach) -> Ending:
        if isinstance(page, Reach):
            return Ending(End.BROKEN, page)
        end = {200: End.DONE, 503: End.DECLINED}.get(page.head.status, End.FAILED)
        return Ending(end, Reach.ANSWERED, report=read_load(page.body, self._names) or self._load(page.head))

    # --------------------------------------------------------------- reports

    def _load(self, head: Head) -> Report | None:
        return read_load(head.headers.get(b"srv-load", b""), self._names)
