"""The recorder: each event of the decision module and what it decided, one JSON object a line.

It hangs on the reducer's tap and is told nothing else; the decision module does not know of it. Before the
records there is a header with all that a replay starts from, and now and then a new one.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from flintfield.capture.records import Names, decision_records, event_record, server_record
from flintfield.decision.checkpoint import TooLarge, save
from flintfield.decision.interface import Action, Event, Request, ServerList
from flintfield.memory.state import State

FRESH = "fresh"  # the state of a module that was just made
MOST_HEADER = 96 * 1024  # a larger state takes long to write out, and events wait meanwhile
HEADER_PART = 0.75  # of a small ring
PRUNE_EVERY = 4096  # events: guards against names that are kept for ever while a disk hangs
VALUE_BYTES = 4  # what a value of the state takes at the least, with its comma
encode = json.JSONEncoder(separators=(",", ":")).encode


class Sink(Protocol):
    """Where the records go."""

    def begin(self, header: bytes) -> None:
        """A header, and the records that follow it."""

    def add(self, records: bytes) -> bool:
        """The records of one event; whether a new header is wanted behind them."""


@dataclass(frozen=True, slots=True)
class Start:
    """What a header tells of the program."""

    scheduler: str
    version: str
    seed: int
    settings: Any  # as the platform's configuration has them


class Recorder:
    """Turns what the tap sees into lines; each is encoded once and kept as bytes."""

    def __init__(self, state: State, start: Start, sink: Sink, size: int) -> None:
        self._memory, self._dispatcher = state, state.dispatcher
        self._start, self._sink = start, sink
        self._most_header = int(min(MOST_HEADER, size * HEADER_PART))
        self._names = Names()
        self._count = 0
        self._began = False

    def record(self, now: float, event: Event, actions: Sequence[Action]) -> None:
        """Take one event, and what the module answered."""
        if not self._began:
            self._began = True
            self._sink.begin(self._line(self._head(now) | {"servers": [], "state": FRESH}))
        self._learn(event)
        self._count += 1
        stamp = {"n": self._count, "at": now}
        lines = [self._line(event_record(event, self._names) | stamp)]
        lines += [self._line(r | stamp) for r in decision_records(actions, self._names)]
        if self._sink.add(b"".join(lines)):
            self._sink.begin(self._header(now))
        elif self._count % PRUNE_EVERY == 0:
            self._prune()

    def _line(self, record: Mapping[str, Any]) -> bytes:
        return encode(record).encode() + b"\n"

    def _learn(self, event: Event) -> None:
        """Note the names of what an event is the first to tell of."""
        if isinstance(event, Request):
            given = self._memory.transactions[event.rid].submission
            self._names.requests[event.rid] = given.name, given.class_name
        elif isinstance(event, ServerList):
            for entry in event.entries:
                if route := self._memory.routes.get(entry.worker):
                    self._names.workers[entry.worker] = route.name
                    self._names.addresses[entry.worker] = "{}:{}".format(*route.address)

    def _prune(self) -> None:
        """Forget the names of what the module itself has forgotten."""
        module = self._dispatcher
        attempts = [*module.attempts.values(), *(a for j in module.jobs.values() for a in j.attempts)]
        workers = dict.fromkeys([*module.workers, *(a.worker.entry.worker for a in attempts)])
        self._names.keep(workers, dict.fromkeys([*module.jobs, *(rid for rid, _ in module.attempts)]))

    # ----------------------------------------------------------------- headers

    def _head(self, now: float) -> dict[str, Any]:
        start = self._start
        return {"record": "header", "scheduler": start.scheduler, "version": start.version, "at": now,
                "after": self._count, "seed": f"{start.seed:x}", "settings": start.settings}

    def _header(self, now: float) -> bytes:
        """The list and the module's state as they stand; what does not fit is named under `omitted`."""
        self._prune()
        servers = [server_record(w.entry, self._names) for w in self._dispatcher.workers.values()]
        head = self._head(now) | {"servers": servers}
        if state := self._state():
            line = self._line(head | {"state": state})
            if len(line) <= self._most_header:
                return line
        line = self._line(head | {"omitted": ["state"]})
        if len(line) <= self._most_header:
            return line
        return self._line(head | {"servers": [], "omitted": ["state", "servers"]})

    def _state(self) -> dict[str, Any] | None:
        try:
            module = save(self._dispatcher, self._most_header // VALUE_BYTES)
        except TooLarge:
            return None
        names = self._names
        return {"module": module, "workers": [[n, name] for n, name in names.workers.items()],
                "requests": [[rid, *told] for rid, told in names.requests.items()]}
