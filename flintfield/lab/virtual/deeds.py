"""What troubles do to a run in virtual time: each deed of the schedule, carried out.

Clients that send nonsense are refused by the parser, which this engine does not play: they do nothing here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from flintfield.lab import log
from flintfield.lab.world import Deed, Do

if TYPE_CHECKING:
    from flintfield.lab.virtual.engine import Engine


def carry_out(engine: Engine, deed: Deed) -> None:
    """Do it now."""
    if deed.do in _NODES:
        _NODES[deed.do](engine, deed)
    elif deed.do in _SCHEDULERS:
        _SCHEDULERS[deed.do](engine, deed)
    else:
        _PLATFORM[deed.do](engine, deed)


def _node_new(engine: Engine, deed: Deed) -> None:
    assert deed.machine is not None
    engine.sites.restart(engine.sites.add(deed.machine))


def _node_end(engine: Engine, deed: Deed) -> None:
    site = engine.sites.places[deed.place]
    site.retired = True
    engine.sites.kill(site)


def _node_fails(engine: Engine, deed: Deed) -> None:
    engine.sites.places[deed.place].node.fails[deed.word] = deed.figure


def _node_false_full(engine: Engine, deed: Deed) -> None:
    engine.sites.places[deed.place].node.false_full = deed.figure


def _node_pace(engine: Engine, deed: Deed) -> None:
    engine.sites.slow(engine.sites.places[deed.place], deed.figure, deed.do is Do.NODE_SLOW)


def _node_still(engine: Engine, deed: Deed) -> None:
    engine.sites.stall(engine.sites.places[deed.place], deed.do is Do.NODE_STALL)


def _trouble(engine: Engine, deed: Deed) -> None:
    engine.write(log.Trouble(engine.loop.now, deed.word, deed.do is Do.BEGIN))


def _watch_pause(engine: Engine, deed: Deed) -> None:
    engine.listing.pause_ms = deed.figure


def _resets(engine: Engine, deed: Deed) -> None:
    engine.wires.resets = deed.figure


def _zone_cut(engine: Engine, deed: Deed) -> None:
    cut = engine.network.cut if deed.do is Do.ZONE_CUT else engine.network.mend
    cut(deed.word, deed.figure > 0)
    engine.listing.reach([s for s in engine.schedulers if s])
    if deed.do is Do.ZONE_MENDED:
        engine.wires.mended()


def _scheduler_term(engine: Engine, deed: Deed) -> None:
    scheduler = engine.schedulers[deed.place]
    if scheduler and scheduler.alive:
        engine.write(log.SchedulerState(engine.loop.now, scheduler.name, "stopping"))
        scheduler.stop()


def _scheduler_kill(engine: Engine, deed: Deed) -> None:
    scheduler = engine.schedulers[deed.place]
    if scheduler and scheduler.alive:
        engine.scheduler_ended(scheduler, "killed")


def _scheduler_up(engine: Engine, deed: Deed) -> None:
    scheduler = engine.schedulers[deed.place]
    if scheduler is None or not scheduler.alive:
        engine.start_scheduler(deed.place)


def _tell_moved(engine: Engine, deed: Deed) -> None:
    if scheduler := engine.schedulers[deed.place]:
        scheduler.moved(engine.listing.address)


Hand = Callable[["Engine", Deed], None]

_NODES: dict[Do, Hand] = {
    Do.NODE_NEW: _node_new, Do.NODE_END: _node_end, Do.NODE_FAILS: _node_fails,
    Do.NODE_FALSE_FULL: _node_false_full, Do.NODE_SLOW: _node_pace, Do.NODE_USUAL: _node_pace,
    Do.NODE_STALL: _node_still, Do.NODE_GO_ON: _node_still,
    Do.NODE_DRAIN: lambda engine, deed: engine.sites.drain(engine.sites.places[deed.place]),
    Do.NODE_CRASH: lambda engine, deed: engine.sites.kill(engine.sites.places[deed.place]),
    Do.NODE_BACK: lambda engine, deed: engine.sites.restart(engine.sites.places[deed.place]),
    Do.NODE_VANISH: lambda engine, deed: engine.sites.kill(engine.sites.places[deed.place], silent=True),
    Do.NODE_RETURN: lambda engine, deed: engine.sites.restart(engine.sites.places[deed.place]),
}
_SCHEDULERS: dict[Do, Hand] = {
    Do.SCHEDULER_OUT: lambda engine, deed: engine.front.out(engine.loop.now, deed.place),
    Do.SCHEDULER_TERM: _scheduler_term, Do.SCHEDULER_KILL: _scheduler_kill, Do.SCHEDULER_UP: _scheduler_up,
    Do.TELL_MOVED: _tell_moved,
}
_PLATFORM: dict[Do, Hand] = {
    Do.BEGIN: _trouble, Do.OVER: _trouble, Do.WATCH_PAUSE: _watch_pause, Do.RESETS: _resets,
    Do.ZONE_CUT: _zone_cut, Do.ZONE_MENDED: _zone_cut,
    Do.DISCOVERY_GONE: lambda engine, deed: engine.listing.gone(),
    Do.DISCOVERY_BACK: lambda engine, deed: engine.listing.back(anew=deed.figure > 0),
    Do.DISCOVERY_MOVED: lambda engine, deed: engine.listing.moved(),
    Do.BAD_CLIENTS: lambda engine, deed: None,
}
