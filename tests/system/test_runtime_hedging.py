"""Asking several in turn, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from flintfield.runtime.hedging import first_answer

from .test_control_forwarding import played

HEDGE_S = 1.0
Ask = Callable[[], Coroutine[Any, Any, str | None]]


class Asked:
    """Asks that answer after a time, and what became of them."""

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.cancelled: list[str] = []

    def ask(self, name: str, after_s: float, answer: str | None) -> Ask:
        """One that answers so after that time."""

        async def asked() -> str | None:
            self.begun.append(name)
            try:
                await asyncio.sleep(after_s)
            except asyncio.CancelledError:
                self.cancelled.append(name)
                raise
            return answer

        return asked


def test_who_answers_in_time_is_the_only_one_asked() -> None:
    asked = Asked()
    asks = [asked.ask("first", 0.5, "yes"), asked.ask("second", 0.0, "no")]
    assert played(first_answer(asks, HEDGE_S)) == ("yes", 0.5)
    assert asked.begun == ["first"]


def test_the_next_is_asked_after_the_hedge_and_the_slow_one_is_cancelled() -> None:
    asked = Asked()
    asks = [asked.ask("slow", 9.0, "late"), asked.ask("second", 0.25, "yes")]

    async def both() -> str | None:
        found = await first_answer(asks, HEDGE_S)
        await asyncio.sleep(0)
        return found

    assert played(both()) == ("yes", 1.25)
    assert asked.cancelled == ["slow"]


def test_a_slow_answer_counts_if_it_comes_first_after_all() -> None:
    asked = Asked()
    asks = [asked.ask("slow", 1.5, "late"), asked.ask("slower", 9.0, "later")]
    assert played(first_answer(asks, HEDGE_S)) == ("late", 1.5)


def test_the_next_is_asked_at_once_where_there_is_no_answer() -> None:
    asked = Asked()
    asks = [asked.ask("none", 0.25, None), asked.ask("second", 0.25, "yes")]
    assert played(first_answer(asks, HEDGE_S)) == ("yes", 0.5)


def test_without_any_answer_there_is_none() -> None:
    asked = Asked()
    assert (
        played(first_answer([asked.ask("none", 0.5, None), asked.ask("none", 0.5, None)], HEDGE_S))[0] is None
    )
    assert played(first_answer([], HEDGE_S)) == (None, 0.0)
