"""The listener of the second address: calls in, answers out. It decides nothing: orders are asked of others.

Rules:

1. Its legs work for no caller, so the poller wakes them before all others: no queue of jobs stands before a
   call.
2. There are `MOST_LEGS` at the most. The newest is always taken in: of those that are there, one that has had
   its answer makes room, else the one that has been there longest without a whole call.
3. A call is whole within `REQUEST_S`, or it is ended; so is a reader that does not take its answer in time.

Calls: `GET /control/ready`, `GET /control/counters`, `PUT /control/worker-nodes/ID/offline` and `/online`,
`PUT /control/out-of-service` and `/in-service`. 200 is yes; another method 405, another path or an id that
nobody has 404. The id is percent-encoded UTF-8; a query and a body are read past.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Hashable
from urllib.parse import unquote_to_bytes

from flintfield.memory.messages import Address
from flintfield.wire.http1.leg import REQUEST_S, Leg, Phase
from flintfield.wire.http1.reply import Reply
from flintfield.wire.http1.poller import NOTHING, READ, Poller, Waits
from flintfield.wire.http1.stream import Stream, open_listener
from flintfield.wire.http1.submission import BadRequest, Request

MOST_LEGS = 32
BACKLOG = 128
ACCEPT_TURN = 8  # taken in at once, before others have their turn
ACCEPT_PAUSE_S = 0.05  # after a lack of descriptors
WRITE_S = 4.0  # from its call on, a reader must have taken its answer by then
TEXT = ((b"Content-Type", b"text/plain; charset=utf-8"),)
READY, COUNTERS = b"/control/ready", b"/control/counters"
OUT_OF_SERVICE, IN_SERVICE = b"/control/out-of-service", b"/control/in-service"
WORKER_NODES = b"/control/worker-nodes/"
ORDERS = {b"offline": True, b"online": False}
MAINTENANCE = b"/control/maintenance/"  # SUBJECT/ORDER, or an order alone


def reply(status: int, word: str) -> Reply:
    """An answer in words; the connection ends with it."""
    return Reply(status, f"{word}\n".encode(), TEXT, close=True)


def read_order(path: bytes) -> tuple[str, bool] | None:
    """The id of the worker node that an order is on, empty for the scheduler, and whether it is to be out.

    None if the path is no order's; a `BadRequest` if it names nobody who could be.
    """
    if path in (OUT_OF_SERVICE, IN_SERVICE):
        return "", path == OUT_OF_SERVICE
    if not path.startswith(WORKER_NODES):
        return None
    quoted, slash, word = path[len(WORKER_NODES):].rpartition(b"/")
    if not slash or word not in ORDERS:
        return None
    try:
        name = unquote_to_bytes(quoted).decode()
    except UnicodeDecodeError:
        name = ""
    if not name:
        raise BadRequest(404, "no worker node of this id is listed")
    return name, ORDERS[word]


def read_maintenance(path: bytes) -> tuple[str, str] | None:
    """The order and its subject, empty where it has none; None if the path is no such order's."""
    if not path.startswith(MAINTENANCE):
        return None
    quoted, _, word = path[len(MAINTENANCE):].rpartition(b"/")
    return word.decode("latin-1"), unquote_to_bytes(quoted).decode("utf-8", "replace")


class Front:
    """All calls to the second address."""

    caller: Hashable | None = None
    urgent = True

    def __init__(self, poller: Poller, ready: Callable[[], bool], counters: Callable[[], bytes],
                 order: Callable[[int, str, bool], None], make_room: Callable[[], object],
                 count: Callable[[str], None],
                 maintain: Callable[[int, str, str], None] | None = None) -> None:
        """`order(ticket, subject, out)` is answered by `answer`, now or later, and so is `maintain(ticket,
        order, subject)`, where there is maintenance; `make_room` has a descriptor come free."""
        self._poller, self._count = poller, count
        self._ready, self._counters, self._order, self._make_room = ready, counters, order, make_room
        self._waits: Waits[Leg] = Waits(poller, REQUEST_S, Leg.time_over)
        self._legs: dict[Leg, None] = {}  # oldest first
        self._asking: dict[int, Leg] = {}  # by the ticket of the order that they wait for
        self._tickets = 0
        self._listener: socket.socket | None = None
        self._maintain = maintain

    # ------------------------------------------------------------ the socket

    def listen(self, address: Address) -> int:
        """Open the listening socket, whose callers wait from now on, and tell its port; an OSError if not."""
        self._listener = open_listener(address, BACKLOG)
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Take calls from now on."""
        assert self._listener
        self._poller.watch(self._listener.fileno(), self)

    def stop(self) -> None:
        """Take no more calls; those that are there end."""
        if self._listener:
            self._poller.forget(self._listener.fileno())
            self._listener.close()
            self._listener = None
        for leg in list(self._legs):
            leg.close()

    def ready(self) -> None:
        """Connections wait."""
        for _ in range(ACCEPT_TURN):
            if self._listener is None:
                return
            try:
                sock, _peer = self._listener.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue  # it is gone again
            except OSError:  # no descriptor or no memory is left
                self._make_room()
                self._poller.change(self._listener.fileno(), NOTHING)
                self._poller.later(ACCEPT_PAUSE_S, self, self._accept_on)
                return
            if len(self._legs) >= MOST_LEGS:
                self._close_one()
            leg = Leg(Stream(sock), self, self._poller, self._waits, None)
            self._legs[leg] = None
            leg.watch()

    def _accept_on(self) -> None:
        if self._listener:
            self._poller.change(self._listener.fileno(), READ)

    def broke(self, error: Exception) -> None:
        """An exception while connections were taken in: the next are taken all the same."""
        self._count(f"admin.broken.{type(error).__name__}")

    def _close_one(self) -> None:
        """Guards against callers that connect and say nothing, and would keep out one who has a call."""
        legs = list(self._legs)
        kinds = ((Phase.LINGERING, Phase.WRITING), (Phase.GATE, Phase.READING), (Phase.WAITING,))
        victim = next(leg for phases in kinds for leg in legs if leg.phase in phases)
        self._count("admin.closed_for_room")
        victim.close()

    # -------------------------------------------------------------- the legs

    def take(self, leg: Leg, request: Request) -> Reply | None:
        """One call."""
        leg.close_after(WRITE_S)
        path = request.target.split(b"?", 1)[0]
        if path in (READY, COUNTERS):
            self._expect(request, b"GET")
            return self._answered(self._page(path))
        maintained = read_maintenance(path) if self._maintain else None
        order = None if maintained else read_order(path)
        if order is None and maintained is None:
            raise BadRequest(404, "no such path")
        self._expect(request, b"PUT")
        self._tickets += 1
        self._asking[self._tickets] = leg
        leg.ticket = self._tickets
        if maintained and self._maintain:
            self._maintain(leg.ticket, *maintained)
        elif order:
            self._order(leg.ticket, *order)
        return None

    def _expect(self, request: Request, method: bytes) -> None:
        if request.method != method:
            raise BadRequest(405, f"this path is called with {method.decode()}")

    def _page(self, path: bytes) -> Reply:
        if path == COUNTERS:
            return Reply(200, self._counters(), TEXT, close=True)
        return reply(200, "ready") if self._ready() else reply(503, "not ready")

    def answer(self, ticket: int, status: int, word: str) -> None:
        """The answer to an order; nothing, if its caller has left."""
        if leg := self._asking.pop(ticket, None):
            leg.answer(self._answered(reply(status, word)))

    def _answered(self, answer: Reply) -> Reply:
        self._count(f"admin.answers.{answer.status}")
        return answer

    def refuse(self, leg: Leg, answer: Reply) -> None:
        """A call that can not be read, or asks for what is not there."""
        self._answered(answer)

    def leave(self, leg: Leg) -> None:
        """The caller left before its answer; an order that was asked for stands all the same."""

    def end(self, leg: Leg, error: Exception | None) -> None:
        """A caller is gone."""
        del self._legs[leg]
        self._asking.pop(leg.ticket, None)
        if error:
            self._count(f"admin.broken.{type(error).__name__}")
