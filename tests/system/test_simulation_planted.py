"""Each planted fault is found within its number of histories, and the small worlds find theirs."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import pytest

from flintfield.agent.incarnation import Incarnation, Standing
from flintfield.coordination.model import Member
from flintfield.coordination.register_messages import Accept, AcceptDelta
from flintfield.coordination.stored import ACTIVE_KEY, IDENTITY_KEY, KNOWN_KEY
from flintfield.simulation.explore import core_changes, core_parts, register, stored_replicas
from flintfield.simulation.explore.explorer import Explored, explore
from flintfield.simulation.explore.takeover import TakeoverWorld
from flintfield.simulation.explore.takeover_budget import Budget
from flintfield.simulation.history import play
from flintfield.simulation.planted import FAULTS, IN_SMALL_WORLDS, planted
from flintfield.simulation.scenario import draw
from flintfield.transport.rpc import Unanswered

from .coordination_world import Process, Violation, World

QUICK = 12  # faults that are found within so few histories are looked for in each run


def histories_until_found(name: str) -> int | None:
    """After how many histories of its theme a planted fault is found; None: it isn't."""
    fault = FAULTS[name]
    with planted(name):
        for seed in fault.seeds:
            if play(seed, draw(seed, fault.theme)).broken:
                return seed + 1 - fault.first
    return None


def accept_at_one(process: Process, address: str) -> None:
    """Let what this process proposes reach the replica at that address alone."""
    call = process.node._peers.call

    async def call_one(member: Member, message: Any, timeout_ms: int) -> Any:
        if isinstance(message, Accept | AcceptDelta) and member.address != address:
            raise Unanswered("lost")
        return await call(member, message, timeout_ms)

    process.node._peers.call = call_one  # type: ignore[method-assign]


class Planted(unittest.TestCase):
    """Faults planted in the program."""

    def test_those_that_show_soon_are_found(self) -> None:
        for name, fault in FAULTS.items():
            if IN_SMALL_WORLDS < fault.within <= QUICK:
                with self.subTest(name):
                    self.assertIsNotNone(histories_until_found(name))

    @pytest.mark.slow
    def test_the_others_are_found_within_their_bounds(self) -> None:
        for name, fault in FAULTS.items():
            if fault.within > QUICK:
                with self.subTest(name):
                    self.assertIsNotNone(histories_until_found(name))

    def test_those_of_small_worlds_are_found_there(self) -> None:
        in_small_worlds = {name for name, fault in FAULTS.items() if fault.within == IN_SMALL_WORLDS}
        expected = {"skip-sealing", "vote-after-wipe", "commit-at-one-replica", "accept-without-base"}
        self.assertEqual(expected, in_small_worlds)  # by SmallWorlds, below

    def test_nothing_stays_planted(self) -> None:
        fault = FAULTS["grant-from-receipt"].patches()[0]
        before = getattr(fault.owner, fault.attribute)
        with planted("grant-from-receipt"):
            self.assertIsNot(before, getattr(fault.owner, fault.attribute))
        self.assertIs(before, getattr(fault.owner, fault.attribute))


class SmallWorlds(unittest.TestCase):
    """Every order of events, to a depth."""

    def setUp(self) -> None:
        stored_replicas.forget_steps()

    def tearDown(self) -> None:
        stored_replicas.forget_steps()

    def _register(self, depth: int, prepared: bool = False) -> Explored:
        return explore(register.register_world(1, prepared), depth)

    def test_the_register_keeps_what_was_committed_while_its_replicas_change(self) -> None:
        explored = self._register(5)
        self.assertEqual("", explored.broken)
        self.assertGreater(explored.states, 1_500)

    @pytest.mark.slow
    def test_the_register_keeps_it_to_a_greater_depth(self) -> None:
        for prepared in (False, True):
            self.assertEqual("", self._register(8, prepared).broken)

    @pytest.mark.slow
    def test_a_state_that_is_taken_from_replicas_that_still_serve_is_found(self) -> None:
        with planted("skip-sealing"):
            self.assertIn("committed", self._register(8, prepared=True).broken)

    def test_two_changes_of_the_set_and_a_lost_disk_lose_nothing(self) -> None:
        limits = core_parts.Limits(3, elections=0, writes=1, unfinished=0)
        explored = explore(core_changes.core_world(limits), 7)
        self.assertEqual("", explored.broken)
        self.assertGreater(explored.states, 4_000)

    @pytest.mark.slow
    def test_two_changes_of_the_set_a_lost_disk_and_a_new_leader_lose_nothing(self) -> None:
        for size, elections in ((3, 1), (4, 0)):
            with self.subTest(size):
                limits = core_parts.Limits(size, elections, writes=1, unfinished=0)
                explored = explore(core_changes.core_world(limits), 40, most_states=3_000_000)
                self.assertEqual("", explored.broken)
                self.assertTrue(explored.complete)

    def test_a_state_that_is_taken_while_the_old_set_still_serves_loses_an_item(self) -> None:
        limits = core_parts.Limits(3, elections=0, writes=1, unfinished=0)
        with planted("skip-sealing"):
            explored = explore(core_changes.core_world(limits), 5)
        self.assertIn("lacks", explored.broken)

    def test_a_replica_that_votes_after_the_loss_of_its_disk_loses_an_item(self) -> None:
        """What `vote-after-wipe` does: identity and set are kept, the items are gone."""
        kept = {IDENTITY_KEY, ACTIVE_KEY, KNOWN_KEY}

        def keep_identity(self: core_changes.CoreWorld, slot: int) -> core_changes.CoreWorld:
            stored = tuple(pair for pair in self.replicas[slot] if pair[0] in kept)
            return self._put({slot: stored}, wiped=slot)

        limits = core_parts.Limits(3, elections=0, writes=1, unfinished=0)
        with mock.patch.object(core_changes.CoreWorld, "_wipe", keep_identity):
            explored = explore(core_changes.core_world(limits), 3)
        self.assertIn("lacks", explored.broken)

    def test_a_leaver_that_ends_before_its_place_is_taken_leaves_no_majority(self) -> None:
        limits = core_parts.Limits(3, elections=0, writes=0, unfinished=0)
        with mock.patch.object(core_changes.CoreWorld, "may_leave", lambda self: True):
            explored = explore(core_changes.core_world(limits), 3)
        self.assertIn("no majority", explored.broken)

    def test_a_commit_at_a_single_replica_is_found(self) -> None:
        with planted("commit-at-one-replica"):
            self.assertIn("committed", self._register(5, prepared=True).broken)

    def test_a_commit_at_a_single_replica_is_found_by_the_judge_of_whole_nodes(self) -> None:
        """The others never get the proposal, and the one that has it loses power for good."""
        with planted("commit-at-one-replica"):
            world = World(5, replicas=3, clients=2)
            world.start_all()
            self.assertTrue(world.run_for(10_000, world.settled))
            first, second = world.processes()[3:]
            accept_at_one(first, world.processes()[0].address)
            world.change(first)
            world.run_for(200)
            self.assertEqual(1, len(world.judge.acknowledged))
            world.kill(world.machines[0], restart_ms=None, power=True)
            with self.assertRaises(Violation):
                world.change(second)
                world.run_for(3_000)

    @pytest.mark.slow
    def test_an_accepted_difference_without_its_base_is_found(self) -> None:
        with planted("accept-without-base"):
            self.assertIn("committed", self._register(7, prepared=True).broken)

    def test_a_takeover_starts_nothing_twice(self) -> None:
        explored = explore(TakeoverWorld(Budget(takeovers=1, unanswered=1, ends=0, waits=1)), 30)
        self.assertEqual("", explored.broken)
        self.assertTrue(explored.complete)

    # Guards against the review's TWICE: an end that a worker lists after it has deregistered is lost.
    def test_a_worker_that_leaves_and_is_replaced_starts_nothing_twice(self) -> None:
        explored = explore(TakeoverWorld(Budget(unanswered=0, waits=2, deregistrations=1)), 30)
        self.assertEqual("", explored.broken)
        self.assertTrue(explored.complete)

    def test_a_successor_that_displaces_ends_that_are_not_durable_is_found(self) -> None:
        is_over = Incarnation.is_over

        def hasty(self: Incarnation, now: int) -> bool:
            return self.standing is Standing.REPLACED or is_over(self, now)

        with mock.patch.object(Incarnation, "is_over", hasty):
            explored = explore(TakeoverWorld(Budget(unanswered=0, waits=2, deregistrations=1)), 30)
        self.assertIn("TWICE", explored.broken)

    @pytest.mark.slow
    def test_takeovers_of_larger_worlds_start_nothing_twice(self) -> None:
        for budget in (
            Budget(takeovers=1, unanswered=1, ends=1, waits=3),
            Budget(takeovers=2, unanswered=1, ends=0, waits=2),
            Budget(takeovers=1, restarts=1, unanswered=1, ends=0, waits=2),
            Budget(takeovers=1, unanswered=1, ends=0, slow=1, waits=2),
            Budget(takeovers=1, restarts=1, unanswered=1, ends=1, waits=1, deregistrations=1),
        ):
            with self.subTest(budget):
                explored = explore(TakeoverWorld(budget), 30)
                self.assertEqual("", explored.broken)
                self.assertTrue(explored.complete)

    @pytest.mark.slow
    def test_an_unanswered_start_that_is_forgotten_is_found(self) -> None:
        with planted("unanswered-is-not-started"):
            explored = explore(TakeoverWorld(Budget(takeovers=0, unanswered=3, ends=0, waits=2)), 12)
        self.assertIn("TWICE", explored.broken)


if __name__ == "__main__":
    unittest.main()
