"""What troubles do to a run on sockets: each deed of the schedule, carried out when it is due."""

from __future__ import annotations

import math
from collections.abc import Callable

from flintfield.lab.log import Trouble
from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.machines import Machines
from flintfield.lab.sockets.rude import Rude
from flintfield.lab.sockets.supervisor import Supervisor
from flintfield.lab.sockets.tasks import Tasks
from flintfield.lab.world import Deed, Do, Front

AGAIN_MS = 500.0  # at the most, from a cut's mending until TCP sends what waited


def in_time(deeds: list[Deed], start_ms: float) -> list[Deed]:
    """Let processes start as much earlier as a start takes, but not before the one before has ended."""
    moved: list[Deed] = []
    killed: dict[int, float] = {}
    for deed in deeds:
        if deed.do is Do.SCHEDULER_KILL:
            killed[deed.place] = deed.at
        if deed.do is Do.SCHEDULER_UP:
            at = max(deed.at - start_ms, killed.get(deed.place, 0.0))
            deed = Deed(at, deed.do, deed.place, deed.figure, deed.word, deed.machine)
        moved.append(deed)
    return sorted(moved, key=lambda d: d.at)


class Troubles:
    """The deeds that are still to be done."""

    def __init__(self, run: Run, machines: Machines, supervisor: Supervisor, front: Front, rude: Rude,
                 tasks: Tasks) -> None:
        self._run, self._machines, self._supervisor = run, machines, supervisor
        self._front, self._rude, self._tasks = front, rude, tasks
        self.deeds: list[Deed] = []  # in order of time

    def next_at(self) -> float:
        """When the next deed is due."""
        return self.deeds[0].at if self.deeds else math.inf

    def do_due(self, now: float) -> None:
        """Do what is due."""
        while self.deeds and self.deeds[0].at <= now:
            deed = self.deeds.pop(0)
            _DO[deed.do](self, deed)

    def _trouble(self, deed: Deed) -> None:
        self._run.record(Trouble(self._run.at(), deed.word, deed.do is Do.BEGIN))

    # ------------------------------------------------------------ worker nodes

    def _node_drain(self, deed: Deed) -> None:
        face, directory = self._machines.places[deed.place], self._machines.directory
        if face.node.up:
            face.drain()
        directory.discovery.draining(self._run.clock(), face.machine)
        directory.changed()

    def _node_ends(self, deed: Deed) -> None:
        face = self._machines.places[deed.place]
        face.retired = face.retired or deed.do is Do.NODE_END
        if face.node.up:
            face.die()
            self._machines.fell(face.name)

    def _node_new(self, deed: Deed) -> None:
        assert deed.machine
        self._tasks.start(self._machines.start(self._machines.add(deed.machine)))

    def _node_back(self, deed: Deed) -> None:
        self._tasks.start(self._machines.start(self._machines.places[deed.place]))

    def _node_vanish(self, deed: Deed) -> None:
        face, directory = self._machines.places[deed.place], self._machines.directory
        if not face.node.up:
            return
        face.vanish()
        directory.discovery.process_ended(self._run.clock(), face.machine, silent=True)
        directory.changed()

    def _node_slow(self, deed: Deed) -> None:
        self._machines.places[deed.place].slow(deed.figure, deed.do is Do.NODE_SLOW)

    def _node_stall(self, deed: Deed) -> None:
        self._machines.places[deed.place].stall(deed.do is Do.NODE_STALL)

    def _node_fails(self, deed: Deed) -> None:
        self._machines.places[deed.place].node.fails[deed.word] = deed.figure

    def _node_false_full(self, deed: Deed) -> None:
        self._machines.places[deed.place].node.false_full = deed.figure

    # --------------------------------------------------- discovery and network

    def _discovery_gone(self, deed: Deed) -> None:
        self._machines.directory.gone()

    def _discovery_back(self, deed: Deed) -> None:
        self._machines.directory.back(anew=deed.figure > 0)

    def _discovery_moved(self, deed: Deed) -> None:
        self._machines.directory.move()

    def _watch_pause(self, deed: Deed) -> None:
        self._machines.directory.pause(deed.figure)

    def _zone(self, deed: Deed) -> None:
        network = self._run.network
        change = network.cut if deed.do is Do.ZONE_CUT else network.mend
        change(deed.word, deed.figure > 0)
        if deed.do is Do.ZONE_CUT:
            self._machines.reconsider()
            return
        self._machines.take_dials()
        # What waited for the cut's end goes on when TCP sends it again.
        self._run.later(self._run.resets.uniform(0, AGAIN_MS) / 1000, self._machines.reconsider)

    def _resets(self, deed: Deed) -> None:
        self._run.reset_share = deed.figure

    # ------------------------------------------------- schedulers and clients

    def _tell_moved(self, deed: Deed) -> None:
        self._supervisor.reload(deed.place)

    def _scheduler_out(self, deed: Deed) -> None:
        self._front.out(self._run.clock(), deed.place)

    def _scheduler_term(self, deed: Deed) -> None:
        self._supervisor.terminate(deed.place)

    def _scheduler_kill(self, deed: Deed) -> None:
        self._supervisor.kill(deed.place)

    def _scheduler_up(self, deed: Deed) -> None:
        self._tasks.start(self._supervisor.restart(deed.place))

    def _bad_clients(self, deed: Deed) -> None:
        if deed.figure > 0 or deed.place > 0:
            self._rude.begin(deed.figure, deed.place)
        else:
            self._rude.stop()


_DO: dict[Do, Callable[[Troubles, Deed], None]] = {
    Do.BEGIN: Troubles._trouble, Do.OVER: Troubles._trouble,
    Do.NODE_DRAIN: Troubles._node_drain, Do.NODE_END: Troubles._node_ends,
    Do.NODE_CRASH: Troubles._node_ends, Do.NODE_NEW: Troubles._node_new, Do.NODE_BACK: Troubles._node_back,
    Do.NODE_RETURN: Troubles._node_back, Do.NODE_VANISH: Troubles._node_vanish,
    Do.NODE_SLOW: Troubles._node_slow, Do.NODE_USUAL: Troubles._node_slow,
    Do.NODE_STALL: Troubles._node_stall, Do.NODE_GO_ON: Troubles._node_stall,
    Do.NODE_FAILS: Troubles._node_fails, Do.NODE_FALSE_FULL: Troubles._node_false_full,
    Do.DISCOVERY_GONE: Troubles._discovery_gone, Do.DISCOVERY_BACK: Troubles._discovery_back,
    Do.DISCOVERY_MOVED: Troubles._discovery_moved, Do.TELL_MOVED: Troubles._tell_moved,
    Do.WATCH_PAUSE: Troubles._watch_pause, Do.ZONE_CUT: Troubles._zone, Do.ZONE_MENDED: Troubles._zone,
    Do.RESETS: Troubles._resets, Do.SCHEDULER_OUT: Troubles._scheduler_out,
    Do.SCHEDULER_TERM: Troubles._scheduler_term, Do.SCHEDULER_KILL: Troubles._scheduler_kill,
    Do.SCHEDULER_UP: Troubles._scheduler_up, Do.BAD_CLIENTS: Troubles._bad_clients,
}
