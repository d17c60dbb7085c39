"""The planner's end: serves forwarders, keeps each one's newest digest, and answers at each step."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from flintfield.planning.messages import Digest, InvalidMessageError, Plan, delta
from flintfield.planning.planner import ListedWorker, Planner
from flintfield.wire.http1.stream import Stream
from flintfield.wire.link.frames import Channel, Count, LinkError, Nonces, be_greeted
from flintfield.wire.membership.keys import Ring

STEP_S = 0.125  # between two steps
STANDBY_MS = 1_000.0  # so often forwarders that follow another planner are answered
SILENT_S = 5.0  # a forwarder that says nothing for so long is let go: it tells eight digests a second
MOST_LINKS = 1_000
ACCEPT_PAUSE_S = 0.1
DELTA_ROWS = 32  # smaller plans are always sent whole


@dataclass(eq=False, slots=True)
class _Link:
    """A forwarder's connection."""

    channel: Channel
    forwarder: str = ""
    is_fresh: bool = False  # a digest has come that was not answered
    writing: bool = False
    answered: float = 0.0
    sent: Plan | None = None


class ForwarderLinks:
    """All forwarders' connections."""

    def __init__(self, ring: Ring, planner: Planner, listed: Callable[[], list[ListedWorker]],
                 clock: Callable[[], float], count: Count) -> None:
        self._ring, self._planner, self._listed = ring, planner, listed
        self._clock, self._count, self._nonces = clock, count, Nonces()
        self._links: dict[_Link, None] = {}

    def __len__(self) -> int:
        return len(self._links)

    async def run(self, listener: socket.socket) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._accept_all, listener, tasks)
            while True:
                self._step(tasks)
                await anyio.sleep(STEP_S)

    async def _accept_all(self, listener: socket.socket, tasks: TaskGroup) -> None:
        while True:
            try:
                await anyio.wait_readable(listener)
                sock, _ = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError:  # no descriptor or no memory is left
                await anyio.sleep(ACCEPT_PAUSE_S)
                continue
            if len(self._links) >= MOST_LINKS:
                self._count("link.refused")
                sock.close()
                continue
            tasks.start_soon(self._serve, Stream(sock))

    async def _serve(self, stream: Stream) -> None:
        link = None
        try:
            channel = await be_greeted(stream, self._ring, self._nonces, SILENT_S)
            link = _Link(channel)
            self._links[link] = None
            self._count("link.connected")
            while True:
                message = await channel.read()
                if isinstance(message, Digest):
                    self._hear(link, message)
        except LinkError as error:
            self._count(f"link.{error.kind}")
        except InvalidMessageError:
            self._count("link.nonsense")
        finally:
            if link is not None:
                self._links.pop(link, None)
            stream.close()

    def _hear(self, link: _Link, digest: Digest) -> None:
        self._count("link.digests")
        if self._planner.receive_digest(self._clock(), digest):
            link.forwarder, link.is_fresh = digest.forwarder, True

    def _step(self, tasks: TaskGroup) -> None:
        now = self._clock()
        self._planner.set_workers(self._listed())
        self._planner.step(now)
        for link in list(self._links):
            if not link.is_fresh or link.writing or self._stands_by(link, now):
                continue
            plan = self._planner.plan_for(now, link.forwarder)
            if plan is not None:
                link.is_fresh, link.writing, link.answered = False, True, now
                tasks.start_soon(self._write, link, plan)

    def _claim(self, link: _Link) -> tuple[int, int, int, str] | None:
        teller = self._planner.forwarders.get(link.forwarder)
        return teller.digest.in_force if teller else None

    def _stands_by(self, link: _Link, now: float) -> bool:
        claim = self._claim(link)
        other = claim is not None and claim[0] != self._planner.place
        return other and now - link.answered < STANDBY_MS

    async def _write(self, link: _Link, plan: Plan) -> None:
        base, claim = link.sent, self._claim(link)
        change = plan
        # Guards against a base that was turned down: only what the forwarder proves to have in force is one.
        if base is not None and len(plan.rows) > DELTA_ROWS and claim == (
                base.place, base.term, base.number, base.proof):
            change = delta(plan, base)
        try:
            await link.channel.write(change)
            link.sent = plan
            self._count("link.plans")
        except LinkError:
            link.channel.close()
        finally:
            link.writing = False
