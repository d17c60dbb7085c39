"""What all parts of one run on sockets share: the clock, the log, names, the network, tries by their id."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from flintfield.lab.log import AnyRecord, Log
from flintfield.lab.scenario import Scenario
from flintfield.lab.sockets.addresses import Addresses
from flintfield.lab.sockets.proxy import Choose
from flintfield.lab.sockets.timing import Alarm, Clock
from flintfield.lab.world import Network, Streams, Try

MOST_ODD = 20


class Run:
    """One run; parts write to its log and read what others have to know."""

    def __init__(self, scenario: Scenario, seed: int, names: list[str], zones: list[str],
                 on_record: Callable[[AnyRecord], None] | None = None,
                 ways: Callable[[str], Choose] | None = None) -> None:
        self.scenario, self.streams = scenario, Streams(seed)
        self.clock, self.log, self._on_record = Clock(), Log(), on_record
        self.addresses = Addresses()
        self.network = Network(scenario.network, self.streams.of("network"))
        self.names, self._zones = names, zones
        self.ways = ways  # from a node's name to what befalls connections to it, by real proxies on the way
        self.tries: dict[str, Try] = {}
        self._branches: Counter[str] = Counter()
        self.alarms: list[Alarm] = []
        self.resets, self.reset_share = self.streams.of("sockets/resets"), 0.0
        self.report_fields: tuple[str, ...] = ()
        self.oddities: list[str] = []
        self.on_fall: Callable[[str], None] = lambda _: None

    @property
    def schedulers(self) -> int:
        """How many there are."""
        return len(self.names)

    def zone(self, scheduler: int) -> str:
        """Where that scheduler stands."""
        return self._zones[scheduler]

    def at(self) -> float:
        """The time for a record: what was before the start counts as its first instant."""
        return max(0.0, self.clock())

    def record(self, record: AnyRecord) -> None:
        """Write a record down."""
        self.log.add(record)
        if self._on_record:
            self._on_record(record)

    def next_branch(self, rid: str) -> int:
        """The number of a try's next attempt."""
        self._branches[rid] += 1
        return self._branches[rid] - 1

    def odd(self, word: str) -> None:
        """Something that makes the run void: a scheduler said what no client did."""
        if len(self.oddities) < MOST_ODD:
            self.oddities.append(word)

    def soon(self, act: Callable[[], None]) -> None:
        """Do it when what is being done is done."""
        asyncio.get_running_loop().call_soon(act)

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Do it after a while."""
        asyncio.get_running_loop().call_later(seconds, act)
