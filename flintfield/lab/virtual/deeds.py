"""What troubles do to a run in virtual time: each deed of the schedule, carried out.

Clients that send nonsense are refused by the parser, which this run does not play: they do nothing here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from flintfield.lab import log
from flintfield.lab.virtual.interface import Run
from flintfield.lab.virtual.scheduler import Scheduler
from flintfield.lab.world import Deed, Do, Front, Network


class Stage(Run, Protocol):
    """The run that troubles strike."""

    network: Network
    front: Front
    schedulers: list[Scheduler | None]

    def start_scheduler(self, place: int) -> None:
        """A scheduler's process starts, with the list that it had before."""

    def scheduler_ended(self, scheduler: Scheduler, how: str) -> None:
        """A scheduler's process is gone: it ended by itself or was killed."""


def carry_out(run: Stage, deed: Deed) -> None:
    """Do it now."""
    if deed.do in _NODES:
        _NODES[deed.do](run, deed)
    elif deed.do in _SCHEDULERS:
        _SCHEDULERS[deed.do](run, deed)
    else:
        _PLATFORM[deed.do](run, deed)


def _node_new(run: Stage, deed: Deed) -> None:
    assert deed.machine is not None
    run.sites.restart(run.sites.add(deed.machine))


def _node_end(run: Stage, deed: Deed) -> None:
    site = run.sites.places[deed.place]
    site.retired = True
    run.sites.kill(site)


def _node_fails(run: Stage, deed: Deed) -> None:
    run.sites.places[deed.place].node.fails[deed.word] = deed.figure


def _node_false_full(run: Stage, deed: Deed) -> None:
    run.sites.places[deed.place].node.false_full = deed.figure


def _node_pace(run: Stage, deed: Deed) -> None:
    run.sites.slow(run.sites.places[deed.place], deed.figure, deed.do is Do.NODE_SLOW)


def _node_still(run: Stage, deed: Deed) -> None:
    run.sites.stall(run.sites.places[deed.place], deed.do is Do.NODE_STALL)


def _trouble(run: Stage, deed: Deed) -> None:
    run.write(log.Trouble(run.loop.now, deed.word, deed.do is Do.BEGIN))


def _watch_pause(run: Stage, deed: Deed) -> None:
    run.listing.pause_ms = deed.figure


def _resets(run: Stage, deed: Deed) -> None:
    run.wires.resets = deed.figure


def _zone_cut(run: Stage, deed: Deed) -> None:
    cut = run.network.cut if deed.do is Do.ZONE_CUT else run.network.mend
    cut(deed.word, deed.figure > 0)
    run.listing.reach([s for s in run.schedulers if s])
    if deed.do is Do.ZONE_MENDED:
        run.wires.mended()


def _scheduler_term(run: Stage, deed: Deed) -> None:
    scheduler = run.schedulers[deed.place]
    if scheduler and scheduler.alive:
        run.write(log.SchedulerState(run.loop.now, scheduler.name, "stopping"))
        scheduler.stop()


def _scheduler_kill(run: Stage, deed: Deed) -> None:
    scheduler = run.schedulers[deed.place]
    if scheduler and scheduler.alive:
        run.scheduler_ended(scheduler, "killed")


def _scheduler_up(run: Stage, deed: Deed) -> None:
    scheduler = run.schedulers[deed.place]
    if scheduler is None or not scheduler.alive:
        run.start_scheduler(deed.place)


def _tell_moved(run: Stage, deed: Deed) -> None:
    if scheduler := run.schedulers[deed.place]:
        scheduler.moved(run.listing.address)


Hand = Callable[[Stage, Deed], None]

_NODES: dict[Do, Hand] = {
    Do.NODE_NEW: _node_new, Do.NODE_END: _node_end, Do.NODE_FAILS: _node_fails,
    Do.NODE_FALSE_FULL: _node_false_full, Do.NODE_SLOW: _node_pace, Do.NODE_USUAL: _node_pace,
    Do.NODE_STALL: _node_still, Do.NODE_GO_ON: _node_still,
    Do.NODE_DRAIN: lambda run, deed: run.sites.drain(run.sites.places[deed.place]),
    Do.NODE_CRASH: lambda run, deed: run.sites.kill(run.sites.places[deed.place]),
    Do.NODE_BACK: lambda run, deed: run.sites.restart(run.sites.places[deed.place]),
    Do.NODE_VANISH: lambda run, deed: run.sites.kill(run.sites.places[deed.place], silent=True),
    Do.NODE_RETURN: lambda run, deed: run.sites.restart(run.sites.places[deed.place]),
}
_SCHEDULERS: dict[Do, Hand] = {
    Do.SCHEDULER_OUT: lambda run, deed: run.front.out(run.loop.now, deed.place),
    Do.SCHEDULER_TERM: _scheduler_term, Do.SCHEDULER_KILL: _scheduler_kill, Do.SCHEDULER_UP: _scheduler_up,
    Do.TELL_MOVED: _tell_moved,
}
_PLATFORM: dict[Do, Hand] = {
    Do.BEGIN: _trouble, Do.OVER: _trouble, Do.WATCH_PAUSE: _watch_pause, Do.RESETS: _resets,
    Do.ZONE_CUT: _zone_cut, Do.ZONE_MENDED: _zone_cut,
    Do.DISCOVERY_GONE: lambda run, deed: run.listing.gone(),
    Do.DISCOVERY_BACK: lambda run, deed: run.listing.back(anew=deed.figure > 0),
    Do.DISCOVERY_MOVED: lambda run, deed: run.listing.moved(),
    Do.BAD_CLIENTS: lambda run, deed: None,
}
