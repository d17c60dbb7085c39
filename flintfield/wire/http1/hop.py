"""The next hop's side: branches with a job's lines, and probes. It tells what came back, no more."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Mapping

import anyio

from flintfield.decision.interface import Report
from flintfield.memory.messages import (
    DropBranch, End, Ending, HoldBranch, Message, OpenBranch, ProbeEnded, ProbeHop, Reach, ShutHops,
    WriteBranch,
)
from flintfield.wire.http1.answer import Head
from flintfield.wire.http1.branch import BranchLeg, Shared
from flintfield.wire.http1.client import Page, Pool
from flintfield.wire.http1.lines import read_load
from flintfield.wire.http1.poller import Poller
from flintfield.wire.http1.spares import Spares

PROBE_S = 0.4  # a probe without an answer by then has failed
PROBE_KEPT_S = 0.15  # on a kept connection, which may have fallen silent: then a new one is tried


class NextHops:
    """All branches and probes that are out."""

    def __init__(self, tell: Callable[[Message], None], clock: Callable[[], float], pool: Pool,
                 report_names: Mapping[str, str], poller: Poller, spares: Spares,
                 count: Callable[[str], None], caller_of: Callable[[int], Hashable | None],
                 is_waiting: Callable[[int], bool], dial_timeout_ms: float) -> None:
        self._tell, self._clock, self._pool, self._names = tell, clock, pool, report_names
        self._shared = Shared(tell, poller, pool, report_names, spares, count, caller_of,
                              is_waiting, self._ended, dial_timeout_ms)
        self._outs: dict[tuple[int, int], BranchLeg] = {}

    # -------------------------------------------------------------- branches

    def open(self, effect: OpenBranch) -> None:
        """Start a branch; it tells `BranchUp` once it has its connection."""
        leg = self._outs[effect.rid, effect.branch] = BranchLeg(effect, self._shared)
        try:
            leg.begin()
        except Exception as error:  # exceptions stop at the connection
            leg.broke(error)

    def hold(self, effect: HoldBranch) -> None:
        """Let a branch that has told `BranchUp` wait for its order."""
        if leg := self._outs.get((effect.rid, effect.branch)):
            leg.hold()

    def write(self, effect: WriteBranch) -> None:
        """Let a branch write that has told `BranchUp`."""
        if leg := self._outs.get((effect.rid, effect.branch)):
            leg.write(effect)

    def drop(self, effect: DropBranch) -> None:
        """Close a branch's connection before anything else is written."""
        if leg := self._outs.pop((effect.rid, effect.branch), None):
            leg.close()

    def shut(self, effect: ShutHops) -> None:
        """Close all connections that wait at these next hops, and keep none."""
        self._shared.spares.shut(effect.addresses)
        for address in effect.addresses:
            self._shared.pool.forget(address)

    def _ended(self, leg: BranchLeg) -> None:
        self._outs.pop((leg.rid, leg.branch), None)

    # ---------------------------------------------------------------- probes

    async def probe(self, effect: ProbeHop) -> None:
        """Ask once for the load, and tell how it went."""
        began, ending = self._clock(), Ending(End.BROKEN, Reach.SENT, word="no answer in time")
        try:
            with anyio.move_on_after(PROBE_S):
                page = await self._pool.fetch(effect.address, b"/status/load", PROBE_KEPT_S)
                ending = self._probe_ending(page)
        except Exception as error:  # exceptions stop at the connection
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
