"""One connection of a caller: whole requests in, answers out, and no longer than it may take."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import anyio
import h11

from flintfield.wire.http1.stream import Stream
from flintfield.wire.http1.submission import MOST_BODY, BadRequest, Request, check_head

# A request must be whole by then: after the connection was taken, or after its first byte on a kept one.
# Guards against callers that stall or say nothing: each holds a descriptor and some memory.
REQUEST_S = 2.0
LINGER_S = 2.0  # how long we let the other side read our last answer before the connection is closed
DRAIN_S = 5.0  # from the start of the connection or its request, for one that is still sending its body
DRAIN_PAUSE_S = 0.004  # between two looks at what is thrown away: other legs have their turn meanwhile


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer's parts, before they are framed."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()
    close: bool = False


def reply_to_bad(error: BadRequest | h11.RemoteProtocolError) -> Reply:
    """The answer to what can not be read, or asks for what is not there."""
    status = error.status if isinstance(error, BadRequest) else error.error_status_hint
    return Reply(status, f"{error}\n".encode(), (), close=True)


@dataclass(slots=True)
class Leg:
    """One connection of a caller."""

    stream: Stream
    began: float  # when it was taken, or when the first byte of its request came
    h11: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))
    idle: bool = True  # between two requests, not a byte of the next one read
    served: bool = False
    bodiless: bool = False  # an answer to HEAD has no body
    unsound: bool = False  # it sent more than one request at a time
    lingering: bool = False  # it has had its last answer
    answered: anyio.Event = field(default_factory=anyio.Event)
    reply: Reply | None = None

    async def read(self) -> Request | None:
        """The next whole request; None when the caller has ended the connection, or never began one."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = self.h11.next_event()
            if event is h11.NEED_DATA:
                if not await self._more():
                    return None
            elif isinstance(event, h11.Request):
                head = event
                self.bodiless = event.method == b"HEAD"
                check_head(event)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BODY:
                    raise BadRequest(413, "the body is longer than 64 KiB")
            elif isinstance(event, h11.EndOfMessage) and head:
                # Guards against a length too short: what follows is the rest of a job that is not whole.
                if self.h11.trailing_data[0]:
                    raise BadRequest(400, "more came than one request")
                return Request(head.method, head.target, dict(head.headers), bytes(body))
            else:
                return None

    async def _more(self) -> bool:
        """Read on; whether there is anything to go on with."""
        if self.h11.they_are_waiting_for_100_continue:
            go_on = self.h11.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.stream.send(go_on or b"")
        kept = self.idle and self.served
        data = await self.stream.receive_by(math.inf if kept else self.began + REQUEST_S)
        if data is None:
            if self.idle:
                return False
            raise BadRequest(408, "the request did not come to its end")
        if not data and (self.idle or self.stream.closed):
            return False
        if kept:
            self.began = anyio.current_time()
        self.feed(data)
        return True

    def feed(self, data: bytes) -> None:
        """Take in bytes of a request."""
        self.idle = False
        self.h11.receive_data(data)

    async def watch(self) -> None:
        """Look on while an answer is made, until the caller leaves or sends more, which no sound one does."""
        self.unsound = bool(await self.stream.receive())

    async def write(self, reply: Reply) -> bool:
        """Write an answer; whether the connection may serve on."""
        close = reply.close or self.h11.their_state not in (h11.DONE, h11.IDLE)
        headers = [*reply.headers, (b"Content-Length", b"%d" % len(reply.body))]
        if close:
            headers.append((b"Connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers)
        body = b"" if self.bodiless else reply.body
        parts = [self.h11.send(p) or b"" for p in (head, h11.Data(data=body), h11.EndOfMessage())]
        # A long body, of which there is one for many readers, is not copied to stand behind its head.
        for data in parts if len(body) > MOST_BODY else [b"".join(parts)]:
            if await self.stream.send(data) < len(data):
                return False
        self.served = True
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self.idle = True
            return True
        await self._linger()
        return False

    async def _linger(self) -> None:
        """Throw away what still comes, unread by any parser, until the caller has had our last answer.

        Guards against a reset that overtakes the answer: bytes unread at a close make the kernel send one.
        """
        self.lingering, self.h11 = True, h11.Connection(h11.SERVER)  # what h11 held is not needed any more
        self.stream.end_sending()
        ends = anyio.current_time() + LINGER_S
        while anyio.current_time() < ends:
            thrown = self.stream.throw_away()
            if thrown:
                ends = max(ends, self.began + DRAIN_S)
                await anyio.sleep(DRAIN_PAUSE_S)
            elif thrown == 0 or not await self.stream.receive_by(ends):
                return
