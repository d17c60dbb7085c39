"""The status page: a listener of its own with few legs, which serve a snapshot that was made before.

Nothing is looked up for a reader, and a slow one holds nothing but its own leg, and that not for long.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Mapping, Sequence
from html import escape

import anyio
from anyio.abc import TaskGroup

from flintfield.memory.messages import Address
from flintfield.memory.status import Server, Status
from flintfield.wire.http1.leg import REQUEST_S, Leg
from flintfield.wire.http1.reply import Reply
from flintfield.wire.http1.poller import Poller, Waits
from flintfield.wire.http1.stream import Stream, open_listener
from flintfield.wire.http1.submission import BadRequest, Request

MOST_LEGS = 8  # whoever comes beyond them waits in the kernel's queue
BACKLOG = 16
WRITE_S = 5.0  # a reader must have taken its page by then
ACCEPT_PAUSE_S = 0.1  # after a lack of descriptors
HTML = ((b"Content-Type", b"text/html; charset=utf-8"),)
JSON = ((b"Content-Type", b"application/json"),)
STYLE = "body{font-family:sans-serif}table{border-collapse:collapse}th,td{padding:.2em 1em;text-align:left}"


class StatusPage:
    """Serves the last snapshot."""

    def __init__(self, scheduler: str, version: str, count: Callable[[str], None]) -> None:
        self._scheduler, self._version, self._count = scheduler, version, count
        self._pages: dict[bytes, Reply] = {}
        self._listener: socket.socket
        self._room = anyio.Semaphore(MOST_LEGS)

    def show(self, status: Status, more: Mapping[bytes, Reply]) -> None:
        """Make the pages that are served from now on; `more` are others' pages, made beside them."""
        self._pages = {
            **more,
            b"/": Reply(200, self._html(status).encode(), HTML, close=True),
            b"/status.json": Reply(200, self._json(status).encode(), JSON, close=True),
        }

    def _json(self, status: Status) -> str:
        servers = [{"id": s.name, "addr": s.address, "state": s.state, "last_error": s.last_error}
                   for s in status.servers]
        return json.dumps({"version": self._version, "uptime_s": round(status.uptime_s, 1),
                           "servers": servers, "load": status.load}, separators=(",", ":"))

    def _html(self, status: Status) -> str:
        title = f"flintfield {escape(self._scheduler)}"
        servers = [_cells(server) for server in status.servers]
        load = [(name, str(jobs)) for name, jobs in status.load.items()]
        return (
            f'<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"><title>{title}</title>'
            f"<style>{STYLE}</style></head><body>\n<h1>{title}</h1>\n"
            f"<p>Version {escape(self._version)}, up for {status.uptime_s:.0f} s</p>\n"
            + _table("Worker nodes", ("id", "address", "state", "last error"), servers)
            + _table("Jobs in work", ("class", "jobs"), load)
            + "</body></html>\n")

    def listen(self, address: Address) -> int:
        """Open the listening socket and tell its port."""
        self._listener = open_listener(address, BACKLOG)
        return int(self._listener.getsockname()[1])

    async def accept_all(self, tasks: TaskGroup) -> None:
        """Take readers in, while there is room for them, until it is cancelled."""
        poller = Poller()
        tasks.start_soon(poller.run)
        waits: Waits[Leg] = Waits(poller, REQUEST_S, Leg.time_over)
        with self._listener:
            while True:
                await self._room.acquire()
                sock, peer = await self._accept()
                leg = Leg(Stream(sock), self, poller, waits, peer)
                leg.watch()

    async def _accept(self) -> tuple[socket.socket, str]:
        while True:
            try:
                await anyio.wait_readable(self._listener)
                sock, (peer, *_) = self._listener.accept()
                return sock, peer
            except (BlockingIOError, ConnectionAbortedError):
                continue  # it is gone again
            except OSError:  # no descriptor or no memory is left
                await anyio.sleep(ACCEPT_PAUSE_S)

    # --------------------------------------------------------------- its legs

    def take(self, leg: Leg, request: Request) -> Reply:
        """One reader: one request, one page."""
        page = self._pages.get(request.target.split(b"?", 1)[0])
        if page is None:
            raise BadRequest(404, "no such path")
        if request.method != b"GET":
            raise BadRequest(405, "this page is read with GET")
        self._answered(leg, page)
        return page

    def refuse(self, leg: Leg, reply: Reply) -> None:
        """A request that can not be read, or asks for what is not there."""
        self._answered(leg, reply)

    def _answered(self, leg: Leg, reply: Reply) -> None:
        self._count(f"statuspage.answers.{reply.status}")
        leg.close_after(WRITE_S)

    def leave(self, leg: Leg) -> None:
        """No answer is waited for here."""

    def end(self, leg: Leg, error: Exception | None) -> None:
        """A reader is gone."""
        if error:
            self._count(f"statuspage.broken.{type(error).__name__}")
        self._room.release()


def _cells(server: Server) -> tuple[str, ...]:
    error = f"{server.last_error}, {server.error_age_s:.0f} s ago" if server.last_error else ""
    return server.name, server.address, server.state, error


def _table(caption: str, heads: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """A table; every text that comes in is escaped here."""
    lines = [f"<tr>{''.join(f'<th>{escape(h)}</th>' for h in heads)}</tr>"]
    lines += [f"<tr>{''.join(f'<td>{escape(cell)}</td>' for cell in row)}</tr>" for row in rows]
    return f"<h2>{escape(caption)}</h2>\n<table>\n" + "\n".join(lines) + "\n</table>\n"
