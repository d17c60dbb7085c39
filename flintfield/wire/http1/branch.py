"""One branch on the wire: a connection to a next hop that carries one job. It tells what came back, no more.

Rules:

1. A job that must not run twice has a fresh connection. Guards against a job lost with a kept one that the
   next hop has just closed, or that fell silent while it was idle: it may have run then, for all we know.
   Others may take a spare (`spares.py`), but only to a next hop that says 100 and with a body that waits for
   it: a spare that breaks before has lost nothing, and the branch dials anew.
2. Nothing is written before the reducer, told that the connection is there, has said so (`write`).
3. The body waits until the next hop has read the head and says so (100). Guards against a job on a connection
   that is reset or silent: without its body it never ran, and may go elsewhere.
4. Each ending says how far the attempt had come (`Reach`), and no further than is sure.

    DIALLING ─▶ UP ─ write ─▶ HEAD ─▶ ASKING ─ 100 ─▶ BODY ─▶ ANSWERING ─ last line ─▶ TAIL ─▶ CLOSED
        ▲                       └───── no body ───────────────────▲
        └──────── a spare that breaks in HEAD or ASKING

HEAD and BODY last as long as the kernel takes no more. In TAIL the branch has told its ending and reads the
rest of the answer: a close before its end would be a reset to the next hop. `close` ends every phase at once.
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
from flintfield.wire.http1.client import MOST_BODY, ROOM_PAUSE_S, Pool
from flintfield.wire.http1.lines import Lines, read_load
from flintfield.wire.http1.poller import NOTHING, READ, WRITE, Poller, Waits
from flintfield.wire.http1.regular import AnswerHeads
from flintfield.wire.http1.spares import Spares
from flintfield.wire.http1.stream import OURS, Stream

CONTINUE_S = 0.1  # a next hop that is to say 100 and has not by then says nothing on this connection
TAIL_S = 0.5  # how long the end of a response may lag behind its last line


class Phase(IntEnum):
    """What a branch is doing."""

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
"""How far an attempt had come that broke in that phase; later ones may have run."""


@dataclass(slots=True)
class Shared:
    """What all branches have in common."""

    tell: Callable[[Message], None]
    poller: Poller
    pool: Pool
    names: Mapping[str, str]  # a load report's names on the wire, and ours
    spares: Spares
    count: Callable[[str], None]
    caller_of: Callable[[int], Hashable | None]  # who waits for a transaction's answer
    is_waiting: Callable[[int], bool]  # whether that caller is still there; if not the reducer is told
    end: Callable[[BranchLeg], None]  # a branch has told its ending, or has none to tell
    dial_timeout_ms: float
    continuing: set[Address] = field(default_factory=set)  # those that have said 100 before
    heads: AnswerHeads = field(default_factory=AnswerHeads)
    dials: Waits[BranchLeg] = field(init=False)
    asks: Waits[BranchLeg] = field(init=False)
    tails: Waits[BranchLeg] = field(init=False)

    def __post_init__(self) -> None:
        """The waits that all share."""
        self.dials = Waits(self.poller, self.dial_timeout_ms / 1000, BranchLeg.time_over)
        self.asks = Waits(self.poller, CONTINUE_S, BranchLeg.time_over)
        self.tails = Waits(self.poller, TAIL_S, BranchLeg.time_over)


class BranchLeg:
    """One branch's connection."""

    urgent = True
    __slots__ = ("_answer", "_blocked", "_ends", "_held", "_left", "_lines", "_may_reuse", "_reuses",
                 "_shared", "_stream", "_tail", "address", "branch", "caller", "order", "phase",
                 "rid")

    def __init__(self, effect: OpenBranch, shared: Shared) -> None:
        self.caller = shared.caller_of(effect.rid)
        self.rid, self.branch, self.address = effect.rid, effect.branch, effect.address
        self._may_reuse, self._reuses = effect.may_reuse, False
        self._shared = shared
        self.phase = Phase.DIALLING
        self.order: WriteBranch | None = None
        self._ends = shared.poller.loop.time() + shared.dial_timeout_ms / 1000  # for want of a descriptor
        self._stream: Stream | None = None
        self._left = memoryview(b"")  # what of the request the kernel has not taken
        self._blocked = False  # we wait for room to write
        self._held = False  # the order to write comes later
        self._answer = AnswerReader(b"POST", shared.heads)
        self._lines: Lines | None = None
        self._tail = 0  # bytes read behind the ending

    # ------------------------------------------------------------ its turns

    def ready(self) -> None:
        """Do what can be done now."""
        phase = self.phase
        if phase is Phase.DIALLING:
            self._connected()
        elif phase is Phase.HEAD or phase is Phase.BODY:
            self._flush()
            if self.phase is Phase.ANSWERING:
                self._take_all()  # what had come with the 100
        elif phase is Phase.UP:
            self._broke_unwritten()
        elif phase is not Phase.CLOSED:
            self._read()

    def broke(self, error: Exception) -> None:
        """An exception stops here; it may have run for all we know."""
        if self.phase < Phase.TAIL:
            self._end(Ending(End.BROKEN, Reach.SENT, word=repr(error)))
        self.close()

    def time_over(self) -> None:
        """What it waits for has not come in time."""
        if self.phase is Phase.DIALLING:
            self._end(Ending(End.BROKEN, Reach.DIALLING, word="no connection"))
        elif self.phase is Phase.ASKING and self.address not in self._shared.continuing:
            self._send_body()  # it may not know the word: HTTP then lets the body follow
        elif self.phase is Phase.ASKING:
            self._shared.spares.forget(self.address)
            self._break("of no use before the request was whole")
        else:
            self.close()

    def close(self) -> None:
        """Close now, before anything else is written."""
        if self.phase is Phase.CLOSED:
            return
        self.phase = Phase.CLOSED
        shared = self._shared
        shared.dials.remove(self)
        shared.asks.remove(self)
        shared.tails.remove(self)
        if self._stream:
            shared.poller.forget(self._stream.descriptor)
            self._stream.close()

    def _end(self, ending: Ending) -> None:
        """Tell how it ended, and read on to the end of the answer if there is one."""
        rest = ending.reach is Reach.ANSWERED
        if rest:
            self.phase = Phase.TAIL
            self._shared.tails.add(self)
        else:
            self.close()
        self._shared.end(self)
        self._shared.tell(BranchEnded(self.rid, self.branch, ending))

    def _break(self, word: str) -> None:
        self._end(Ending(End.BROKEN, REACH.get(self.phase, Reach.SENT), word=word))

    # ------------------------------------------------------------ connecting

    def begin(self) -> None:
        """Take a spare if there is one for this branch; else dial."""
        shared = self._shared
        if self._may_reuse and self.address in shared.continuing:
            self._stream = shared.spares.take(self.address)
        if self._stream is None:
            self.dial()
            return
        self._reuses = True
        shared.count("branches.reused")
        shared.poller.hand(self._stream.descriptor, self)
        self.phase = Phase.UP
        shared.poller.soon(self, self._up)  # not now: the reducer is in the turn that asked for this branch

    def _dial_anew(self) -> None:
        """The spare is of no use, and nothing can have run on it."""
        assert self._stream
        self._shared.count("branches.dialled_anew")
        self._shared.asks.remove(self)
        self._shared.poller.forget(self._stream.descriptor)
        self._stream.close()
        self._shared.spares.forget(self.address)
        self._stream, self.order = None, None
        self._reuses = self._blocked = self._held = False
        self._answer = AnswerReader(b"POST", self._shared.heads)
        self.phase = Phase.DIALLING
        self.dial()

    def dial(self) -> None:
        """Begin to connect.

        Guards against blaming the other side for our own lack of descriptors: room is made instead.
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
        self._shared.dials.add(self)
        self._shared.poller.watch(self._stream.descriptor, self, WRITE)

    def _not_connected(self, error: int | None) -> None:
        if error not in OURS:
            self._break("no connection")
        elif self._shared.poller.loop.time() >= self._ends:
            self._end(Ending(End.BROKEN, Reach.UNTRIED, word="no connection"))
        else:
            self._shared.pool.make_room()
            self._shared.poller.later(ROOM_PAUSE_S, self, self.dial)

    def _connected(self) -> None:
        assert self._stream
        if self._stream.error():
            self._break("no connection")
            return
        self._shared.dials.remove(self)
        self._shared.poller.change(self._stream.descriptor, READ)
        self.phase = Phase.UP
        self._up()

    def _up(self) -> None:
        """There is a connection: ask whether to write."""
        if self.phase is not Phase.UP:
            return  # it was dropped
        self._shared.tell(BranchUp(self.rid, self.branch))
        if self.phase is not Phase.UP:
            return
        if self.order:
            self._begin_writing(self.order)
        elif not self._held:  # it is not to be written after all
            self._leave()
            self._shared.end(self)

    def hold(self) -> None:
        """Wait for `write`: it may come later."""
        if self.phase is Phase.UP and self._stream:
            self._held = True
            self._shared.poller.change(self._stream.descriptor, NOTHING)  # a break is told all the same

    def write(self, order: WriteBranch) -> None:
        """It may be written, if its caller is still there."""
        if self._ends_with_caller():
            return
        self.order = order
        if self._held and self.phase is Phase.UP and self._stream:
            self._held = False
            self._shared.poller.change(self._stream.descriptor, READ)
            self._begin_writing(order)

    def _begin_writing(self, order: WriteBranch) -> None:
        if self._reuses and not order.submission.body:
            self._dial_anew()
        else:
            self.phase = Phase.HEAD
            self._send(self._head(order, order.submission))

    def _broke_unwritten(self) -> None:
        """Something came before a byte was written; of one that is not held it is told again."""
        if self._held and self._reuses:
            self._dial_anew()
        elif self._held:
            self._break("broke before the request was whole")

    def _leave(self) -> None:
        """Let go of a connection on which nothing is out, for another branch to use."""
        assert self._stream
        stream, self._stream = self._stream, None
        self.close()
        self._shared.spares.put(stream, self.address)

    # --------------------------------------------------------------- writing

    def _ends_with_caller(self) -> bool:
        """Whether it ends here because its caller has left.

        Guards against an attempt for a caller that left while we waited for the next hop, or while the loop
        was late: branches are woken before caller legs. The reducer is told of the caller first, and drops
        this branch where attempts may be called off.
        """
        if self._shared.is_waiting(self.rid):
            return False
        self._shared.count("branches.caller_left")
        if self.phase is not Phase.CLOSED:
            self._end(Ending(End.BROKEN, Reach.UNTRIED, word="the caller has left"))
        return True

    def _head(self, order: WriteBranch, given: Submission) -> bytes:
        more = b"Expect: 100-continue\r\n" if given.body else b""
        if given.idempotency_key:
            more += b"Idempotency-Key: %b\r\n" % given.idempotency_key
        return (b"%b %b HTTP/1.1\r\nHost: %b:%d\r\nReq-Id: %b\r\nReq-Kind: %b\r\nReq-Deadline: %dm\r\n%b"
                b"Content-Length: %d\r\n\r\n" % (
                    given.method, given.target, self.address[0].encode(), self.address[1],
                    given.name.encode(), given.class_name.encode(), order.wait_ms, more, len(given.body)))

    def _send_body(self) -> None:
        assert self.order
        self._shared.asks.remove(self)
        if self._ends_with_caller():
            return
        self.phase = Phase.BODY
        self._send(self.order.submission.body)

    def _send(self, data: bytes) -> None:
        self._left = memoryview(data)
        self._flush()

    def _flush(self) -> None:
        """Hand over what is left of the head or the body, then go on."""
        assert self._stream and self.order
        while self._left:
            sent = self._stream.send_now(self._left)
            if sent is None and self._reuses and self.phase is Phase.HEAD:
                self._dial_anew()
                return
            if sent is None:
                self._break("broke before the request was whole")
                return
            self._left = self._left[sent:]
            if self._left:
                if not self._blocked:
                    self._blocked = True
                    self._shared.poller.change(self._stream.descriptor, WRITE)
                return
        if self._blocked:
            self._blocked = False
            self._shared.poller.change(self._stream.descriptor, READ)
        if self.phase is Phase.HEAD and self.order.submission.body:
            self.phase = Phase.ASKING
            self._shared.asks.add(self)
        else:
            self.phase = Phase.ANSWERING
            self._shared.count("branches.whole")

    # --------------------------------------------------------------- reading

    def _read(self) -> None:
        assert self._stream
        if (data := self._stream.read_now()) is None:
            return
        if self.phase is Phase.TAIL:
            self._tail += len(data)
        self._answer.put(data)
        self._take_all()

    def _take_all(self) -> None:
        """Take all that the answer says so far, but nothing before the body is written."""
        answer = self._answer
        while self.phase not in (Phase.BODY, Phase.CLOSED) and (told := answer.next()) is not None:
            if self.phase is Phase.ASKING:
                if told is Mark.BROKEN and self._reuses:
                    self._dial_anew()
                    return
                if told is not Mark.GO_ON:
                    self._break("of no use before the request was whole")
                    return
                self._shared.continuing.add(self.address)
                self._send_body()
            elif isinstance(told, Head):
                self._take_head(told)
            elif isinstance(told, bytes):
                self._take_piece(told)
            elif told is Mark.END or told is Mark.BROKEN:
                self._ended(told is Mark.END)
                return

    def _take_head(self, head: Head) -> None:
        assert self.order
        if head.status == 200:
            self._lines = Lines(self.order.submission.name, self._shared.names)
            return
        declined = head.status in (503, 504) and head.headers.get(b"srv-declined") == b"1"
        load = read_load(head.headers.get(b"srv-load", b""), self._shared.names)
        end = End.DECLINED if declined else End.FAILED
        self._end(Ending(end, Reach.ANSWERED, report=load, word=str(head.status)))

    def _take_piece(self, piece: bytes) -> None:
        if self.phase is Phase.TAIL:
            if self._tail > MOST_BODY:
                self.close()
            return
        assert self._lines
        for told in self._lines.take(piece):
            if isinstance(told, Ending):
                self._end(told)
                return
            self._shared.tell(BranchNoted(self.rid, self.branch, told.started, told.share))
            if self.phase is Phase.CLOSED:
                return  # it was dropped

    def _ended(self, whole: bool) -> None:
        """The answer is over, or broke."""
        if self.phase is Phase.TAIL and whole and self._answer.clean:
            self._leave()
        elif self.phase is Phase.TAIL:
            self.close()
        elif self._lines is None:
            self._break("ended before an answer")
        else:
            self._end(self._lines.last())
            self.close()
