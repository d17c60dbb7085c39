"""The follower of the ordered store: it promises epochs and applies the leader's batches in order.

The protocol is primary-order replication as in Viewstamped Replication and Zab, but without a log: the items
themselves are the state, and `Position` names the last batch that they contain. No I/O; `Replica` checks the
core set of each request and passes the changes to the shell.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from flintfield.coordination.messages import (
    Adopt,
    Append,
    Change,
    EpochPromised,
    Install,
    Pair,
    PrepareEpoch,
)
from flintfield.coordination.model import Position, Refusal
from flintfield.coordination.step import StagedInstall
from flintfield.coordination.stored import ITEM_PREFIX, ORDER_KEY, StoredOrder
from flintfield.coordination.timing import PROMISE_GUARD_MS
from flintfield.transport.records import encode

NEVER_MS = -(1 << 60)


def item_changes(changes: Sequence[Change]) -> list[Pair]:
    """Convert changes of items into changes of the replica's store."""
    return [(ITEM_PREFIX + change.key, change.value) for change in changes]


class Follower:
    """State of the ordered store at one replica; `order` is the record that is on disk or being written.

    Until `guarded_until_ms`, a lease may be in force that this replica acknowledged before its start, or that
    was acknowledged in the previous core set, so no other candidate gets a promise. Only `order.holder` is
    exempt: if it asks for a promise, the process that held the lease must have ended.
    """

    def __init__(self, order: StoredOrder, guarded_until_ms: int) -> None:
        self.order = order
        self.heard_ms = NEVER_MS
        self.promised_ms = NEVER_MS
        self.guarded_until_ms = guarded_until_ms
        self._staged: StagedInstall | None = None

    def _order_pair(self, order: StoredOrder) -> Pair:
        self.order = order
        return ORDER_KEY, encode(order)

    # Promises.

    def prepare(self, now_ms: int, request: PrepareEpoch) -> tuple[Refusal | EpochPromised, list[Pair]]:
        """Promise the epoch, or return the reason for the refusal."""
        order = self.order
        requester = (request.candidate, request.boot)
        repeated = request.epoch == order.promised and requester == (order.candidate, order.boot)
        if request.epoch <= order.promised and not repeated:
            return Refusal.BALLOT, []
        if self.leased(now_ms, request.candidate):
            return Refusal.LEASE, []
        if request.probe or repeated:
            return self._yes(request), []
        self.promised_ms = now_ms
        pair = self._order_pair(
            replace(order, promised=request.epoch, candidate=request.candidate, boot=request.boot)
        )
        return self._yes(request), [pair]

    def _yes(self, request: PrepareEpoch) -> EpochPromised:
        return EpochPromised(0, request.epoch, self.order.promised, self.order.position, request.probe)

    def leased(self, now_ms: int, candidate: int) -> bool:
        """Whether a replica other than the candidate may hold a lease that this replica acknowledged."""
        if candidate == self.order.holder:
            return False
        return now_ms < max(self.heard_ms + PROMISE_GUARD_MS, self.guarded_until_ms)

    def release(self) -> None:
        """Stop honouring the lease, because the leader has resigned."""
        self.heard_ms = NEVER_MS
        self.guarded_until_ms = NEVER_MS

    # The leader's messages.

    def hear(self, now_ms: int, epoch: int, leader: int, boot: int) -> tuple[Refusal | None, list[Pair]]:
        """Process a sign of life from the leader of this epoch.

        The first message of a leader is recorded durably, because the answer may renew its lease.
        """
        order = self.order
        if epoch < order.promised:
            return Refusal.BALLOT, []
        self.heard_ms = now_ms
        if epoch == order.promised and order.holder == leader:
            return None, []
        pair = self._order_pair(replace(order, promised=epoch, candidate=leader, boot=boot, holder=leader))
        return None, [pair]

    def append(self, now_ms: int, request: Append) -> tuple[Refusal | None, list[Pair]]:
        """Apply the batches that follow the current position, skipping those that are already applied."""
        order = self.order
        if request.epoch < order.promised:
            return Refusal.BALLOT, []
        if request.epoch != order.position.epoch or request.after > order.position.sequence:
            return Refusal.GAP, []
        self.heard_ms = now_ms
        changes: list[Pair] = []
        sequence = order.position.sequence
        for batch in request.batches:
            if batch.sequence <= sequence:
                continue
            if batch.sequence != sequence + 1:
                break
            sequence = batch.sequence
            changes += item_changes(batch.changes)
        if sequence > order.position.sequence:
            changes.append(self._order_pair(replace(order, position=Position(request.epoch, sequence))))
        return None, changes

    def adopt(self, now_ms: int, request: Adopt) -> tuple[Refusal | None, list[Pair]]:
        """Use the current items as the base of the leader's epoch if they stand at the requested position."""
        refusal, changes = self.hear(now_ms, request.epoch, request.leader, request.boot)
        if refusal is not None or self.order.position.epoch == request.epoch:
            return refusal, changes
        if self.order.position != request.base:
            return Refusal.GAP, changes
        position = Position(request.epoch, 0)
        return None, [*changes, self._order_pair(replace(self.order, position=position))]

    def install(
        self, now_ms: int, request: Install
    ) -> tuple[Refusal | None, list[Pair], list[tuple[bytes, bytes]] | None]:
        """Collect the parts of a whole state. With the last part, return the replacement of all items."""
        refusal, changes = self.hear(now_ms, request.epoch, request.leader, request.boot)
        if refusal is not None:
            return refusal, changes, None
        target = Position(request.epoch, request.sequence)
        if self.order.position >= target:
            self._staged = None
            return None, changes, None
        staged = self._stage(request)
        if staged is None:
            return Refusal.GAP, changes, None
        if not request.last:
            return None, changes, None
        self._staged = None
        return None, [self._order_pair(replace(self.order, position=target))], staged.pairs

    def _stage(self, request: Install) -> StagedInstall | None:
        staged = self._staged
        if request.index == 0:
            staged = self._staged = StagedInstall(request.epoch, request.transfer)
        if staged is None or (staged.epoch, staged.transfer) != (request.epoch, request.transfer):
            return None
        if request.index != staged.next_index:
            return staged if request.index < staged.next_index and not request.last else None
        staged.next_index += 1
        staged.pairs += [
            (ITEM_PREFIX + change.key, change.value) for change in request.changes if change.value is not None
        ]
        return staged
