"""The listener of the SQS-style API: connections, requests read whole within their time, answers.

It decides nothing: operations go to `ask`, whose `Reply` effects come back through `answer`. Bounded: so many
connections, so many bytes a request, so long for each; a reader that does not take its answer is closed, and
holds up nobody. Exceptions stop at the connection.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime

import anyio
import h11
from anyio.abc import TaskGroup

from flintfield.queues import operations as ops
from flintfield.queues.errors import QueueError
from flintfield.wire.http1.stream import Stream, open_listener
from flintfield.wire.sqs import json_form, query_form
from flintfield.wire.sqs.forms import Shape, Urls, read_operation, write_result
from flintfield.wire.sqs.signature import Signed, verify

MOST_BODY = 2 * 1024 * 1024  # a batch of 256 KiB whose characters are escaped to six bytes, and its structure
MOST_HEAD = 32 * 1024
REQUEST_S = 10.0  # from a request's first byte to its last
IDLE_S = 65.0  # between two requests: longer than SDKs keep a connection
WRITE_S = 10.0  # for a reader to take its answer
BACKLOG = 1024
ACCEPT_PAUSE_S = 0.05
ACCEPT_TURN = 8


@dataclass(frozen=True, slots=True)
class Keys:
    """What signatures are checked against: secrets by key id, none: all are let in unsigned."""

    secrets: Mapping[str, str]
    region: str = "local"
    skew_s: float = 300.0


@dataclass(slots=True)
class _Request:
    head: h11.Request
    body: bytes
    headers: list[tuple[str, str]]

    def header(self, name: str) -> str:
        return next((v for n, v in self.headers if n == name), "")


@dataclass(slots=True)
class _Waiting:
    done: anyio.Event = field(default_factory=anyio.Event)
    result: ops.Result | None = None


class BadMessage(Exception):
    """What can not be read as HTTP, or is too long or too late; the status it is answered with."""

    def __init__(self, status: int, word: str) -> None:
        super().__init__(word)
        self.status = status


class Front:
    """All connections of clients of the queues."""

    def __init__(self, ask: Callable[[int, ops.Operation], None], leave: Callable[[int], None], urls: Urls,
                 keys: Callable[[], Keys], count: Callable[[str], None], most_connections: int,
                 wall: Callable[[], datetime] = lambda: datetime.now(UTC)) -> None:
        self._ask, self._leave, self._urls, self._keys = ask, leave, urls, keys
        self._count, self._most, self._wall = count, most_connections, wall
        self._waiting: dict[int, _Waiting] = {}
        self._streams: dict[int, Stream] = {}
        self._busy: set[int] = set()
        self._next_call = self._next_connection = 0
        self._listener: socket.socket | None = None
        self._stopping = False

    # ----------------------------------------------------------- the listener

    def listen(self, address: tuple[str, int]) -> int:
        """Open the listening socket and tell its port; an OSError tells why there is none."""
        self._listener = open_listener(address, BACKLOG)
        return int(self._listener.getsockname()[1])

    async def accept_all(self, tasks: TaskGroup) -> None:
        """Take connections in until the socket is closed."""
        while listener := self._listener:
            taken = self._accept_some(listener, tasks)
            if taken is None:
                await anyio.sleep(ACCEPT_PAUSE_S)
            elif taken == ACCEPT_TURN:
                await anyio.sleep(0)
            else:
                try:
                    await anyio.wait_readable(listener)
                except (anyio.ClosedResourceError, OSError, ValueError):
                    return

    def _accept_some(self, listener: socket.socket, tasks: TaskGroup) -> int | None:
        """Take in a few connections; None where there is no room for more."""
        for taken in range(ACCEPT_TURN):
            if len(self._streams) >= self._most:
                self._close_one_idle()
                return None
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return taken
            except ConnectionAbortedError:
                continue
            except OSError:
                self._close_one_idle()
                return None
            self._count("queue.connections")
            self._next_connection += 1
            self._streams[self._next_connection] = stream = Stream(sock)
            tasks.start_soon(self._serve, self._next_connection, stream)
        return ACCEPT_TURN

    def _close_one_idle(self) -> None:
        """Guards against clients that open connections and say nothing: the oldest of them goes."""
        for number, stream in self._streams.items():
            if number not in self._busy and not stream.closed:
                self._count("queue.closed_for_room")
                stream.close()
                return

    def stop(self) -> None:
        """Take no new connections; those that are open end with their next answer, the idle ones now."""
        self._stopping = True
        if self._listener:
            anyio.notify_closing(self._listener)
            self._listener.close()
            self._listener = None
        for number, stream in list(self._streams.items()):
            if number not in self._busy:
                stream.close()

    @property
    def busy(self) -> int:
        """How many requests wait for their answer."""
        return len(self._busy)

    # -------------------------------------------------------- the connections

    def answer(self, call: int, result: ops.Result) -> None:
        """A call has its result."""
        if waiting := self._waiting.pop(call, None):
            waiting.result = result
            waiting.done.set()

    async def _serve(self, number: int, stream: Stream) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        try:
            while await self._exchange(number, connection, stream):
                connection.start_next_cycle()
        except Exception as error:  # exceptions stop at the connection
            self._count(f"queue.broken.{type(error).__name__}")
        finally:
            stream.close()
            self._busy.discard(number)
            del self._streams[number]

    async def _exchange(self, number: int, connection: h11.Connection, stream: Stream) -> bool:
        """One request and its answer; whether another may follow."""
        request_id = os.urandom(16).hex()
        try:
            if (request := await self._read(number, connection, stream)) is None:
                return False
        except (BadMessage, h11.RemoteProtocolError) as error:
            status = error.status if isinstance(error, BadMessage) else error.error_status_hint
            self._count(f"queue.bad.{status}")
            await self._write(connection, stream, status, f"{error}\n".encode(),
                              {"Content-Type": "text/plain"}, close=True)
            return False
        status, body, headers = await self._act(stream, request, request_id)
        headers["x-amzn-RequestId"] = request_id
        self._busy.discard(number)
        return await self._write(connection, stream, status, body, headers, close=self._stopping)

    async def _read(self, number: int, connection: h11.Connection, stream: Stream) -> _Request | None:
        head: h11.Request | None = None
        body = bytearray()
        deadline = anyio.current_time() + IDLE_S
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    go_on = connection.send(h11.InformationalResponse(status_code=100, headers=[]))
                    await stream.send(go_on or b"")
                data = await stream.receive_by(deadline)
                if not data and number not in self._busy:
                    return None
                if data is None:
                    raise BadMessage(408, "the request did not come to its end")
                if number not in self._busy:
                    self._busy.add(number)
                    deadline = anyio.current_time() + REQUEST_S
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                self._check(event)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    raise BadMessage(413, f"the body is longer than {MOST_BODY} bytes")
            elif isinstance(event, h11.EndOfMessage) and head:
                self._busy.add(number)
                headers = [(n.decode("latin-1").lower(), v.decode("latin-1")) for n, v in head.headers]
                return _Request(head, bytes(body), headers)
            else:
                return None

    def _check(self, head: h11.Request) -> None:
        lengths = [v for n, v in head.headers if n == b"content-length"]
        if lengths and any(n == b"transfer-encoding" for n, _ in head.headers):
            raise BadMessage(400, "Content-Length and Transfer-Encoding: the body's end is in doubt")
        if lengths and int(lengths[0]) > MOST_BODY:
            raise BadMessage(413, f"the body is longer than {MOST_BODY} bytes")

    async def _act(self, stream: Stream, request: _Request,
                   request_id: str) -> tuple[int, bytes, dict[str, str]]:
        """Check, read and carry out a request; status, body and headers of its answer."""
        path, _, query = request.head.target.decode("latin-1").partition("?")
        target = request.header("x-amz-target")
        form = json_form if target else query_form
        try:
            keys = self._keys()
            signed = Signed(request.head.method.decode(), path, query, request.headers, request.body)
            sender = ""
            if keys.secrets:
                sender = verify(signed, keys.secrets, self._wall(), keys.skew_s, keys.region)
            action, shape = self._parse(target, request, path, query)
            operation = read_operation(action, shape, self._urls, sender)
            self._count(f"queue.requests.{action}")
            result = await self._carry_out(stream, operation)
            told = write_result(action, result, self._urls, request.header("host") or "localhost", shape)
            return 200, form.write(action, told, request_id), {"Content-Type": form.CONTENT_TYPE}
        except QueueError as error:
            self._count(f"queue.errors.{error.code}")
            body, headers = form.write_error(error, request_id)
            return error.status, body, {"Content-Type": form.CONTENT_TYPE, **headers}

    def _parse(self, target: str, request: _Request, path: str, query: str) -> tuple[str, Shape]:
        if target:
            return json_form.read(target, request.body)
        if request.head.method not in (b"GET", b"POST"):
            raise QueueError("InvalidAction", "Requests come by GET or POST.", 405)
        try:
            text = request.body.decode()
        except UnicodeDecodeError as error:
            raise QueueError("MalformedQueryString", f"The body is no UTF-8: {error}", 404) from error
        return query_form.read("&".join(t for t in (query, text) if t), path)

    async def _carry_out(self, stream: Stream, operation: ops.Operation) -> ops.Result:
        self._next_call += 1
        call, waiting = self._next_call, _Waiting()
        self._waiting[call] = waiting
        self._ask(call, operation)
        if not waiting.done.is_set():
            try:
                async with anyio.create_task_group() as both:
                    both.start_soon(self._watch_leaving, stream, call, both)
                    await waiting.done.wait()
                    both.cancel_scope.cancel()
            finally:
                if self._waiting.pop(call, None):
                    self._leave(call)
        if waiting.result is None:
            raise ConnectionAbortedError("the client left before its answer")
        return waiting.result

    async def _watch_leaving(self, stream: Stream, call: int, both: TaskGroup) -> None:
        """Notice a client that abandons a long poll; what it sends early stays in the kernel."""
        while True:
            await anyio.wait_readable(stream.sock)
            if not stream.has_ended():
                await anyio.sleep(1.0)  # bytes of a next request: it is looked at after this answer
                continue
            both.cancel_scope.cancel()
            return

    async def _write(self, connection: h11.Connection, stream: Stream, status: int, body: bytes,
                     headers: Mapping[str, str], close: bool = False) -> bool:
        """Write an answer; whether another request may follow."""
        close = close or connection.their_state not in (h11.DONE,)
        fields = [(n.encode(), v.encode("latin-1", "replace")) for n, v in headers.items()]
        fields.append((b"Content-Length", b"%d" % len(body)))
        if close:
            fields.append((b"Connection", b"close"))
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return False
        parts = (h11.Response(status_code=status, headers=fields), h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(connection.send(p) or b"" for p in parts)
        with anyio.CancelScope(deadline=anyio.current_time() + WRITE_S):
            if await stream.send(data) == len(data):
                return not close and connection.our_state is h11.DONE
        self._count("queue.slow_readers")
        return False
