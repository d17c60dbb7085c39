"""The caller's side: the listening socket and the caller legs, with requests in and answers out."""

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
# Taken in at once before the legs that are there have their turn. Guards against callers that wait behind
# hundreds of new connections.
ACCEPT_TURN = 8
YOUNG_S = 0.1  # a connection so young may have its first request on the way
LIMITED = 429
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500}


Page = Callable[[bytes, bytes], Reply | Awaitable[Reply]]
"""Answers a method and what follows the page's path, now or later; a `BadRequest` is answered as such."""


class Gate(Protocol):
    """Says which connections are taken."""

    def takes(self, peer: str) -> bool:
        """Whether the peer may stay for now; if not it is to be closed unread."""

    async def lets_in(self, stream: Stream, peer: str, deadline: float) -> bytes | None:
        """What of the request was read meanwhile; None if the connection is to be closed."""


@dataclass(frozen=True, slots=True)
class Pages:
    """What may be read here; `more` goes by path, and one that ends with `/` stands for all below it."""

    ready: Callable[[], bool]
    counters: Callable[[], Mapping[str, int]]
    more: Mapping[bytes, Page] = field(default_factory=dict)

    def find(self, path: bytes) -> tuple[Page, bytes] | None:
        """One of those pages, and what of the path follows its own."""
        for own, page in self.more.items():
            if path == own or (own.endswith(b"/") and path.startswith(own)):
                return page, path[len(own):]
        return None


def reply_of(answer: Answer) -> Reply:
    """Word a final answer."""
    if answer.verdict is Verdict.SERVED:
        return Reply(200, answer.body, (), answer.close)
    advice = answer.verdict is Verdict.REFUSED and answer.retry_after_ms > 0
    headers = ((b"Retry-After", b"%.3f" % (answer.retry_after_ms / 1000)),) if advice else ()
    status = LIMITED if answer.limited else STATUS[answer.verdict]
    return Reply(status, answer.verdict.value.encode() + b"\n", headers, answer.close)


class Callers:
    """All caller legs, and the socket they come from."""

    caller: Hashable | None = None  # the socket works for no caller yet
    urgent = False

    def __init__(self, tell: Callable[[Message], None], pages: Pages, class_names: Sequence[str],
                 tenant_names: Sequence[str], most_legs: Callable[[], int], count: Callable[[str], None],
                 poller: Poller, gate: Gate | None = None) -> None:
        self._tell, self._pages, self._count = tell, pages, count
        self._gate = gate  # None: all connections are taken as they come
        self._classes = {name: i for i, name in enumerate(class_names)}
        self._tenants = {name: i for i, name in enumerate(tenant_names)}
        self._most_legs = most_legs
        self._poller = poller
        self._waits: Waits[Leg] = Waits(poller, REQUEST_S, Leg.time_over)
        self._legs: dict[Leg, None] = {}  # oldest first
        self._waiting: dict[int, Leg] = {}  # by the transaction whose answer they wait for
        self._next_rid = 0
        self._tasks: TaskGroup | None = None  # for what is not served at once
        self._listener: socket.socket | None = None

    # ------------------------------------------------------------ the socket

    def listen(self, address: Address) -> int:
        """Open the listening socket and tell its port."""
        self._listener = open_listener(address, BACKLOG)
        return int(self._listener.getsockname()[1])

    def share(self, descriptor: int) -> int:
        """Take connections from an inherited listening socket, which is others' too, and tell its port.

        An OSError tells why it is none. Its flags are common to all who have it: that it does not block is
        the one that is set. Others may take what we were woken for: an accept that finds nothing is normal.
        """
        listener = socket.socket(fileno=descriptor)
        try:
            if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise OSError(errno.EINVAL, "it does not listen")
            listener.setblocking(False)
            port = int(listener.getsockname()[1])
        except OSError:
            listener.detach()
            raise
        self._listener = listener
        return port

    def let_go(self) -> None:
        """Take no more connections from a socket that others take them from; it stays as it is."""
        if self._listener:
            self._poller.stop(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def start(self, tasks: TaskGroup) -> None:
        """Take connections in from now on; `tasks` is for what can not be served at once."""
        assert self._listener
        self._tasks = tasks
        self._poller.watch(self._listener.fileno(), self)

    def ready(self) -> None:
        """Connections wait."""
        if self._listener and self._accept_some(self._listener) is None:
            self._poller.change(self._listener.fileno(), NOTHING)
            self._poller.later(ACCEPT_PAUSE_S, self, self._accept_on)  # a descriptor comes free soon

    def _accept_on(self) -> None:
        if self._listener:
            self._poller.change(self._listener.fileno(), READ)

    def broke(self, error: Exception) -> None:
        """An exception while connections were taken in: the next are taken all the same."""
        self._count(f"legs.broken.{type(error).__name__}")

    def _accept_some(self, listener: socket.socket) -> int | None:
        """Take in a few connections: how many, less than a turn if no more wait; None for lack of room."""
        for taken in range(ACCEPT_TURN):
            try:
                sock, (peer, *_) = listener.accept()
            except BlockingIOError:
                return taken
            except ConnectionAbortedError:
                continue  # it is gone again
            except OSError:  # no descriptor or no memory is left
                self.make_room()
                return None
            if self._gate and not self._gate.takes(peer):
                sock.close()
                continue
            if len(self._legs) >= self._most_legs():
                self.make_room()
            self._count("legs.accepted")
            leg = Leg(Stream(sock), self, self._poller, self._waits, peer)
            self._legs[leg] = None
            if self._gate and self._tasks:
                self._tasks.start_soon(self._pass_gate, self._gate, leg, peer)
            else:
                leg.watch()
        return ACCEPT_TURN

    def stop_listening(self) -> None:
        """Take in what the kernel has accepted for us, then close the socket: those callers count as ours."""
        if self._listener:
            while self._accept_some(self._listener) == ACCEPT_TURN:
                pass
            self._poller.forget(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def hurry(self, seconds: float) -> None:
        """Let those that were answered for the last time read on no longer than that."""
        for leg in list(self._legs):
            leg.hurry(seconds)

    def close_idle(self, spare_young: bool = False) -> None:
        """End the legs that are between two requests, or never had one.

        `spare_young` leaves out those that were just taken: their first request is on its way.
        """
        settled = self._poller.loop.time() - YOUNG_S
        for leg in list(self._legs):
            young = spare_young and not leg.served and leg.began > settled
            if leg.idle and not young and leg.stream.is_quiet():
                leg.finish()

    def make_room(self) -> bool:
        """Close the connection that is missed least: one that says nothing, else one between two requests.

        Guards against callers that open connections until no descriptor is left for others and for next hops.
        """
        if victim := next(self._victims(), None):
            self._count("legs.closed_for_room")
            victim.close()
        return victim is not None

    def _victims(self) -> Iterator[Leg]:
        """The legs that wait for nothing of ours, the best to close first; those alike by age."""
        settled = self._poller.loop.time() - YOUNG_S
        kinds: list[list[Leg]] = [[], [], [], []]
        for leg in self._legs:
            if leg.phase is Phase.LINGERING:
                kinds[1].append(leg)
            elif leg.idle:
                kinds[2 if leg.served else 0 if leg.began < settled else 3].append(leg)
        # The look at what has come guards against closing on a request that we have not read yet.
        return (leg for kind in kinds for leg in kind
                if leg.phase is Phase.LINGERING or leg.stream.is_quiet())

    @property
    def open_legs(self) -> int:
        """How many legs are open."""
        return len(self._legs)

    # -------------------------------------------------------------- the legs

    async def _pass_gate(self, gate: Gate, leg: Leg, peer: str) -> None:
        """Learn who calls, within the time that the first request has; then the leg may serve."""
        try:
            read = await gate.lets_in(leg.stream, peer, leg.began + REQUEST_S)
            if read is None:
                leg.close()
            else:
                leg.watch(read)
        except Exception as error:  # exceptions stop at the connection
            leg.close(error)

    def answer(self, effect: Answer) -> None:
        """Hand a final answer to the leg that waits for it."""
        if leg := self._waiting.pop(effect.rid, None):
            leg.answer(reply_of(effect))

    def caller_of(self, rid: int) -> Hashable | None:
        """Who waits for a transaction's answer; None if nobody does here."""
        leg = self._waiting.get(rid)
        return leg.caller if leg else None

    def is_waiting(self, rid: int) -> bool:
        """Whether its caller still waits, by what its connection says now; one that left is told.

        A transaction that none of our legs waits for is another front's own.
        """
        leg = self._waiting.get(rid)
        if leg is None or leg.stream.is_quiet():
            return True
        leg.ready()
        return False

    def take(self, leg: Leg, request: Request) -> Reply | None:
        """A leg has a whole request: a page is answered, now or later, a job opens a transaction."""
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
            leg.answer_bad(error)
        except Exception as error:  # exceptions stop at the connection
            leg.broke(error)

    def leave(self, leg: Leg) -> None:
        """A caller left, or sent on, before its answer: its job need not go on."""
        if self._waiting.get(leg.ticket) is leg:
            self._tell(CallerLeft(leg.ticket))

    def refuse(self, _: Leg, reply: Reply) -> None:
        """A request could not be read."""
        self._count(f"requests.bad.{reply.status}")

    def end(self, leg: Leg, error: Exception | None) -> None:
        """A leg is closed."""
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
