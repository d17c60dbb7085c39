"""The foundation: the members and intended size of the first core set, proposals and acceptors."""

from __future__ import annotations

import unittest
from collections.abc import Mapping

from flintfield.coordination.contacts import AskFounding, Found, FoundAnswer
from flintfield.coordination.foundation import Gathering, Proposal, first_proposal
from flintfield.coordination.model import NO_BALLOT, Ballot, CoreSet, Member
from flintfield.coordination.replica import Replica
from flintfield.coordination.stored import FOUNDING_KEY, format_store
from flintfield.coordination.timing import FOUNDATION_MAX_WAIT_MS, FOUNDATION_STABLE_MS
from flintfield.simulation.explore.explorer import explore
from flintfield.simulation.explore.foundation import foundation_world
from flintfield.transport.records import encode

NEEDED = 3


def member(number: int) -> Member:
    return Member(f"m{number}", f"127.0.0.{number}:7000", "z", number)


class GatheredSet(unittest.TestCase):
    def test_contains_all_announced_replicas(self) -> None:
        gathering = Gathering(0, NEEDED, strict=False)
        for number in range(1, 5):
            gathering.note(number, member(number))
        self.assertIsNone(gathering.first_set(FOUNDATION_STABLE_MS))
        core = gathering.first_set(4 + FOUNDATION_STABLE_MS)
        assert core is not None
        self.assertEqual([1, 2, 3, 4], sorted(each.identity for each in core.members))
        self.assertEqual(4, core.founded_size)

    def test_a_set_with_too_few_members_keeps_the_needed_size(self) -> None:
        """A core that stayed at two members could tolerate no loss, although three machines exist."""
        gathering = Gathering(0, NEEDED, strict=False)
        gathering.note(1, member(1))
        gathering.note(2, member(2))
        self.assertIsNone(gathering.first_set(FOUNDATION_STABLE_MS + 2))
        core = gathering.first_set(FOUNDATION_MAX_WAIT_MS)
        assert core is not None
        self.assertEqual(2, len(core.members))
        self.assertEqual(NEEDED, core.founded_size)

    def test_a_strict_founder_never_founds_with_too_few(self) -> None:
        gathering = Gathering(0, NEEDED, strict=True)
        gathering.note(1, member(1))
        gathering.note(2, member(2))
        self.assertIsNone(gathering.first_set(10 * FOUNDATION_MAX_WAIT_MS))

    def test_a_member_whose_disk_was_lost_is_left_out(self) -> None:
        gathering = Gathering(0, NEEDED, strict=True)
        for number in range(1, 5):
            gathering.note(number, member(number))
        gathering.drop("m4", "127.0.0.4:7000")
        core = gathering.first_set(4 + FOUNDATION_STABLE_MS)
        assert core is not None
        self.assertEqual([1, 2, 3], sorted(each.identity for each in core.members))


def core_of(*numbers: int) -> CoreSet:
    return CoreSet(1, tuple(member(number) for number in numbers), NEEDED)


def found_answer(adopted: CoreSet | None = None) -> FoundAnswer:
    return FoundAnswer(0, adopted)


class FirstProposal(unittest.TestCase):
    """The proposal of a founder that knows nothing of earlier founders."""

    def test_the_gathered_set_is_proposed_if_none_was_adopted(self) -> None:
        gathered = core_of(1, 2, 3)
        self.assertEqual(
            Proposal(None, (member(3),)), first_proposal(gathered, {1: found_answer(), 2: found_answer()})
        )
        self.assertEqual(
            Proposal(gathered),
            first_proposal(gathered, {1: found_answer(), 2: found_answer(), 3: found_answer()}),
        )

    def test_a_set_that_may_be_decided_is_proposed(self) -> None:
        earlier = core_of(1, 2, 4)
        promises = {1: found_answer(earlier), 2: found_answer(earlier), 3: found_answer()}
        self.assertEqual(Proposal(None, (member(4),)), first_proposal(core_of(1, 2, 3), promises))
        promises[4] = found_answer(earlier)
        self.assertEqual(Proposal(earlier), first_proposal(core_of(1, 2, 3), promises))

    def test_a_set_that_one_of_its_members_lacks_is_ignored(self) -> None:
        gathered = core_of(1, 2, 3)
        promises = {1: found_answer(core_of(1, 2, 4)), 2: found_answer(), 3: found_answer()}
        self.assertEqual(Proposal(gathered), first_proposal(gathered, promises))

    def test_the_members_of_two_possible_sets_are_asked(self) -> None:
        promises = {1: found_answer(core_of(1, 3)), 2: found_answer(core_of(2, 3))}
        self.assertEqual(Proposal(None, (member(3),)), first_proposal(core_of(1, 2), promises))


class FoundingAcceptorSteps(unittest.TestCase):
    """The founding acceptor of a replica, with its stored state."""

    def setUp(self) -> None:
        self.stored = dict(format_store(1, True))

    def step(self, message: object) -> FoundAnswer:
        step = Replica(self.stored, 0, lambda: 0).step(0, message)  # restarted for each message
        self.stored.update({key: value for key, value in step.changes if value is not None})
        assert isinstance(step.reply, FoundAnswer)
        return step.reply

    def test_nothing_is_adopted_below_a_promise(self) -> None:
        low, high = Ballot(1, 1, 7), Ballot(1, 2, 5)
        self.assertEqual(high, self.step(AskFounding(high)).promised)
        self.assertEqual(high, self.step(AskFounding(low)).promised)
        self.assertIsNone(self.step(Found(core_of(1, 2), low)).adopted)
        self.assertIsNone(self.step(Found(core_of(1, 2))).adopted)
        self.assertEqual(core_of(1, 2), self.step(Found(core_of(1, 2), high)).adopted)

    def test_a_later_ballot_may_replace_the_set(self) -> None:
        first, second = Ballot(1, 1, 7), Ballot(1, 2, 5)
        self.step(Found(core_of(1, 2), first))
        answer = self.step(Found(core_of(1, 3), second))
        self.assertEqual((core_of(1, 3), second), (answer.adopted, answer.accepted))

    def test_without_ballots_the_first_set_is_kept(self) -> None:
        """Processes of the previous release send no ballots."""
        self.step(Found(core_of(1, 2)))
        self.assertEqual(core_of(1, 2), self.step(Found(core_of(1, 3))).adopted)

    def test_a_set_stored_by_the_previous_release_is_read(self) -> None:
        self.stored[FOUNDING_KEY] = encode(core_of(1, 2))
        answer = self.step(AskFounding(Ballot(1, 1, 7)))
        self.assertEqual((core_of(1, 2), NO_BALLOT), (answer.adopted, answer.accepted))

    def test_a_replica_formatted_after_the_first_start_adopts_nothing(self) -> None:
        self.stored = dict(format_store(1, False))
        self.assertEqual(NO_BALLOT, self.step(AskFounding(Ballot(1, 1, 7))).promised)
        self.assertIsNone(self.step(Found(core_of(1, 2), Ballot(1, 1, 7))).adopted)


class FoundationStates(unittest.TestCase):
    """Exhaustive: founders lose their memory, adoptions reach only some replicas, answers are lost."""

    def test_two_founder_processes_and_three_replicas(self) -> None:
        explored = explore(foundation_world(3, 2, 2), depth=40)
        self.assertEqual("", explored.broken, explored)
        self.assertTrue(explored.complete)

    def test_ignoring_adopted_sets_lets_two_sets_be_decided(self) -> None:
        def ignore_adopted_sets(gathered: CoreSet, promises: Mapping[int, FoundAnswer]) -> Proposal:
            missing = tuple(each for each in gathered.members if each.identity not in promises)
            return Proposal(None if missing else gathered, missing)

        explored = explore(foundation_world(3, 2, 2, ignore_adopted_sets), depth=40)
        self.assertIn("2 sets are decided", explored.broken)


if __name__ == "__main__":
    unittest.main()
