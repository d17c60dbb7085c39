"""Which connection the agent reports over, by events and effects."""

from __future__ import annotations

import random
import unittest

from flintfield.agent.link import (
    CONNECT_TIMEOUT_MS,
    LONGEST_BACKOFF_MS,
    PROVING_MS,
    SILENCE_MS,
    Blame,
    Close,
    Closed,
    Connect,
    Connected,
    ConnectFailed,
    Dismissed,
    Heard,
    LeaderFound,
    Link,
    LinkEffect,
    LinkEvent,
    LookUp,
    ReportNow,
    Reported,
    Superseded,
    Trial,
    Wake,
)

ADDRESS = "10.0.0.1:7000"
OTHER_ADDRESS = "10.0.0.2:7000"


class LinkTest(unittest.TestCase):
    """A link and its effects so far."""

    def setUp(self) -> None:
        self.link = Link(random.Random(5))
        self.now = 1_000

    def step(self, event: LinkEvent) -> list[LinkEffect]:
        """Take in an event now."""
        return self.link.step(self.now, event)

    def wake(self) -> list[LinkEffect]:
        """Let time pass until something is due."""
        at = self.link.wake_at(self.now)
        assert at is not None
        self.now = at
        return self.step(Wake())

    def connect(self, connection: int, epoch: int = 3, address: str = ADDRESS) -> None:
        """Go through a whole trial."""
        self.assertEqual([LookUp()], self.wake())
        self.assertEqual([Connect(address, CONNECT_TIMEOUT_MS)], self.step(LeaderFound(address, epoch)))
        self.assertEqual([ReportNow()], self.step(Connected(connection)))
        self.step(Heard(connection, epoch))

    def test_orders_prove_a_connection(self) -> None:
        self.connect(1)
        self.assertEqual(1, self.link.active)
        self.assertIs(Trial.NONE, self.link.trial)
        self.assertIsNone(self.link.wake_at(self.now))

    def test_nobody_leads_for_a_while(self) -> None:
        failures = 0
        for _ in range(20):
            before = self.now
            self.assertEqual([LookUp()], self.wake())
            self.assertLessEqual(self.now - before, LONGEST_BACKOFF_MS)
            self.step(LeaderFound("", 0))
            failures += 1
        self.assertEqual(20, failures)
        self.connect(1)

    def test_silence_after_a_report_starts_a_trial_and_keeps_the_connection(self) -> None:
        self.connect(1)
        self.step(Reported())
        self.now += SILENCE_MS - 1
        self.assertEqual([], self.step(Wake()))
        self.assertIs(Trial.NONE, self.link.trial)
        self.now += 1
        self.step(Wake())
        self.assertIs(Trial.WAITING, self.link.trial)
        self.assertEqual(1, self.link.active)
        self.assertEqual([LookUp()], self.wake())
        self.step(LeaderFound(OTHER_ADDRESS, 4))
        self.step(Connected(2))
        self.assertEqual([Close(1)], self.step(Heard(2, 4)))
        self.assertEqual(2, self.link.active)

    def test_orders_on_the_active_connection_end_a_trial(self) -> None:
        self.connect(1)
        self.step(Reported())
        self.now += SILENCE_MS
        self.step(Wake())
        self.wake()
        self.step(LeaderFound(ADDRESS, 3))
        self.step(Connected(2))
        self.assertEqual([Close(2)], self.step(Heard(1, 3)))
        self.assertEqual(1, self.link.active)
        self.assertEqual([Close(3)], self.step(Connected(3)), "a connection that came too late")

    def test_several_reports_without_orders_count_from_the_first(self) -> None:
        self.connect(1)
        self.step(Reported())
        first = self.now
        self.now += 500
        self.step(Reported())
        self.assertEqual(first + SILENCE_MS, self.link.wake_at(self.now))

    def test_a_closed_connection_is_replaced_at_once(self) -> None:
        self.connect(1)
        self.step(Closed(1))
        self.assertIsNone(self.link.active)
        self.connect(2)
        self.assertEqual(2, self.link.active)

    def test_a_dismissal_starts_a_trial(self) -> None:
        self.connect(1)
        self.step(Dismissed(1))
        self.assertIs(Trial.WAITING, self.link.trial)

    def test_a_dismissal_on_trial_blames_the_address(self) -> None:
        self.wake()
        self.step(LeaderFound(ADDRESS, 3))
        self.step(Connected(1))
        self.assertEqual([Blame(ADDRESS), Close(1)], self.step(Dismissed(1)))
        self.assertIs(Trial.WAITING, self.link.trial)

    def test_a_trial_without_orders_fails(self) -> None:
        self.wake()
        self.step(LeaderFound(ADDRESS, 3))
        self.step(Connected(1))
        self.assertEqual([Blame(ADDRESS), Close(1)], self.wake())

    def test_a_connection_that_cannot_be_made(self) -> None:
        self.wake()
        self.step(LeaderFound(ADDRESS, 3))
        self.assertEqual([Blame(ADDRESS)], self.step(ConnectFailed()))

    def test_an_earlier_leader_is_not_tried(self) -> None:
        self.connect(1, epoch=5)
        self.step(Closed(1))
        self.wake()
        self.assertEqual([], self.step(LeaderFound(ADDRESS, 4)))
        self.assertIs(Trial.WAITING, self.link.trial)

    def test_orders_of_an_earlier_epoch_prove_nothing(self) -> None:
        self.connect(1, epoch=5)
        self.step(Closed(1))
        self.wake()
        self.step(LeaderFound(ADDRESS, 5))
        self.step(Connected(2))
        self.assertEqual([], self.step(Heard(2, 4)))
        self.assertIsNone(self.link.active)

    def test_a_worker_that_knows_a_newer_dispatcher(self) -> None:
        self.connect(1)
        self.step(Superseded())
        self.assertIs(Trial.WAITING, self.link.trial)
        self.step(Superseded())
        self.assertIs(Trial.WAITING, self.link.trial)

    def test_a_frozen_leader_that_is_still_named_costs_less_than_an_election(self) -> None:
        self.connect(1)
        self.step(Reported())
        self.wake()  # silent for long enough
        self.assertEqual([LookUp()], self.wake())
        begun = self.now
        self.step(LeaderFound(ADDRESS, 3))
        self.step(Connected(2))  # the kernel of a frozen process takes connections
        self.assertEqual([Blame(ADDRESS), Close(2)], self.wake())
        self.assertEqual(begun + PROVING_MS, self.now)
        self.connect(3, epoch=4, address=OTHER_ADDRESS)
        self.assertLess(self.now - begun, 500)

    def test_a_shell_that_never_answers_is_asked_again(self) -> None:
        self.wake()
        self.wake()
        self.assertIs(Trial.WAITING, self.link.trial)
        self.assertEqual([LookUp()], self.wake())


if __name__ == "__main__":
    unittest.main()
