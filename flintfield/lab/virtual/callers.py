"""Clients in virtual time: their tries go through the front to schedulers, and answers come back."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import Any, Protocol, cast

from flintfield.lab import log, platform
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.world import Clients, Front, GiveUp, Leave, Network, Try


class Process(Protocol):
    """A scheduler's process, as its clients see it."""

    name: str
    alive: bool
    legs: dict[int, Try]  # callers that wait, by transaction

    def submit(self, attempt: Try, wait_ms: float) -> None:
        """A caller's request has wholly come in."""

    def caller_left(self, rid: str) -> None:
        """A caller has closed its connection."""


class Callers:
    """All clients, and the front that spreads them."""

    def __init__(self, clients: Clients, front: Front, network: Network, loop: Loop,
                 schedulers: Sequence[Process | None], write: Callable[[log.AnyRecord], None]) -> None:
        self._clients, self._front, self._network, self._loop = clients, front, network, loop
        self._schedulers, self._write = schedulers, write
        self.tries: dict[str, Try] = {}
        self.asked: dict[str, Process] = {}  # which scheduler a try came to
        self._had_answer: dict[str, None] = {}  # tries; a second answer, which must not be, shows in the log
        self._wake_at = math.inf

    def rearm(self) -> None:
        """Set when the next client acts."""
        due = self._clients.next_at()
        if due < self._wake_at:
            self._wake_at = due
            self._loop.at(due, self._wake, due)

    def _wake(self, due: float) -> None:
        if due != self._wake_at:
            return
        self._wake_at = math.inf
        for act in self._clients.wake(self._loop.now):
            if isinstance(act, Try):
                self.tries[act.rid] = act
                self._send(act)
            else:
                self._stop_waiting(act)
        self.rearm()

    def _stop_waiting(self, act: GiveUp | Leave) -> None:
        now = self._loop.now
        if asked := self.asked.get(act.rid):
            gave_up = isinstance(act, GiveUp)
            self._write(log.GivenUp(now, act.rid) if gave_up else log.ConnectionLost(now, act.rid, "client"))
            self._loop.at(now + self._network.client_way(), asked.caller_left, act.rid)

    def _send(self, attempt: Try) -> None:
        now = self._loop.now
        place = self._front.pick(now, attempt.wish.zone)
        if place is None:
            self._unreached(attempt, "")
        else:
            self._loop.at(now + self._network.client_way(), self._reach, attempt, place)

    def _reach(self, attempt: Try, place: int) -> None:
        scheduler, now, wish = self._schedulers[place], self._loop.now, attempt.wish
        if not self._clients.waits(attempt.rid):
            return
        if scheduler is None or not scheduler.alive:
            self._loop.at(now + self._network.client_way(), self._unreached, attempt,
                          platform.scheduler_name(place))
            return
        self.asked[attempt.rid] = scheduler
        self._write(log.Asked(now, attempt.rid, wish.name, attempt.attempt, scheduler.name, wish.cls.name,
                              wish.work, wish.at, wish.deadline_at, wish.owner))
        scheduler.submit(attempt, wish.deadline_at - now)

    def _unreached(self, attempt: Try, scheduler: str) -> None:
        wish = attempt.wish
        if self._clients.waits(attempt.rid):
            self._write(log.Unreached(self._loop.now, wish.name, scheduler, wish.cls.name, wish.work,
                                      wish.at))
            self._ended(attempt.rid, "unreached")

    def answer(self, attempt: Try, verdict: str, body: str, retry_after_ms: float) -> None:
        """Carry a final answer to its client."""
        self._loop.at(self._loop.now + self._network.client_way(), self._answered, attempt.rid, verdict,
                      body, retry_after_ms)

    def _answered(self, rid: str, verdict: str, body: str, retry_after_ms: float) -> None:
        if self._clients.waits(rid) or rid in self._had_answer:
            self._had_answer[rid] = None
            self._write(log.Answered(self._loop.now, rid, cast(Any, verdict), body, retry_after_ms))
            self._ended(rid, verdict, retry_after_ms)

    def lose(self, scheduler: Process) -> None:
        """A scheduler's process is gone, and with it the connections of those who wait there."""
        for attempt in scheduler.legs.values():
            self._loop.at(self._loop.now + self._network.client_way(), self._lost, attempt.rid)

    def _lost(self, rid: str) -> None:
        if self._clients.waits(rid):
            self._write(log.ConnectionLost(self._loop.now, rid, "death"))
            self._ended(rid, "lost")

    def _ended(self, rid: str, how: str, retry_after_ms: float = 0.0) -> None:
        self._clients.ended(self._loop.now, rid, cast(Any, how), retry_after_ms)
        self.rearm()
