"""The status of a process and of a replica's store."""

from __future__ import annotations

import json
import re
import unittest
from collections.abc import Callable
from pathlib import Path

import flintfield
from flintfield.control.configuration import Configuration, Limits
from flintfield.control.stored import FORMAT, StoredConfiguration
from flintfield.coordination.model import Ballot, CoreSet, LeaderView, Member, Position
from flintfield.coordination.storage import MemoryStore
from flintfield.coordination.stored import (
    ACTIVE_KEY,
    CONFIGURATION_KEY,
    IDENTITY_KEY,
    ITEM_PREFIX,
    ORDER_KEY,
    StoredAcceptor,
    StoredIdentity,
    StoredOrder,
)
from flintfield.jobs import durable
from flintfield.observe.process import Identity, ProcessObserver
from flintfield.observe.status import process_status
from flintfield.observe.replica_store import UNREADABLE, replica_status
from flintfield.transport.counters import Counters
from flintfield.transport.records import MalformedRecord, decode, encode

ROOT = Path(__file__).resolve().parents[2]
CORE = CoreSet(2, (Member("a", "10.0.0.1:1", "z", 11), Member("b", "10.0.0.2:1", "z", 12)), 3)


class Clock:
    """Steady and wall time of a test."""

    now_ms = 1_000

    def __call__(self) -> int:
        return self.now_ms


class Node:
    """What is known of the core."""

    leader: LeaderView | None = LeaderView(5, "b", "10.0.0.2:1", 900)
    core: CoreSet | None = CORE


class View:
    """A view of the configuration."""

    def __init__(self) -> None:
        self.current: Configuration | None = None
        self.listeners: list[Callable[[Configuration], None]] = []

    def confirmed_ms_ago(self) -> int | None:
        return 40 if self.current is not None else None

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        self.listeners.append(callback)

    def take_up(self, configuration: Configuration) -> None:
        self.current = configuration
        for listener in self.listeners:
            listener(configuration)


def stored_configuration(version: int) -> bytes:
    """A value of the register."""
    document = {"version": version, "routes": [], "services": []}
    return encode(StoredConfiguration(FORMAT, version, json.dumps(document).encode(), ()))


def replica_items() -> dict[bytes, bytes]:
    """The records of a replica that works."""
    ballot = Ballot(2, 7, 99)
    return {
        IDENTITY_KEY: encode(StoredIdentity(11, True)),
        ACTIVE_KEY: encode(CORE),
        ORDER_KEY: encode(StoredOrder(5, 12, 1, Position(5, 40), 12)),
        CONFIGURATION_KEY: encode(StoredAcceptor(Ballot(2, 8, 98), ballot, stored_configuration(9))),
        ITEM_PREFIX + durable.job_key("01"): b"j",
        ITEM_PREFIX + durable.job_key("02"): b"j",
        ITEM_PREFIX + durable.end_key("03"): b"e",
        ITEM_PREFIX + durable.task_key("01.0.0.0"): b"t",
        ITEM_PREFIX + b"?later release": b"",
    }


class Replicas(unittest.TestCase):
    """What the records of a store say."""

    def test_a_replica_that_works(self) -> None:
        status = replica_status(replica_items())
        assert status is not None
        self.assertEqual(
            (status.identity, status.promised_epoch, status.epoch, status.sequence), (11, 5, 5, 40)
        )
        self.assertEqual((status.accepted_core, status.accepted_counter, status.promised_counter), (2, 7, 8))
        self.assertEqual((status.configuration_version, status.active_core), (9, CORE))
        self.assertEqual((status.jobs, status.ended_jobs, status.tasks, status.other_items), (2, 1, 1, 1))
        self.assertFalse(status.successor_accepted)

    def test_an_empty_store_is_no_replica(self) -> None:
        self.assertIsNone(replica_status({}))

    def test_a_replica_without_anything_else(self) -> None:
        status = replica_status({IDENTITY_KEY: encode(StoredIdentity(1, False))})
        assert status is not None
        self.assertEqual((status.configuration_version, status.active_core, status.jobs), (0, None, 0))

    def test_a_configuration_of_a_later_release_is_marked(self) -> None:
        value = encode(StoredConfiguration(FORMAT + 1, 9, b"", ()))
        items = {**replica_items(), CONFIGURATION_KEY: encode(StoredAcceptor(value=value))}
        status = replica_status(items)
        assert status is not None
        self.assertEqual(status.configuration_version, UNREADABLE)

    def test_a_record_of_another_kind_is_malformed(self) -> None:
        with self.assertRaises(MalformedRecord):
            replica_status({IDENTITY_KEY: encode(StoredOrder())})


class Processes(unittest.TestCase):
    """The status of a process."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.view = View()
        store = MemoryStore()
        store.apply(list(replica_items().items()))
        self.observer = ProcessObserver(
            Identity("a", "scheduler", "z", "10.0.0.1:1"),
            Node(),
            self.view,
            store,
            0,
            self.clock,
            lambda: 77_000,
        )

    def test_before_a_configuration_its_age_is_unknown(self) -> None:
        status = process_status(self.observer)
        self.assertEqual(
            (status.configuration_version, status.configuration_since_ms, status.confirmed_ms_ago),
            (0, -1, -1),
        )

    def test_the_whole_status_passes_the_wire(self) -> None:
        self.observer.watch("rpc", lambda: Counters(opened=3))
        self.observer.watch("dispatcher", lambda: None)
        self.view.take_up(Configuration(4, (), {}, Limits()))
        self.clock.now_ms = 1_250
        status = process_status(self.observer)
        self.assertEqual(decode(encode(status)), status)
        self.assertEqual(
            (
                status.configuration_version,
                status.configuration_since_ms,
                status.confirmed_ms_ago,
                status.uptime_ms,
            ),
            (4, 77_000, 40, 250),
        )
        self.assertEqual(
            {(counter.part, counter.name): counter.value for counter in status.counters}["rpc", "opened"], 3
        )
        self.assertEqual({counter.part for counter in status.counters}, {"rpc"})
        assert status.leader is not None
        self.assertEqual((status.leader.epoch, status.leader.heard_ago_ms), (5, 350))
        assert status.replica is not None
        self.assertEqual(status.replica.identity, 11)

    def test_too_many_parts_are_refused(self) -> None:
        with self.assertRaises(RuntimeError):
            for number in range(100):
                self.observer.watch(str(number), lambda: None)

    def test_the_release_is_the_packages(self) -> None:
        text = (ROOT / "pyproject.toml").read_text()
        version = re.search(r'^version = "(.*)"', text, re.MULTILINE)
        assert version is not None
        self.assertEqual(flintfield.__version__, version[1])
        self.assertEqual(process_status(self.observer).release, version[1])


if __name__ == "__main__":
    unittest.main()
