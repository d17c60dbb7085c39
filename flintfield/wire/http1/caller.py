"""The server for callers: the listening socket and the callers' connections."""

from __future__ import annotations

import errno
import json
import socket
from collections.abc import Awaitable, Callable, Hashable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from anyio.abc import TaskGroup

from flintfield.memory.messages import Address, Answer, CallerLeft, Message, Submitted, Verdict
from flintfield.wire.http1.leg import REQUEST_S, Leg, Phase
from flintfield.wire.http1.reply import Reply
from flintfield.wire.http1.poller import NOTHING, READ, Poller, Waits
from flintfield.wire.http1.stream import Stream, open_listener
from flintfield.wire.http1.submission import BadRequest, Request, read_submission

BACKLOG = 1024
ACCEPT_PAUSE_S = 0.05
# Connections accepted before existing ones are served again, so that callers don't wait behind hundreds of
# new connections.
ACCEPT_TURN = 8
NEW_CONNECTION_S = 0.1  # the first request of a connection younger than this may still be in flight
TOO_MANY_REQUESTS = 429
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500}


Page = Callable[[bytes, bytes], Reply | Awaitable[Reply]]
"""Handler of a method and the rest of the path; responds now or later. A `BadRequest` is sent as response."""


class Gate(Protocol):
    """Decides which connections are accepted."""

    def takes(self, peer: str) -> bool:
        """Whether to keep the connection for now; if not, it must be closed without reading from it."""

    async def admit(self, stream: Stream, peer: str, deadline: float) -> bytes | None:
        """The part of the request read so far; None if the connection must be closed."""


@dataclass(frozen=True, slots=True)
class Pages:
    """Pages of this server; `more` maps paths to pages, where one that ends with `/` covers all below it."""

    ready: Callable[[], bool]
    counters: Callable[[], Mapping[str, int]]
    more: Mapping[bytes, Page] = field(default_factory=dict)

    def find(self, path: bytes) -> tuple[Page, bytes] | None:
        """The page in `more` for a path, and the part of the path after the page's own."""
        for own, page in self.more.items():
            if path == own or (own.endswith(b"/") and path.startswith(own)):
                return page, path[len(own):]
        return None


def make_reply(answer: Answer) -> Reply:
    """Build the response for a final answer."""
    if answer.verdict is Verdict.SERVED:
        return Reply(200, answer.body, (), answer.close)
    has_retry_after = answer.verdict is Verdict.REFUSED and answer.retry_after_ms > 0
    headers = ((b"Retry-After", b"%.3f" % (answer.retry_after_ms / 1000)),) if has_retry_after else ()
    status = TOO_MANY_REQUESTS if answer.limited else STATUS[answer.verdict]
    return Reply(status, answer.verdict.value.encode() + b"\n", headers, answer.close)


class Callers:
    """All connections of callers, and the socket that accepts them."""

    caller: Hashable | None = None  # the listening socket serves no single caller
    urgent = False

    def __init__(self, tell: Callable[[Message], None], pages: Pages, class_names: Sequence[str],
                 tenant_names: Sequence[str], most_legs: Callable[[], int], count: Callable[[str], None],
                 poller: Poller, gate: Gate | None = None) -> None:
        self._tell, self._pages, self._count = tell, pages, count
        self._gate = gate  # None: all connections are accepted
        self._classes = {name: i for i, name in enumerate(class_names)}
        self._tenants = {name: i for i, name in enumerate(tenant_names)}
        self._max_legs = most_legs
        self._poller = poller
        self._timeouts: Waits[Leg] = Waits(poller, REQUEST_S, Leg.time_over)
        self._legs: dict[Leg, None] = {}  # oldest first
        self._waiting: dict[int, Leg] = {}  # by the id of the transaction they wait for
        self._next_rid = 0
        self._tasks: TaskGroup | None = None  # runs what can't be answered immediately
        self._listener: socket.socket | None = None

    # ------------------------------------------------------------ the socket

    def listen(self, address: Address) -> int:
        """Open the listening socket and return its port."""
        self._listener = open_listener(address, BACKLOG)
        return int(self._listener.getsockname()[1])

    def share(self, descriptor: int) -> int:
        """Accept connections from an inherited listening socket that other processes share; return its port.

        Raises OSError if the descriptor isn't a listening socket. Its flags are shared by all processes; only
        O_NONBLOCK is set. Another process may accept a connection first, so an empty accept is normal.
        """
        listener = socket.socket(fileno=descriptor)
        try:
            if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(errno.EINVAL, "not a listening socket")
            listener.setblocking(False)
            port = int(listener.getsockname()[1])
        except OSError:
            listener.detach()
            raise
        self._listener = listener
        return port

    def let_go(self) -> None:
        """Stop accepting from a shared listening socket, which stays open in the other processes."""
        if self._listener:
            self._poller.stop(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def start(self, tasks: TaskGroup) -> None:
        """Start accepting connections; `tasks` runs what can't be answered immediately."""
        assert self._listener
        self._tasks = tasks
        self._poller.watch(self._listener.fileno(), self)

    def ready(self) -> None:
        """Accept waiting connections."""
        if self._listener and self._accept_batch(self._listener) is None:
            self._poller.change(self._listener.fileno(), NOTHING)
            self._poller.later(ACCEPT_PAUSE_S, self, self._resume_accepting)  # until a descriptor is free

    def _resume_accepting(self) -> None:
        if self._listener:
            self._poller.change(self._listener.fileno(), READ)

    def broke(self, error: Exception) -> None:
        """Count an exception while accepting; later connections are still accepted."""
        self._count(f"legs.broken.{type(error).__name__}")

    def _accept_batch(self, listener: socket.socket) -> int | None:
        """Accept up to `ACCEPT_TURN` connections; returns their number, or None without a free descriptor."""
        for taken in range(ACCEPT_TURN):
            try:
                sock, (peer, *_) = listener.accept()
            except BlockingIOError:
                return taken
            except ConnectionAbortedError:
                continue  # the peer closed it already
            except OSError:  # out of descriptors or memory
                self.make_room()
                return None
            if self._gate and not self._gate.takes(peer):
                sock.close()
                continue
            if len(self._legs) >= self._max_legs():
                self.make_room()
            self._count("legs.accepted")
            leg = Leg(Stream(sock), self, self._poller, self._timeouts, peer)
            self._legs[leg] = None
            if self._gate and self._tasks:
                self._tasks.start_soon(self._check_access, self._gate, leg, peer)
            else:
                leg.watch()
        return ACCEPT_TURN

    def stop_listening(self) -> None:
        """Accept the connections in the kernel's queue, which must still be served, then close the socket."""
        if self._listener:
            while self._accept_batch(self._listener) == ACCEPT_TURN:
                pass
            self._poller.forget(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def hurry(self, seconds: float) -> None:
        """Limit the remaining time of connections that linger after their last response."""
        for leg in list(self._legs):
            leg.hurry(seconds)

    def close_idle(self, spare_young: bool = False) -> None:
        """End the connections that are between two requests or have not had one.

        `spare_young` skips those just accepted, whose first request may be in flight.
        """
        settled = self._poller.loop.time() - NEW_CONNECTION_S
        for leg in list(self._legs):
            young = spare_young and not leg.served and leg.began > settled
            if leg.idle and not young and leg.stream.is_quiet():
                leg.finish()

    def make_room(self) -> bool:
        """Close the most expendable connection: one without a request, else one between two requests.

        Otherwise callers could open connections until no descriptor is left for others and for next hops.
        """
        if victim := next(self._closable_legs(), None):
            self._count("legs.closed_for_room")
            victim.close()
        return victim is not None

    def _closable_legs(self) -> Iterator[Leg]:
        """Connections without a request in progress, the most expendable first, then by age."""
        settled = self._poller.loop.time() - NEW_CONNECTION_S
        by_priority: list[list[Leg]] = [[], [], [], []]
        for leg in self._legs:
            if leg.phase is Phase.LINGERING:
                by_priority[1].append(leg)
            elif leg.idle:
                by_priority[2 if leg.served else 0 if leg.began < settled else 3].append(leg)
        # `is_quiet` excludes connections with a request that has not been read yet.
        return (leg for group in by_priority for leg in group
                if leg.phase is Phase.LINGERING or leg.stream.is_quiet())

    @property
    def open_legs(self) -> int:
        """Number of open connections."""
        return len(self._legs)

    # ------------------------------------------------------- the connections

    async def _check_access(self, gate: Gate, leg: Leg, peer: str) -> None:
        """Check access within the time limit of the first request; then start serving the connection."""
        try:
            read = await gate.admit(leg.stream, peer, leg.began + REQUEST_S)
            if read is None:
                leg.close()
            else:
                leg.watch(read)
        except Exception as error:  # must not affect other connections
            leg.close(error)

    def answer(self, effect: Answer) -> None:
        """Pass a final answer to the connection that waits for it."""
        if leg := self._waiting.pop(effect.rid, None):
            leg.answer(make_reply(effect))

    def caller_of(self, rid: int) -> Hashable | None:
        """The caller that waits for a transaction's answer; None if none does on this server."""
        leg = self._waiting.get(rid)
        return leg.caller if leg else None

    def is_waiting(self, rid: int) -> bool:
        """Whether the transaction's caller is still connected, by its socket; if not, `CallerLeft` is sent.

        True for a transaction of another front end, for which no connection waits here.
        """
        leg = self._waiting.get(rid)
        if leg is None or leg.stream.is_quiet():
            return True
        leg.ready()
        return False

    def take(self, leg: Leg, request: Request) -> Reply | None:
        """Handle a complete request: answer a page, now or later, or open a transaction for a job."""
        leg.ticket = 0
        if (reply := self._page(request)) is not None:
            if isinstance(reply, Reply):
                return reply
            assert self._tasks
            self._tasks.start_soon(self._answer_later, leg, reply)
            return None
        submission = read_submission(request, self._classes, self._tenants)
        self._next_rid += 1
        leg.ticket = self._next_rid
        self._waiting[leg.ticket] = leg
        self._tell(Submitted(leg.ticket, submission))
        return None

    async def _answer_later(self, leg: Leg, reply: Awaitable[Reply]) -> None:
        try:
            leg.answer(await reply)
        except BadRequest as error:
            leg.answer_error(error)
        except Exception as error:  # must not affect other connections
            leg.broke(error)

    def leave(self, leg: Leg) -> None:
        """Send `CallerLeft` for a caller that disconnected, or sent more data, before its response."""
        if self._waiting.get(leg.ticket) is leg:
            self._tell(CallerLeft(leg.ticket))

    def refuse(self, _: Leg, reply: Reply) -> None:
        """Count a request that was answered with an error."""
        self._count(f"requests.bad.{reply.status}")

    def end(self, leg: Leg, error: Exception | None) -> None:
        """Remove a closed connection."""
        del self._legs[leg]
        if error:
            self._count(f"legs.broken.{type(error).__name__}")
        if self._waiting.get(leg.ticket) is leg:
            self._tell(CallerLeft(leg.ticket))

    def _page(self, request: Request) -> Reply | Awaitable[Reply] | None:
        path = request.target.split(b"?", 1)[0]
        if found := self._pages.find(path):
            return found[0](request.method, found[1])
        if path not in (b"/ready", b"/counters"):
            return None
        if request.method != b"GET":
            raise BadRequest(405, "this page is read with GET")
        if path == b"/ready":
            ready = self._pages.ready()
            return Reply(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        return Reply(200, json.dumps(self._pages.counters(), sort_keys=True).encode(),
                     ((b"Content-Type", b"application/json"),))
