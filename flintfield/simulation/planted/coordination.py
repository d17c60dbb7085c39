"""Faults of replicas, elections and registers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from flintfield.coordination import acceptor
from flintfield.coordination.attempt import Attempt, Phase
from flintfield.coordination.follower import Follower
from flintfield.coordination.messages import PrepareEpoch
from flintfield.coordination.model import Position, Refusal
from flintfield.coordination.register_messages import AcceptDelta, Accepted
from flintfield.coordination.registers import Outcome, Registers
from flintfield.coordination.replica import Replica
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.introducing import Introducer
from flintfield.coordination.shell.known_values import KnownValue, KnownValues
from flintfield.coordination.shell.leading import Leadership
from flintfield.coordination.step import Step
from flintfield.coordination.storage.interface import KeyedStore
from flintfield.coordination.stored import ACTIVE_KEY, IDENTITY_KEY, KNOWN_KEY
from flintfield.simulation.planted.patch import Patch


def acknowledge_before_sync() -> list[Patch]:
    """Replicas answer before their disk has synced."""

    async def durable(self: ReplicaHost, ticket: int) -> bool:
        return True

    return [Patch(ReplicaHost, "_durable", durable)]


def vote_after_wipe() -> list[Patch]:
    """The identity and the core set are kept somewhere beside the disk and put back."""
    kept: dict[str, dict[bytes, bytes]] = {}
    start = ReplicaHost.start

    async def restore_and_start(self: ReplicaHost) -> None:
        address = self._knowledge._own_address
        store: KeyedStore = self._store
        if IDENTITY_KEY not in store.items and address in kept:
            self._ticket = store.apply(list(kept[address].items()))
        await start(self)

    activate = ReplicaHost.activate

    async def activate_and_keep(self: ReplicaHost, core: Any, state: Any) -> bool:
        done = await activate(self, core, state)
        keys = (IDENTITY_KEY, ACTIVE_KEY, KNOWN_KEY)
        kept[self._knowledge._own_address] = {
            key: self._store.items[key] for key in keys if key in self._store.items
        }
        return done

    return [Patch(ReplicaHost, "start", restore_and_start), Patch(ReplicaHost, "activate", activate_and_keep)]


def obey_lower_epochs() -> list[Patch]:
    """Replicas promise and obey any epoch."""

    def prepare(self: Follower, now_ms: int, request: PrepareEpoch) -> Any:
        if self.leased(now_ms, request.candidate):
            return original(self, now_ms, request)
        return self._yes(request), []

    def hear(self: Follower, now_ms: int, epoch: int, leader: int, boot: int) -> Any:
        self.heard_ms = now_ms
        order = replace(self.order, promised=epoch, candidate=leader, boot=boot, holder=leader)
        return None, [self._order_pair(order)]

    original = Follower.prepare
    return [Patch(Follower, "prepare", prepare), Patch(Follower, "hear", hear)]


def forget_position_at_election() -> list[Patch]:
    """A new leader begins with its own state instead of the newest of a majority."""
    from flintfield.coordination.candidacy import Candidacy

    def better(self: Candidacy, replica: int, position: Position) -> bool:
        return replica == self.identity

    return [Patch(Candidacy, "_better", better)]


def act_without_lease() -> list[Patch]:
    """A leader acts until somebody tells it that it is deposed."""
    return [
        Patch(Leadership, "confirmed", lambda self: not self.over),
        Patch(Leadership, "_lost", lambda self: self.over or self.leader.deposed),
    ]


def skip_sealing() -> list[Patch]:
    """Replicas hand their state on while they still take writes."""
    ask_state = Replica._ask_state

    def told(self: Replica, now_ms: int, request: Any) -> Step:
        step = ask_state(self, now_ms, request)
        reply: Any = step.reply
        return replace(step, reply=replace(reply, sealed=True))

    return [Patch(Replica, "sealed", property(lambda self: False)), Patch(Replica, "_ask_state", told)]


def accept_below_promise() -> list[Patch]:
    """Registers accept ballots below a promise."""
    from flintfield.coordination.stored import StoredAcceptor

    def accept(state: StoredAcceptor, ballot: Any, value: bytes | None) -> StoredAcceptor:
        return StoredAcceptor(promised=max(ballot, state.promised), accepted=ballot, value=value)

    return [Patch(acceptor, "accept", accept)]


def introduce_nobody() -> list[Patch]:
    """Who knows the core tells it to no seed."""

    async def run(self: Introducer) -> None:
        return None

    return [Patch(Introducer, "run", run)]


def commit_at_one_replica() -> list[Patch]:
    """A change counts as committed at the first replica."""

    def count(self: Attempt, replica: int, ballot: Any, reached: Phase) -> None:
        if ballot != self.ballot or self.core.member(replica) is None:
            return
        self._agreed.add(replica)
        if reached is Phase.COMMITTED or len(self._agreed) >= self.core.majority:
            self.phase = reached

    return [Patch(Attempt, "_count", count)]


def tell_another_value() -> list[Patch]:
    """Whoever is asked for the value of a ballot tells the newest committed one."""

    def find(self: KnownValues, ballot: Any) -> KnownValue:
        return KnownValue(ballot, self._newest.value)

    return [Patch(KnownValues, "find", find)]


def accept_without_base() -> list[Patch]:
    """A replica that lacks the base of a difference says that it has accepted."""
    accept_delta = Registers.accept_delta

    def accept(self: Registers, request: AcceptDelta) -> Outcome:
        answer, changes = accept_delta(self, request)
        if answer is Refusal.LACKS_BASE:
            return Accepted(self._identity, request.ballot), []
        return answer, changes

    return [Patch(Registers, "accept_delta", accept)]
