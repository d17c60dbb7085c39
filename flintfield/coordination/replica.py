"""A replica: the acceptors of two registers and the follower of the ordered store, in one core set.

`Replica.step(now_ms, message)` is the whole state machine; it has no I/O and no clock. At each start it is
created from the stored records, which are the only state that survives a restart. Rules for all parts:

- A replica serves only the core set in which it is active, and only until it accepts a successor of that set
  (it is then sealed) or learns of a newer set.
- It becomes active in a set by `activate`, with a whole state that contains everything committed in the
  previous set.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from flintfield.coordination.contacts import AskFounding, Found
from flintfield.coordination.follower import Follower
from flintfield.coordination.founding_acceptor import FoundingAcceptor
from flintfield.coordination.messages import (
    REPLICA_REQUESTS,
    Adopt,
    Alive,
    Append,
    Appended,
    AskPart,
    AskState,
    EpochPromised,
    Heartbeat,
    Install,
    Pair,
    PrepareEpoch,
    Refused,
    Resign,
    Resigned,
    StateAnswer,
)
from flintfield.coordination.model import CoreSet, Refusal, Register
from flintfield.coordination.register_messages import Accept, AcceptDelta, Prepare
from flintfield.coordination.registers import Outcome, Registers
from flintfield.coordination.snapshots import Snapshots
from flintfield.coordination.step import Step
from flintfield.coordination.stored import (
    ACTIVE_KEY,
    FOUNDING_KEY,
    IDENTITY_KEY,
    KNOWN_KEY,
    ORDER_KEY,
    StoredAcceptor,
    StoredIdentity,
    StoredOrder,
    load,
    load_founding,
)
from flintfield.coordination.timing import PROMISE_GUARD_MS
from flintfield.coordination.transfer import WholeState
from flintfield.transport.records import decode, encode

HANDLED = (*REPLICA_REQUESTS, AskFounding, Found)
"""The types of the messages that a replica handles."""

RegisterRequest = Prepare | Accept | AcceptDelta


class Replica:
    """The replica's state machine. `stored` is a live view of the store's items, which the shell updates."""

    def __init__(self, stored: Mapping[bytes, bytes], now_ms: int, wall_ms: Callable[[], int]) -> None:
        identity_record: StoredIdentity = decode(stored[IDENTITY_KEY])
        self.identity = identity_record.identity
        self.founding = identity_record.founding
        self.active: CoreSet | None = load(stored, ACTIVE_KEY)
        self.newest: CoreSet | None = load(stored, KNOWN_KEY) or self.active
        self.foundation = FoundingAcceptor(
            identity_record.identity, identity_record.founding, load_founding(stored)
        )
        order = load(stored, ORDER_KEY) or StoredOrder()
        guarded_until_ms = now_ms + PROMISE_GUARD_MS if order.holder or order.promised else now_ms
        self.follower = Follower(order, guarded_until_ms)
        self._registers = Registers(identity_record.identity, stored)
        self._wall_ms = wall_ms
        self.snapshots = Snapshots(stored)
        self._handlers: dict[type, Callable[[int, Any], Step]] = {
            Prepare: self._prepare,
            Accept: self._accept,
            AcceptDelta: self._accept_delta,
            PrepareEpoch: self._prepare_epoch,
            Heartbeat: self._heartbeat,
            Adopt: self._adopt,
            Append: self._append,
            Install: self._install,
            Resign: self._resign,
            AskState: self._ask_state,
            AskPart: self._ask_part,
            AskFounding: self._ask_founding,
            Found: self._found,
        }

    @property
    def configuration(self) -> StoredAcceptor:
        """The acceptor of the configuration register."""
        return self._registers.configuration

    @property
    def sealed(self) -> bool:
        """Whether this replica has accepted a successor of the active set."""
        return self._registers.sealed

    @property
    def serving(self) -> CoreSet | None:
        """The core set for which the replica accepts requests, or None."""
        if self.active is None or self.sealed:
            return None
        if self.newest is not None and self.newest.version > self.active.version:
            return None
        return self.active

    def step(self, now_ms: int, message: object) -> Step:
        """Process one message."""
        return self._handlers[type(message)](now_ms, message)

    # Checks of the core set.

    def _refusal(self, version: int) -> Refusal | None:
        if self.active is None or version > self.active.version:
            return Refusal.INACTIVE
        if version < self.active.version or (self.serving is None and not self.sealed):
            return Refusal.OLD_SET
        return Refusal.SEALED if self.sealed else None

    def _refused(
        self,
        kind: Refusal,
        requested_version: int,
        changes: list[Pair] | None = None,
        register: Register = Register.CONFIGURATION,
    ) -> Step:
        newer = self.newest if self.newest is not None and self.newest.version > requested_version else None
        order = self.follower.order
        ballot = self._registers.promised(register)
        reply = Refused(kind, self.identity, newer, ballot, order.promised, order.position)
        return Step(reply, changes or [])

    # The registers.

    def _prepare(self, now_ms: int, request: Prepare) -> Step:
        return self._handle_register_request(request, self._registers.prepare)

    def _accept(self, now_ms: int, request: Accept) -> Step:
        return self._handle_register_request(request, self._registers.accept)

    def _accept_delta(self, now_ms: int, request: AcceptDelta) -> Step:
        return self._handle_register_request(request, self._registers.accept_delta)

    def _handle_register_request(self, request: RegisterRequest, handle: Callable[[Any], Outcome]) -> Step:
        refusal = self._refusal(request.core)
        if refusal is not None and not self._allowed_while_sealed(refusal, request):
            return self._refused(refusal, request.core)
        answer, changes = handle(request)
        if isinstance(answer, Refusal):
            return self._refused(answer, request.core, register=request.register)
        return Step(answer, changes)

    @staticmethod
    def _allowed_while_sealed(refusal: Refusal, request: RegisterRequest) -> bool:
        """Whether a sealed replica may process the request: it still helps to agree on the successor."""
        return refusal is Refusal.SEALED and request.register is Register.SUCCESSOR

    # The ordered store.

    def _prepare_epoch(self, now_ms: int, request: PrepareEpoch) -> Step:
        refusal = self._refusal(request.core)
        if refusal is not None:
            return self._refused(refusal, request.core)
        answer, changes = self.follower.prepare(now_ms, request)
        if isinstance(answer, EpochPromised):
            return Step(replace(answer, replica=self.identity), changes)
        return self._refused(answer, request.core)

    def _heartbeat(self, now_ms: int, request: Heartbeat) -> Step:
        refusal = self._refusal(request.core)
        if refusal is not None:
            return self._refused(refusal, request.core)
        refusal, changes = self.follower.hear(now_ms, request.epoch, request.leader, request.boot)
        if refusal is not None:
            return self._refused(refusal, request.core)
        reply = Alive(self.identity, request.epoch, self._wall_ms(), self.follower.order.position)
        return Step(reply, changes, at_once=not changes)

    def _append(self, now_ms: int, request: Append) -> Step:
        refusal = self._refusal(request.core)
        if refusal is not None:
            return self._refused(refusal, request.core)
        refusal, changes = self.follower.append(now_ms, request)
        return self._appended(request.core, request.epoch, refusal, changes)

    def _adopt(self, now_ms: int, request: Adopt) -> Step:
        refusal = self._refusal(request.core)
        if refusal is not None:
            return self._refused(refusal, request.core)
        refusal, changes = self.follower.adopt(now_ms, request)
        return self._appended(request.core, request.epoch, refusal, changes)

    def _install(self, now_ms: int, request: Install) -> Step:
        refusal = self._refusal(request.core)
        if refusal is not None:
            return self._refused(refusal, request.core)
        refusal, changes, replacement = self.follower.install(now_ms, request)
        step = self._appended(request.core, request.epoch, refusal, changes, request.index)
        return replace(step, replacement=replacement)

    def _appended(
        self, core: int, epoch: int, refusal: Refusal | None, changes: list[Pair], index: int = -1
    ) -> Step:
        if refusal is not None:
            return self._refused(refusal, core, changes)
        reply = Appended(self.identity, epoch, self.follower.order.position, self._wall_ms(), index)
        return Step(reply, changes)

    def _resign(self, now_ms: int, request: Resign) -> Step:
        refusal = self._refusal(request.core)
        if refusal is not None:
            return self._refused(refusal, request.core)
        if request.epoch >= self.follower.order.promised:
            self.follower.release()
        return Step(Resigned(self.identity), at_once=True)

    # Snapshots of the whole state.

    def _ask_state(self, now_ms: int, request: AskState) -> Step:
        if request.transfer:
            self.snapshots.take(now_ms, request.transfer)
        order, register = self.follower.order, self.configuration
        is_stopped = self.active is not None and self.serving is None
        return Step(
            StateAnswer(
                self.identity,
                self.active,
                is_stopped,
                order.promised,
                order.position,
                register.accepted,
                register.value,
            )
        )

    def _ask_part(self, now_ms: int, request: AskPart) -> Step:
        return Step(self.snapshots.part(now_ms, request), at_once=True)

    # Core sets.

    def learn(self, core: CoreSet) -> list[Pair]:
        """Record a decided core set and return the changes to store."""
        if self.newest is not None and core.version <= self.newest.version:
            return []
        self.newest = core
        return [(KNOWN_KEY, encode(core))]

    def activate(self, now_ms: int, core: CoreSet, state: WholeState) -> Step:
        """Become active in `core` with this state, which `transfer` has gathered. Has no effect if the
        replica is already active in this set or a newer one."""
        if self.active is not None and self.active.version >= core.version:
            return Step(None)
        order = StoredOrder(promised=state.promised, position=state.position)
        self.active = core
        self.follower = Follower(order, now_ms + PROMISE_GUARD_MS if state.promised else now_ms)
        register = StoredAcceptor(accepted=state.accepted, value=state.value)
        changes: list[Pair] = [
            *self.learn(core),
            (ACTIVE_KEY, encode(core)),
            (ORDER_KEY, encode(order)),
            *self._registers.begin(register),
            (FOUNDING_KEY, None),
        ]
        return Step(None, changes, state.items)

    def _ask_founding(self, now_ms: int, request: AskFounding) -> Step:
        return self._founding_step(self.newest is None and self.foundation.ask(request))

    def _found(self, now_ms: int, request: Found) -> Step:
        return self._founding_step(self.newest is None and self.foundation.found(request))

    def _founding_step(self, changed: bool) -> Step:
        changes: list[Pair] = [(FOUNDING_KEY, encode(self.foundation.stored))] if changed else []
        return Step(self.foundation.answer(self.newest), changes)
