"""The follower of the ordered store: promises of epochs, and a prefix of what the leader wrote.

Primary order as in Viewstamped Replication and Zab, without a log: the items themselves are the state, and
`Position` names the batch up to which they stand. No I/O; `Replica` checks core sets and carries the changes.
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
from flintfield.coordination.step import Staged
from flintfield.coordination.stored import ITEM_PREFIX, ORDER_KEY, StoredOrder
from flintfield.coordination.timing import PROMISE_GUARD_MS
from flintfield.transport.records import encode

NEVER_MS = -(1 << 60)


def item_changes(changes: Sequence[Change]) -> list[Pair]:
    """Changes of items as changes of the replica's store."""
    return [(ITEM_PREFIX + change.key, change.value) for change in changes]


class Follower:
    """State of the ordered store at one replica; `order` is what is on disk (or on its way there).

    `guarded_until_ms`: until then a lease may hold that this replica acknowledged before its start, or that
    was acknowledged in the set before; only `order.holder`, whose earlier life must have ended for it to ask,
    is exempt.
    """

    def __init__(self, order: StoredOrder, guarded_until_ms: int) -> None:
        self.order = order
        self.heard_ms = NEVER_MS
        self.promised_ms = NEVER_MS
        self.guarded_until_ms = guarded_until_ms
        self._staged: Staged | None = None

    def _order_pair(self, order: StoredOrder) -> Pair:
        self.order = order
        return ORDER_KEY, encode(order)

    # Promises.

    def prepare(self, now_ms: int, request: PrepareEpoch) -> tuple[Refusal | EpochPromised, list[Pair]]:
        """Promise the epoch, or say why not."""
        order = self.order
        asker = (request.candidate, request.boot)
        again = request.epoch == order.promised and asker == (order.candidate, order.boot)
        if request.epoch <= order.promised and not again:
            return Refusal.BALLOT, []
        if self.leased(now_ms, request.candidate):
            return Refusal.LEASE, []
        if request.probe or again:
            return self._yes(request), []
        self.promised_ms = now_ms
        pair = self._order_pair(
            replace(order, promised=request.epoch, candidate=request.candidate, boot=request.boot)
        )
        return self._yes(request), [pair]

    def _yes(self, request: PrepareEpoch) -> EpochPromised:
        return EpochPromised(0, request.epoch, self.order.promised, self.order.position, request.probe)

    def leased(self, now_ms: int, candidate: int) -> bool:
        """Whether somebody other than the candidate may hold a lease that this replica acknowledged."""
        if candidate == self.order.holder:
            return False
        return now_ms < max(self.heard_ms + PROMISE_GUARD_MS, self.guarded_until_ms)

    def release(self) -> None:
        """The leader has stopped acting: its lease binds nobody any more."""
        self.heard_ms = NEVER_MS
        self.guarded_until_ms = NEVER_MS

    # The leader's messages.

    def hear(self, now_ms: int, epoch: int, leader: int, boot: int) -> tuple[Refusal | None, list[Pair]]:
        """A message of the leader of that epoch; its first one is noted durably, as it may renew a lease."""
        order = self.order
        if epoch < order.promised:
            return Refusal.BALLOT, []
        self.heard_ms = now_ms
        if epoch == order.promised and order.holder == leader:
            return None, []
        pair = self._order_pair(replace(order, promised=epoch, candidate=leader, boot=boot, holder=leader))
        return None, [pair]

    def append(self, now_ms: int, request: Append) -> tuple[Refusal | None, list[Pair]]:
        """Take the batches that follow the own position; those that are there already are passed over."""
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
        """Take over the own items as the start of the leader's epoch, if they are the ones that it means."""
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
        """Gather the parts of a whole state; the last one brings the replacement of all items."""
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

    def _stage(self, request: Install) -> Staged | None:
        staged = self._staged
        if request.index == 0:
            staged = self._staged = Staged(request.epoch, request.transfer)
        if staged is None or (staged.epoch, staged.transfer) != (request.epoch, request.transfer):
            return None
        if request.index != staged.next_index:
            return staged if request.index < staged.next_index and not request.last else None
        staged.next_index += 1
        staged.pairs += [
            (ITEM_PREFIX + change.key, change.value) for change in request.changes if change.value is not None
        ]
        return staged
