"""The processes of the register's small world that propose: each a value that its next tries replace."""

from __future__ import annotations

import copy
from collections.abc import Hashable
from dataclasses import dataclass, replace

from flintfield.coordination.attempt import Attempt
from flintfield.coordination.model import Ballot, CoreSet, Register, ordered
from flintfield.simulation.explore import stored_replicas
from flintfield.transport.records import encode

FIRST = CoreSet(
    1, ordered([stored_replicas.member(0), stored_replicas.member(1), stored_replicas.member(2)]), 3, ()
)
SECOND = CoreSet(
    2,
    ordered([stored_replicas.member(0), stored_replicas.member(1), stored_replicas.member(3)]),
    3,
    FIRST.members,
)


@dataclass(frozen=True)
class Proposer:
    """A process that tries to change a register; `attempt` is never changed in place."""

    name: str
    register: Register
    core: CoreSet
    counter: int
    tries: int
    attempt: Attempt
    done: bool = False

    def again(self, newest: CoreSet) -> Proposer:
        """The next try."""
        core = self.attempt.newer or self.core
        core = newest if newest.version > core.version and self.register is Register.CONFIGURATION else core
        counter = max(self.counter, self.attempt.highest.counter) + 1
        ballot = Ballot(core.version, counter, ord(self.name[0]))
        return replace(
            self,
            core=core,
            counter=counter,
            tries=self.tries + 1,
            attempt=_attempt(core, self.register, ballot),
        )

    def decide(self, value: bytes | None) -> bytes | None:
        """The next value."""
        if self.register is Register.SUCCESSOR:
            return encode(SECOND) if value is None else value
        name = self.name.encode()
        return value if value is not None and name in value else (value or b"") + name

    def key(self) -> Hashable:
        """All that its future depends on."""
        attempt = self.attempt
        return (
            self.core.version,
            self.counter,
            self.tries,
            self.done,
            attempt.phase,
            attempt.ballot,
            attempt.accepted,
            attempt.current,
            attempt.highest,
            attempt.newer is not None,
            attempt.lacks_value,
            frozenset(attempt._agreed),
            frozenset(attempt._against),
        )


def _attempt(core: CoreSet, register: Register, ballot: Ballot) -> Attempt:
    return Attempt(core, register, ballot, ballots_only=register is Register.CONFIGURATION)


def first_try(name: str, register: Register) -> Proposer:
    ballot = Ballot(1, 1, ord(name[0]))
    return Proposer(name, register, FIRST, 1, 1, _attempt(FIRST, register, ballot))


def copy_of(attempt: Attempt) -> Attempt:
    """A copy that can be changed."""
    copied = copy.copy(attempt)
    copied._agreed, copied._against = set(attempt._agreed), set(attempt._against)
    copied.holders = set(attempt.holders)
    return copied
