"""The caller's side: the listening socket and the caller legs, with requests in and answers out."""

from __future__ import annotations

import json
import math
import socket
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio
import h11
from anyio.abc import TaskGroup

from flintfield.memory.messages import Address, Answer, CallerLeft, Message, Submission, Submitted, Verdict
from flintfield.wire.http1.stream import Stream

BACKLOG = 1024
MOST_BODY = 65_536
MOST_UNREAD = 1 << 17  # what a caller may send ahead of its answer
READ_S = 20.0  # a request that has begun must be whole by then: guards against callers that stall
ACCEPT_PAUSE_S = 0.05
LINGER_S = 2.0  # how long we let the other side read our last answer before the connection is closed
STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500}
UNITS = {"m": 1.0, "u": 0.001}


class BadRequest(Exception):
    """A request that is answered with an error at once."""

    def __init__(self, status: int, word: str) -> None:
        super().__init__(word)
        self.status = status


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer's parts, before they are framed."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()
    close: bool = False


@dataclass(frozen=True, slots=True)
class Pages:
    """What a GET may read."""

    ready: Callable[[], bool]
    counters: Callable[[], Mapping[str, int]]


def reply_of(answer: Answer) -> Reply:
    """Word a final answer."""
    if answer.verdict is Verdict.SERVED:
        return Reply(200, answer.body, (), answer.close)
    advice = answer.verdict is Verdict.REFUSED and answer.retry_after_ms > 0
    headers = ((b"Retry-After", b"%.3f" % (answer.retry_after_ms / 1000)),) if advice else ()
    return Reply(STATUS[answer.verdict], answer.verdict.value.encode() + b"\n", headers, answer.close)


class Callers:
    """All caller legs, and the socket they come from."""

    def __init__(self, tell: Callable[[Message], None], pages: Pages, class_names: Sequence[str],
                 most_legs: int, count: Callable[[str], None]) -> None:
        self._tell, self._pages, self._count = tell, pages, count
        self._classes = {name: i for i, name in enumerate(class_names)}
        self._most_legs = most_legs
        self._legs: dict[int, _Leg] = {}  # by the number of the leg, oldest first
        self._waiting: dict[int, _Leg] = {}  # by the transaction whose answer they wait for
        self._next_leg = self._next_rid = 0
        self._listener: socket.socket | None = None

    # ------------------------------------------------------------ the socket

    def listen(self, address: Address) -> int:
        """Open the listening socket and tell its port."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
        listener.setblocking(False)
        self._listener = listener
        return int(listener.getsockname()[1])

    async def accept_all(self, tasks: TaskGroup) -> None:
        """Take connections in until the socket is closed."""
        while listener := self._listener:
            if not self._accept_waiting(listener, tasks):
                await anyio.sleep(ACCEPT_PAUSE_S)  # a descriptor comes free soon
                continue
            try:
                await anyio.wait_readable(listener)
            except (anyio.ClosedResourceError, OSError, ValueError):
                return

    def _accept_waiting(self, listener: socket.socket, tasks: TaskGroup) -> bool:
        """Take in all connections that wait; whether there was room for them."""
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue  # it is gone again
            except OSError:  # no descriptor or no memory is left
                self._close_one_idle()
                return False
            if len(self._legs) >= self._most_legs:
                self._close_one_idle()
            self._count("legs.accepted")
            self._next_leg += 1
            leg = self._legs[self._next_leg] = _Leg(Stream(sock))
            tasks.start_soon(self._serve, self._next_leg, leg)

    def stop_listening(self, tasks: TaskGroup) -> None:
        """Take in what the kernel has accepted for us, then close the socket: those callers count as ours."""
        if self._listener:
            self._accept_waiting(self._listener, tasks)
            anyio.notify_closing(self._listener)
            self._listener.close()
            self._listener = None

    def close_idle(self, fresh_too: bool) -> None:
        """Close the legs that are between two requests, and those that never had one only if told so."""
        for leg in self._legs.values():
            if leg.idle and (fresh_too or leg.served) and leg.stream.is_quiet():
                leg.stream.close()

    def _close_one_idle(self) -> None:
        """Guards against callers that open connections until no descriptor is left for next hops."""
        idle = [leg for leg in self._legs.values() if leg.idle and leg.stream.is_quiet()]
        if idle:
            self._count("legs.closed_for_room")
            max(idle, key=lambda leg: leg.served).stream.close()  # the first that was served, else the oldest

    @property
    def open_legs(self) -> int:
        """How many legs are open."""
        return len(self._legs)

    # -------------------------------------------------------------- the legs

    def answer(self, effect: Answer) -> None:
        """Hand a final answer to the leg that waits for it."""
        if leg := self._waiting.pop(effect.rid, None):
            leg.reply = reply_of(effect)
            leg.answered.set()

    async def _serve(self, number: int, leg: _Leg) -> None:
        try:
            while await self._exchange(leg):
                pass
        except Exception as error:  # exceptions stop at the connection
            self._count(f"legs.broken.{type(error).__name__}")
        finally:
            leg.stream.close()
            del self._legs[number]

    async def _exchange(self, leg: _Leg) -> bool:
        """One request and its answer; whether another may follow."""
        try:
            if (request := await leg.read()) is None:
                return False
            reply = self._page(request) or await self._transaction(leg, request)
        except (BadRequest, h11.RemoteProtocolError) as error:
            status = error.status if isinstance(error, BadRequest) else 400
            self._count(f"requests.bad.{status}")
            reply = Reply(status, f"{error}\n".encode(), (), close=True)
        return await leg.write(reply)

    def _page(self, request: _Request) -> Reply | None:
        path = request.target.split(b"?", 1)[0]
        if path not in (b"/ready", b"/counters"):
            return None
        if request.method != b"GET":
            raise BadRequest(405, "this page is read with GET")
        if path == b"/ready":
            ready = self._pages.ready()
            return Reply(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        return Reply(200, json.dumps(self._pages.counters(), sort_keys=True).encode(),
                     ((b"Content-Type", b"application/json"),))

    async def _transaction(self, leg: _Leg, request: _Request) -> Reply:
        submission = read_submission(request, self._classes)
        self._next_rid += 1
        rid = self._next_rid
        self._waiting[rid] = leg
        leg.answered, leg.reply = anyio.Event(), None
        self._tell(Submitted(rid, submission))
        if not leg.answered.is_set():
            async with anyio.create_task_group() as both:
                both.start_soon(self._watch_leaving, leg, rid)
                await leg.answered.wait()
                both.cancel_scope.cancel()
        assert leg.reply is not None
        return leg.reply

    async def _watch_leaving(self, leg: _Leg, rid: int) -> None:
        """Notice a caller that leaves before its answer: its job need not go on."""
        if await leg.read_ahead():
            self._tell(CallerLeft(rid))


@dataclass(frozen=True, slots=True)
class _Request:
    """A whole request as it was read."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


@dataclass(slots=True)
class _Leg:
    """One connection of a caller."""

    stream: Stream
    h11: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))
    idle: bool = True  # between two requests, not a byte of the next one read
    served: bool = False
    bodiless: bool = False  # an answer to HEAD has no body
    answered: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None

    async def read(self) -> _Request | None:
        """The next whole request; None when the caller has ended the connection."""
        with anyio.move_on_after(math.inf if self.idle else READ_S) as patience:
            return await self._read(patience)
        raise BadRequest(408, "the request did not come to its end")

    async def _read(self, patience: anyio.CancelScope) -> _Request | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                if self.h11.they_are_waiting_for_100_continue:
                    go_on = self.h11.send(h11.InformationalResponse(status_code=100, headers=[]))
                    await self.stream.send(go_on or b"")
                data = await self.stream.receive()
                if not data and (self.idle or self.stream.closed):
                    return None
                if patience.deadline == math.inf:
                    patience.deadline = anyio.current_time() + READ_S
                self.idle = False
                self.h11.receive_data(data)
            elif isinstance(event, h11.Request):
                self.idle, head = False, event
                self.bodiless = event.method == b"HEAD"
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    raise BadRequest(413, "the body is longer than 64 KiB")
            elif isinstance(event, h11.EndOfMessage) and head:
                return _Request(head.method, head.target, dict(head.headers), bytes(body))
            else:
                return None

    async def read_ahead(self) -> bool:
        """Read on while an answer is made; whether the caller has ended the connection."""
        unread = len(self.h11.trailing_data[0])
        while unread <= MOST_UNREAD:
            data = await self.stream.receive()
            if not data:
                return True
            self.h11.receive_data(data)
            unread += len(data)
        return False

    async def write(self, reply: Reply) -> bool:
        """Write an answer; whether the connection may serve on."""
        close = reply.close or self.h11.their_state not in (h11.DONE, h11.IDLE)
        headers = [*reply.headers, (b"Content-Length", b"%d" % len(reply.body))]
        if close:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers)
        body = b"" if self.bodiless else reply.body
        parts = (head, h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(self.h11.send(part) or b"" for part in parts)
        if await self.stream.send(data) < len(data):
            return False
        self.served = True
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self.idle = not self.h11.trailing_data[0]
            return True
        # Guards against a reset that overtakes the answer: bytes unread at a close make the kernel send one.
        self.stream.end_sending()
        with anyio.move_on_after(LINGER_S):
            while await self.stream.receive():
                pass
        return False


# -------------------------------------------------------------- the headers


def read_submission(request: _Request, classes: Mapping[str, int]) -> Submission:
    """Read a job's request; what is missing or wrong is a `BadRequest`."""
    headers = request.headers
    first = request.target.split(b"?", 1)[0].strip(b"/").split(b"/", 1)[0].decode("ascii", "replace")
    class_name = _text(headers, b"req-kind")
    if first not in classes and class_name not in classes and class_name in ("", first):
        if class_name:
            raise BadRequest(400, "Req-Kind: unknown class")
        raise BadRequest(404, "no such path")
    if request.method != b"POST":
        raise BadRequest(405, "jobs come by POST")
    if class_name not in classes:
        raise BadRequest(400, "Req-Kind: missing or unknown")
    if first != class_name:
        raise BadRequest(404, "the path is not of this class")
    name = _text(headers, b"req-id")
    if not name or not name.isascii():
        raise BadRequest(400, "Req-Id: missing or not plain text")
    extras = _extras(_text(headers, b"req-extra"))
    cost_us = _number(headers, b"req-cost")
    return Submission(
        name=name, method=request.method, target=request.target, body=request.body,
        cls=classes[class_name], class_name=class_name, wait_ms=_deadline(_text(headers, b"req-deadline")),
        key=_key(_text(headers, b"req-key")),
        cost_ms=None if cost_us is None else cost_us / 1000,
        slots=extras.get("slots") or extras.get("needs") or 1.0,
        memory=extras.get("memory") or extras.get("mem_needed") or 0.0,
        repeat=headers.get(b"req-retry") == b"1",
    )


def _text(headers: Mapping[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1").strip()


def _float(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise BadRequest(400, f"{name}: not a number")
    return value


def _number(headers: Mapping[bytes, bytes], name: bytes) -> float | None:
    return _float(_text(headers, name), name.decode()) if name in headers else None


def _deadline(text: str) -> float:
    if text[-1:] not in UNITS:
        raise BadRequest(400, "Req-Deadline: missing or without its unit")
    return _float(text[:-1], "Req-Deadline") * UNITS[text[-1]]


def _key(text: str) -> int:
    try:
        return int(text, 16) if text else 0
    except ValueError:
        raise BadRequest(400, "Req-Key: not hexadecimal") from None


def _extras(text: str) -> dict[str, float]:
    pairs = [p.split("=", 1) for p in text.split(",") if "=" in p]
    return {name.strip(): _float(value, "Req-Extra") for name, value in pairs}
