"""Small worlds of the pure state machines, explored exhaustively.

A world has replicas (each made anew from its stored records for every message, so that a restart at any
durable point is covered), proposers or candidates, and all requests that were ever sent. In each step one
request reaches one replica, and its answer either reaches the asker or is lost; requests can come late,
doubled and in any order. Every reachable state is visited once. Depth: until nothing new can happen.
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

STARTED_MS, NOW_MS = 0, 10_000  # no lease binds any more: the promises themselves are explored
MEMBERS = tuple(Member(name, f"10.0.0.{at}:1", "z", at + 1) for at, name in enumerate("abcd"))
FIRST = CoreSet(1, MEMBERS[:3], 3)
SECOND = CoreSet(2, (MEMBERS[0], MEMBERS[1], MEMBERS[3]), 3, FIRST.members)

Store = tuple[tuple[bytes, bytes], ...]
"""The records of a store, sorted; a value, so that what follows from it is computed once."""


@cache
def replica_of(store: Store) -> Replica:
    """The replica after a restart; only to be looked at."""
    return Replica(dict(store), STARTED_MS, lambda: 0)


@cache
def deliver(store: Store, request: Any) -> tuple[Store, Any]:
    """The store and the answer after a request came to a replica that had just been started."""
    step = Replica(dict(store), STARTED_MS, lambda: 0).step(NOW_MS, request)
    return carry_out(store, step), step.reply


def carry_out(store: Store, step: Step) -> Store:
    """The store after a step."""
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


def stores(active: CoreSet | None, members: tuple[Member, ...]) -> list[Store]:
    """Stores of replicas that are active in a set (or in none)."""
    result = []
    for member in members:
        pairs: list[Pair] = [*format_store(member.identity, True)]
        if active is not None and active.member(member.identity) is not None:
            pairs += [(ACTIVE_KEY, encode(active)), (KNOWN_KEY, encode(active))]
        result.append(tuple(sorted((key, value) for key, value in pairs if value is not None)))
    return result


@dataclass
class Asker:
    """Something that asks all members of a set; only answers to its newest request count."""

    machine: Any
    requests: tuple[Any, ...] = ()
    done: bool = False
    loses: bool = True  # whether answers can be lost and requests come late

    def key(self) -> object:
        """Equal for equal askers."""
        fields = sorted(vars(self.machine).items())
        parts = tuple(repr(sorted(value)) if isinstance(value, set) else repr(value) for _, value in fields)
        return parts, self.requests, self.done

    def copy(self) -> Asker:
        """A copy that can be changed."""
        machine = copy.copy(self.machine)
        for name, value in vars(machine).items():
            if isinstance(value, set | dict):
                setattr(machine, name, value.copy())
        return Asker(machine, self.requests, self.done, self.loses)


@dataclass
class State:
    """A state of the world. `told` is what was promised to the outside, in order."""

    stores: list[Store]
    askers: list[Asker]
    told: tuple[Any, ...] = ()
    decided: bool = False

    def key(self) -> object:
        """Equal for equal states."""
        return tuple(self.stores), tuple(asker.key() for asker in self.askers), self.told, self.decided

    def copy(self) -> State:
        """A copy in which stores can be replaced."""
        return State(list(self.stores), list(self.askers), self.told, self.decided)


def explore(
    start: State,
    successors: Callable[[State], Iterator[State]],
    check: Callable[[State], None],
    most: int = 3_000_000,
) -> int:
    """Visit every reachable state; returns how many there are."""
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
        if len(seen) > most:
            raise AssertionError("the world is larger than was thought")
    return len(seen)


def histories_agree(values: tuple[bytes | None, ...]) -> bool:
    """Whether all committed values are prefixes of one history."""
    histories = sorted(((value or b"").split() for value in values), key=len)
    return all(longer[: len(shorter)] == shorter for shorter, longer in pairwise(histories))


def take(state: State, at: int, answer: object) -> None:
    """Hand an answer to an attempt, which appends its name to the value."""
    asker = state.askers[at]
    attempt: Attempt = asker.machine
    phase = attempt.take(answer)
    if phase is Phase.PREPARED:
        if attempt.register is Register.SUCCESSOR:
            value = attempt.current if attempt.current is not None else encode(SECOND)
        else:
            value = (attempt.current or b"") + b"p%d " % at
        asker.requests += (attempt.propose(value),)
    if phase is Phase.COMMITTED and not asker.done:
        asker.done = True
        if attempt.register is Register.SUCCESSOR:
            state.decided = True
        else:
            state.told += (asker.requests[-1].value,)


def exchanges(state: State, taking: Callable[[State, int, object], None]) -> Iterator[State]:
    """All ways in which one request reaches one replica. A refusal would only end the asker's work early."""
    for at, asker in enumerate(state.askers):
        for number, request in enumerate(asker.requests):
            for replica, store in enumerate(state.stores):
                if asker.machine.core.member(MEMBERS[replica].identity) is None:
                    continue
                changed, reply = deliver(store, request)
                if isinstance(reply, Refused) and changed == store:
                    continue
                after = state.copy()
                after.stores[replica] = changed
                if changed != store and asker.loses:
                    yield after
                if number == len(asker.requests) - 1 and not asker.done:
                    answered = after.copy()
                    answered.askers[at] = asker.copy()
                    taking(answered, at, reply)
                    yield answered


def attempt_of(core: CoreSet, register: Register, counter: int, proposer: int) -> Asker:
    """A proposer that has just sent its prepare."""
    attempt = Attempt(core, register, Ballot(core.version, counter, proposer))
    return Asker(attempt, (attempt.prepare,))


class RegisterWorld(unittest.TestCase):
    def check(self, state: State) -> None:
        self.assertTrue(histories_agree(state.told), state.told)

    def test_two_proposers_and_three_replicas(self) -> None:
        askers = [attempt_of(FIRST, Register.CONFIGURATION, counter, counter) for counter in (1, 2)]
        visited = explore(
            State(stores(FIRST, FIRST.members), askers), lambda state: exchanges(state, take), self.check
        )
        self.assertGreater(visited, 1_000)


class ChangeOfTheSet(unittest.TestCase):
    """A change of the configuration in the old set, the change of the set, and a change in the new one."""

    def successors(self, state: State) -> Iterator[State]:
        yield from exchanges(state, take)
        if not state.decided:
            return
        for replica, member in enumerate(MEMBERS):
            if SECOND.member(member.identity) is not None:
                yield from self.activations(state, replica)

    @staticmethod
    def activations(state: State, replica: int) -> Iterator[State]:
        """Ways to become active in the new set: from each pair of replicas, or from one that is active
        there."""
        own = replica_of(state.stores[replica])
        if own.active is not None and own.active.version == SECOND.version:
            return
        for size in (1, 2):
            for sources in combinations(range(len(MEMBERS)), size):
                told: dict[int, StateAnswer] = {}
                for source in sources:
                    _, reply = deliver(state.stores[source], AskState(0))
                    assert isinstance(reply, StateAnswer)
                    told[reply.replica] = reply
                choice = choose(SECOND, told)
                if choice is not None:
                    after = state.copy()
                    joining = Replica(dict(state.stores[replica]), STARTED_MS, lambda: 0)
                    after.stores[replica] = carry_out(
                        state.stores[replica], joining.activate(NOW_MS, SECOND, choice.state)
                    )
                    yield after

    def check(self, state: State) -> None:
        self.assertTrue(histories_agree(state.told), state.told)

    def visit(self, version_in_ballots: int) -> int:
        """An old proposer with a high ballot, and two in the new set with low ones; answers aren't lost
        here."""
        first, second = (
            Attempt(SECOND, Register.CONFIGURATION, Ballot(version_in_ballots, counter, 3))
            for counter in (1, 2)
        )
        askers = [
            attempt_of(FIRST, Register.CONFIGURATION, 9, 1),
            attempt_of(FIRST, Register.SUCCESSOR, 1, 2),
            Asker(first, (first.prepare,)),
            Asker(second, (second.prepare,)),
        ]
        for asker in askers:
            asker.loses = False
        return explore(State(stores(FIRST, MEMBERS), askers), self.successors, self.check)

    @pytest.mark.slow
    def test_nothing_committed_is_lost(self) -> None:
        self.assertGreater(self.visit(SECOND.version), 10_000)

    def test_ballots_without_the_version_would_lose_a_change(self) -> None:
        """The world is large enough to show why the version of the set ranks first in a ballot."""
        with self.assertRaises(AssertionError):
            self.visit(0)

    def test_one_change_in_each_set(self) -> None:
        """With lost and late requests in the old set."""
        askers = [
            attempt_of(FIRST, Register.CONFIGURATION, 9, 1),
            attempt_of(FIRST, Register.SUCCESSOR, 1, 2),
            attempt_of(SECOND, Register.CONFIGURATION, 1, 3),
        ]
        askers[1].loses = askers[2].loses = False
        visited = explore(State(stores(FIRST, MEMBERS), askers), self.successors, self.check)
        self.assertGreater(visited, 1_000)


class OrderedStoreWorld(unittest.TestCase):
    """Two candidates; each that is elected writes one batch."""

    def take(self, state: State, at: int, answer: object) -> None:
        asker = state.askers[at]
        candidacy: Candidacy = asker.machine
        if candidacy.phase is not CampaignPhase.PREPARED:
            if candidacy.take(answer) is CampaignPhase.PREPARED:
                asker.requests += self.takeover(state, candidacy)
        elif isinstance(answer, Appended) and answer.position.epoch == candidacy.epoch:
            self.count(state, asker, candidacy, answer)

    @staticmethod
    def takeover(state: State, candidacy: Candidacy) -> tuple[Any, ...]:
        """The whole state of the source, under the new epoch."""
        source = next(store for store in state.stores if replica_of(store).identity == candidacy.source)
        items = tuple(
            Change(key[len(ITEM_PREFIX) :], value) for key, value in source if key.startswith(ITEM_PREFIX)
        )
        core, epoch, identity, boot = 1, candidacy.epoch, candidacy.identity, candidacy.boot
        return (Install(core, epoch, identity, boot, 0, 1, 0, True, items),)

    @staticmethod
    def count(state: State, asker: Asker, candidacy: Candidacy, answer: Appended) -> None:
        reached = vars(candidacy).setdefault("reached", {})
        reached[answer.replica] = max(reached.get(answer.replica, 0), answer.position.sequence)
        key = b"%d" % candidacy.epoch
        if len(reached) >= 2 and not any(isinstance(request, Append) for request in asker.requests):
            batch = Batch(1, (Change(key, b"x"),))
            asker.requests += (Append(1, candidacy.epoch, 0, (batch,)),)
        if sum(sequence >= 1 for sequence in reached.values()) >= 2 and not asker.done:
            asker.done = True
            state.told += ((candidacy.epoch, key),)

    def check(self, state: State) -> None:
        """A batch that was acknowledged is in the highest state of every majority."""
        for _, key in state.told:
            for majority in combinations(state.stores, 2):
                best = max(majority, key=lambda store: replica_of(store).follower.order.position)
                self.assertIn(ITEM_PREFIX + key, dict(best))
        by_position: dict[Position, set[bytes]] = {}
        for store in state.stores:
            items = {key for key, _ in store if key.startswith(ITEM_PREFIX)}
            position = replica_of(store).follower.order.position
            self.assertEqual(by_position.setdefault(position, items), items)

    def visit(self, second_loses: bool) -> int:
        askers = []
        for at, epoch in ((0, 1), (1, 2)):
            candidacy = Candidacy(FIRST, MEMBERS[at].identity, 7, epoch - 1)
            candidacy.phase = CampaignPhase.PREPARING
            askers.append(Asker(candidacy, (candidacy.request,)))
        askers[1].loses = second_loses
        return explore(
            State(stores(FIRST, FIRST.members), askers), lambda state: exchanges(state, self.take), self.check
        )

    def test_two_candidates_the_first_of_which_loses_answers(self) -> None:
        self.assertGreater(self.visit(False), 1_000)

    @pytest.mark.slow
    def test_two_candidates_that_lose_answers(self) -> None:
        self.assertGreater(self.visit(True), 100_000)


class Records(unittest.TestCase):
    def test_stored_sets_are_read_back(self) -> None:
        self.assertEqual(decode(encode(SECOND)), SECOND)

    def test_adopting_needs_the_same_position(self) -> None:
        store = stores(FIRST, FIRST.members)[0]
        step = replica_of(store).step(NOW_MS, Adopt(1, 3, 2, 7, Position(2, 5)))
        self.assertNotIsInstance(step.reply, Appended)
        self.assertEqual(item_changes((Change(b"k", b"v"),)), [(b"s/k", b"v")])
        self.assertIsInstance(WholeState(0, Position(0, 0), Ballot(0, 0, 0), None, None), WholeState)
