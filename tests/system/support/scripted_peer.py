"""A peer on loopback that reads whole HTTP requests and ends each of them as a script says."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from collections.abc import Sequence

IP = "127.0.0.1"
LINGER_ZERO = struct.pack("ii", 1, 0)  # closing with it resets the connection
ANSWER_BODY = b'{"clockMs":7,"running":[],"finished":[]}'
OTHER_BODY = b'{"clockMs":9,"running":[],"finished":[]}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


class Deed(enum.Enum):
    """What the peer does about one request."""

    ANSWER = "answer"
    SILENCE = "silence"  # read whole, never answered
    RESET = "reset"  # read whole, then reset
    CLOSE = "close"  # read whole, then closed
    HALF = "half"  # half of the answer's body, then closed
    HALF_HEAD = "half_head"  # half of the status line, then closed
    TWO_ANSWERS = "two_answers"  # a second answer right behind the first
    RESET_UNREAD = "reset_unread"  # reset after the first bytes of the request


def whole_answer(body: bytes = ANSWER_BODY) -> bytes:
    """An answer with this body."""
    return HEAD % len(body) + body


class ScriptedPeer:
    """Takes the requests of all its connections in order, a deed each; answers those beyond the script."""

    def __init__(self, script: Sequence[Deed]) -> None:
        self.requests: list[bytes] = []  # whole ones, as they came
        self.connections = 0
        self._script = list(script)
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> str:
        """Listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, IP, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"{IP}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.append(writer)
        try:
            while await self._exchange(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; False where the connection is over."""
        if self._script and self._script[0] is Deed.RESET_UNREAD:
            self._script.pop(0)
            await reader.readexactly(1)
            reset(writer)
            return False
        self.requests.append(await _read_request(reader))
        deed = self._script.pop(0) if self._script else Deed.ANSWER
        return await self._do(deed, reader, writer)

    async def _do(self, deed: Deed, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        match deed:
            case Deed.ANSWER:
                writer.write(whole_answer())
                return True
            case Deed.TWO_ANSWERS:
                writer.write(whole_answer() + whole_answer(OTHER_BODY))
                return True
            case Deed.SILENCE:
                await reader.read()  # until the caller gives up
                return False
            case Deed.RESET:
                reset(writer)
                return False
            case Deed.HALF:
                writer.write(whole_answer()[: -len(ANSWER_BODY) // 2])
            case Deed.HALF_HEAD:
                writer.write(HEAD[:8])
            case _:
                pass
        return False


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return head + await reader.readexactly(length)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close so that the other side sees a reset."""
    sock: socket.socket = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
