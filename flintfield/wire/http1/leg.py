"""One connection of a caller: reads complete requests and writes responses, within time limits.

Rules:

1. A connection carries one request at a time. Input before the response means that the caller closed the
   connection or pipelines requests, which is an error.
2. It never blocks: `ready` does what can be done now. It calls its owner for everything else.
3. It holds a parser only during a request that is incomplete or not regular, so an idle connection is small.

    GATE ──▶ READING ── whole request ──▶ WAITING ── answer ──▶ WRITING ──── sent ─────▶ READING
                └─ invalid request ────────────────────────────────▲           └──▶ LINGERING ──▶ CLOSED

GATE lasts until `watch`, while the access check may read a PROXY header. READING waits for bytes: on a new
connection up to `REQUEST_S` from its start, on a kept-alive one without limit until the first byte and
`REQUEST_S` from there. WAITING ends with the owner's call of `answer`. LINGERING discards further input, so
that the caller can read the last response before the connection closes; a connection that is ended between
two requests lingers as well, since the next request may be in flight.
"""

from __future__ import annotations

import asyncio
from collections.abc import Hashable
from enum import IntEnum
from typing import Protocol

import h11

from flintfield.wire.http1.poller import NOTHING, READ, WRITE, Poller, Waits
from flintfield.wire.http1.regular import read_request
from flintfield.wire.http1.reply import Reply, frame, reply_to_bad
from flintfield.wire.http1.request import Ended, RequestReader
from flintfield.wire.http1.stream import Stream
from flintfield.wire.http1.submission import MAX_BODY, BadRequest, Request

# Time limit for receiving a complete request, from the accept or, on a kept-alive connection, from its first
# byte. Callers that stall or send nothing would otherwise hold a descriptor and some memory each.
REQUEST_S = 2.0
LINGER_S = 2.0  # time for the caller to read the last response before the connection is closed
DRAIN_S = 5.0  # limit for a caller still sending its body, from the start of the connection or its request
DRAIN_PAUSE_S = 0.004  # pause between two reads of discarded input, so that other connections get their turn


class LegOwner(Protocol):
    """The owner of a set of connections, called on their events."""

    def take(self, leg: Leg, request: Request) -> Reply | None:
        """Handle a complete request. Returns the response, or None if `leg.answer` will be called.

        A `BadRequest` that it raises is sent as the response.
        """

    def leave(self, leg: Leg) -> None:
        """The caller closed the connection or sent more before the response; `leg.answer` may still come."""

    def refuse(self, leg: Leg, reply: Reply) -> None:
        """A request that is invalid, or timed out, is being answered with this error response."""

    def end(self, leg: Leg, error: Exception | None) -> None:
        """The connection is closed; `error` is the exception that caused it, if any."""


class Phase(IntEnum):
    """State of a connection."""

    GATE = 0
    READING = 1
    WAITING = 2
    WRITING = 3
    LINGERING = 4
    CLOSED = 5


class Leg:
    """One connection of a caller."""

    urgent = False
    __slots__ = ("_close_after_answer", "_descriptor", "_events", "_got_early_data", "_owner", "_poller",
                 "_reader", "_timeouts", "_timer", "_unsent", "began", "caller", "phase", "served", "stream",
                 "ticket")

    def __init__(self, stream: Stream, owner: LegOwner, poller: Poller, timeouts: Waits[Leg],
                 caller: Hashable) -> None:
        self.stream, self.caller = stream, caller
        self._owner, self._poller, self._timeouts = owner, poller, timeouts
        self._descriptor = stream.descriptor
        self.began = poller.loop.time()  # time of the accept, or of the first byte of the current request
        self.phase = Phase.GATE
        self.served = False
        self.ticket = 0  # for the owner's use
        self._reader: RequestReader | None = None
        self._close_after_answer = False  # the connection closes after this response
        self._got_early_data = False  # the caller sent more data before the response
        self._unsent: list[memoryview] = []  # parts of the response not yet sent
        self._events = READ  # events registered with the poller
        self._timer: asyncio.TimerHandle | None = None
        timeouts.add(self)

    def watch(self, read: bytes = b"") -> None:
        """Start reading; `read` is the part of the first request that was read during the access check."""
        if self.phase is not Phase.GATE:
            return  # it was closed during the access check
        self.phase = Phase.READING
        self._poller.watch(self._descriptor, self)
        if read:
            self._feed(read)
        if self._poller.loop.time() >= self.began + REQUEST_S:
            self.time_over()

    @property
    def idle(self) -> bool:
        """Whether it is before or between requests, with no byte of the next one read."""
        return self.phase is Phase.GATE or (self.phase is Phase.READING and self._reader is None)

    # ---------------------------------------------------- events and timers

    def ready(self) -> None:
        """Handle readiness of the socket without blocking."""
        if self.phase is Phase.READING:
            self._read()
        elif self.phase is Phase.WAITING:
            self._read_while_waiting()
        elif self.phase is Phase.WRITING:
            self._flush()
        elif self.phase is Phase.LINGERING:
            self._discard_input()

    def broke(self, error: Exception) -> None:
        """Close the connection after an exception."""
        self.close(error)

    def time_over(self) -> None:
        """Handle the timeout of a request."""
        # A request may have arrived in time while a busy event loop had not yet read it.
        while self.phase is Phase.READING and self._read():
            pass
        if self.phase is not Phase.READING or (self.served and self.idle):
            return  # it arrived in time
        if self._reader is None:
            self.finish()
        else:
            self._refuse(BadRequest(408, "the request did not come to its end"))

    def close_after(self, seconds: float) -> None:
        """Close the connection after that time, in any phase."""
        self._poller.later(seconds, self, self.close)

    def finish(self) -> None:
        """End an idle connection gracefully: shut down sending and discard a request that is in flight.

        The caller can tell from the end of the stream that the request was not processed. Closing with
        unread input would send a reset, which also discards data not yet delivered to the caller.
        """
        if self.phase is Phase.GATE:
            self.close()  # nothing may be read before the access check is done
        else:
            self._timeouts.remove(self)
            self._linger()

    def hurry(self, seconds: float) -> None:
        """Limit the remaining lingering time, even if input still arrives."""
        if self.phase is Phase.LINGERING and self._timer:
            self.began = min(self.began, self._poller.loop.time() - DRAIN_S)
            deadline = min(self._timer.when(), self._poller.loop.time() + seconds)
            self._timer.cancel()
            self._timer = self._poller.loop.call_at(deadline, self.close)

    def close(self, error: Exception | None = None) -> None:
        """Close the connection immediately."""
        if self.phase is Phase.CLOSED:
            return
        self.phase, self._reader, self._unsent = Phase.CLOSED, None, []
        if self._timer:
            self._timer.cancel()
        self._timeouts.remove(self)
        self._poller.forget(self._descriptor)
        self.stream.close()
        self._owner.end(self, error)

    # -------------------------------------------------------------- reading

    def _read(self) -> bool:
        """Read and process available input; returns whether there was any."""
        if (data := self.stream.read_now()) is None:
            return False
        if not data and self._reader is None:
            self.close()
            return False
        if self.served and self._reader is None:
            self.began = self._poller.loop.time()
        self._feed(data)
        return bool(data)

    def _feed(self, data: bytes) -> None:
        reader = self._reader
        if reader is None:
            if request := read_request(data):
                self._handle_request(request)
                return
            reader = self._reader = RequestReader()
            if self.served:
                self._timeouts.add(self)
        try:
            request = reader.take(data)
        except Ended:
            self.close()
        except (BadRequest, h11.RemoteProtocolError) as error:
            self._refuse(error)
        else:
            if request:
                self._handle_request(request)
            elif go_on := reader.go_on():
                self.stream.send_now(go_on)

    def _handle_request(self, request: Request) -> None:
        self._timeouts.remove(self)
        self.phase = Phase.WAITING
        try:
            reply = self._owner.take(self, request)
        except BadRequest as error:
            self._refuse(error)
            return
        if reply:
            self.answer(reply)

    def _read_while_waiting(self) -> None:
        """Detect a caller that closes the connection before its response: its job may be cancelled."""
        if self._events == NOTHING:
            self.close()  # the owner knows already; now the connection is fully closed or reset
        elif (data := self.stream.read_now()) is not None:
            self._got_early_data = bool(data)
            self._owner.leave(self)
            if self.phase is Phase.WAITING:
                self._set_events(NOTHING)  # the response is still outstanding

    def _set_events(self, events: int) -> None:
        if events != self._events:
            self._events = events
            self._poller.change(self._descriptor, events)

    # -------------------------------------------------------------- writing

    def _refuse(self, error: BadRequest | h11.RemoteProtocolError) -> None:
        reply = reply_to_bad(error)
        self._owner.refuse(self, reply)
        self._write(reply)

    def answer_error(self, error: BadRequest) -> None:
        """Answer the waiting request with an error response."""
        if self.phase is Phase.WAITING:
            self._refuse(error)

    def answer(self, reply: Reply) -> None:
        """Write the response to the waiting request."""
        if self.phase is not Phase.WAITING:
            return
        if self._got_early_data:
            self._refuse(BadRequest(400, "more came before the answer"))
        else:
            self._write(reply)

    def _write(self, reply: Reply) -> None:
        self._timeouts.remove(self)
        self.phase = Phase.WRITING
        parser = self._reader.parser if self._reader else None
        if self._reader is None or parser is None:
            self._reader = None
            self._close_after_answer = reply.close
            self._unsent = [memoryview(frame(reply))]
            self._flush()
            return
        headers = [*reply.headers, (b"Content-Length", b"%d" % len(reply.body))]
        if reply.close or parser.their_state not in (h11.DONE, h11.IDLE):
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers)
        body = b"" if self._reader.bodiless else reply.body
        parts = [parser.send(p) or b"" for p in (head, h11.Data(data=body), h11.EndOfMessage())]
        self._close_after_answer = not (parser.our_state is h11.DONE and parser.their_state is h11.DONE)
        # A long body is shared by many readers, so it is sent separately rather than copied behind the head.
        self._unsent = [memoryview(p) for p in (parts if len(body) > MAX_BODY else [b"".join(parts)]) if p]
        self._reader = None
        self._flush()

    def _flush(self) -> None:
        """Send the rest of the response, as far as the kernel accepts it."""
        while self._unsent:
            sent = self.stream.send_now(self._unsent[0])
            if sent is None:
                self.close()
                return
            if sent < len(self._unsent[0]):
                self._unsent[0] = self._unsent[0][sent:]
                self._set_events(WRITE)
                return
            del self._unsent[0]
        self._set_events(READ)
        self._on_answer_sent()

    def _on_answer_sent(self) -> None:
        self.served = True
        if self._close_after_answer:
            self._linger()
        else:
            self.phase = Phase.READING

    # ------------------------------------------------------------ lingering

    def _linger(self) -> None:
        """Discard further input until the caller has had time to read the last response.

        Closing with unread input makes the kernel send a reset, which may overtake the response.
        """
        self.phase = Phase.LINGERING
        self.stream.end_sending()
        if self.stream.closed:
            self.close()
            return
        self._timer = self._poller.later(LINGER_S, self, self.close)

    def _discard_input(self) -> None:
        discarded = self.stream.discard_input()
        if discarded is None:
            return
        if discarded == 0:
            self.close()
            return
        self._set_events(NOTHING)
        self._poller.later(DRAIN_PAUSE_S, self, self._resume_discarding)
        assert self._timer
        deadline = self.began + DRAIN_S
        if deadline > self._timer.when():
            self._timer.cancel()
            self._timer = self._poller.loop.call_at(deadline, self.close)

    def _resume_discarding(self) -> None:
        if self.phase is Phase.LINGERING:
            self._set_events(READ)
