"""A client's HTTP/1.1 connection that is used until the process at its other end is gone.

It heeds no `Connection: close`, as clients exist that don't; what it sends after that may be cut, which the
judge takes for no loss where it ends at once.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from flintfield.soak.record import CallEnd

OPEN_TIMEOUT_S = 1.0
MOST_HEAD_BYTES = 64 * 1024


class NotOpened(Exception):
    """Nobody takes connections at the address."""


@dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended; `body` and `status` where it was answered."""

    end: CallEnd
    sent_s: float
    ended_s: float
    status: int = 0
    body: bytes = b""


class KeptConnection:
    """One connection; one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self.gone = False

    @classmethod
    async def open(cls, address: str, host: str) -> KeptConnection:
        """Connect to "ip:port"; raises `NotOpened`."""
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port), limit=MOST_HEAD_BYTES)
        except (OSError, TimeoutError) as error:
            raise NotOpened(address) from error
        return cls(reader, writer, host)

    async def request(
        self, method: str, path: str, body: bytes, headers: dict[str, str], within_s: float
    ) -> Answer:
        """Send a request and wait for its answer. After anything but an answer the connection is gone."""
        fields = {"Host": self._host, "Content-Length": str(len(body)), **headers}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        sent_s = time.monotonic()
        try:
            self._writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await self._writer.drain()
        except OSError:
            return self._ended(CallEnd.UNSENT, sent_s)
        sent_s = time.monotonic()
        try:
            async with asyncio.timeout(within_s):
                status, content = await self._read_answer()
        except TimeoutError:
            return self._ended(CallEnd.SILENT, sent_s)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            return self._ended(CallEnd.CUT, sent_s)
        return Answer(CallEnd.ANSWERED, sent_s, time.monotonic(), status, content)

    async def _read_answer(self) -> tuple[int, bytes]:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.split("\r\n")
        status = int(status_line.split(" ", 2)[1])
        fields = dict(line.lower().split(":", 1) for line in lines if ":" in line)
        length = int(fields.get("content-length", "0"))
        return status, await self._reader.readexactly(length)

    def _ended(self, end: CallEnd, sent_s: float) -> Answer:
        self.close()
        return Answer(end, sent_s, time.monotonic())

    def close(self) -> None:
        """Close it; harmless when it is closed."""
        self.gone = True
        self._writer.close()
