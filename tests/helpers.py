"""A test harness that drives the dispatcher by hand, without network, real clock or benchmark."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from flintfield.decision.interface import (
    Action, AttemptEnded, Effect, Entry, Limits, ListMode, Outcome, Probe, Probed, Report, Request,
    RequestClass, Rules, Send, ServerList, SetTimer, Settings, Timer,
)
from flintfield.decision.policy import Dispatcher

A = TypeVar("A")

RULES = Rules(answer_slack_ms=20, drain_grace_ms=500, cold_from=0.2, cold_ms=10_000, fall_multiple=3,
              fall_ms=1_000)
LIMITS = Limits(max_attempts=4, second_copies=True, retry_after=True, max_retry_after_ms=2_000)


def settings(effect: Effect = Effect.SAFE, **changes: Any) -> Settings:
    """Settings with one class of the given effect; `changes` may name fields of the class or the settings."""
    names = set(RequestClass.__dataclass_fields__)
    of_class = {k: changes.pop(k) for k in list(changes) if k in names and k != "kind"}
    cls = replace(RequestClass(aim_ms=500, deadline_ms=5_000, effect=effect, window_ms=2_000), **of_class)
    base = Settings(classes=(cls,), reports_in_answers=True, resolution_ms=5, limits=LIMITS, rules=RULES)
    return replace(base, **changes)


class World:
    """Drives one dispatcher and records its actions."""

    def __init__(self, given: Settings, entries: list[Entry], seed: int = 1, free: float | None = 4) -> None:
        self.now, self.given = 1_000.0, given
        self.dispatcher = Dispatcher(given, seed)
        self.log: list[tuple[float, Action]] = []
        self.timers: list[tuple[float, int]] = []
        self.feed(ServerList(ListMode.CACHED, tuple(entries)))
        if free is not None:
            for entry in entries:
                self.feed(Probed(entry.worker, Outcome.OK, 1.0, Report(free=free)))

    def feed(self, event: Any) -> list[Action]:
        """Pass one event to the dispatcher now and return its actions."""
        actions = self.dispatcher.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.after_ms, action.token))
        return actions

    def set(self, worker: int, **fields: float) -> None:
        """Set fields of a worker's record directly, without an event."""
        known = self.dispatcher.workers[worker]
        for name, value in fields.items():
            setattr(known, name, value)
        self.dispatcher.fleet.touch(known, rated=True)

    def wait(self, ms: float, answer_probes: float | None = 4) -> list[Action]:
        """Advance the time, firing timers in order; probes are answered with this many free slots."""
        until, done = self.now + ms, []
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions = self.feed(Timer(due[1]))
            done.extend(actions)
            for probe in only(actions, Probe) if answer_probes is not None else []:
                done.extend(self.feed(Probed(probe.worker, Outcome.OK, 1.0, Report(free=answer_probes))))
        self.now = until
        return done

    def request(self, rid: int, **fields: Any) -> list[Action]:
        """Feed a client's request with the class's full deadline."""
        cls = self.given.classes[fields.get("cls", 0)]
        return self.feed(Request(**{"rid": rid, "cls": 0, "deadline": self.now + cls.deadline_ms} | fields))

    def end(self, rid: int, worker: int, outcome: Outcome, attempt: int = 0, over: bool = False,
            report: Report | None = None) -> list[Action]:
        """Feed an attempt's outcome."""
        return self.feed(AttemptEnded(rid, attempt, worker, outcome, 100.0, over, report))


def only(actions: list[Action], kind: type[A]) -> list[A]:
    """The actions of one type."""
    return [a for a in actions if isinstance(a, kind)]


def sent_to(actions: list[Action]) -> list[int]:
    """The workers that the `Send` actions name."""
    return [s.worker for s in only(actions, Send)]
