"""Clients: what is asked for and when, and what they do when a try fails.

Wishes are drawn ahead and do not wait for answers. A wish is tried at once, and again after a failure where
the rules let clients: a `safe` one after any failure, an `unsafe` one only when it was refused or found no
scheduler; at most `retries` more times, after `backoff_ms` or as long as a refusal advised. Each try has an
id of its own and the deadline of the whole wish. A client that leaves closes its connection.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from typing import Any, Literal

import numpy as np

from flintfield.lab.scenario import RequestClass, Scenario, Surge
from flintfield.lab.world.streams import Streams

FloatArray = np.ndarray[Any, np.dtype[np.float64]]

GRID_S = 0.05  # of the rate's integral
SLOTS = (1, 2, 4, 8)

Ending = Literal["served", "refused", "failed", "unreached", "lost"]


@dataclass(frozen=True, slots=True)
class Wish:
    """What a client wants; times in ms from the run's start, work in ms of a standard core."""

    name: str
    at: float
    cls: RequestClass
    place: int  # of the class
    work: float
    hint: float | None
    slots: int
    zone: str
    owner: str
    heeds: bool  # waits as long as a refusal advises
    leaves_at: float  # inf: waits for its answer

    @property
    def deadline_at(self) -> float:
        """When the client has given up all tries."""
        return self.at + self.cls.deadline_ms


@dataclass(frozen=True, slots=True)
class Try:
    """One try, to be sent now."""

    rid: str
    wish: Wish
    attempt: int  # 0 for the first


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The client stops waiting for a try: its deadline and the slack are over."""

    rid: str


@dataclass(frozen=True, slots=True)
class Leave:
    """The client goes away before its answer."""

    rid: str


@dataclass(slots=True)
class Clients:
    """All clients of a run."""

    wishes: list[Wish]
    retries: int
    backoff_ms: float
    slack_ms: float  # how long past its deadline a client still takes an answer
    _next: int = 0
    _count: int = 0
    _again: int = 0  # tries that are to come
    _due: list[tuple[float, int, Try | GiveUp | Leave]] = field(default_factory=list)
    _open: dict[str, Try] = field(default_factory=dict)

    def next_at(self) -> float:
        """When the next of them acts."""
        arrival = self.wishes[self._next].at if self._next < len(self.wishes) else math.inf
        return min(arrival, self._due[0][0] if self._due else math.inf)

    def wake(self, now: float) -> list[Try | GiveUp | Leave]:
        """What they do now."""
        acts: list[Try | GiveUp | Leave] = []
        while self._due and self._due[0][0] <= now:
            act = heapq.heappop(self._due)[2]
            if isinstance(act, Try):
                self._again -= 1
                self._begin(act, acts)
            elif self._open.pop(act.rid, None):
                acts.append(act)
        while self._next < len(self.wishes) and self.wishes[self._next].at <= now:
            wish = self.wishes[self._next]
            self._next += 1
            self._begin(Try(f"{wish.name}.0", wish, 0), acts)
        return acts

    def _begin(self, attempt: Try, acts: list[Try | GiveUp | Leave]) -> None:
        wish = attempt.wish
        self._open[attempt.rid] = attempt
        self._at(wish.deadline_at + self.slack_ms, GiveUp(attempt.rid))
        if wish.leaves_at < wish.deadline_at:
            self._at(wish.leaves_at, Leave(attempt.rid))
        acts.append(attempt)

    def ended(self, now: float, rid: str, how: Ending, retry_after_ms: float = 0.0) -> None:
        """A try came to its end; nothing if the client does not wait for it any more."""
        attempt = self._open.pop(rid, None)
        if attempt is None or how == "served":
            return
        wish, again = attempt.wish, attempt.attempt + 1
        may = wish.cls.effect == "safe" or how in ("refused", "unreached")
        wait = retry_after_ms if wish.heeds and retry_after_ms > 0 else self.backoff_ms
        if may and again <= self.retries and now + wait < min(wish.deadline_at, wish.leaves_at):
            self._again += 1
            self._at(now + wait, Try(f"{wish.name}.{again}", wish, again))

    def waits(self, rid: str) -> bool:
        """Whether a client still waits for that try."""
        return rid in self._open

    @property
    def busy(self) -> bool:
        """Whether a wish is still to come or has a try that is open or to come."""
        return bool(self._open) or self._next < len(self.wishes) or self._again > 0

    def _at(self, at: float, act: Try | GiveUp | Leave) -> None:
        self._count += 1
        heapq.heappush(self._due, (at, self._count, act))


def draw_clients(scenario: Scenario, streams: Streams, capacity: float) -> Clients:
    """All wishes of a run; `capacity` is the warm fleet's, in work a ms, for a load given as a level."""
    given, wishes = scenario.clients, list[tuple[float, str, int]]()
    rate = requests_per_ms(scenario, capacity)
    owners = [(o.name, o.share) for o in scenario.load.owners] or [("", 1.0)]
    total = sum(share for _, share in owners)
    for name, share in owners:
        generator = streams.generator(f"arrivals/{name}")
        times = _arrivals(generator, scenario, rate * share / total, name)
        wishes += [(float(at), name, i) for i, at in enumerate(times)]
    wishes.sort()
    drawn = _Drawn(scenario, streams, len(wishes))
    return Clients([drawn.wish(i, at, owner) for i, (at, owner, _) in enumerate(wishes)], given.retries,
                   given.backoff_ms, scenario.rules.answer_slack_ms)


def requests_per_ms(scenario: Scenario, capacity: float) -> float:
    """The usual rate of wishes."""
    if scenario.load.per_s is not None:
        return scenario.load.per_s / 1_000.0
    shares = sum(c.share for c in scenario.classes)
    mean = sum(c.share / shares * mean_work(c) * _mean_slots(c) for c in scenario.classes)
    return (scenario.load.level or 0.0) * capacity / mean


def _mean_slots(cls: RequestClass) -> float:
    return sum(p * n for p, n in zip(cls.slots, SLOTS, strict=False)) / (sum(cls.slots) or 1.0)


def _arrivals(generator: np.random.Generator, scenario: Scenario, rate: float, owner: str) -> list[float]:
    """A Poisson process of varying rate: unit steps through the inverse of the rate's integral."""
    grid = np.arange(0.0, scenario.length_s + GRID_S, GRID_S)
    seconds, factors = zip(*scenario.load.shape, strict=True)
    factor = np.interp(grid, seconds, factors)
    for trouble in scenario.trouble:
        if isinstance(trouble, Surge) and trouble.owner in ("", owner):
            inside = (grid >= trouble.at_s) & (grid < trouble.at_s + trouble.for_s)
            factor = factor * np.where(inside, trouble.factor, 1.0)
    steps = rate * 1_000.0 * GRID_S * (factor[1:] + factor[:-1]) / 2
    integral = np.concatenate([[0.0], np.cumsum(steps)])
    expected = float(integral[-1])
    units = np.cumsum(generator.exponential(size=int(expected + 8 * math.sqrt(expected) + 16)))
    times = np.interp(units[units < expected], integral, grid) * 1_000.0
    return [float(t) for t in times[times < scenario.length_s * 1_000.0]]


class _Drawn:
    """What differs from wish to wish, drawn for all at once."""

    def __init__(self, scenario: Scenario, streams: Streams, count: int) -> None:
        self._scenario = scenario
        generator = streams.generator("wishes")
        classes, load = scenario.classes, scenario.load
        shares = np.array([c.share for c in classes])
        self._class = generator.choice(len(classes), size=count, p=shares / shares.sum())
        zones = np.array(load.zone_share or [1.0] * len(scenario.zones))
        self._zone = generator.choice(len(zones), size=count, p=zones / zones.sum())
        self._work = np.zeros(count)
        self._slots = np.ones(count, dtype=int)
        for i, cls in enumerate(classes):
            which = self._class == i
            self._work[which] = draw_work(streams.generator(f"work/{cls.name}"), cls, int(which.sum()))
            p = np.array(cls.slots[:4]) / (sum(cls.slots[:4]) or 1.0)
            self._slots[which] = streams.generator(f"slots/{cls.name}").choice(
                SLOTS[:len(p)], size=int(which.sum()), p=p)
        sigma2 = math.log1p(load.hint_cv ** 2)
        spread = np.exp(math.sqrt(sigma2) * streams.generator("hints").standard_normal(count) - sigma2 / 2)
        self._hint = self._work * load.hint_factor * spread
        self._chances = streams.generator("clients").random((count, 3))

    def wish(self, i: int, at: float, owner: str) -> Wish:
        scenario, given = self._scenario, self._scenario.clients
        place = int(self._class[i])
        cls, work = scenario.classes[place], float(self._work[i])
        heeds, leaves, when = self._chances[i]
        patience = cls.aim_ms + cls.stretch * work
        return Wish(
            name=f"w{i:06d}", at=at, cls=cls, place=place, work=work,
            hint=float(self._hint[i]) if scenario.load.hints else None, slots=int(self._slots[i]),
            zone=scenario.zones[int(self._zone[i])], owner=owner, heeds=bool(heeds < given.honours_advice),
            leaves_at=at + float(when) * patience if leaves < given.leaves else math.inf,
        )


def draw_work(generator: np.random.Generator, cls: RequestClass, count: int) -> FloatArray:
    """So many works of a class, in ms of a standard core, at least 1."""
    if cls.dist == "fixed" or cls.cv <= 0:
        work = np.full(count, cls.work_ms)
    elif cls.dist == "exponential":
        work = generator.exponential(cls.work_ms, count)
    elif cls.dist == "lognormal":
        sigma2 = math.log1p(cls.cv ** 2)
        work = generator.lognormal(math.log(cls.work_ms) - sigma2 / 2, math.sqrt(sigma2), count)
    else:
        alpha = _pareto_alpha(cls.cv)
        work = cls.work_ms * (alpha - 1.0) / alpha * (1.0 + generator.pareto(alpha, count))
    return np.asarray(np.clip(work, 1.0, cls.most_ms or None), dtype=np.float64)


def mean_work(cls: RequestClass) -> float:
    """The mean of `draw_work`: E[min(W, c)] of the class's distribution cut at c = `most_ms`."""
    cut = cls.most_ms / cls.work_ms
    if cls.dist == "fixed" or cls.cv <= 0 or cut <= 0:
        return min(cls.work_ms, cls.most_ms or math.inf)
    if cls.dist == "exponential":
        return cls.work_ms * (1.0 - math.exp(-cut))
    if cls.dist == "lognormal":
        sigma = math.sqrt(math.log1p(cls.cv ** 2))
        at = math.log(cut) / sigma
        return cls.work_ms * (_below(at - sigma / 2) + cut * (1.0 - _below(at + sigma / 2)))
    alpha = _pareto_alpha(cls.cv)
    least = (alpha - 1.0) / alpha
    beyond = least ** alpha * cut ** (1.0 - alpha) / (alpha - 1.0) if cut > least else 1.0 - cut
    return cls.work_ms * (1.0 - beyond)


def _below(z: float) -> float:
    """The standard normal distribution's share below z."""
    return 0.5 * (1.0 + math.erf(z / math.sqrt(2.0)))


def _pareto_alpha(cv: float) -> float:
    """The exponent of the Pareto distribution with that coefficient of variation."""
    return 1.0 + math.sqrt(1.0 + 1.0 / cv ** 2)
