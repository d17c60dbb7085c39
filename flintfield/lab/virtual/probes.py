"""The probes of one scheduler: it asks nodes for their load, on connections of its own that it keeps."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.decision.interface import Report
from flintfield.lab import log
from flintfield.lab.virtual.connections import Link
from flintfield.lab.virtual.idle import IdleConnections
from flintfield.lab.virtual.interface import Process
from flintfield.lab.world import Reading
from flintfield.memory.messages import End, Ending, ProbeEnded, ProbeWorker, Reach
from flintfield.wire.http1 import client, hop

PROBE_MS, PROBE_KEPT_MS = hop.PROBE_S * 1_000, hop.PROBE_KEPT_S * 1_000


@dataclass(slots=True, eq=False)
class _Probe:
    """A probe that is out."""

    effect: ProbeWorker
    began: float
    link: Link | None = None
    reused: bool = False  # it went out on a kept connection
    over: bool = False


class Probes:
    """The probes that are out, and the connections kept for them."""

    def __init__(self, process: Process) -> None:
        self._process, self._run = process, process.run
        self._loop, self._wires = process.run.loop, process.run.wires
        retire_ms = process.run.scenario.fleet.conn_idle_ms * client.RETIRE_PART
        self.kept = IdleConnections(self._loop, self._wires, retire_ms)

    def send(self, effect: ProbeWorker) -> None:
        """Ask a node for its load."""
        probe = _Probe(effect, self._loop.now)
        self._loop.at(self._loop.now + PROBE_MS, self._ended, probe, End.BROKEN, Reach.SENT, None)
        link = self.kept.take(effect.address)
        if link is None:
            self._dial(probe)
            return
        probe.link, probe.reused = link, True
        self._ask(probe, link)
        self._loop.at(self._loop.now + PROBE_KEPT_MS, self._try_anew, probe, link)

    def _try_anew(self, probe: _Probe, link: Link) -> None:
        if probe.over or probe.link is not link or not self._process.alive:
            return
        self.kept.drop(probe.effect.address)
        self._wires.hang_up(link)
        self._dial(probe)

    def _dial(self, probe: _Probe) -> None:
        link = self._run.sites.link_from(self._process.zone, probe.effect.address)
        probe.link, probe.reused = link, False
        self._wires.dial(link, lambda: self._up(probe, link),
                         lambda: self._ended(probe, End.BROKEN, Reach.DIALLING, None))

    def _up(self, probe: _Probe, link: Link) -> None:
        if probe.over or not self._process.alive:
            self._wires.hang_up(link)
        else:
            self._ask(probe, link)

    def _ask(self, probe: _Probe, link: Link) -> None:
        link.broken = lambda: self._broke(probe, link)
        self._wires.to_node(link, lambda: self._there(probe, link))

    def _broke(self, probe: _Probe, link: Link) -> None:
        """A reset: a kept connection is no use then, a new one was the last try."""
        if probe.link is not link or probe.over or not self._process.alive:
            return
        link.open = False
        if probe.reused:
            self._try_anew(probe, link)
        else:
            self._ended(probe, End.BROKEN, Reach.SENT, None)

    def _there(self, probe: _Probe, link: Link) -> None:
        """At the node: it answers with its load, or that it has none to tell."""
        if not link.site.answers(link.life):
            return
        self._run.write(log.ProbeSeen(self._loop.now, self._process.name, link.site.name))
        reading = link.site.node.probe(self._loop.now)
        end = End.DONE if reading else End.DECLINED
        self._wires.to_scheduler(link, lambda: self._back(probe, link, end, reading))

    def _back(self, probe: _Probe, link: Link, end: End, reading: Reading | None) -> None:
        if probe.over or probe.link is not link or not self._process.alive:
            self._wires.hang_up(link)
            return
        self.kept.put(probe.effect.address, link)
        self._ended(probe, end, Reach.ANSWERED, reading)

    def _ended(self, probe: _Probe, end: End, reach: Reach, reading: Reading | None) -> None:
        if probe.over or not self._process.alive:
            return
        probe.over = True
        if probe.link and reach is not Reach.ANSWERED:
            self._wires.hang_up(probe.link)
        report = Report(free=reading.free, inflight=reading.inflight, queue=reading.queue,
                        latency_ms=reading.latency_ms) if reading else None
        self._process.tell(ProbeEnded(probe.effect.worker, Ending(end, reach, report=report),
                                      self._loop.now - probe.began))
