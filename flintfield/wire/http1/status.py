"""The status page: a separate listener with few connections that serves a prepared snapshot.

A request triggers no lookup, and a slow reader occupies only its own connection, for a limited time.
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

MAX_CONNECTIONS = 8  # further connections wait in the kernel's accept queue
BACKLOG = 16
WRITE_S = 5.0  # time limit for a reader to receive its page
ACCEPT_PAUSE_S = 0.1  # pause before the next accept after running out of descriptors
HTML = ((b"Content-Type", b"text/html; charset=utf-8"),)
JSON = ((b"Content-Type", b"application/json"),)
STYLE = "body{font-family:sans-serif}table{border-collapse:collapse}th,td{padding:.2em 1em;text-align:left}"


class StatusPage:
    """Serves the latest snapshot."""

    def __init__(self, scheduler: str, version: str, count: Callable[[str], None]) -> None:
        self._scheduler, self._version, self._count = scheduler, version, count
        self._pages: dict[bytes, Reply] = {}
        self._listener: socket.socket
        self._slots = anyio.Semaphore(MAX_CONNECTIONS)

    def show(self, status: Status, more: Mapping[bytes, Reply]) -> None:
        """Render the pages to serve from now on; `more` holds further pages, by path."""
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
        """Open the listening socket and return its port."""
        self._listener = open_listener(address, BACKLOG)
        return int(self._listener.getsockname()[1])

    async def accept_all(self, tasks: TaskGroup) -> None:
        """Accept connections, up to `MAX_CONNECTIONS` at a time, until cancelled."""
        poller = Poller()
        tasks.start_soon(poller.run)
        waits: Waits[Leg] = Waits(poller, REQUEST_S, Leg.time_over)
        with self._listener:
            while True:
                await self._slots.acquire()
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
                continue  # the peer closed it already
            except OSError:  # out of descriptors or memory
                await anyio.sleep(ACCEPT_PAUSE_S)

    # ------------------------------------------- callbacks of its connections

    def take(self, leg: Leg, request: Request) -> Reply:
        """Answer a request with a page; the connection closes after it."""
        page = self._pages.get(request.target.split(b"?", 1)[0])
        if page is None:
            raise BadRequest(404, "no such path")
        if request.method != b"GET":
            raise BadRequest(405, "this page is read with GET")
        self._count_answer(leg, page)
        return page

    def refuse(self, leg: Leg, reply: Reply) -> None:
        """Count a request that can't be parsed or asks for an unknown path."""
        self._count_answer(leg, reply)

    def _count_answer(self, leg: Leg, reply: Reply) -> None:
        self._count(f"statuspage.answers.{reply.status}")
        leg.close_after(WRITE_S)

    def leave(self, leg: Leg) -> None:
        """Nothing to cancel: every request is answered immediately."""

    def end(self, leg: Leg, error: Exception | None) -> None:
        """Free the slot of a closed connection."""
        if error:
            self._count(f"statuspage.broken.{type(error).__name__}")
        self._slots.release()


def _cells(server: Server) -> tuple[str, ...]:
    error = f"{server.last_error}, {server.error_age_s:.0f} s ago" if server.last_error else ""
    return server.name, server.address, server.state, error


def _table(caption: str, heads: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """Render an HTML table; all text is escaped here."""
    lines = [f"<tr>{''.join(f'<th>{escape(h)}</th>' for h in heads)}</tr>"]
    lines += [f"<tr>{''.join(f'<td>{escape(cell)}</td>' for cell in row)}</tr>" for row in rows]
    return f"<h2>{escape(caption)}</h2>\n<table>\n" + "\n".join(lines) + "\n</table>\n"
