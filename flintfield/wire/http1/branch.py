"""One branch on the wire: a connection to a next hop that carries one job. It makes no decisions.

Rules:

1. A job that must not run twice gets a new connection. On a kept-alive one that the next hop has just closed,
   or that went silent while idle, the job could be lost without it being known whether it ran. Other jobs may
   use an idle connection (`spares.py`), but only to a next hop that supports 100 Continue, and with a body
   that waits for it: if the connection breaks before that, nothing can have run, and the branch redials.
2. Nothing is written before the reducer, which is informed of the connection, orders it (`write`).
3. The body is sent after the next hop has read the head and answered 100 Continue. If the connection is reset
   or silent, the job without its body never ran and may be sent elsewhere.
4. Each ending says how far the attempt got (`Reach`), and no further than is certain.

    DIALLING ─▶ UP ─ write ─▶ HEAD ─▶ ASKING ─ 100 ─▶ BODY ─▶ ANSWERING ─ last line ─▶ TAIL ─▶ CLOSED
        ▲                       └───── no body ───────────────────▲
        └──────── an idle connection that breaks in HEAD or ASKING

HEAD and BODY last until the kernel has accepted all bytes. In TAIL the branch has reported its ending and
reads the rest of the response: closing before its end would reset the connection at the next hop. `close`
ends any phase immediately.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from flintfield.memory.messages import (
    Address, BranchEnded, BranchNoted, BranchUp, End, Ending, Message, OpenBranch, Reach, Submission,
    WriteBranch,
)
from flintfield.wire.http1.answer import AnswerReader, Head, Mark
from flintfield.wire.http1.client import DESCRIPTOR_PAUSE_S, MAX_BODY, Pool
from flintfield.wire.http1.lines import Lines, read_load
from flintfield.wire.http1.poller import NOTHING, READ, WRITE, Poller, Waits
from flintfield.wire.http1.regular import AnswerHeads
from flintfield.wire.http1.spares import Spares
from flintfield.wire.http1.stream import OURS, Stream

CONTINUE_S = 0.1  # time limit for 100 Continue; a next hop known to send it counts as silent after that
TAIL_S = 0.5  # time limit for the end of a response after its last line


class Phase(IntEnum):
    """State of a branch."""

    DIALLING = 0
    UP = 1
    HEAD = 2
    ASKING = 3
    BODY = 4
    ANSWERING = 5
    TAIL = 6
    CLOSED = 7


REACH = {Phase.DIALLING: Reach.DIALLING, Phase.UP: Reach.WRITING, Phase.HEAD: Reach.WRITING,
         Phase.ASKING: Reach.WRITING, Phase.BODY: Reach.WRITING}
"""How far an attempt got that broke in that phase; in later phases the job may have run."""


@dataclass(slots=True)
class Shared:
    """What all branches share."""

    tell: Callable[[Message], None]
    poller: Poller
    pool: Pool
    names: Mapping[str, str]  # a load report's field names on the wire, mapped to internal ones
    spares: Spares
    count: Callable[[str], None]
    caller_of: Callable[[int], Hashable | None]  # the caller that waits for a transaction's answer
    is_waiting: Callable[[int], bool]  # whether it is still connected; if not, the reducer is informed
    end: Callable[[BranchConnection], None]  # called when a branch has ended, before its ending is reported
    dial_timeout_ms: float
    supports_continue: set[Address] = field(default_factory=set)  # hops that have sent a 100 before
    regular_heads: AnswerHeads = field(default_factory=AnswerHeads)
    dial_timeouts: Waits[BranchConnection] = field(init=False)
    continue_timeouts: Waits[BranchConnection] = field(init=False)
    tail_timeouts: Waits[BranchConnection] = field(init=False)

    def __post_init__(self) -> None:
        """Create the timeouts that all branches share."""
        self.dial_timeouts = Waits(self.poller, self.dial_timeout_ms / 1000, BranchConnection.time_over)
        self.continue_timeouts = Waits(self.poller, CONTINUE_S, BranchConnection.time_over)
        self.tail_timeouts = Waits(self.poller, TAIL_S, BranchConnection.time_over)


class BranchConnection:
    """Connection of one branch."""

    urgent = True
    __slots__ = ("_answer", "_awaits_order", "_dial_deadline", "_is_reused", "_line_parser",
                 "_may_reuse", "_send_blocked", "_shared", "_stream", "_tail_bytes", "_unsent", "address",
                 "branch", "caller", "order", "phase", "rid")

    def __init__(self, effect: OpenBranch, shared: Shared) -> None:
        self.caller = shared.caller_of(effect.rid)
        self.rid, self.branch, self.address = effect.rid, effect.branch, effect.address
        self._may_reuse, self._is_reused = effect.may_reuse, False
        self._shared = shared
        self.phase = Phase.DIALLING
        self.order: WriteBranch | None = None
        # Limits how long connecting is retried for lack of a descriptor.
        self._dial_deadline = shared.poller.loop.time() + shared.dial_timeout_ms / 1000
        self._stream: Stream | None = None
        self._unsent = memoryview(b"")  # part of the request not yet sent
        self._send_blocked = False  # waiting for the socket to become writable
        self._awaits_order = False  # `write` will be called later
        self._answer = AnswerReader(b"POST", shared.regular_heads)
        self._line_parser: Lines | None = None
        self._tail_bytes = 0  # bytes read after the last line

    # ---------------------------------------------------- events and timers

    def ready(self) -> None:
        """Handle readiness of the socket without blocking."""
        phase = self.phase
        if phase is Phase.DIALLING:
            self._connected()
        elif phase is Phase.HEAD or phase is Phase.BODY:
            self._flush()
            if self.phase is Phase.ANSWERING:
                self._process_events()  # parse what arrived together with the 100
        elif phase is Phase.UP:
            self._on_event_before_write()
        elif phase is not Phase.CLOSED:
            self._read()

    def broke(self, error: Exception) -> None:
        """End the branch after an exception; its job may have run."""
        if self.phase < Phase.TAIL:
            self._end(Ending(End.BROKEN, Reach.SENT, word=repr(error)))
        self.close()

    def time_over(self) -> None:
        """Handle a timeout of the current phase."""
        if self.phase is Phase.DIALLING:
            self._end(Ending(End.BROKEN, Reach.DIALLING, word="no connection"))
        elif self.phase is Phase.ASKING and self.address not in self._shared.supports_continue:
            self._send_body()  # it may not support 100 Continue: HTTP allows sending the body then
        elif self.phase is Phase.ASKING:
            self._shared.spares.forget(self.address)
            self._end_broken("no 100 Continue in time")
        else:
            self.close()

    def close(self) -> None:
        """Close the connection immediately, before anything else is written."""
        if self.phase is Phase.CLOSED:
            return
        self.phase = Phase.CLOSED
        shared = self._shared
        shared.dial_timeouts.remove(self)
        shared.continue_timeouts.remove(self)
        shared.tail_timeouts.remove(self)
        if self._stream:
            shared.poller.forget(self._stream.descriptor)
            self._stream.close()

    def _end(self, ending: Ending) -> None:
        """Report the ending, and read to the end of the response if there is one."""
        has_response = ending.reach is Reach.ANSWERED
        if has_response:
            self.phase = Phase.TAIL
            self._shared.tail_timeouts.add(self)
        else:
            self.close()
        self._shared.end(self)
        self._shared.tell(BranchEnded(self.rid, self.branch, ending))

    def _end_broken(self, reason: str) -> None:
        self._end(Ending(End.BROKEN, REACH.get(self.phase, Reach.SENT), word=reason))

    # ------------------------------------------------------------ connecting

    def begin(self) -> None:
        """Use an idle connection if this branch may and there is one; else dial."""
        shared = self._shared
        if self._may_reuse and self.address in shared.supports_continue:
            self._stream = shared.spares.take(self.address)
        if self._stream is None:
            self.dial()
            return
        self._is_reused = True
        shared.count("branches.reused")
        shared.poller.hand(self._stream.descriptor, self)
        self.phase = Phase.UP
        shared.poller.soon(self, self._up)  # deferred: the reducer is still in the call that opened it

    def _redial(self) -> None:
        """Replace a failed idle connection, on which nothing can have run, by a new one."""
        assert self._stream
        self._shared.count("branches.dialled_anew")
        self._shared.continue_timeouts.remove(self)
        self._shared.poller.forget(self._stream.descriptor)
        self._stream.close()
        self._shared.spares.forget(self.address)
        self._stream, self.order = None, None
        self._is_reused = self._send_blocked = self._awaits_order = False
        self._answer = AnswerReader(b"POST", self._shared.regular_heads)
        self.phase = Phase.DIALLING
        self.dial()

    def dial(self) -> None:
        """Begin to connect.

        A lack of descriptors in this process doesn't count as the next hop's failure: other connections are
        closed to free one, and connecting is retried.
        """
        if self.phase is Phase.CLOSED:
            return
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET,
                                 socket.SOCK_STREAM)
            self._stream = Stream(sock)
            sock.connect(self.address)
        except BlockingIOError:
            pass
        except OSError as error:
            if self._stream:
                self._stream.close()
                self._stream = None
            self._not_connected(error.errno)
            return
        assert self._stream
        self._shared.dial_timeouts.add(self)
        self._shared.poller.watch(self._stream.descriptor, self, WRITE)

    def _not_connected(self, error: int | None) -> None:
        if error not in OURS:
            self._end_broken("no connection")
        elif self._shared.poller.loop.time() >= self._dial_deadline:
            self._end(Ending(End.BROKEN, Reach.UNTRIED, word="no connection"))
        else:
            self._shared.pool.make_room()
            self._shared.poller.later(DESCRIPTOR_PAUSE_S, self, self.dial)

    def _connected(self) -> None:
        assert self._stream
        if self._stream.error():
            self._end_broken("no connection")
            return
        self._shared.dial_timeouts.remove(self)
        self._shared.poller.change(self._stream.descriptor, READ)
        self.phase = Phase.UP
        self._up()

    def _up(self) -> None:
        """The connection is up: send `BranchUp` to ask whether to write."""
        if self.phase is not Phase.UP:
            return  # the branch was dropped
        self._shared.tell(BranchUp(self.rid, self.branch))
        if self.phase is not Phase.UP:
            return
        if self.order:
            self._begin_writing(self.order)
        elif not self._awaits_order:  # nothing is to be written
            self._release_connection()
            self._shared.end(self)

    def hold(self) -> None:
        """Keep the connection for a later `write`."""
        if self.phase is Phase.UP and self._stream:
            self._awaits_order = True
            self._shared.poller.change(self._stream.descriptor, NOTHING)  # errors are still reported

    def write(self, order: WriteBranch) -> None:
        """Write the request, if its caller is still connected."""
        if self._end_if_caller_left():
            return
        self.order = order
        if self._awaits_order and self.phase is Phase.UP and self._stream:
            self._awaits_order = False
            self._shared.poller.change(self._stream.descriptor, READ)
            self._begin_writing(order)

    def _begin_writing(self, order: WriteBranch) -> None:
        if self._is_reused and not order.submission.body:
            self._redial()
        else:
            self.phase = Phase.HEAD
            self._send(self._head(order, order.submission))

    def _on_event_before_write(self) -> None:
        """Handle an event before anything was written. If no `write` is awaited, it is reported again."""
        if self._awaits_order and self._is_reused:
            self._redial()
        elif self._awaits_order:
            self._end_broken("broke before the request was sent")

    def _release_connection(self) -> None:
        """Return a connection without outstanding data to the pool, for another branch."""
        assert self._stream
        stream, self._stream = self._stream, None
        self.close()
        self._shared.spares.put(stream, self.address)

    # --------------------------------------------------------------- writing

    def _end_if_caller_left(self) -> bool:
        """End the branch if its caller has left; returns whether it has.

        The caller may have left while the branch waited for the next hop, or while the event loop was late:
        branches are served before callers' connections. The reducer is informed of the caller first, and
        drops this branch where attempts may be cancelled.
        """
        if self._shared.is_waiting(self.rid):
            return False
        self._shared.count("branches.caller_left")
        if self.phase is not Phase.CLOSED:
            self._end(Ending(End.BROKEN, Reach.UNTRIED, word="the caller has left"))
        return True

    def _head(self, order: WriteBranch, submission: Submission) -> bytes:
        more = b"Expect: 100-continue\r\n" if submission.body else b""
        if submission.idempotency_key:
            more += b"Idempotency-Key: %b\r\n" % submission.idempotency_key
        return (b"%b %b HTTP/1.1\r\nHost: %b:%d\r\nReq-Id: %b\r\nReq-Kind: %b\r\nReq-Deadline: %dm\r\n%b"
                b"Content-Length: %d\r\n\r\n" % (
                    submission.method, submission.target, self.address[0].encode(), self.address[1],
                    submission.name.encode(), submission.class_name.encode(), order.wait_ms, more,
                    len(submission.body)))

    def _send_body(self) -> None:
        assert self.order
        self._shared.continue_timeouts.remove(self)
        if self._end_if_caller_left():
            return
        self.phase = Phase.BODY
        self._send(self.order.submission.body)

    def _send(self, data: bytes) -> None:
        self._unsent = memoryview(data)
        self._flush()

    def _flush(self) -> None:
        """Send the rest of the head or body as far as the kernel accepts it, then enter the next phase."""
        assert self._stream and self.order
        while self._unsent:
            sent = self._stream.send_now(self._unsent)
            if sent is None and self._is_reused and self.phase is Phase.HEAD:
                self._redial()
                return
            if sent is None:
                self._end_broken("broke before the request was sent")
                return
            self._unsent = self._unsent[sent:]
            if self._unsent:
                if not self._send_blocked:
                    self._send_blocked = True
                    self._shared.poller.change(self._stream.descriptor, WRITE)
                return
        if self._send_blocked:
            self._send_blocked = False
            self._shared.poller.change(self._stream.descriptor, READ)
        if self.phase is Phase.HEAD and self.order.submission.body:
            self.phase = Phase.ASKING
            self._shared.continue_timeouts.add(self)
        else:
            self.phase = Phase.ANSWERING
            self._shared.count("branches.whole")

    # --------------------------------------------------------------- reading

    def _read(self) -> None:
        assert self._stream
        if (data := self._stream.read_now()) is None:
            return
        if self.phase is Phase.TAIL:
            self._tail_bytes += len(data)
        self._answer.put(data)
        self._process_events()

    def _process_events(self) -> None:
        """Process all parse events of the response so far, but none while the body is being written."""
        answer = self._answer
        while self.phase not in (Phase.BODY, Phase.CLOSED) and (event := answer.next()) is not None:
            if self.phase is Phase.ASKING:
                if event is Mark.BROKEN and self._is_reused:
                    self._redial()
                    return
                if event is not Mark.GO_ON:
                    self._end_broken("broke or answered before the request body was sent")
                    return
                self._shared.supports_continue.add(self.address)
                self._send_body()
            elif isinstance(event, Head):
                self._process_head(event)
            elif isinstance(event, bytes):
                self._process_piece(event)
            elif event is Mark.END or event is Mark.BROKEN:
                self._on_response_end(event is Mark.END)
                return

    def _process_head(self, head: Head) -> None:
        assert self.order
        if head.status == 200:
            self._line_parser = Lines(self.order.submission.name, self._shared.names)
            return
        declined = head.status in (503, 504) and head.headers.get(b"srv-declined") == b"1"
        load = read_load(head.headers.get(b"srv-load", b""), self._shared.names)
        end = End.DECLINED if declined else End.FAILED
        self._end(Ending(end, Reach.ANSWERED, report=load, word=str(head.status)))

    def _process_piece(self, piece: bytes) -> None:
        if self.phase is Phase.TAIL:
            if self._tail_bytes > MAX_BODY:
                self.close()
            return
        assert self._line_parser
        for event in self._line_parser.take(piece):
            if isinstance(event, Ending):
                self._end(event)
                return
            self._shared.tell(BranchNoted(self.rid, self.branch, event.started, event.share))
            if self.phase is Phase.CLOSED:
                return  # the branch was dropped

    def _on_response_end(self, whole: bool) -> None:
        """Handle the end of the response; `whole` tells whether it was complete."""
        if self.phase is Phase.TAIL and whole and self._answer.clean:
            self._release_connection()
        elif self.phase is Phase.TAIL:
            self.close()
        elif self._line_parser is None:
            self._end_broken("ended before an answer")
        else:
            self._end(self._line_parser.last())
            self.close()
