"""Operators' manual orders: worker nodes taken offline, and the scheduler taken out of service.

Rules:

1. The latest order on a subject applies. Orders are independent of the route set: an order persists when a
   worker node leaves the list and is listed again.
2. Two books are merged subject by subject; the later word wins. Processes that have received the same words
   hold the same book, whatever the order and number of deliveries.
3. This module does no routing. The reducer checks `State.barred` before a first byte, and the decision module
   is informed of the excluded nodes.

Theory of operation. A book is a map of last-writer-wins registers (Shapiro, Preguiça, Baquero, Zawirski 2011,
"A comprehensive study of convergent and commutative replicated data types", 3.2.1). A timestamp is the Unix
time of the order in ms, and later than any timestamp that its issuer knew for that subject, so that no order
is lost when a clock steps back. On equal timestamps `out` wins, since an excluded node does no harm. Words
that readmit a worker node are kept for `RETENTION_MS`: the node counts as cold from that time, and an older
word must not override them.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from flintfield.decision.values import value
from flintfield.memory.planned_exclusions import stand
from flintfield.memory.messages import CloseIdleClients, UnitEffect, UnitMessage, worker_of

if TYPE_CHECKING:
    from flintfield.memory.reducer import Turn

SCHEDULER = ""  # the subject of orders on the scheduler itself; no worker node has this name
RETENTION_MS = 600_000.0  # far longer than the overlap of two processes, or the warm-up of a worker node
MOST = 4_096  # words in a book; bounds it if new names keep being listed and taken offline
FORMAT_VERSION = 1  # format version of a serialized book


@value
class Word:
    """The latest order on a subject: its timestamp (Unix ms), and whether the subject is out."""

    at: float
    out: bool


Book = dict[str, Word]


def merge(book: Book, other: Mapping[str, Word]) -> list[str]:
    """Merge the later words of another book into this one; return the subjects that changed."""
    changed = []
    for subject, word in other.items():
        own = book.get(subject)
        if own is None or (word.at, word.out) > (own.at, own.out):
            book[subject] = word
            if own is None or own.out is not word.out or not word.out:
                changed.append(subject)
    return changed


def plain_words(words: Mapping[str, Word]) -> dict[str, list[Any]]:
    """Words as plain values, in the form that `read_words` accepts."""
    return {subject: [word.at, word.out] for subject, word in words.items()}


def prune(book: Book, now: float) -> None:
    """Drop words that readmitted their subject more than `RETENTION_MS` ago."""
    for subject in [s for s, w in book.items() if not w.out and w.at < now - RETENTION_MS]:
        del book[subject]


def write_book(book: Mapping[str, Word]) -> bytes:
    """Serialize a book as one line of JSON."""
    told = {"form": FORMAT_VERSION, "orders": plain_words(book)}
    return json.dumps(told, separators=(",", ":")).encode() + b"\n"


def read_book(text: bytes | str) -> Book:
    """Parse the output of `write_book`; raises a ValueError that describes what is wrong."""
    try:
        told = json.loads(text)
        if told["form"] != FORMAT_VERSION:
            raise ValueError(f"form {told['form']!r}, expected {FORMAT_VERSION}")
        return read_words(told["orders"])
    except (KeyError, TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"not a valid book of orders: {error!r}") from error


def read_words(raw: Any) -> Book:
    """Parse words by subject, each `[at, out]`; raises the errors of `read_book`."""
    book = {}
    for subject, (at, out) in raw.items():
        if not isinstance(out, bool) or isinstance(at, bool) or not 0 <= at < 1e15:
            raise ValueError(f"the order on {subject!r}: found {[at, out]!r}")
        book[str(subject)] = Word(float(at), out)
    if len(book) > MOST:
        raise ValueError(f"{len(book)} orders, expected {MOST} at the most")
    return book


# ------------------------------------------------------------------ messages


@value
class OrderAsked(UnitMessage):
    """A request for an order; `ticket` identifies the call to answer."""

    ticket: int
    subject: str
    out: bool


@value
class OrdersHeard(UnitMessage):
    """Words received from another process of this scheduler, or read from its file."""

    words: Mapping[str, Word]


@value
class OrderTaken(UnitEffect):
    """The order is in force: persist it, then confirm; `changed` is False if it was in force before."""

    ticket: int
    changed: bool


@value
class OrderRefused(UnitEffect):
    """The order is refused, with an HTTP status and the reason."""

    ticket: int
    status: int
    why: str


@value
class OrdersChanged(UnitEffect):
    """These words of the book are new: persist them and pass them on."""

    words: Mapping[str, Word]


class Orders:
    """The reducer's handlers; only they access the book."""

    def __init__(self) -> None:
        self.book: Book = {}

    def asked(self, turn: Turn, message: OrderAsked) -> None:
        """Apply an order on the scheduler, or on a worker node that is listed or was taken offline before."""
        subject, book = message.subject, self.book
        own = book.get(subject)
        is_out = own is not None and own.out  # may have left the list; can be readmitted all the same
        if not (subject == SCHEDULER or is_out or worker_of(subject) in turn.state.routes):
            turn.effects.append(OrderRefused(message.ticket, 404, "no worker node of this id is listed"))
            return
        if is_out is message.out:
            turn.effects.append(OrderTaken(message.ticket, False))
            return
        if own is None and len(book) >= MOST:
            turn.effects.append(OrderRefused(message.ticket, 507, f"{MOST} orders are in force already"))
            return
        self._merge_words(turn, {subject: Word(max(turn.now, own.at + 1.0 if own else 0.0), message.out)})
        turn.effects.append(OrderTaken(message.ticket, True))

    def heard(self, turn: Turn, message: OrdersHeard) -> None:
        """Merge words from another source."""
        self._merge_words(turn, message.words)

    def _merge_words(self, turn: Turn, words: Mapping[str, Word]) -> None:
        changed = merge(self.book, words)
        prune(self.book, turn.now)
        if not changed:
            return
        turn.effects.append(OrdersChanged({s: self.book[s] for s in changed if s in self.book}))
        if SCHEDULER in changed:
            turn.state.drained = self.book[SCHEDULER].out
            turn.state.counters["orders.drains" if turn.state.drained else "orders.in_service"] += 1
            if turn.state.drained:
                turn.effects.append(CloseIdleClients())
        if names := [s for s in changed if s != SCHEDULER]:
            self._apply_node_orders(turn, names)

    def _apply_node_orders(self, turn: Turn, names: list[str]) -> None:
        """Apply changed orders on worker nodes to the state and inform the decision module."""
        state = turn.state
        for name in names:
            state.counters["orders.offline" if self.book[name].out else "orders.online"] += 1
        state.orders.by_hand = frozenset(worker_of(s) for s, w in self.book.items() if s and w.out)
        self.stand(turn)
        turn.close_barred_connections()

    def stand(self, turn: Turn) -> None:
        """Inform the decision module of excluded nodes and of which process owns the cold budgets."""
        orders = turn.state.orders
        orders.manual_returns = tuple((worker_of(s), w.at) for s, w in self.book.items() if s and not w.out)
        stand(turn)
