"""The configuration register while its replicas change, as a small world.

Three replicas, a fourth that takes the place of the third (which goes on living), two processes that each
append their name to the register, and one that has the core set changed. Requests may arrive in any order,
however late, or never. An answer that is lost needs no step of its own: a process that does not count it
does nothing that it may not do later as well. Promises leave the value out, and it is fetched by its ballot;
a value is proposed as a difference, and whole to a replica that lacks the base. Each committed value must
contain all that were committed before.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace
from typing import Any

from flintfield.coordination.attempt import Phase
from flintfield.coordination.messages import AskState, Refused
from flintfield.coordination.model import CoreSet, Refusal, Register
from flintfield.coordination.register_messages import Accept
from flintfield.coordination.shell.known_values import KnownValue
from flintfield.coordination.transfer import EMPTY, WholeState, choose
from flintfield.simulation.explore import stored_replicas
from flintfield.simulation.explore.register_proposer import FIRST, SECOND, Proposer, copy_of, first_try
from flintfield.simulation.explore.stored_replicas import Stored, step
from flintfield.transport.records import decode

REPLICAS = 4
NOW_MS = 0  # no time passes in this world
MOST_TRIES = 2  # of each process


@dataclass(frozen=True)
class RegisterWorld:
    """A state. `requests` are under way or late: (proposer, replica, message)."""

    replicas: tuple[Stored, ...]
    proposers: tuple[Proposer, ...]
    requests: frozenset[tuple[int, int, Any]]
    committed: tuple[bytes, ...] = ()
    decided: bool = False

    def actions(self) -> list[str]:
        """What may happen next."""
        names = [
            f"deliver {index}" for index, request in enumerate(self._requests()) if self._matters(request)
        ]
        for index, proposer in enumerate(self.proposers):
            if not proposer.done and proposer.tries < MOST_TRIES:
                names.append(f"again {index}")
            if self._fetched(proposer) is not None:
                names.append(f"fetch {index}")
        if self.decided:
            names += [f"learn {index}" for index in range(REPLICAS) if self._may_learn(index)]
            names += [
                f"join {index} {number}" for index in (0, 1, 3) for number in range(len(self._sources(index)))
            ]
        return names

    def after(self, action: str) -> RegisterWorld:
        """The state that this leads to."""
        kind, *numbers = action.split()
        first, *rest = map(int, numbers)
        if kind == "deliver":
            return self._deliver(first)
        if kind == "again":
            newest = SECOND if self.decided else FIRST
            proposer = self.proposers[first].again(newest)
            return self._send(replace(self, proposers=_put(self.proposers, first, proposer)), first)
        if kind == "fetch":
            return self._fetch(first)
        if kind == "learn":
            stored = stored_replicas.learned(self.replicas[first], SECOND)
        else:
            stored = stored_replicas.activated(
                self.replicas[first], SECOND, self._sources(first)[rest[0]], NOW_MS
            )
        return replace(self, replicas=_put(self.replicas, first, stored))

    def key(self) -> Hashable:
        """All that the future depends on."""
        return (
            self.replicas,
            tuple(proposer.key() for proposer in self.proposers),
            self.requests,
            frozenset(self.committed),
            self.decided,
        )

    def broken(self) -> str:
        """Committed values must be prefixes of one another."""
        for one, other in itertools.combinations(sorted(set(self.committed), key=len), 2):
            if not other.startswith(one):
                return f"committed {one!r} and {other!r}"
        return self._forgotten()

    def _forgotten(self) -> str:
        """Every majority of a set that is active has accepted the newest committed value."""
        newest = max(self.committed, key=len, default=b"")
        for core in (FIRST, SECOND):
            states = [stored_replicas.replica(self.replicas[member.identity - 1]) for member in core.members]
            active = [state for state in states if state.serving == core]
            for few in itertools.combinations(active, core.majority):
                best = max(few, key=lambda state: state.configuration.accepted).configuration.value or b""
                if newest and not best.startswith(newest):
                    return f"a majority of set {core.version} knows {best!r}, committed was {newest!r}"
        return ""

    # Messages.

    def _requests(self) -> list[tuple[int, int, Any]]:
        return sorted(self.requests, key=repr)

    def _send(self, world: RegisterWorld, index: int) -> RegisterWorld:
        proposer = world.proposers[index]
        message = proposer.attempt.prepare
        return replace(world, requests=world.requests | _to_members(index, proposer.core, message))

    def _matters(self, request: tuple[int, int, Any]) -> bool:
        """Whether it changes anything; if not, it may as well never arrive."""
        index, replica, message = request
        proposer = self.proposers[index]
        if message.ballot == proposer.attempt.ballot and not proposer.done:
            return True
        return step(self.replicas[replica], message, NOW_MS)[0] != self.replicas[replica]

    def _deliver(self, number: int) -> RegisterWorld:
        request = self._requests()[number]
        index, replica, message = request
        stored, reply = step(self.replicas[replica], message, NOW_MS)
        world = replace(
            self, requests=self.requests - {request}, replicas=_put(self.replicas, replica, stored)
        )
        return world._answered(index, message, reply)

    def _answered(self, index: int, message: Any, reply: Any) -> RegisterWorld:
        proposer = self.proposers[index]
        if message.ballot != proposer.attempt.ballot or proposer.done:
            return self
        attempt = copy_of(proposer.attempt)
        phase = attempt.take(reply)
        proposer = replace(proposer, attempt=attempt, done=phase is Phase.COMMITTED)
        world = replace(self, proposers=_put(self.proposers, index, proposer))
        if isinstance(reply, Refused) and reply.kind is Refusal.LACKS_BASE:
            whole = Accept(message.core, message.register, message.ballot, attempt.__dict__["proposed"])
            member = reply.replica - 1
            return replace(world, requests=world.requests | {(index, member, whole)})
        if phase is Phase.PREPARED and not attempt.lacks_value:
            return world._propose(index)
        return world._commit(proposer) if proposer.done else world

    def _propose(self, index: int) -> RegisterWorld:
        """Have the value accepted, as a difference wherever there is a value to build on."""
        proposer = self.proposers[index]
        attempt = copy_of(proposer.attempt)
        accept = attempt.propose(proposer.decide(attempt.current))
        attempt.__dict__["proposed"] = accept.value
        message = attempt.delta(accept, longest=math.inf) or accept
        return replace(
            self,
            proposers=_put(self.proposers, index, replace(proposer, attempt=attempt)),
            requests=self.requests | _to_members(index, proposer.core, message),
        )

    def _fetched(self, proposer: Proposer) -> KnownValue | None:
        """What a replica tells of the ballot whose value this proposer lacks."""
        attempt = proposer.attempt
        if attempt.phase is not Phase.PREPARED or not attempt.lacks_value:
            return None
        for stored in self.replicas:
            configuration = stored_replicas.replica(stored).configuration
            if configuration.accepted == attempt.accepted:
                return KnownValue(configuration.accepted, configuration.value)
        return None

    def _fetch(self, index: int) -> RegisterWorld:
        proposer = self.proposers[index]
        known = self._fetched(proposer)
        assert known is not None
        attempt = copy_of(proposer.attempt)
        attempt.supply(known.value)
        proposer = replace(proposer, attempt=attempt)
        return replace(self, proposers=_put(self.proposers, index, proposer))._propose(index)

    def _commit(self, proposer: Proposer) -> RegisterWorld:
        value: bytes = proposer.attempt.__dict__["proposed"]
        if proposer.register is Register.CONFIGURATION:
            return replace(self, committed=(*self.committed, value))
        assert decode(value) == SECOND
        return replace(self, decided=True)

    # The change of the set.

    def _may_learn(self, index: int) -> bool:
        newest = stored_replicas.replica(self.replicas[index]).newest
        return newest is None or newest.version < SECOND.version

    def _sources(self, index: int) -> list[WholeState]:
        """The states with which that replica may become active: from any sufficient few that it reaches."""
        own = stored_replicas.replica(self.replicas[index])
        if own.newest is None or own.newest.version < 2:
            return []
        if own.active is not None and own.active.version == 2:
            return []
        found: dict[WholeState, None] = {}
        for told in self._told():
            choice = choose(SECOND, told)
            if choice is not None:
                found[choice.state] = None
        return list(found)

    def _told(self) -> Iterator[dict[int, Any]]:
        answers = {index + 1: step(self.replicas[index], AskState(0), NOW_MS)[1] for index in range(REPLICAS)}
        for size in (1, 2):
            for few in itertools.combinations(answers, size):
                yield {identity: answers[identity] for identity in few}


def _to_members(index: int, core: CoreSet, message: Any) -> frozenset[tuple[int, int, Any]]:
    return frozenset((index, member.identity - 1, message) for member in core.members)


def _put(values: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*values[:index], value, *values[index + 1 :])


def register_world(appenders: int = 1, prepared: bool = False) -> RegisterWorld:
    """The state that everything begins with: set 1 is active, and all have sent their first requests.

    With `prepared`, replicas 0 and 1 have promised to all of them already.
    """
    stored = []
    for index in range(REPLICAS):
        formatted = stored_replicas.formatted(index, True)
        stored.append(stored_replicas.activated(formatted, FIRST, EMPTY, NOW_MS) if index < 3 else formatted)
    proposers = [first_try("ab"[number], Register.CONFIGURATION) for number in range(appenders)]
    proposers.append(first_try("successor", Register.SUCCESSOR))
    world = RegisterWorld(tuple(stored), tuple(proposers), frozenset())
    for index in range(len(proposers)):
        world = world._send(world, index)
    if prepared:
        early = [request for request in world._requests() if request[1] in (0, 1)]
        for request in early:
            world = world._deliver(world._requests().index(request))
    return world
