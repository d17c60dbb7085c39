"""What the lists of a worker prove: an order takes effect some time after its answer, or without one."""

from __future__ import annotations

from dataclasses import dataclass, field

from flintfield.agent.events import Answer, AnswerKind
from flintfield.agent.listing import Listing
from flintfield.agent.orders import OrderBook


@dataclass(slots=True)
class Settling:
    """The orders for one incarnation, as far as its lists may not show their effect yet.

    `settle_ms` is the time after an answer from which a listing shows the whole effect of the order;
    `inherited_until` is when what an earlier life of the agent sent is over (None: there is no such life).
    """

    settle_ms: int
    inherited_until: int | None
    settled_from_ms: int = 0  # a listing requested from then on shows the effect of all answered orders
    doubt_until_ms: float = 0.0  # until then, a start without an answer may still be carried out
    told_last_seen: int = 0  # as of the last answer to a hold call
    _calls: set[int] = field(default_factory=set)  # of orders, under way; also of an earlier dispatcher's
    _first_echo: int | None = None  # of the orders that came first

    def order_sent(self, call: int) -> None:
        """A call for an order leaves."""
        self._calls.add(call)

    def order_answered(self, now: int, call: int, answer: Answer, over_at: float | None) -> None:
        """A call for an order has ended; `over_at` is when all that was sent so far is over for certain."""
        self._calls.discard(call)
        self.settled_from_ms = now + self.settle_ms
        if answer.kind is AnswerKind.NONE:
            self.doubt_until_ms = max(self.doubt_until_ms, over_at or 0.0)

    def may_repeat(self, echo_stamp: int, longest_hold_ms: int) -> bool:
        """Whether the agent's last life may have sent the starts of these orders: the dispatcher repeats them
        once it has heard from the new life, and no later than their hold can last."""
        if self.inherited_until is None:
            return False
        if self._first_echo is None:
            self._first_echo = echo_stamp
        return echo_stamp - self._first_echo < longest_hold_ms

    def hold_answered(self, last_seen: int) -> None:
        """The worker has answered a call that acknowledged ends up to this number."""
        self.told_last_seen = max(self.told_last_seen, last_seen)

    def shows_no_run(self, now: int, listing: Listing, book: OrderBook) -> bool:
        """Whether the newest listing proves that nothing runs there, nor may begin to."""
        in_doubt = now <= max(self.doubt_until_ms, self.inherited_until or 0)
        may_begin = in_doubt or bool(self._calls) or book.unresolved > 0
        return not may_begin and not listing.running and listing.stamp_ms >= self.settled_from_ms

    def has_been_told(self, listing: Listing) -> bool:
        """Whether the worker knows of all its ends that they are durable."""
        return not listing.has_ends and self.told_last_seen >= listing.last_seen
