"""Questions to all members at once, by datagram: who has not answered after a part of the time is asked
again.

Bounded: few questions at a time, and so many datagrams a second for all of them together. What finds no
room is not asked, and told as silent.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import anyio

from flintfield.membership.interface import Answerer, Hearer
from flintfield.membership.messages import Address, Query, Record, Said, Told
from flintfield.membership.rules import MOST_BODY
from flintfield.wire.membership.rates import Bucket

MOST_OPEN = 32  # questions at a time
TRIES = 3  # to ask the silent, spread over the time: at 5% loss one in a thousand stays silent
DATAGRAMS_S, DATAGRAMS_BURST = 2_000.0, 4_000.0
TURN = 64  # datagrams in a row, before the rest of the program has its turn

Send = Callable[[Address, int, Query | Told], None]


@dataclass(slots=True)
class _Open:
    """A question that is out."""

    waits: dict[int, Record]  # who has not answered, by session
    told: dict[str, bytes] = field(default_factory=dict)
    done: anyio.Event = field(default_factory=anyio.Event)


class Asks:
    """Our questions to others, and our answers to theirs."""

    def __init__(self, send: Send, clock: Callable[[], float], rng: random.Random,
                 count: Callable[[str], None]) -> None:
        self._send, self._clock, self._count = send, clock, count
        self._number = rng.randrange(2**31)
        self._open: dict[int, _Open] = {}
        self._bucket = Bucket(DATAGRAMS_S, DATAGRAMS_BURST)
        self.answerers: dict[str, Answerer] = {}
        self.hearers: dict[str, Hearer] = {}

    async def ask(self, kind: str, body: bytes, within_ms: float, others: Sequence[Record],
                  is_enough: Callable[[bytes], bool] | None) -> tuple[dict[str, bytes], list[str]]:
        """What was told, by name, and who was silent; `is_enough` ends the wait before the time is up."""
        names = [r.name for r in others]
        if not others:
            return {}, []
        if len(self._open) >= MOST_OPEN or not self._bucket.take(self._clock(), len(others)):
            self._count("asks.no_room")
            return {}, names
        self._number = (self._number + 1) & 0xFFFFFFFF
        query = Query(self._number, kind, body)
        asked = self._open[query.number] = _Open({r.session: r for r in others})
        try:
            with anyio.move_on_after(within_ms / 1000):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._ask, asked, query, within_ms)
                    await self._wait(asked, is_enough)
                    tasks.cancel_scope.cancel()
        finally:
            del self._open[query.number]
        return asked.told, [r.name for r in asked.waits.values()]

    async def _ask(self, asked: _Open, query: Query, within_ms: float) -> None:
        for _ in range(TRIES):
            for i, record in enumerate(list(asked.waits.values())):
                self._send(record.address, record.session, query)
                if i % TURN == TURN - 1:
                    await anyio.sleep(0)
            await anyio.sleep(within_ms / TRIES / 1000)

    async def _wait(self, asked: _Open, is_enough: Callable[[bytes], bool] | None) -> None:
        while asked.waits:
            await asked.done.wait()
            asked.done = anyio.Event()
            if is_enough and any(map(is_enough, asked.told.values())):
                return

    def _answer(self, query: Query) -> bytes:
        if (answerer := self.answerers.get(query.kind)) is None:
            return b""
        try:
            answer = answerer(query.body)
        except Exception as error:  # guards the datagrams of all others
            self._count(f"asks.broken.{type(error).__name__}")
            return b""
        if len(answer) > MOST_BODY:
            self._count("asks.answer_too_long")
            return b""
        return answer

    def heard(self, source: Address, sender: int, part: Query | Told) -> None:
        """A member asks, or answers."""
        if isinstance(part, Query):
            self._send(source, sender, Told(part.number, self._answer(part)))
        elif (asked := self._open.get(part.number)) and (record := asked.waits.pop(sender, None)):
            asked.told[record.name] = part.body
            asked.done.set()

    def said(self, name: str, part: Said) -> None:
        """A member has a word for one of our parts."""
        if (hearer := self.hearers.get(part.kind)) is None:
            self._count("words.unheard")
            return
        try:
            hearer(name, part.body)
        except Exception as error:  # guards the datagrams of all others
            self._count(f"words.broken.{type(error).__name__}")
