"""Replay of a record: the same module is told the same events, and what it decides otherwise now is told."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Iterator
from itertools import zip_longest
from typing import Any, BinaryIO

from flintfield.base.settings import ConfigError, read_real_settings
from flintfield.capture.records import Names, decision_records, read_event, read_server, word_of
from flintfield.capture.recorder import FRESH
from flintfield.decision.checkpoint import restore
from flintfield.decision.interface import ListMode, ServerList
from flintfield.decision.policy import Dispatcher

MARK = b"-----CAPTURE-----"
NOTHING = "none"
SAME, DIFFERS, BAD_FILE = 0, 1, 2
Warn = Callable[[str], None]


class NoHeader(Exception):
    """There is nothing that a replay could start from."""


class Replay:
    """Reads a record line by line; `differences` are told as they are found."""

    def __init__(self, warn: Warn) -> None:
        self._warn = warn
        self._module: Dispatcher | None = None
        self._names = Names()
        self._event = 0  # the number of the event last played
        self._decided: list[tuple[int, str]] = []  # at that event, by the module now: rid and word
        self._recorded: list[tuple[int, str]] = []  # and then
        self._damaged = False  # a line of that event may be missing

    def differences(self, lines: Iterable[bytes]) -> Iterator[str]:
        """Each decision that differs, as `Req-Id then -> now`; `NoHeader` if a replay can start nowhere."""
        for number, line in _recorded_lines(lines):
            try:
                told = json.loads(line)
                if told["record"] == "decision":
                    self._take_decision(told)
                    continue
                found = list(self._compare())
                self._play(told)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self._warn(f"line {number} cannot be read, skipped: {type(error).__name__}: {error}")
                self._damaged = True
                continue
            yield from found
        if self._module is None:
            raise NoHeader
        yield from self._compare()

    def _take_decision(self, told: dict[str, Any]) -> None:
        rid, word = told["rid"], word_of(told)
        self._names.requests.setdefault(rid, (told["Req-Id"], ""))
        if told["n"] == self._event:
            self._recorded.append((rid, word))

    def _play(self, told: dict[str, Any]) -> None:
        if told["record"] == "header":
            self._start(told)
            return
        event, number = read_event(told, self._names), told["n"]
        if self._module is None:
            raise ValueError("a record before any header")
        if number != self._event + 1:
            self._warn(f"events {self._event + 1} to {number - 1} are missing: decisions may differ for that")
        self._event, self._recorded, self._damaged = number, [], False
        try:
            self._module.handle(told["at"], event)
        except Exception as error:  # as in service: the module's failure ends nothing
            self._warn(f"event {number}: the decision module failed: {error!r}")
        decisions = decision_records(self._module.actions, self._names)
        self._decided = [(d["rid"], word_of(d)) for d in decisions]

    def _compare(self) -> Iterator[str]:
        """What differs at the last event, request by request."""
        decided, recorded = self._decided, self._recorded
        self._decided, self._recorded = [], []
        if self._damaged and len(decided) != len(recorded):
            return  # what is missing in the file is no decision that differs
        for rid in dict.fromkeys(r for r, _ in recorded + decided):
            then, now = ([word for r, word in part if r == rid] for part in (recorded, decided))
            for old, new in zip_longest(then, now, fillvalue=NOTHING):
                if old != new:
                    yield f"{self._names.request(rid)} {old} -> {new}"

    def _start(self, header: dict[str, Any]) -> None:
        """Begin from a header."""
        try:
            settings = read_real_settings(header["settings"])
        except ConfigError as error:
            raise ValueError(str(error)) from error
        names, state = Names(), header.get("state")
        servers = tuple(read_server(r, names) for r in header["servers"])
        if state is None:
            self._warn(f"the header lacks {', '.join(header['omitted'])}: decisions may differ for that")
            module = Dispatcher(settings, int(header["seed"], 16))
            module.handle(header["at"], ServerList(ListMode.CACHED, servers))
        elif state == FRESH:
            module = Dispatcher(settings, int(header["seed"], 16))
        else:
            module = restore(settings, state["module"])
            names.workers |= {number: name for number, name in state["workers"]}
            names.requests |= {rid: (name, kind) for rid, name, kind in state["requests"]}
        self._module, self._names, self._event = module, names, header["after"]
        self._damaged = False


def _recorded_lines(lines: Iterable[bytes]) -> Iterator[tuple[int, bytes]]:
    """The lines of a record, numbered; of a text with marker lines only what stands between two of them."""
    marked = inside = False
    for number, line in enumerate(lines, 1):
        if line.strip() == MARK:
            marked, inside = True, not (marked and inside)
            continue
        # A file of its own has no marker; log lines that stand before one are none of ours.
        inside = inside or (not marked and line.startswith(b"{") and b'"record"' in line)
        if inside and line.strip():
            yield number, line


def run(path: str) -> int:
    """The command: print what differs; the exit code tells whether anything did."""
    try:
        with open(path, "rb") as file:
            return _print_all(file, path)
    except OSError as error:
        print(f"flintfield replay: {path}: {error.strerror}", file=sys.stderr)
    except NoHeader:
        print(f"flintfield replay: {path}: no header record", file=sys.stderr)
    return BAD_FILE


def _print_all(file: BinaryIO, path: str) -> int:
    code = SAME
    replay = Replay(lambda word: print(f"flintfield replay: {path}: warning: {word}", file=sys.stderr))
    for difference in replay.differences(file):
        print(difference)
        code = DIFFERS
    return code
