"""One TCP connection that carries requests, replies and one-way messages both ways.

Both sides may call and send, and both serve the handlers they were given. Frames that are written within one
pass of the event loop leave in one system call. Bounds: frames (`MAX_FRAME_BYTES`), bytes that wait to be
sent, outstanding calls, running handlers; each has a counter.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from flintfield.transport import frames, sockets
from flintfield.transport.counters import Counters
from flintfield.transport.inbox import FrameInbox
from flintfield.transport.errors import Failure, Rejected, RpcError, Unanswered, Unreachable
from flintfield.transport.outstanding import OutstandingCall
from flintfield.transport.records import MalformedRecord, decode
from flintfield.transport.slow_links import RequestBacklog

MAX_BUFFERED_BYTES = 4 * 1024 * 1024  # a peer that does not read this is given up; one frame may go above
MAX_OUTSTANDING_CALLS = 4_096
MAX_RUNNING_HANDLERS = 1_024
MAX_FAILURE_TEXT = 1_000  # characters
LOG_INTERVAL_S = 1.0  # at most one line in this time about handlers that raise

logger = logging.getLogger(__name__)

Handler = Callable[[Any, "Connection"], Awaitable[Any] | Any]
Handlers = Mapping[type, Handler]


class Connection(asyncio.Protocol):
    """A connection; made by `Server` and `connect`, used by one event loop.

    A handler of a request returns the reply message, a handler of a one-way message returns None; either may
    be a coroutine function, which costs a task. `peer` is the "ip:port" of the other side.
    """

    def __init__(self, handlers: Handlers, counters: Counters) -> None:
        self.peer = "?"
        self.closed = True
        self.counters = counters
        self._handlers = handlers
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._inbox: FrameInbox | None = None
        self._writer = frames.FrameWriter()
        self._flush_planned = False
        self._receipts = 0
        self._next_call = 0
        self._calls: dict[int, OutstandingCall] = {}
        self._backlog = RequestBacklog()
        self._running: set[asyncio.Task[None]] = set()
        self._close_callbacks: list[Callable[[Connection], None]] = []
        self._told_s = 0.0

    # What its users call.

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a request and wait for its reply; raises `Unreachable`, `Unanswered` or `Rejected`.

        If nothing at all has come in between the sending and the timeout, the connection is aborted, so that
        a dead peer costs one timeout; but not while a slow link may still be carrying the request.
        """
        if self.closed:
            raise Unreachable(f"connection to {self.peer} is closed")
        if len(self._calls) >= MAX_OUTSTANDING_CALLS:
            self.counters.refused_calls += 1
            raise Unreachable(f"{MAX_OUTSTANDING_CALLS} calls to {self.peer} are outstanding")
        number = self._next_call
        self._next_call = (number + 1) & 0xFFFFFFFF
        size = self._write(frames.REQUEST, number, message)
        in_reach = self._backlog.append(size, self._loop.time()) <= timeout_s
        waiter = self._loop.create_future()
        call = OutstandingCall(waiter, self._receipts, self._backlog.position, in_reach)
        self._calls[number] = call
        timer = self._loop.call_later(timeout_s, self._time_out, number)
        try:
            return await call.waiter
        finally:
            timer.cancel()
            self._calls.pop(number, None)

    def send(self, message: Any) -> bool:
        """Send a one-way message; False where the connection is closed or the message too large."""
        if not self.closed:
            try:
                self._write(frames.ONE_WAY, 0, message)
                return True
            except RpcError:
                pass
        self.counters.dropped_one_way += 1
        return False

    def close(self) -> None:
        """Close; what was written before is still sent. Outstanding calls fail as `Unanswered`."""
        if self.closed or self._transport is None:
            return
        self._flush()
        self._finish("closed by this side")
        self._transport.close()

    def on_close(self, callback: Callable[[Connection], None]) -> None:
        """Have `callback(connection)` called once when the connection is closed, by whichever side."""
        if self.closed:
            self._loop.call_soon(callback, self)
        else:
            self._close_callbacks.append(callback)

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._inbox = FrameInbox(self, self._loop, transport)
        self.closed = False
        self.peer = sockets.peer_of(transport)
        sockets.set_options(transport)
        transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)
        self.counters.opened += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """The socket is gone."""
        self._finish(str(exc) if exc else "closed by the peer")

    def data_received(self, data: bytes) -> None:
        """Bytes have come in."""
        assert self._inbox is not None
        self._receipts += 1
        self._inbox.add(data)

    # What its inbox calls.

    def end_turn(self) -> bool:
        """Send what the frames of this turn were answered; False once the connection is closed."""
        self._flush()
        return not self.closed

    def malformed_frame(self, reason: str) -> None:
        """No frame can be read any more."""
        self.counters.malformed_frames += 1
        self._abort(reason)

    def take_frame(self, kind: int, number: int, body: memoryview) -> bool:
        """Serve a frame; False once the connection is closed."""
        if self.closed:
            return False
        try:
            message = decode(body)
        except MalformedRecord as error:
            self.counters.malformed_records += 1
            self._refuse(kind, number, f"malformed: {error}")
        else:
            serve = self._handle if kind in (frames.REQUEST, frames.ONE_WAY) else self._settle
            serve(kind, number, message)
        return not self.closed

    def _refuse(self, kind: int, number: int, text: str) -> None:
        if kind == frames.REQUEST:
            self._answer(frames.FAILURE, number, Failure(text))
        elif kind != frames.ONE_WAY:
            self._settle(frames.FAILURE, number, Failure(text))

    def _settle(self, kind: int, number: int, message: Any) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            self._backlog.arrived(call.position, self._loop.time())
        if call is None or call.waiter.done():
            self.counters.late_replies += 1
        elif kind == frames.REPLY:
            call.waiter.set_result(message)
        else:
            call.waiter.set_exception(Rejected(getattr(message, "text", "failed")))

    def _handle(self, kind: int, number: int, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            self.counters.missing_handlers += 1
            self._refuse(kind, number, f"no handler for {type(message).__name__}")
            return
        if len(self._running) >= MAX_RUNNING_HANDLERS:
            self.counters.overloads += 1
            self._refuse(kind, number, "overloaded")
            return
        try:
            result = handler(message, self)
        except Exception as error:
            self._handler_failed(kind, number, message, error)
            return
        if hasattr(result, "__await__"):
            task = self._loop.create_task(self._finish_handler(kind, number, message, result))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        elif kind == frames.REQUEST:
            self._reply(number, message, result)

    async def _finish_handler(self, kind: int, number: int, message: Any, pending: Awaitable[Any]) -> None:
        try:
            result = await pending
        except asyncio.CancelledError:
            self._refuse(kind, number, "cancelled")
            raise
        except Exception as error:
            self._handler_failed(kind, number, message, error)
            return
        if kind == frames.REQUEST:
            self._reply(number, message, result)

    def _reply(self, number: int, message: Any, result: Any) -> None:
        try:
            self._answer(frames.REPLY, number, result)
        except Exception as error:  # a result that is no message
            self._handler_failed(frames.REQUEST, number, message, error)

    def _handler_failed(self, kind: int, number: int, message: Any, error: Exception) -> None:
        self.counters.handler_failures += 1
        now_s = time.monotonic()
        if now_s - self._told_s >= LOG_INTERVAL_S:
            self._told_s = now_s
            logger.error("handler of %s failed", type(message).__name__, exc_info=error)
        self._refuse(kind, number, f"handler failed: {type(error).__name__}: {error}"[:MAX_FAILURE_TEXT])

    # Outgoing frames.

    def _answer(self, kind: int, number: int, message: Any) -> None:
        if self.closed:
            return
        try:
            self._write(kind, number, message)
        except Rejected as error:  # too large; the text of a failure is not
            self._answer(frames.FAILURE, number, Failure(str(error)))
        except Unreachable:
            return  # aborted for its full buffer; the caller sees the connection close

    def _write(self, kind: int, number: int, message: Any) -> int:
        """Append a frame, and return its size; raises `Rejected` for one too large, `Unreachable` where too
        much waits already.
        """
        assert self._transport is not None
        waiting_bytes = len(self._writer.waiting)
        if waiting_bytes + self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self.counters.buffer_overflows += 1
            self._abort("the peer does not read")
            raise Unreachable(f"{self.peer} does not read")
        try:
            self._writer.append(kind, number, message)
        except frames.OversizedMessage as error:
            self.counters.oversized_messages += 1
            raise Rejected(str(error)) from error
        serving = self._inbox is not None and self._inbox.serving  # then `end_turn` follows
        if not serving and not self._flush_planned:
            self._flush_planned = True
            self._loop.call_soon(self._flush_soon)
        return len(self._writer.waiting) - waiting_bytes

    def _flush_soon(self) -> None:
        self._flush_planned = False
        self._flush()

    def _flush(self) -> None:
        if self._writer.waiting and not self.closed:
            assert self._transport is not None
            self._transport.write(self._writer.take())

    # Ends.

    def _time_out(self, number: int) -> None:
        call = self._calls.pop(number, None)
        if call is None or call.waiter.done():
            return
        self.counters.timed_out_calls += 1
        call.waiter.set_exception(Unanswered(f"{self.peer} did not answer in time"))
        if call.in_reach and call.receipts == self._receipts and not self.closed:
            self.counters.silent_aborts += 1
            self._abort("the peer is silent")

    def _abort(self, reason: str) -> None:
        self._finish(reason)
        if self._transport is not None:
            self._transport.abort()

    def _finish(self, reason: str) -> None:
        """The one change from open to closed."""
        if self.closed:
            return
        self.closed = True
        self.counters.closed += 1
        self._writer.take()
        calls, self._calls = self._calls, {}
        for call in calls.values():
            if not call.waiter.done():
                call.waiter.set_exception(Unanswered(f"connection to {self.peer}: {reason}"))
        callbacks, self._close_callbacks = self._close_callbacks, []
        for callback in callbacks:
            self._loop.call_soon(callback, self)
