"""Roles as a unit: a scheduler's process as a forwarder that follows planners, or as a planner."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import ip_address
from typing import Any

import anyio
import msgspec

from flintfield.base.config import read_address
from flintfield.base.ini import FILE, OperatorsError, Reader, Section, whole, word
from flintfield.decision.interface import PlanUpdate, State as Lifecycle
from flintfield.decision.planned import RefusingDispatcher, PlannedDispatcher
from flintfield.decision.policy import Dispatcher
from flintfield.forwarding.bridge import build_digest, plan_event
from flintfield.forwarding.core import MAX_PLANNERS, Forwarding
from flintfield.memory.messages import Address, UnitMessage
from flintfield.memory.reducer import Turn
from flintfield.memory.state import Handler
from flintfield.planning.messages import Digest, Plan
from flintfield.planning.planner import ListedWorker, Planner
from flintfield.units.interface import Feature, Given, Host, SidePage, Unit
from flintfield.wire.http1.reply import Reply
from flintfield.wire.http1.stream import open_listener
from flintfield.wire.link.forwarder import PlannerLinks
from flintfield.wire.link.planner import ForwarderLinks
from flintfield.wire.membership.keys import PUBLIC, Key, KeyFileError, Ring, make_key, read_keys

PREFIX = "planning."
JSON = ((b"Content-Type", b"application/json"),)
BACKLOG = 256
REFUSED_EVERY_MS = 5_000.0
ROLES = ("scheduler", "forwarder", "planner")


def _address(text: str) -> Address:
    host, port = read_address(text)
    return str(ip_address(host)), port


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(_address(part) for part in (p.strip() for p in text.split(",")) if part)


@dataclass(frozen=True, slots=True)
class RoleOn:
    """What this process is; `planners` are all that are configured, in the order of their places, the same in
    every file."""

    role: str = "scheduler"
    planners: tuple[Address, ...] = ()
    place: int = 0  # of a planner, in the list
    keys: str | None = None

    def __post_init__(self) -> None:
        """Check what depends on two keys."""
        if self.role == "scheduler":
            return
        if not 0 < len(self.planners) <= MAX_PLANNERS or len(set(self.planners)) < len(self.planners):
            raise ValueError(f"planners: found {len(set(self.planners))} addresses, expected 1 to "
                             f"{MAX_PLANNERS}, each once")
        if self.role == "planner" and self.place >= len(self.planners):
            raise ValueError(f"place: found {self.place}, expected one of 0 to {len(self.planners) - 1}, "
                             f"for so many planners are listed")


SECTION = Section("role", RoleOn, {
    "role": word(*ROLES), "place": whole(0, MAX_PLANNERS - 1), "keys": FILE,
    "planners": Reader("addresses such as 10.0.0.4:7950, separated by commas", _addresses),
})


def read_ring(told: RoleOn) -> Ring:
    """The keys; guards against an open link over a network: without a key file only loopback."""
    if told.keys:
        try:
            return Ring(read_keys(told.keys))
        except KeyFileError as error:
            raise OperatorsError(f"[role] keys: {error}") from error
    for host, _ in told.planners:
        if not ip_address(host).is_loopback:
            raise OperatorsError(f"[role] keys: found nothing, expected a key file, for {host} is no "
                                 f"loopback address")
    keys: list[Key] = [make_key(PUBLIC)]
    return Ring(keys)


@dataclass(frozen=True, slots=True)
class NewPlan(UnitMessage):
    """Another plan is in force."""

    news: PlanUpdate


def _take_news(turn: Turn, message: NewPlan) -> None:
    turn.ask(message.news)


def _page(told: Mapping[str, Any]) -> Reply:
    return Reply(200, json.dumps(told).encode(), JSON, close=True)


class _Role(Unit):
    """What forwarder and planner have in common."""

    def __init__(self, host: Host, told: RoleOn) -> None:
        self._host, self._told, self._ring = host, told, read_ring(told)

    def _count(self, name: str) -> None:
        self._host.count(PREFIX + name)

    def reload(self) -> None:
        """Read the key file again."""
        if self._told.keys:
            self._ring.replace(read_ring(self._told).keys, anyio.current_time() * 1_000)
            self._host.errors.line("role: keys read", keys=",".join(k.name for k in self._ring.keys))


class ForwarderUnit(_Role):
    """Follows planners."""

    def __init__(self, host: Host, told: RoleOn) -> None:
        super().__init__(host, told)
        if host.state.tap is not None:
            raise OperatorsError("[role] role: found forwarder beside [capture], expected one of them: a "
                                 "capture does not hold plans")
        if type(host.state.dispatcher) is not Dispatcher:
            raise OperatorsError("[role] role: found forwarder beside [sharing] judgements, expected one of "
                                 "them: plans tell what others hold")
        settings = host.config.settings
        self._dispatcher = PlannedDispatcher(settings, host.config.seed)
        host.state.dispatcher = self._dispatcher
        # Each life has a name of its own, so that its digests are not taken for old ones.
        self._forwarding = Forwarding(f"{host.config.name[:40]}.{int(host.began) % 10**10}", settings.zone,
                                      len(told.planners))
        self._last: Digest | None = None
        self._was: int | None = None
        self._unsaid, self._say_at = 0, 0.0
        self._links = PlannerLinks(self._ring, told.planners, self._newest, self._take, self._count,
                                   random.Random(host.config.seed))

    def handlers(self) -> Mapping[type, Handler]:
        """Plans go to the decision module."""
        return {NewPlan: _take_news}

    def _newest(self) -> Digest:
        now = self._host.clock()
        if self._last is None or self._forwarding.is_digest_due(now):
            self._last = build_digest(now, self._dispatcher, self._forwarding)
            self._tell_of_change(now)
        return self._last

    def _take(self, plan: Plan) -> None:
        now = self._host.clock()
        before = self._forwarding.in_force(now)
        if why := self._forwarding.accept_plan(now, plan):
            self._count("plans.refused")
            self._unsaid += 1
            if now >= self._say_at:  # guards standard error against a planner that goes on with it
                self._host.errors.line("plan refused", planner=plan.place, term=plan.term,
                                       number=plan.number, reason=why, times=self._unsaid)
                self._unsaid, self._say_at = 0, now + REFUSED_EVERY_MS
            return
        force = self._forwarding.in_force(now)
        if force is not None and (before is None or before[0] is not force[0]):
            self._count("plans.in_force")
            self._host.tell(NewPlan(plan_event(now, force[0])))
        self._tell_of_change(now)

    def _tell_of_change(self, now: float) -> None:
        force = self._forwarding.in_force(now)
        followed = force[0].place if force else None
        if followed != self._was:
            self._was = followed
            event = "no plan: on our own" if followed is None else "planner followed"
            self._host.errors.line(event, planner="" if followed is None else followed)

    def side_pages(self) -> Mapping[bytes, SidePage]:
        """`/plan`."""
        return {b"/plan": self._show}

    def _show(self) -> Reply:
        now, forwarding = self._host.clock(), self._forwarding
        force = forwarding.in_force(now)
        told: dict[str, Any] = {
            "role": "forwarder", "name": forwarding.name, "counts": dict(forwarding.counts),
            "last_refusal": forwarding.last_refusal, "plan": None,
            "planners": [{"place": place, "address": f"{host}:{port}",
                          "connected": self._links.connected[place],
                          "error": self._links.last_error.get(place, "")}
                         for place, (host, port) in enumerate(self._told.planners)]}
        if force is not None:
            told |= {"plan": msgspec.to_builtins(_named(force[0], self._host)),
                     "weight": round(force[1], 3), "age_ms": round(now - force[0].answers)}
        return _page(told)

    async def run(self) -> None:
        """Keep a link to each planner."""
        await self._links.run()


def _named(plan: Plan, host: Host) -> dict[str, Any]:
    """A plan for people: workers by their addresses."""
    def name(worker: int) -> str:
        route = host.state.routes.get(worker)
        return "{}:{}".format(*route.address) if route else f"#{worker}"

    rows = [{"worker": name(r.worker), "share": round(r.share, 4), "price": round(r.price, 4),
             "others": r.others, "slots": r.most, "home": r.is_home} for r in plan.rows]
    return {"place": plan.place, "term": plan.term, "number": plan.number, "proof": plan.proof,
            "valid_ms": plan.valid_ms, "rows": rows,
            "leases": [{"worker": name(x.worker), "part": round(x.part, 4)} for x in plan.leases]}


class PlannerUnit(_Role):
    """Plans; its own process takes no jobs."""

    def __init__(self, host: Host, told: RoleOn) -> None:
        super().__init__(host, told)
        settings = host.config.settings
        host.state.dispatcher = RefusingDispatcher(settings, host.config.seed)
        worths = [c.worth for c in settings.classes]
        top = min(worths) / (max(worths) or 1.0)
        self._planner = Planner(told.place, len(told.planners), max(1, int(host.clock())),
                                settings.rules.fall_ms, top)
        self._links = ForwarderLinks(self._ring, self._planner, self._listed, host.clock, self._count)
        self._listener: socket.socket | None = None

    def listen(self) -> Mapping[str, int]:
        """Take the link's port."""
        address = self._told.planners[self._told.place]
        try:
            self._listener = open_listener(address, BACKLOG)
        except OSError as error:
            raise OperatorsError(f"[role] planners: found {address[0]}:{address[1]} for place "
                                 f"{self._told.place}, expected an address that can be taken: "
                                 f"{error}") from error
        return {"link_port": self._listener.getsockname()[1]}

    def _listed(self) -> list[ListedWorker]:
        now, cold_ms = self._host.clock(), self._host.config.settings.rules.cold_ms
        return [ListedWorker(number, w.entry.zone, w.entry.state is Lifecycle.READY,
                       w.entry.started_ms > 0 and now - w.entry.started_ms < cold_ms)
                for number, w in self._host.state.dispatcher.workers.items()]

    def side_pages(self) -> Mapping[bytes, SidePage]:
        """`/plan`."""
        return {b"/plan": self._show}

    def _show(self) -> Reply:
        planner, now = self._planner, self._host.clock()
        homes: dict[str, int] = dict.fromkeys(planner.forwarders, 0)
        for name in planner.homes.values():
            homes[name] = homes.get(name, 0) + 1
        forwarders = [{"name": name, "heard_ms": round(now - t.heard_at), "demand": t.digest.demand,
                       "homes": homes[name], "in_force": t.digest.in_force}
                      for name, t in sorted(planner.forwarders.items())]
        return _page({"role": "planner", "place": planner.place, "term": planner.term,
                      "number": planner.number, "links": len(self._links),
                      "listening": planner.is_listening(now), "leases": planner.leases.may_grant(now),
                      "place_taken": planner.leases.superseded, "workers": len(planner.workers),
                      "forwarders": forwarders})

    async def run(self) -> None:
        """Serve forwarders."""
        assert self._listener is not None
        self._host.errors.line("planner listens first", place=self._planner.place, term=self._planner.term)
        await self._links.run(self._listener)

    async def close(self) -> None:
        """Let go of the port."""
        if self._listener is not None:
            self._listener.close()


def _build(host: Host, given: Given) -> Unit:
    told = given.one(SECTION)
    assert told is not None  # it stands alone, and it is on
    if told.role == "forwarder":
        return ForwarderUnit(host, told)
    return PlannerUnit(host, told) if told.role == "planner" else Unit()


FEATURE = Feature((SECTION,), _build)
