"""The attempts of one scheduler: each branch on a connection, from its dial to its end.

As `wire/http1/branch.py` does on sockets: a connection for each branch, the body only after the next hop's
100, and spare connections to next hops that are known to send it.
"""

from __future__ import annotations

from flintfield.lab import log
from flintfield.lab.virtual.connections import ON_THE_WAY_THERE, Attempt, Link
from flintfield.lab.virtual.idle import IdleConnections
from flintfield.lab.virtual.interface import Process
from flintfield.lab.world import Errand
from flintfield.memory.messages import (
    Address, BranchEnded, BranchNoted, BranchUp, DropBranch, End, Ending, OpenBranch, Reach, WriteBranch,
)
from flintfield.wire.http1 import branch, client, spares

CONTINUE_MS = branch.CONTINUE_S * 1_000


class Attempts:
    """All branches of one scheduler that are out, and its spare connections."""

    def __init__(self, process: Process) -> None:
        self._process, self._run = process, process.run
        self._loop, self._wires = process.run.loop, process.run.wires
        self._out: dict[tuple[int, int], Attempt] = {}
        self._continuing: set[Address] = set()  # next hops that ask for the body
        retire_ms = process.run.scenario.fleet.conn_idle_ms * client.RETIRE_PART
        self.spares = IdleConnections(self._loop, self._wires, retire_ms, spares.MOST_EACH)

    # -------------------------------------------------------- connections

    def open(self, effect: OpenBranch, name: str) -> None:
        """Get a connection for a branch; `name` is the try's id."""
        address = effect.address
        spare = self.spares.take(address) if effect.may_reuse and address in self._continuing else None
        link = spare or self._new_link(address)
        attempt = Attempt(self, effect.rid, effect.branch, name, link)
        self._out[effect.rid, effect.branch] = attempt
        link.broken = lambda: self._broke(attempt)
        if spare:
            attempt.reuses, attempt.reach = True, Reach.WRITING
            self._loop.at(self._loop.now, self._up, attempt, spare)
        else:
            self._dial(attempt)

    def _new_link(self, address: Address) -> Link:
        return self._run.sites.link_from(self._process.zone, address)

    def _dial(self, attempt: Attempt) -> None:
        link = attempt.link
        self._wires.dial(link, lambda: self._up(attempt, link),
                         lambda: self._ended(attempt, Ending(End.BROKEN, Reach.DIALLING)))

    def _dial_anew(self, attempt: Attempt) -> None:
        """The spare is of no use, and nothing can have run on it."""
        address = _address(attempt.link)
        self._wires.hang_up(attempt.link)
        self.spares.drop(address)
        attempt.reuses, attempt.order, attempt.reach = False, None, Reach.DIALLING
        attempt.link = self._new_link(address)
        attempt.link.broken = lambda: self._broke(attempt)
        self._dial(attempt)

    def _up(self, attempt: Attempt, link: Link) -> None:
        if attempt.over or attempt.link is not link or not self._process.alive:
            self._wires.hang_up(link)
            return
        self._process.tell(BranchUp(attempt.rid, attempt.number), lambda: self._written_or_left(attempt))

    def _written_or_left(self, attempt: Attempt) -> None:
        if attempt.order is None and not attempt.over:  # it was not to be written after all
            attempt.over = True
            self._out.pop((attempt.rid, attempt.number), None)
            self.spares.put(_address(attempt.link), attempt.link)

    # ---------------------------------------------------------- the way there

    def write(self, effect: WriteBranch) -> None:
        """Send a branch's head on its connection."""
        attempt = self._out.get((effect.rid, effect.branch))
        if attempt is None:
            return
        attempt.order, attempt.reach = effect, Reach.WRITING
        if not attempt.sent:
            attempt.sent = True
            self._run.write(log.Sent(self._loop.now, attempt.name, attempt.number, self._process.name,
                                     attempt.site.name))
        attempt.breaks_at = self._wires.draw_reset()
        link = attempt.link
        self._wires.to_node(link, lambda: self._head_there(attempt, link))
        self._loop.at(self._loop.now + CONTINUE_MS, self._no_continue, attempt, link)

    def _head_there(self, attempt: Attempt, link: Link) -> None:
        """At the node: it asks for the body, if it can."""
        if not attempt.site.answers(link.life):
            return
        if attempt.breaks_at == ON_THE_WAY_THERE:
            self._wires.to_scheduler(link, link.reset)
        else:
            self._wires.to_scheduler(link, lambda: self._goes_on(attempt, link))

    def _goes_on(self, attempt: Attempt, link: Link) -> None:
        if not attempt.over and attempt.reach is Reach.WRITING and attempt.link is link:
            self._continuing.add(_address(link))
            self._send_body(attempt)

    def _no_continue(self, attempt: Attempt, link: Link) -> None:
        if attempt.over or attempt.reach is not Reach.WRITING or attempt.link is not link:
            return
        if not self._process.alive:
            return
        address = _address(link)
        if address in self._continuing:
            self.spares.drop(address)
            self._ended(attempt, Ending(End.BROKEN, Reach.WRITING))
        else:
            self._send_body(attempt)

    def _send_body(self, attempt: Attempt) -> None:
        attempt.reach = Reach.SENT
        self._wires.to_node(attempt.link, lambda: self._body_there(attempt))

    def _body_there(self, attempt: Attempt) -> None:
        link, wish = attempt.link, self._run.callers.tries[attempt.name].wish
        if not attempt.site.answers(link.life):
            attempt.site.missed(link, lambda: self._body_there(attempt))
            return
        attempt.arrived = True
        errand = Errand(attempt.key, wish.name, self._process.name, wish.cls, wish.work, wish.slots)
        attempt.site.arrive(attempt, errand)

    # ----------------------------------------------------------- the way back

    def word(self, attempt: Attempt, started: bool, share: float) -> None:
        """A note of a worker node has come back."""
        if not attempt.over and self._process.alive and not self._reset_now(attempt):
            self._process.tell(BranchNoted(attempt.rid, attempt.number, started, share))

    def last_word(self, attempt: Attempt, end: End, body: bytes) -> None:
        """The line or answer that ends an attempt has come back."""
        if not attempt.over and self._process.alive and not self._reset_now(attempt):
            self._ended(attempt, Ending(end, Reach.ANSWERED, body))

    def _reset_now(self, attempt: Attempt) -> bool:
        attempt.words += 1
        if attempt.words == attempt.breaks_at:
            self._broke(attempt)
        return attempt.over

    def _broke(self, attempt: Attempt) -> None:
        if attempt.over or not self._process.alive:
            return
        if attempt.reuses and attempt.reach is Reach.WRITING:
            self._dial_anew(attempt)
        else:
            self._ended(attempt, Ending(End.BROKEN, attempt.reach))

    def _ended(self, attempt: Attempt, ending: Ending) -> None:
        if attempt.over or not self._process.alive:
            return
        self._let_go(attempt)
        if ending.reach is Reach.ANSWERED:
            self.spares.put(_address(attempt.link), attempt.link)
        else:
            self._wires.hang_up(attempt.link, attempt)
        self._process.tell(BranchEnded(attempt.rid, attempt.number, ending))

    # ------------------------------------------------------------- letting go

    def drop(self, effect: DropBranch) -> None:
        """Give a branch up."""
        if attempt := self._out.get((effect.rid, effect.branch)):
            self._drop(attempt)

    def drop_all(self) -> None:
        """Give all branches up."""
        for attempt in list(self._out.values()):
            self._drop(attempt)

    def _drop(self, attempt: Attempt) -> None:
        self._let_go(attempt)
        self._wires.hang_up(attempt.link, attempt)

    def _let_go(self, attempt: Attempt) -> None:
        attempt.over = True
        self._out.pop((attempt.rid, attempt.number), None)
        if attempt.sent:
            self._run.write(log.LetGo(self._loop.now, attempt.name, attempt.number, self._process.name))


def _address(link: Link) -> Address:
    return link.site.name, 1
