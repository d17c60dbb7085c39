"""Clients on sockets: the pure `Clients` behind the plain front, with kept connections to schedulers.

A client sends one request at a time on a connection; a try takes a kept one that is quiet, else opens
another. A scheduler may close a connection between requests. Whether a request crossed that close unread
shows in how the connection ended: the kernel resets a connection that is closed with bytes unread, and ends
it with a FIN if all was read. Only the former is sent once more, on a new connection, as the same try.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Literal

from flintfield.lab.log import Answered, Asked, ConnectionLost, GivenUp, Unreached
from flintfield.lab.sockets.addresses import Address
from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.timing import Alarm
from flintfield.lab.sockets.wire import ClientEnd, Response, dial, head_of
from flintfield.lab.world import Clients, Front, Leave, Try

DIAL_S = 1.0
DEATH_S = 0.05  # how long the end of a process may lag behind the reset of its connections
BODY_BYTES = 200


def target_of(attempt: Try) -> bytes:
    """Path and query of a try's request."""
    return f"/{attempt.wish.cls.name}?try={attempt.rid}".encode()


def body_of(attempt: Try) -> bytes:
    """The body of a try's request: its id over and over."""
    return (attempt.rid.encode() + b" ") * (BODY_BYTES // (len(attempt.rid) + 1))


class Callers:
    """All clients of a run. `alive` tells whether the scheduler at a place runs."""

    def __init__(self, run: Run, clients: Clients, front: Front, addresses: list[Address],
                 alive: Callable[[int], bool]) -> None:
        self._run, self.clients, self._front, self._addresses = run, clients, front, addresses
        self._alive = alive
        self._idle: list[list[ClientEnd]] = [[] for _ in addresses]
        self._out: dict[str, ClientEnd | None] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._alarm = Alarm(run.clock, clients.next_at, self._wake)
        run.alarms.append(self._alarm)

    def begin(self) -> None:
        """Arrivals begin."""
        self._alarm.arm()

    def stop(self) -> None:
        """All go away, unrecorded."""
        self._alarm.stop()
        for task in self._tasks.values():
            task.cancel()
        for end in [e for idle in self._idle for e in idle]:
            end.close()

    # ------------------------------------------------------------------ tries

    def _wake(self, now: float) -> None:
        for act in self.clients.wake(now):
            if isinstance(act, Try):
                task = asyncio.get_running_loop().create_task(self._try(act))
                self._tasks[act.rid] = task
                task.add_done_callback(lambda _, rid=act.rid: self._tasks.pop(rid, None))  # type: ignore[misc]
            else:
                self._go_away(act.rid, early=isinstance(act, Leave))

    def _go_away(self, rid: str, early: bool) -> None:
        if end := self._out.pop(rid, None):
            if early:
                self._run.record(ConnectionLost(self._run.at(), rid, "client"))
            else:
                self._run.record(GivenUp(self._run.at(), rid))
            end.close()
        if task := self._tasks.get(rid):
            task.cancel()

    async def _try(self, attempt: Try) -> None:
        run, rid = self._run, attempt.rid
        place = self._front.pick(run.clock(), attempt.wish.zone)
        end = await self._connection(place) if place is not None else None
        if end is None or place is None:
            self._unreached(attempt, "" if place is None else run.names[place])
            return
        run.tries[rid] = attempt
        wish = attempt.wish
        self._out[rid] = end
        run.record(Asked(run.at(), rid, wish.name, attempt.attempt, run.names[place], wish.cls.name,
                         wish.work, wish.at, wish.deadline_at, wish.owner))
        response = await end.send(self._request(attempt))
        unread = not response.status and response.reset and not response.seen
        if unread and end.used > 1 and self._alive(place):
            # It crossed the scheduler's close and was not read: the same try, on a new connection.
            end = await dial(self._addresses[place], run.clock, DIAL_S)
            if end is not None:
                self._out[rid] = end
                response = await end.send(self._request(attempt))
        if not response.status:
            await self._lost(attempt, place, response)
            return
        self._out.pop(rid, None)
        self._answered(attempt, response)
        if end and not end.over:
            self._idle[place].append(end)

    async def _connection(self, place: int) -> ClientEnd | None:
        idle = self._idle[place]
        while idle:
            end = idle.pop()
            if end.is_quiet():
                return end
            end.close()
        try:
            return await dial(self._addresses[place], self._run.clock, DIAL_S)
        except OSError as error:  # no descriptor is left: the engine's lack, not the scheduler's
            self._run.odd(f"the engine could not dial: {error}")
            return None

    def _request(self, attempt: Try) -> bytes:
        wish = attempt.wish
        wait = max(0.0, wish.deadline_at - self._run.clock())
        headers = [(b"Host", b"origin.svc"), (b"Req-Id", attempt.rid.encode()),
                   (b"Req-Kind", wish.cls.name.encode()), (b"Req-Deadline", b"%.3fm" % wait)]
        if wish.owner:
            headers.append((b"Req-Owner", wish.owner.encode()))
        if wish.hint is not None:
            headers.append((b"Req-Cost", b"%d" % (wish.hint * 1000)))
        if wish.slots > 1:
            headers.append((b"Req-Extra", b"slots=%d" % wish.slots))
        if attempt.attempt and self._run.scenario.clients.marks_retry:
            headers.append((b"Req-Retry", b"1"))
        return head_of(b"POST", target_of(attempt), headers, body_of(attempt))

    def _unreached(self, attempt: Try, scheduler: str) -> None:
        wish, now = attempt.wish, self._run.clock()
        self._run.record(Unreached(self._run.at(), wish.name, scheduler, wish.cls.name, wish.work, wish.at))
        self.clients.ended(now, attempt.rid, "unreached")
        self._alarm.arm()

    async def _lost(self, attempt: Try, place: int, response: Response) -> None:
        """The connection ended without a whole answer: by the scheduler, or with it."""
        if self._alive(place):
            await asyncio.sleep(DEATH_S)
        if self._out.pop(attempt.rid, None) is None:
            return  # the client has gone meanwhile
        by = "scheduler" if self._alive(place) else "death"
        self._run.record(ConnectionLost(max(0.0, response.at), attempt.rid, by))  # type: ignore[arg-type]
        self.clients.ended(self._run.clock(), attempt.rid, "lost")
        self._alarm.arm()

    def _answered(self, attempt: Try, response: Response) -> None:
        rid, at = attempt.rid, max(0.0, response.at)
        how: Literal["served", "refused", "failed"] = "failed"
        advice = 0.0
        if response.status == 200:
            how = "served"
        elif response.status in (429, 503):
            how, advice = "refused", _advice(response)
            self._run.refused_with[rid] = response.status
        body = response.body.decode("utf-8", "replace") if how == "served" else ""
        self._run.record(Answered(at, rid, how, body, advice))
        self.clients.ended(self._run.clock(), rid, how, advice)
        self._alarm.arm()


def _advice(response: Response) -> float:
    try:
        return max(0.0, float(response.headers.get(b"retry-after", b"0"))) * 1000.0
    except ValueError:
        return 0.0
