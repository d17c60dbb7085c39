"""Playing one history: a scenario's world from its start to its end, then its judge."""

from __future__ import annotations

import gc
import logging
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import SimpleNamespace
from unittest import mock
from typing import Any

from flintfield.coordination import directory
from flintfield.simulation import judge, scenario as scenarios
from flintfield.simulation.clients import Clients
from flintfield.simulation.cluster import Cluster
from flintfield.simulation.operator import Operator
from flintfield.simulation.plans import Bounds, Plan
from flintfield.simulation.record import Record
from flintfield.simulation.scenario import Scenario
from flintfield.simulation.world import World

PLAYED_MS = 21_000
SHORTEST_MS = 9_800
AFTER_FAULTS_MS = 1_000
LOOK_MS = 250
FINISH_MS = 3_500  # for the last questions


@dataclass
class Outcome:
    """What became of a history."""

    scenario: Scenario
    broken: list[str]
    record: Record
    trace: list[tuple[float, str]] = field(repr=False)
    events: int = 0
    messages: int = 0

    @property
    def rules(self) -> set[str]:
        """The names of the rules that were broken."""
        return {line.partition(" ")[0] for line in self.broken}


def play(seed: int, scenario: Scenario | None = None) -> Outcome:
    """Play the history of a seed, or that scenario."""
    plot = scenario if scenario is not None else scenarios.draw(seed)
    world = World(random.Random(f"world {plot.seed}"))
    record = Record()
    bounds = Bounds()
    plans = {script.job.id: script.plans for script in plot.jobs}
    with _quiet(record), _virtual_time(world), _without_collection():
        cluster = Cluster(world, record, plot, bounds, lambda task: _plan(plans, task))
        clients = Clients(cluster)
        operator = Operator(cluster, clients.paths.append)
        cluster.start()
        clients.begin(plot.jobs)
        operator.begin(plot.changes)
        _run(world, cluster, clients, operator)
        record.end_ms = world.now_ms
        clients.finish()
        operator.finish()
        world.run_until(world.now_ms + FINISH_MS)
    _note_crashes(world, record)
    broken = judge.check(record, bounds, plot)
    return Outcome(plot, broken, record, world.trace, world.events, world.network.carried)


def _run(world: World, cluster: Cluster, clients: Clients, operator: Operator) -> None:
    """Play until nothing more is to come, or the time is up."""
    faults_end_ms = max((fault.at_ms + fault.length_ms for fault in cluster.scenario.faults), default=0)
    world.run_until(min(max(SHORTEST_MS, faults_end_ms + AFTER_FAULTS_MS), PLAYED_MS))
    while world.now_ms < PLAYED_MS and not (clients.idle and operator.idle and cluster.fleet.calls.idle):
        world.run_until(world.now_ms + LOOK_MS)


def _plan(plans: dict[str, tuple[Plan, ...]], task: str) -> Plan:
    job, _, step, _ = task.split(".")
    return plans[job][int(step)]


def _note_crashes(world: World, record: Record) -> None:
    for process in [*world.processes(), *world.graveyard]:
        for failure in process.loop.failures:
            error: Any = failure.get("exception")
            record.crashes.append(f"{process.machine.name}: {failure.get('message')}: {error!r}")


@contextmanager
def _without_collection() -> Iterator[None]:
    """Without the collection of garbage, which costs a fifth; a history leaves some 20 MB."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


class _Tracebacks(logging.Handler):
    """Notes exceptions that the program catches and logs."""

    def __init__(self, record: Record) -> None:
        super().__init__(logging.WARNING)
        self._record = record

    def emit(self, record: logging.LogRecord) -> None:
        """Note the record if it holds an exception."""
        if record.exc_info:
            self._record.crashes.append(f"{record.name}: {record.getMessage()}: {record.exc_info[1]!r}")


@contextmanager
def _quiet(record: Record) -> Iterator[None]:
    """Without the program's own logs, of which only exceptions are noted."""
    before = logging.root.manager.disable
    handler = _Tracebacks(record)
    handlers, logging.root.handlers = logging.root.handlers, [handler]
    logging.disable(logging.INFO)
    try:
        yield
    finally:
        logging.disable(before)
        logging.root.handlers = handlers


@contextmanager
def _virtual_time(world: World) -> Iterator[None]:
    """The directory reads the system's steady clock; here it reads the world's."""
    clock = SimpleNamespace(
        monotonic=lambda: world.now_ms / 1_000, monotonic_ns=lambda: int(world.now_ms * 1_000_000)
    )
    with mock.patch.object(directory, "time", clock):
        yield
