"""What all parts of one run on sockets share: the clock, the log, names, the network, tries by their id."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections import Counter
from collections.abc import Callable

import msgspec

from flintfield.lab.log import AnyRecord, Log
from flintfield.lab.scenario import Scenario
from flintfield.lab.sockets.addresses import Addresses
from flintfield.lab.sockets.proxy import Choose
from flintfield.lab.sockets.timing import Alarm, Clock
from flintfield.lab.world import Network, Streams, Try

MOST_ODD = 20
HOLD_MS = 300.0


class Ledger:
    """Puts records in order of time.

    Some tell of an instant that is past when they can be written: a head's first byte, a lost connection
    whose cause shows a moment later. So all are held for a while; one that comes later still takes the time
    of the last that was written.
    """

    def __init__(self, write: Callable[[AnyRecord], None]) -> None:
        self._write = write
        self.also: Callable[[AnyRecord], None] = lambda _: None  # another listener
        self._held: list[tuple[float, int, AnyRecord]] = []
        self._numbers = itertools.count()
        self._last = 0.0
        self.count = 0

    def add(self, record: AnyRecord) -> None:
        """Take a record in."""
        heapq.heappush(self._held, (record.at, next(self._numbers), record))

    def flush(self, until: float) -> None:
        """Write what is of that time or before, ms."""
        while self._held and self._held[0][0] <= until:
            at, _, record = heapq.heappop(self._held)
            self._last = max(self._last, at)
            self.count += 1
            if at < self._last:
                record = msgspec.structs.replace(record, at=self._last)
            self._write(record)
            self.also(record)


class Run:
    """One run; parts write to its log and read what others have to know."""

    def __init__(self, scenario: Scenario, seed: int, names: list[str], zones: list[str],
                 on_record: Callable[[AnyRecord], None] | None = None,
                 ways: Callable[[str], Choose] | None = None) -> None:
        self.scenario, self.streams = scenario, Streams(seed)
        self.clock, self.log = Clock(), Log()
        self.ledger = Ledger(on_record or self.log.add)
        self.addresses = Addresses()
        self.network = Network(scenario.network, self.streams.of("network"))
        self.names, self._zones = names, zones
        self.ways = ways  # from a node's name to what befalls connections to it, by real proxies on the way
        self.tries: dict[str, Try] = {}
        self.refused_with: dict[str, int] = {}  # the status of refusals, by try
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
        self.ledger.add(record)

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
