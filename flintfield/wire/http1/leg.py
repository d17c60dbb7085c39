"""One connection of a caller: whole requests in, answers out, and no longer than it may take.

Rules:

1. A leg carries one request at a time. What comes before its answer is a caller that leaves, or an unsound
   one.
2. It waits for nothing: `ready` does what can be done now. What it needs of others it asks of its house.
3. It holds a parser only while a request that is not whole, or not regular, is in work: an idle leg is small.

    GATE ──▶ READING ── whole request ──▶ WAITING ── answer ──▶ WRITING ── all taken ──▶ READING
                └─ what can not be read ───────────────────────────▲           └──▶ LINGERING ──▶ CLOSED

GATE lasts until `watch`: others may read first who calls. READING waits for bytes: on a new leg no longer
than `REQUEST_S` from its start, on a kept one for ever until the first byte, and `REQUEST_S` from there.
WAITING ends with the house's `answer`. LINGERING throws away what still comes, so that our last answer is
read before the connection ends; a leg that is let go between two requests lingers as well, for the next one
may be on its way.
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
from flintfield.wire.http1.submission import MOST_BODY, BadRequest, Request

# A request must be whole by then: after the connection was taken, or after its first byte on a kept one.
# Guards against callers that stall or say nothing: each holds a descriptor and some memory.
REQUEST_S = 2.0
LINGER_S = 2.0  # how long we let the other side read our last answer before the connection is closed
DRAIN_S = 5.0  # from the start of the connection or its request, for one that is still sending its body
DRAIN_PAUSE_S = 0.004  # between two looks at what is thrown away: other legs have their turn meanwhile


class House(Protocol):
    """Whose legs they are."""

    def take(self, leg: Leg, request: Request) -> Reply | None:
        """A whole request: its answer, or None if `leg.answer` follows; a `BadRequest` is answered too."""

    def leave(self, leg: Leg) -> None:
        """The caller left, or sent on, before its answer; `leg.answer` may still be called."""

    def refuse(self, leg: Leg, reply: Reply) -> None:
        """A request that can not be read, or came too late, is answered so."""

    def end(self, leg: Leg, error: Exception | None) -> None:
        """The leg is closed, by an exception if there is one."""


class Phase(IntEnum):
    """What a leg is doing."""

    GATE = 0
    READING = 1
    WAITING = 2
    WRITING = 3
    LINGERING = 4
    CLOSED = 5


class Leg:
    """One connection of a caller."""

    urgent = False
    __slots__ = ("_closes", "_coming", "_descriptor", "_events", "_house", "_left", "_poller", "_timer",
                 "_unsound", "_waits", "began", "caller", "phase", "served", "stream", "ticket")

    def __init__(self, stream: Stream, house: House, poller: Poller, waits: Waits[Leg],
                 caller: Hashable) -> None:
        self.stream, self.caller = stream, caller
        self._house, self._poller, self._waits = house, poller, waits
        self._descriptor = stream.descriptor
        self.began = poller.loop.time()  # when it was taken, or when the first byte of its request came
        self.phase = Phase.GATE
        self.served = False
        self.ticket = 0  # the house's own
        self._coming: RequestReader | None = None
        self._closes = False  # the connection ends with this answer
        self._unsound = False  # it sent more than one request at a time
        self._left: list[memoryview] = []  # what of an answer the kernel has not taken
        self._events = READ  # what the poller looks for
        self._timer: asyncio.TimerHandle | None = None
        waits.add(self)

    def watch(self, read: bytes = b"") -> None:
        """Begin; `read` is what was read of the first request before."""
        if self.phase is not Phase.GATE:
            return  # it was closed meanwhile
        self.phase = Phase.READING
        self._poller.watch(self._descriptor, self)
        if read:
            self._feed(read)
        if self._poller.loop.time() >= self.began + REQUEST_S:
            self.time_over()

    @property
    def idle(self) -> bool:
        """Between two requests, or before the first, and not a byte of the next one read."""
        return self.phase is Phase.GATE or (self.phase is Phase.READING and self._coming is None)

    # ------------------------------------------------------------ its turns

    def ready(self) -> None:
        """Do what can be done now."""
        if self.phase is Phase.READING:
            self._read()
        elif self.phase is Phase.WAITING:
            self._watch_leaving()
        elif self.phase is Phase.WRITING:
            self._flush()
        elif self.phase is Phase.LINGERING:
            self._throw_away()

    def broke(self, error: Exception) -> None:
        """An exception stops here."""
        self.close(error)

    def time_over(self) -> None:
        """The time for a request is over."""
        # Guards against closing on a request that came in time and that a busy loop had no turn to read.
        while self.phase is Phase.READING and self._read():
            pass
        if self.phase is not Phase.READING or (self.served and self.idle):
            return  # it came in time after all
        if self._coming is None:
            self.finish()
        else:
            self._refuse(BadRequest(408, "the request did not come to its end"))

    def close_after(self, seconds: float) -> None:
        """Close then, whatever it is doing."""
        self._poller.later(seconds, self, self.close)

    def finish(self) -> None:
        """End an idle connection: what crosses our end is thrown away unread; by that end its caller knows.

        Guards against a close over unread bytes: it resets, and takes along what was not yet delivered.
        """
        if self.phase is Phase.GATE:
            self.close()  # not a byte of it is ours to read
        else:
            self._waits.remove(self)
            self._linger()

    def hurry(self, seconds: float) -> None:
        """Linger no longer than that, whatever still comes."""
        if self.phase is Phase.LINGERING and self._timer:
            self.began = min(self.began, self._poller.loop.time() - DRAIN_S)
            ends = min(self._timer.when(), self._poller.loop.time() + seconds)
            self._timer.cancel()
            self._timer = self._poller.loop.call_at(ends, self.close)

    def close(self, error: Exception | None = None) -> None:
        """Close now."""
        if self.phase is Phase.CLOSED:
            return
        self.phase, self._coming, self._left = Phase.CLOSED, None, []
        if self._timer:
            self._timer.cancel()
        self._waits.remove(self)
        self._poller.forget(self._descriptor)
        self.stream.close()
        self._house.end(self, error)

    # -------------------------------------------------------------- reading

    def _read(self) -> bool:
        """Take in what has come; whether there was any."""
        if (data := self.stream.read_now()) is None:
            return False
        if not data and self._coming is None:
            self.close()
            return False
        if self.served and self._coming is None:
            self.began = self._poller.loop.time()
        self._feed(data)
        return bool(data)

    def _feed(self, data: bytes) -> None:
        coming = self._coming
        if coming is None:
            if request := read_request(data):
                self._take(request)
                return
            coming = self._coming = RequestReader()
            if self.served:
                self._waits.add(self)
        try:
            request = coming.take(data)
        except Ended:
            self.close()
        except (BadRequest, h11.RemoteProtocolError) as error:
            self._refuse(error)
        else:
            if request:
                self._take(request)
            elif go_on := coming.go_on():
                self.stream.send_now(go_on)

    def _take(self, request: Request) -> None:
        self._waits.remove(self)
        self.phase = Phase.WAITING
        try:
            reply = self._house.take(self, request)
        except BadRequest as error:
            self._refuse(error)
            return
        if reply:
            self.answer(reply)

    def _watch_leaving(self) -> None:
        """Notice a caller that leaves before its answer: its job need not go on."""
        if self._events == NOTHING:
            self.close()  # it was told before, and now the other side is gone altogether
        elif (data := self.stream.read_now()) is not None:
            self._unsound = bool(data)
            self._house.leave(self)
            if self.phase is Phase.WAITING:
                self._look_for(NOTHING)  # the answer is still to come

    def _look_for(self, events: int) -> None:
        if events != self._events:
            self._events = events
            self._poller.change(self._descriptor, events)

    # -------------------------------------------------------------- writing

    def _refuse(self, error: BadRequest | h11.RemoteProtocolError) -> None:
        reply = reply_to_bad(error)
        self._house.refuse(self, reply)
        self._write(reply)

    def answer_bad(self, error: BadRequest) -> None:
        """Answer the request that waits with what is wrong with it."""
        if self.phase is Phase.WAITING:
            self._refuse(error)

    def answer(self, reply: Reply) -> None:
        """Write the answer to the request that waits for it."""
        if self.phase is not Phase.WAITING:
            return
        if self._unsound:
            self._refuse(BadRequest(400, "more came before the answer"))
        else:
            self._write(reply)

    def _write(self, reply: Reply) -> None:
        self._waits.remove(self)
        self.phase = Phase.WRITING
        parser = self._coming.parser if self._coming else None
        if self._coming is None or parser is None:
            self._coming = None
            self._closes = reply.close
            self._left = [memoryview(frame(reply))]
            self._flush()
            return
        headers = [*reply.headers, (b"Content-Length", b"%d" % len(reply.body))]
        if reply.close or parser.their_state not in (h11.DONE, h11.IDLE):
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers)
        body = b"" if self._coming.bodiless else reply.body
        parts = [parser.send(p) or b"" for p in (head, h11.Data(data=body), h11.EndOfMessage())]
        self._closes = not (parser.our_state is h11.DONE and parser.their_state is h11.DONE)
        # A long body, of which there is one for many readers, is not copied to stand behind its head.
        self._left = [memoryview(p) for p in (parts if len(body) > MOST_BODY else [b"".join(parts)]) if p]
        self._coming = None
        self._flush()

    def _flush(self) -> None:
        """Hand over what is left of an answer."""
        while self._left:
            sent = self.stream.send_now(self._left[0])
            if sent is None:
                self.close()
                return
            if sent < len(self._left[0]):
                self._left[0] = self._left[0][sent:]
                self._look_for(WRITE)
                return
            del self._left[0]
        self._look_for(READ)
        self._written()

    def _written(self) -> None:
        self.served = True
        if self._closes:
            self._linger()
        else:
            self.phase = Phase.READING

    # ------------------------------------------------------------ lingering

    def _linger(self) -> None:
        """Throw away what still comes, unread by any parser, until the caller has had our last answer.

        Guards against a reset that overtakes the answer: bytes unread at a close make the kernel send one.
        """
        self.phase = Phase.LINGERING
        self.stream.end_sending()
        if self.stream.closed:
            self.close()
            return
        self._timer = self._poller.later(LINGER_S, self, self.close)

    def _throw_away(self) -> None:
        thrown = self.stream.throw_away()
        if thrown is None:
            return
        if thrown == 0:
            self.close()
            return
        self._look_for(NOTHING)
        self._poller.later(DRAIN_PAUSE_S, self, self._throw_on)
        assert self._timer
        ends = self.began + DRAIN_S
        if ends > self._timer.when():
            self._timer.cancel()
            self._timer = self._poller.loop.call_at(ends, self.close)

    def _throw_on(self) -> None:
        if self.phase is Phase.LINGERING:
            self._look_for(READ)
