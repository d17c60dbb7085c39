"""The next hop's side: branches with a job's lines, and probes. It tells what came back, no more."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio

from flintfield.decision.interface import Report
from flintfield.memory.messages import (
    Address, BranchEnded, BranchNoted, BranchUp, DropBranch, End, Ending, HoldBranch, Message, OpenBranch,
    ProbeEnded, ProbeHop, Reach, Submission, WriteBranch,
)
from flintfield.wire.http1.client import Connection, Head, Page, Pool

PROBE_S = 0.4  # a probe without an answer by then has failed
PROBE_KEPT_S = 0.15  # on a kept connection, which may have fallen silent: then a new one is tried
CONTINUE_S = 0.1  # a next hop that is to say 100 and has not by then says nothing on this connection
TAIL_S = 0.5  # how long the end of a response may lag behind its last line
MOST_LINE = 1 << 18
LEAST_SHARE = 0.01
MOST = {"free": 1024.0, "inflight": 65_536.0, "queue": 65_536.0, "util": 64.0, "latency_ms": 3_600_000.0}
FINAL = {"done": End.DONE, "failed": End.FAILED, "returned": End.DECLINED, "lost": End.LOST}


@dataclass(slots=True)
class _Out:
    """A branch that is out."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    connection: Connection | None = None
    order: WriteBranch | None = None
    held: anyio.Event | None = None  # set when the order has come that it was held for


class NextHops:
    """All branches and probes that are out."""

    def __init__(self, tell: Callable[[Message], None], clock: Callable[[], float], pool: Pool,
                 report_names: Mapping[str, str]) -> None:
        self._tell, self._clock, self._pool, self._names = tell, clock, pool, report_names
        self._outs: dict[tuple[int, int], _Out] = {}
        self._continuing: set[Address] = set()  # those that have said 100 before

    # -------------------------------------------------------------- branches

    def open(self, effect: OpenBranch) -> None:
        """Note a branch that `run` is to start, so that it can be dropped before."""
        self._outs[effect.rid, effect.branch] = _Out()

    def hold(self, effect: HoldBranch) -> None:
        """Let a branch that has told `BranchUp` wait for its order."""
        if out := self._outs.get((effect.rid, effect.branch)):
            out.held = anyio.Event()

    def write(self, effect: WriteBranch) -> None:
        """Let a branch write that has told `BranchUp`."""
        if out := self._outs.get((effect.rid, effect.branch)):
            out.order = effect
            if out.held:
                out.held.set()

    def drop(self, effect: DropBranch) -> None:
        """Close a branch's connection before anything else is written."""
        if out := self._outs.pop((effect.rid, effect.branch), None):
            if out.connection:
                out.connection.stream.close()
            out.scope.cancel()

    async def run(self, effect: OpenBranch) -> None:
        """Play a branch to its end."""
        if (out := self._outs.get((effect.rid, effect.branch))) is None:
            return
        with out.scope:
            try:
                ending = await self._attempt(effect, out)
            except Exception as error:  # exceptions stop at the connection; it may have run for all we know
                ending = Ending(End.BROKEN, Reach.SENT, word=repr(error))
            self._outs.pop((effect.rid, effect.branch), None)
            if ending:
                self._tell(BranchEnded(effect.rid, effect.branch, ending))
            with anyio.move_on_after(TAIL_S):  # a close before the end of its answer would be a reset to it
                if ending and out.connection and ending.reach is Reach.ANSWERED:
                    await out.connection.body()
        if out.connection:
            out.connection.stream.close()

    async def _attempt(self, effect: OpenBranch, out: _Out) -> Ending | None:
        """One attempt, on a connection of its own; None if it was not to be written after all.

        Guards against a job lost with a kept connection that the next hop has just closed, or that fell
        silent while it was idle: it may have run then, for all we know.
        """
        connection = await self._pool.dial(effect.address)
        if isinstance(connection, Reach):
            return Ending(End.BROKEN, connection, word="no connection")
        out.connection = connection
        self._tell(BranchUp(effect.rid, effect.branch))
        if out.held:
            await out.held.wait()
        if out.order is None:
            return None
        if not await self._write(out.order, connection):
            return Ending(End.BROKEN, Reach.WRITING, word="of no use before the request was whole")
        return await self._job(effect, out.order.submission, connection)

    async def _write(self, order: WriteBranch, connection: Connection) -> bool:
        """Write a request; whether its last byte may have left.

        The body waits until the next hop has read the head and says so (100). Guards against a job on a
        connection that is reset or silent: without its body it never ran, and may go elsewhere.
        """
        given = order.submission
        asks = [(b"Expect", b"100-continue")] if given.body else []
        head, body = connection.request(given.method, given.target, [
            (b"Req-Id", given.name.encode()), (b"Req-Kind", given.class_name.encode()),
            (b"Req-Deadline", b"%dm" % order.wait_ms), *asks,
        ], given.body)
        if await connection.stream.send(head) < len(head) or (asks and not await self._goes_on(connection)):
            return False
        return await connection.stream.send(body) == len(body)

    async def _goes_on(self, connection: Connection) -> bool:
        with anyio.move_on_after(CONTINUE_S):
            if goes_on := await connection.goes_on():
                self._continuing.add(connection.address)
            return goes_on
        # One that has never said 100 may not know the word: HTTP then lets the body follow.
        return connection.address not in self._continuing

    async def _job(self, effect: OpenBranch, given: Submission, connection: Connection) -> Ending:
        head = await connection.head()
        if head is None:
            return Ending(End.BROKEN, Reach.SENT, word="ended before an answer")
        if head.status != 200:
            declined = head.status in (503, 504) and head.headers.get(b"srv-declined") == b"1"
            end = End.DECLINED if declined else End.FAILED
            return Ending(end, Reach.ANSWERED, report=self._load(head), word=str(head.status))
        buffer = b""
        while piece := await connection.data():
            *lines, buffer = (buffer + piece).split(b"\n")
            if len(buffer) > MOST_LINE:
                break
            for line in lines:
                if line.strip() and (ending := self._line(effect, given.name, line)):
                    return ending
        if buffer.strip() and (ending := self._line(effect, given.name, buffer)):
            return ending  # a last line without its line feed
        return Ending(End.BROKEN, Reach.SENT, word="ended before the last line")

    def _line(self, effect: OpenBranch, name: str, line: bytes) -> Ending | None:
        """Take one line of a job; an ending if it is the last, or is odd: then it may have run."""
        try:
            told = json.loads(line)
            if told["id"] != name:
                return Ending(End.BROKEN, Reach.SENT, word="a line of another job")
            state = told["state"]
            if state in FINAL:
                result = told.get("result", "")
                body = result if isinstance(result, str) else json.dumps(result)
                load = make_report(told.get("load"), self._names)
                return Ending(FINAL[state], Reach.ANSWERED, body.encode(), load, state)
            if state in ("started", "running"):
                share = float(told.get("share", 0.0))
                # Guards against a pace taken from a share that cannot be, or is too small to tell one.
                share = share if LEAST_SHARE <= share <= 1 else 0.0
                self._tell(BranchNoted(effect.rid, effect.branch, state == "started", share))
        except (ValueError, KeyError, TypeError):
            return Ending(End.BROKEN, Reach.SENT, word="a line that cannot be read")
        return None

    # ---------------------------------------------------------------- probes

    async def probe(self, effect: ProbeHop) -> None:
        """Ask once for the load, and tell how it went."""
        began, ending = self._clock(), Ending(End.BROKEN, Reach.SENT, word="no answer in time")
        try:
            with anyio.move_on_after(PROBE_S):
                page = await self._pool.fetch(effect.address, b"/status/load", PROBE_KEPT_S)
                ending = self._probe_ending(page)
        except Exception as error:  # exceptions stop at the connection
            ending = Ending(End.BROKEN, Reach.SENT, word=repr(error))
        self._tell(ProbeEnded(effect.worker, ending, self._clock() - began))

    def _probe_ending(self, page: Page | Reach) -> Ending:
        if isinstance(page, Reach):
            return Ending(End.BROKEN, page)
        end = {200: End.DONE, 503: End.DECLINED}.get(page.head.status, End.FAILED)
        return Ending(end, Reach.ANSWERED, report=read_load(page.body, self._names) or self._load(page.head))

    # --------------------------------------------------------------- reports

    def _load(self, head: Head) -> Report | None:
        return read_load(head.headers.get(b"srv-load", b""), self._names)


def read_load(text: bytes, names: Mapping[str, str]) -> Report | None:
    """Read a load report: `TEXT name=value, name=value`, or a JSON object."""
    plain = text.decode("ascii", "replace").strip()
    if plain.startswith("{"):
        try:
            values = json.loads(plain)
        except ValueError:
            return None
        return make_report(values.get("load", values), names)
    if plain[:4].upper() == "TEXT":
        plain = plain[4:]
    return make_report(dict(p.strip().split("=", 1) for p in plain.split(",") if "=" in p), names)


def make_report(values: Any, names: Mapping[str, str]) -> Report | None:
    """Name a report's values in the decisions' words; those that are no number are left out."""
    known: dict[str, float] = {}
    for name, value in values.items() if isinstance(values, Mapping) else ():
        ours = names.get(name)
        try:
            number = float(value)
        except (TypeError, ValueError):
            continue
        # Guards against figures that cannot be: one huge count of free slots would draw all jobs there.
        if ours and -1 < number <= MOST[ours]:
            known[ours] = max(0.0, number)  # reports are a little noisy
    return Report(**known) if known else None
