"""Play a scenario in virtual time with the engine that it calls for."""

from __future__ import annotations

from collections.abc import Callable

from flintfield.lab import log
from flintfield.lab.scenario import Scenario
from flintfield.lab.virtual.engine import Engine, Make
from flintfield.lab.virtual.interface import Reducer
from flintfield.memory.reducer import reduce


def play(scenario: Scenario, seed: int, chooser: str = "flintfield", *, make: Make | None = None,
         on_record: Callable[[log.AnyRecord], None] | None = None, reducer: Reducer = reduce) -> log.Log:
    """Play a scenario to its end and return the event log.

    `chooser` names what decides: `flintfield` or one of `choosers.NAMES`; `make` makes something else, to
    be logged under that name. `on_record` sees each record as it is written; the log that is returned is
    empty then, so that a long run needs no memory for it. `reducer` stands in for the scheduler's own.
    """
    if scenario.sharing.judgements and chooser == "flintfield" and make is None:
        # Imported here: few scenarios share judgements, and each process of a sweep would load it.
        from flintfield.lab.virtual.judgements import SharedEngine

        return SharedEngine(scenario, seed, on_record, reducer).run()
    return Engine(scenario, seed, chooser, make, on_record, reducer).run()
