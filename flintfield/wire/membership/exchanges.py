"""Exchanges of whole tables, ours and others': a few at a time, and taken in slice by slice."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

import anyio
from anyio.abc import TaskGroup

from flintfield.membership.messages import (
    Address, ExchangeFailed, Input, Known, OpenExchange, ReplyExchange, TableAsked, TableTold,
)
from flintfield.wire.http1.stream import Stream
from flintfield.wire.membership.rates import Sources
from flintfield.wire.membership.seal import Seal
from flintfield.wire.membership.streams import WHOLE_S, BadStream, exchange, serve

MOST_ASKING, MOST_SERVING = 4, 8  # exchanges at a time that we began, and that others did
SLICE = 128  # lines of a table that the core takes in at once: about a millisecond
ACCEPT_PAUSE_S = 0.1
STREAM_RATE = (20.0, 50.0, 50.0, 100.0)  # streams a second from an address, and at once; from all


class Exchanges:
    """The streams of a member."""

    def __init__(self, seal: Seal, tell: Callable[[Input], None], count: Callable[[str], None],
                 clock: Callable[[], float]) -> None:
        self._seal, self._tell, self._count, self._clock = seal, tell, count, clock
        self._sources = Sources(*STREAM_RATE)
        self._replies: dict[int, tuple[Known, ...]] = {}
        self._token = 0
        self.asking = self.serving = 0

    # ------------------------------------------------------------ ours

    def start(self, effect: OpenExchange, tasks: TaskGroup) -> None:
        """Begin one, if there is room."""
        if self.asking >= MOST_ASKING:
            self._tell(ExchangeFailed(effect.address, "too many at a time"))
            return
        self.asking += 1
        tasks.start_soon(self._exchange, effect.address, effect.table)

    async def _exchange(self, address: Address, table: Sequence[Known]) -> None:
        word, told = "it took too long", list[Known]()
        try:
            with anyio.move_on_after(WHOLE_S):
                told = await exchange(self._seal, address, table)
                word = ""
        except BadStream as error:
            word = str(error)
        finally:
            self.asking -= 1
        if word:
            self._tell(ExchangeFailed(address, word))
        for part in slices(told):
            self._tell(TableTold(address, part))
            await anyio.sleep(0)

    # ------------------------------------------------------------ others'

    def reply(self, effect: ReplyExchange) -> None:
        """The core's answer to a table."""
        self._replies[effect.token] = effect.table

    async def accept_all(self, listener: socket.socket, tasks: TaskGroup) -> None:
        """Serve others until cancelled."""
        while True:
            try:
                await anyio.wait_readable(listener)
                sock, source = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                continue
            except OSError:  # no descriptor or no memory is left
                await anyio.sleep(ACCEPT_PAUSE_S)
                continue
            if self.serving >= MOST_SERVING or not self._sources.admits(source[0], self._clock()):
                self._count("streams.refused")
                sock.close()
                continue
            self.serving += 1
            tasks.start_soon(self._serve, Stream(sock))

    async def _serve(self, stream: Stream) -> None:
        try:
            with anyio.move_on_after(WHOLE_S):
                await serve(self._seal, stream, self._answer)
                self._count("streams.served")
                return
            self._count("streams.too_slow")
        except BadStream as error:
            self._count(f"streams.{error.kind}")
        finally:
            self.serving -= 1
            stream.close()

    async def _answer(self, table: list[Known]) -> Sequence[Known]:
        """The core's answer to a table, which it takes in slice by slice."""
        first, *rest = slices(table) or [()]
        self._token += 1
        self._tell(TableAsked(self._token, first))
        answer = self._replies.pop(self._token, ())
        for part in rest:
            await anyio.sleep(0)
            self._tell(TableTold(first[0].address, part))
        return answer


def slices(table: Sequence[Known]) -> list[tuple[Known, ...]]:
    """The table in parts that the core takes at once; each begins with the teller's own line."""
    if not table:
        return []
    rest = table[1:]
    return [(table[0], *rest[i:i + SLICE]) for i in range(0, max(1, len(rest)), SLICE)]
