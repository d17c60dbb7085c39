"""The CASPaxos acceptors of a replica's two registers. No I/O.

`replica` first checks whether the replica may process a request in its current state.
"""

from __future__ import annotations

from collections.abc import Mapping

from flintfield.coordination import acceptor
from flintfield.coordination.delta import patched
from flintfield.coordination.messages import Pair
from flintfield.coordination.model import NO_BALLOT, Ballot, Refusal, Register
from flintfield.coordination.register_messages import Accept, AcceptDelta, Accepted, Prepare, Promised
from flintfield.coordination.stored import CONFIGURATION_KEY, SUCCESSOR_KEY, StoredAcceptor, load
from flintfield.transport.records import encode

_KEYS = {Register.CONFIGURATION: CONFIGURATION_KEY, Register.SUCCESSOR: SUCCESSOR_KEY}

Outcome = tuple[Promised | Accepted | Refusal, list[Pair]]
"""The answer or the reason for a refusal, and the changes to store before the answer is sent."""


class Registers:
    """The most recently stored state of both acceptors."""

    def __init__(self, identity: int, stored: Mapping[bytes, bytes]) -> None:
        self._identity = identity
        self._states: dict[Register, StoredAcceptor] = {
            register: load(stored, key) or StoredAcceptor() for register, key in _KEYS.items()
        }

    @property
    def configuration(self) -> StoredAcceptor:
        """The acceptor of the configuration register."""
        return self._states[Register.CONFIGURATION]

    @property
    def sealed(self) -> bool:
        """Whether this replica has accepted a successor of the active set."""
        return self._states[Register.SUCCESSOR].accepted != NO_BALLOT

    def promised(self, register: Register) -> Ballot:
        """The highest promised ballot of a register."""
        return self._states[register].promised

    def prepare(self, request: Prepare) -> Outcome:
        """Promise the ballot unless a higher one was promised."""
        state = acceptor.prepare(self._states[request.register], request.ballot)
        if state is None:
            return Refusal.BALLOT, []
        changes = self._put(request.register, state)
        if request.ballots_only and state.accepted != NO_BALLOT:
            return Promised(self._identity, request.ballot, state.accepted, None, omitted=True), changes
        return Promised(self._identity, request.ballot, state.accepted, state.value), changes

    def accept(self, request: Accept) -> Outcome:
        """Accept the value unless a higher ballot was promised."""
        state = acceptor.accept(self._states[request.register], request.ballot, request.value)
        if state is None:
            return Refusal.BALLOT, []
        return Accepted(self._identity, request.ballot), self._put(request.register, state)

    def accept_delta(self, request: AcceptDelta) -> Outcome:
        """Accept the value that the delta produces if its base is the value accepted by this replica."""
        state = self._states[request.register]
        is_repeated = state.accepted == request.ballot
        value = state.value if is_repeated else patched(state.value, request.delta)
        if value is None:
            return Refusal.LACKS_BASE, []
        return self.accept(Accept(request.core, request.register, request.ballot, value))

    def begin(self, configuration: StoredAcceptor) -> list[Pair]:
        """Reset the registers for a new core set, with this configuration and no successor."""
        self._states = {Register.CONFIGURATION: configuration, Register.SUCCESSOR: StoredAcceptor()}
        return [(CONFIGURATION_KEY, encode(configuration)), (SUCCESSOR_KEY, None)]

    def _put(self, register: Register, state: StoredAcceptor) -> list[Pair]:
        if state == self._states[register]:
            return []
        self._states[register] = state
        return [(_KEYS[register], encode(state))]
