"""Exhaustive exploration of the coordination state machines in small configurations.

A state consists of the replicas, the proposers or candidates, and all requests sent so far. Each replica is
created again from its stored records for every message, which covers a restart after each durable step. In
each step, one request reaches one replica, and the answer either reaches the requester or is lost. Requests
may be delayed, duplicated and reordered. Every reachable state is visited once, until no new state is found.
"""

from __future__ import annotations

import copy
import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from itertools import combinations, pairwise
from typing import Any

import pytest

from flintfield.coordination.attempt import Attempt, Phase
from flintfield.coordination.candidacy import CampaignPhase, Candidacy
from flintfield.coordination.follower import item_changes
from flintfield.coordination.messages import (
    Adopt,
    Append,
    Appended,
    AskState,
    Batch,
    Change,
    Install,
    Pair,
    Refused,
    StateAnswer,
)
from flintfield.coordination.model import Ballot, CoreSet, Member, Position, Register
from flintfield.coordination.replica import Replica
from flintfield.coordination.step import Step
from flintfield.coordination.stored import format_store, ACTIVE_KEY, ITEM_PREFIX, KNOWN_KEY
from flintfield.coordination.transfer import WholeState, choose
from flintfield.transport.records import decode, encode

START_MS, NOW_MS = 0, 10_000  # all leases have expired, so that only promises restrict the elections
MEMBERS = tuple(Member(name, f"10.0.0.{index}:1", "z", index + 1) for index, name in enumerate("abcd"))
FIRST = CoreSet(1, MEMBERS[:3], 3)
SECOND = CoreSet(2, (MEMBERS[0], MEMBERS[1], MEMBERS[3]), 3, FIRST.members)

Store = tuple[tuple[bytes, bytes], ...]
"""The sorted records of a store. The type is hashable, so that results for equal stores can be cached."""


@cache
def replica_of(store: Store) -> Replica:
    """Return the replica after a restart. The result is cached and must not be changed."""
    return Replica(dict(store), START_MS, lambda: 0)


@cache
def deliver(store: Store, request: Any) -> tuple[Store, Any]:
    """Return the store and the answer after a replica that has just started processed a request."""
    step = Replica(dict(store), START_MS, lambda: 0).step(NOW_MS, request)
    return apply_step(store, step), step.reply


def apply_step(store: Store, step: Step) -> Store:
    """Return the store after applying a step."""
    after = dict(store)
    if step.replacement is not None:
        after = {key: value for key, value in after.items() if not key.startswith(ITEM_PREFIX)}
        after.update(step.replacement)
    for key, value in step.changes:
        if value is None:
            after.pop(key, None)
        else:
            after[key] = value
    return tuple(sorted(after.items()))


def initial_stores(active: CoreSet | None, members: tuple[Member, ...]) -> list[Store]:
    """Return the stores of replicas that are active in a core set, or in none."""
    result = []
    for member in members:
        pairs: list[Pair] = [*format_store(member.identity, True)]
        if active is not None and active.member(member.identity) is not None:
            pairs += [(ACTIVE_KEY, encode(active)), (KNOWN_KEY, encode(active))]
        result.append(tuple(sorted((key, value) for key, value in pairs if value is not None)))
    return result


@dataclass
class Requester:
    """A proposer or candidate that sends its requests to all members of a core set.

    Only answers to its newest request count.
    """

    machine: Any
    requests: tuple[Any, ...] = ()
    done: bool = False
    loses_messages: bool = True  # whether answers can be lost and requests be delayed

    def key(self) -> object:
        """Return a key that is equal for equal requesters."""
        fields = sorted(vars(self.machine).items())
        parts = tuple(repr(sorted(value)) if isinstance(value, set) else repr(value) for _, value in fields)
        return parts, self.requests, self.done

    def copy(self) -> Requester:
        """Return an independent copy."""
        machine = copy.copy(self.machine)
        for name, value in vars(machine).items():
            if isinstance(value, set | dict):
                setattr(machine, name, value.copy())
        return Requester(machine, self.requests, self.done, self.loses_messages)


@dataclass
class State:
    """A state of the system. `committed` holds the commits reported to clients, in order."""

    stores: list[Store]
    requesters: list[Requester]
    committed: tuple[Any, ...] = ()
    decided: bool = False

    def key(self) -> object:
        """Return a key that is equal for equal states."""
        return (
            tuple(self.stores),
            tuple(requester.key() for requester in self.requesters),
            self.committed,
            self.decided,
        )

    def copy(self) -> State:
        """Return a copy whose stores can be replaced."""
        return State(list(self.stores), list(self.requesters), self.committed, self.decided)


def explore(
    start: State,
    successors: Callable[[State], Iterator[State]],
    check: Callable[[State], None],
    max_states: int = 3_000_000,
) -> int:
    """Visit every reachable state and return the number of states."""
    seen = {start.key()}
    frontier = [start]
    while frontier:
        state = frontier.pop()
        check(state)
        for successor in successors(state):
            key = successor.key()
            if key not in seen:
                seen.add(key)
                frontier.append(successor)
        if len(seen) > max_states:
            raise AssertionError("more states are reachable than expected")
    return len(seen)


def histories_agree(values: tuple[bytes | None, ...]) -> bool:
    """Return whether all committed values are prefixes of one history."""
    histories = sorted(((value or b"").split() for value in values), key=len)
    return all(longer[: len(shorter)] == shorter for shorter, longer in pairwise(histories))


def handle_attempt_answer(state: State, index: int, answer: object) -> None:
    """Pass an answer to an attempt. When prepared, the attempt proposes the value with its name appended."""
    requester = state.requesters[index]
    attempt: Attempt = requester.machine
    phase = attempt.take(answer)
    if phase is Phase.PREPARED:
        if attempt.register is Register.SUCCESSOR:
            value = attempt.current if attempt.current is not None else encode(SECOND)
        else:
            value = (attempt.current or b"") + b"p%d " % index
        requester.requests += (attempt.propose(value),)
    if phase is Phase.COMMITTED and not requester.done:
        requester.done = True
        if attempt.register is Register.SUCCESSOR:
            state.decided = True
        else:
            state.committed += (requester.requests[-1].value,)


def deliveries(state: State, handle_answer: Callable[[State, int, object], None]) -> Iterator[State]:
    """Yield the states after one request reaches one replica.

    Refusals that change no store are skipped, because they would only end the requester's work early.
    """
    for index, requester in enumerate(state.requesters):
        for number, request in enumerate(requester.requests):
            for replica, store in enumerate(state.stores):
                if requester.machine.core.member(MEMBERS[replica].identity) is None:
                    continue
                changed, reply = deliver(store, request)
                if isinstance(reply, Refused) and changed == store:
                    continue
                after = state.copy()
                after.stores[replica] = changed
                if changed != store and requester.loses_messages:
                    yield after
                if number == len(requester.requests) - 1 and not requester.done:
                    answered = after.copy()
                    answered.requesters[index] = requester.copy()
                    handle_answer(answered, index, reply)
                    yield answered


def attempt_of(core: CoreSet, register: Register, counter: int, proposer: int) -> Requester:
    """Return a proposer that has just sent its prepare request."""
    attempt = Attempt(core, register, Ballot(core.version, counter, proposer))
    return Requester(attempt, (attempt.prepare,))


class RegisterProposers(unittest.TestCase):
    def check(self, state: State) -> None:
        self.assertTrue(histories_agree(state.committed), state.committed)

    def test_two_proposers_and_three_replicas(self) -> None:
        requesters = [attempt_of(FIRST, Register.CONFIGURATION, counter, counter) for counter in (1, 2)]
        visited = explore(
            State(initial_stores(FIRST, FIRST.members), requesters),
            lambda state: deliveries(state, handle_attempt_answer),
            self.check,
        )
        self.assertGreater(visited, 1_000)


class CoreSetChange(unittest.TestCase):
    """A configuration change in the old core set, the change of the core set, and a change in the new set."""

    def successors(self, state: State) -> Iterator[State]:
        yield from deliveries(state, handle_attempt_answer)
        if not state.decided:
            return
        for replica, member in enumerate(MEMBERS):
            if SECOND.member(member.identity) is not None:
                yield from self.activations(state, replica)

    @staticmethod
    def activations(state: State, replica: int) -> Iterator[State]:
        """Yield the states after the replica becomes active in the new set.

        It takes the state from any pair of replicas, or from one that is already active in the new set.
        """
        own = replica_of(state.stores[replica])
        if own.active is not None and own.active.version == SECOND.version:
            return
        for size in (1, 2):
            for sources in combinations(range(len(MEMBERS)), size):
                answers: dict[int, StateAnswer] = {}
                for source in sources:
                    _, reply = deliver(state.stores[source], AskState(0))
                    assert isinstance(reply, StateAnswer)
                    answers[reply.replica] = reply
                choice = choose(SECOND, answers)
                if choice is not None:
                    after = state.copy()
                    joining = Replica(dict(state.stores[replica]), START_MS, lambda: 0)
                    after.stores[replica] = apply_step(
                        state.stores[replica], joining.activate(NOW_MS, SECOND, choice.state)
                    )
                    yield after

    def check(self, state: State) -> None:
        self.assertTrue(histories_agree(state.committed), state.committed)

    def count_states(self, ballot_version: int) -> int:
        """Explore one proposer in the old set with a high ballot and two in the new set with low ballots.

        Answers are not lost.
        """
        first, second = (
            Attempt(SECOND, Register.CONFIGURATION, Ballot(ballot_version, counter, 3)) for counter in (1, 2)
        )
        requesters = [
            attempt_of(FIRST, Register.CONFIGURATION, 9, 1),
            attempt_of(FIRST, Register.SUCCESSOR, 1, 2),
            Requester(first, (first.prepare,)),
            Requester(second, (second.prepare,)),
        ]
        for requester in requesters:
            requester.loses_messages = False
        return explore(State(initial_stores(FIRST, MEMBERS), requesters), self.successors, self.check)

    @pytest.mark.slow
    def test_a_core_set_change_loses_no_committed_value(self) -> None:
        self.assertGreater(self.count_states(SECOND.version), 10_000)

    def test_ballots_without_the_core_version_lose_a_change(self) -> None:
        """The explored system is large enough to show why the core set's version ranks first in a ballot."""
        with self.assertRaises(AssertionError):
            self.count_states(0)

    def test_one_change_in_each_set(self) -> None:
        """Answers can be lost and requests delayed in the old set."""
        requesters = [
            attempt_of(FIRST, Register.CONFIGURATION, 9, 1),
            attempt_of(FIRST, Register.SUCCESSOR, 1, 2),
            attempt_of(SECOND, Register.CONFIGURATION, 1, 3),
        ]
        requesters[1].loses_messages = requesters[2].loses_messages = False
        visited = explore(State(initial_stores(FIRST, MEMBERS), requesters), self.successors, self.check)
        self.assertGreater(visited, 1_000)


class OrderedStoreElections(unittest.TestCase):
    """Two candidates. Each elected candidate writes one batch."""

    def handle_candidate_answer(self, state: State, index: int, answer: object) -> None:
        requester = state.requesters[index]
        candidacy: Candidacy = requester.machine
        if candidacy.phase is not CampaignPhase.PREPARED:
            if candidacy.take(answer) is CampaignPhase.PREPARED:
                requester.requests += self.install_requests(state, candidacy)
        elif isinstance(answer, Appended) and answer.position.epoch == candidacy.epoch:
            self.count(state, requester, candidacy, answer)

    @staticmethod
    def install_requests(state: State, candidacy: Candidacy) -> tuple[Any, ...]:
        """Return the request that installs the whole state of the source in the new epoch."""
        source = next(store for store in state.stores if replica_of(store).identity == candidacy.source)
        items = tuple(
            Change(key[len(ITEM_PREFIX) :], value) for key, value in source if key.startswith(ITEM_PREFIX)
        )
        core, epoch, identity, boot = 1, candidacy.epoch, candidacy.identity, candidacy.boot
        return (Install(core, epoch, identity, boot, 0, 1, 0, True, items),)

    @staticmethod
    def count(state: State, requester: Requester, candidacy: Candidacy, answer: Appended) -> None:
        reached = vars(candidacy).setdefault("reached", {})
        reached[answer.replica] = max(reached.get(answer.replica, 0), answer.position.sequence)
        key = b"%d" % candidacy.epoch
        if len(reached) >= 2 and not any(isinstance(request, Append) for request in requester.requests):
            batch = Batch(1, (Change(key, b"x"),))
            requester.requests += (Append(1, candidacy.epoch, 0, (batch,)),)
        if sum(sequence >= 1 for sequence in reached.values()) >= 2 and not requester.done:
            requester.done = True
            state.committed += ((candidacy.epoch, key),)

    def check(self, state: State) -> None:
        """Every majority holds all acknowledged batches in its highest state; positions determine items."""
        for _, key in state.committed:
            for majority in combinations(state.stores, 2):
                best = max(majority, key=lambda store: replica_of(store).follower.order.position)
                self.assertIn(ITEM_PREFIX + key, dict(best))
        by_position: dict[Position, set[bytes]] = {}
        for store in state.stores:
            items = {key for key, _ in store if key.startswith(ITEM_PREFIX)}
            position = replica_of(store).follower.order.position
            self.assertEqual(by_position.setdefault(position, items), items)

    def count_states(self, second_loses_messages: bool) -> int:
        requesters = []
        for index, epoch in ((0, 1), (1, 2)):
            candidacy = Candidacy(FIRST, MEMBERS[index].identity, 7, epoch - 1)
            candidacy.phase = CampaignPhase.PREPARING
            requesters.append(Requester(candidacy, (candidacy.request,)))
        requesters[1].loses_messages = second_loses_messages
        return explore(
            State(initial_stores(FIRST, FIRST.members), requesters),
            lambda state: deliveries(state, self.handle_candidate_answer),
            self.check,
        )

    def test_two_candidates_where_the_first_loses_answers(self) -> None:
        self.assertGreater(self.count_states(False), 1_000)

    @pytest.mark.slow
    def test_two_candidates_that_lose_answers(self) -> None:
        self.assertGreater(self.count_states(True), 100_000)


class RecordsAndPositions(unittest.TestCase):
    def test_stored_sets_are_read_back(self) -> None:
        self.assertEqual(decode(encode(SECOND)), SECOND)

    def test_adopting_needs_the_same_position(self) -> None:
        store = initial_stores(FIRST, FIRST.members)[0]
        step = replica_of(store).step(NOW_MS, Adopt(1, 3, 2, 7, Position(2, 5)))
        self.assertNotIsInstance(step.reply, Appended)
        self.assertEqual(item_changes((Change(b"k", b"v"),)), [(b"s/k", b"v")])
        self.assertIsInstance(WholeState(0, Position(0, 0), Ballot(0, 0, 0), None, None), WholeState)
