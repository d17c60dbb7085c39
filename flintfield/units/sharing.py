"""Shared budgets as a unit: quotas before the decisions, rights that move on membership's words, the page.

`docs/sharing.md` is the operators' page. What is decided is `flintfield/sharing/`'s; here its messages go
through the reducer, and its effects are carried out. The core's time is the program's clock, which does not
count while the machine is suspended (a guest that sleeps): that is seen beside the clock that does, and the
core begins anew.
"""

from __future__ import annotations

import json
import random
import re
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

from flintfield.base.ini import (
    FILE, FLAG, OperatorsError, Reader, Section, number, read_file, read_section, whole,
)
from flintfield.memory.messages import UnitEffect, UnitMessage
from flintfield.memory.state import Handler
from flintfield.membership.interface import Member, Members
from flintfield.membership.messages import Status
from flintfield.sharing.core import (
    Configured, Effect, Heard, Message, Noted, Present, Say, Sharing, Slept, Woke, step, view,
)
from flintfield.sharing.counts import round_ms
from flintfield.sharing.limits import Limit
from flintfield.sharing.quota import ALL, UNNAMED, Quota, Quotas
from flintfield.sharing.rules import FLOOR, LEASE_MS, MOST_LIMITS, MOST_RIGHTS, hold_ms
from flintfield.sharing.words import read, write
from flintfield.units.counters import Prefixed
from flintfield.units.interface import Feature, Given, Host, SidePage, Unit
from flintfield.wire.http1.reply import Reply
from flintfield.wire.membership.member import boot_ms

if TYPE_CHECKING:
    from flintfield.units.judging import Judging

PREFIX, KIND = "sharing.", "sharing"
JSON = ((b"Content-Type", b"application/json"),)
IDLE_S = 0.05  # between two looks at whether the core is due, while it says that it is not
LEAST_S = 0.004
SLEPT_MS = 100.0  # the two clocks may differ by so much from one look to the next
NAME = re.compile(r"[A-Za-z0-9_.-]{1,40}")


def _names(text: str) -> tuple[str, ...]:
    found = tuple(p.strip() for p in text.split(",") if p.strip())
    if not found:
        raise ValueError
    return found


NAMES = Reader("names separated by commas", _names)


@dataclass(frozen=True, slots=True)
class SharingOn:
    """Our place, how many there are, and the file of quotas that SIGHUP reads again."""

    place: int | None = None  # None: `me` of the platform's configuration
    places: int | None = None  # None: `replicas_of_me`
    floor: float = FLOOR
    quotas: str | None = None
    judgements: bool = False  # on worker nodes are shared too


@dataclass(frozen=True, slots=True)
class QuotaOn:
    """One limit: so many jobs in `per_s`, or at once, of these owners and classes."""

    rights: int
    per_s: float = 1.0
    at_once: bool = False
    owners: tuple[str, ...] = ()  # empty: the section's name
    classes: tuple[str, ...] = ()


SECTION = Section("sharing", SharingOn, {
    "place": whole(0, 4_095), "places": whole(1, 4_096), "floor": number(0, 1), "quotas": FILE,
    "judgements": FLAG,
})
QUOTA = Section("quota", QuotaOn, {
    "rights": whole(0, MOST_RIGHTS), "per_s": number(0.05, 86_400), "at_once": FLAG, "owners": NAMES,
    "classes": NAMES,
}, family=True)


@dataclass(frozen=True, slots=True)
class Told(UnitMessage):
    """A message of the core's."""

    message: Message


@dataclass(frozen=True, slots=True)
class Asked(UnitEffect):
    """An effect of the core's."""

    effect: Effect


class SharingUnit(Unit):
    """Takes part in sharing."""

    def __init__(self, host: Host, given: Given) -> None:
        told = given.one(SECTION)
        if told is None:
            raise OperatorsError("[quota]: found quotas without [sharing], expected both")
        self._host, self._told, self._inline = host, told, given.family(QUOTA)
        settings = host.config.settings
        place = settings.me if told.place is None else told.place
        places = settings.dispatchers if told.places is None else told.places
        if place >= places:
            raise OperatorsError(f"[sharing] place: found {place}, expected one of 0 to {places - 1}, for so "
                                 f"many places are configured")
        members = host.lent.get("members")
        assert isinstance(members, Members)  # the feature needs it
        self._members = members
        self._names: dict[int, list[str]] = {}  # of the members that say they have that place
        self._heard_at: dict[int, float] = {}
        self._was_lonely = False
        quotas = self._read_quotas()
        rng = random.Random(secrets.randbits(64))
        self.sharing = Sharing(place, places, int(host.began), host.began, rng, Prefixed(host, PREFIX),
                               [q.limit for q in quotas])
        self.quotas = Quotas(self.sharing, quotas)
        host.state.admission = self.quotas
        self._judging: Judging | None = None
        if told.judgements:
            from flintfield.units.judging import Judging

            self._judging = Judging(host, members, place, places, lambda: self._names)

    # ------------------------------------------------------------ settings

    def _read_quotas(self) -> list[Quota]:
        given = dict(self._inline)
        if self._told.quotas:
            given |= self._read_file(self._told.quotas)
        if len(given) > MOST_LIMITS:
            raise OperatorsError(f"[quota]: found {len(given)} quotas, expected at most {MOST_LIMITS}")
        quotas = [self._quota(name, one) for name, one in given.items()]
        numbers: dict[int, str] = {}
        for quota in quotas:  # 32 bits stand for a name in words
            if (other := numbers.setdefault(quota.limit.number, quota.limit.name)) != quota.limit.name:
                raise OperatorsError(f"[quota.{quota.limit.name}]: found a name that is told apart from "
                                     f"{other} by nothing, expected another name")
        return quotas

    def _read_file(self, path: str) -> dict[str, QuotaOn]:
        try:
            found: dict[str, QuotaOn] = {}
            for title, keys in read_file(path).items():
                first, _, name = title.partition(".")
                if first != "quota" or not name:
                    raise OperatorsError(f"[{title}]: found an unknown section, expected [quota.NAME]")
                found[name] = read_section(QUOTA, title, keys)
            return found
        except OperatorsError as error:
            raise OperatorsError(f"[sharing] quotas: {path}: {error}") from error

    def _quota(self, name: str, given: QuotaOn) -> Quota:
        if not NAME.fullmatch(name):
            raise OperatorsError(f"[quota.{name}]: found {name!r}, expected up to 40 letters, digits, "
                                 f"'.', '_' or '-'")
        known = self._host.config.class_names
        if unknown := [c for c in given.classes if c not in known]:
            raise OperatorsError(f"[quota.{name}] classes: found {unknown[0]!r}, expected some of "
                                 f"{', '.join(known)}")
        if len(given.owners) > 1 and {ALL, UNNAMED} & set(given.owners):
            raise OperatorsError(f"[quota.{name}] owners: found {', '.join(given.owners)}, expected names, "
                                 f"or {ALL} or {UNNAMED} alone")
        limit = Limit(name, given.rights, given.per_s * 1_000, given.at_once, self._told.floor)
        return Quota(limit, given.owners or (name,), given.classes)

    def reload(self) -> None:
        """Read the file of quotas again."""
        if not self._told.quotas:
            return
        quotas = self._read_quotas()
        self.quotas.replace(quotas)
        self._tell(Configured(tuple(q.limit for q in quotas), self.sharing.places))
        self._host.errors.line("sharing: quotas read", quotas=len(quotas))

    # ------------------------------------------------------------ the core

    def handlers(self) -> Mapping[type, Handler]:
        """The core's messages, within the reducer."""
        ours: dict[type, Handler] = {Told: lambda turn, told: turn.effects.extend(
            Asked(effect) for effect in step(self.sharing, turn.now, told.message))}
        return ours | dict(self._judging.handlers()) if self._judging else ours

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        """What the core asks for."""
        ours: dict[type, Callable[[Any], None]] = {Asked: self._carry_out}
        return ours | dict(self._judging.effects()) if self._judging else ours

    def _tell(self, message: Message) -> None:
        self._host.tell(Told(message))

    def _carry_out(self, asked: Asked) -> None:
        match asked.effect:
            case Say(place, word):
                data = write(word)
                self._host.count(PREFIX + "words.sent")
                for name in self._names.get(place, ()):
                    if not self._members.say(name, KIND, data):
                        self._host.count(PREFIX + "words.unsent")
            case Noted(event, values):
                self._host.errors.line(event, **dict(values))

    # ------------------------------------------------------------ others

    def _hear(self, name: str, data: bytes) -> None:
        found = read(data)
        if found is None:
            self._host.count(PREFIX + "words.unread")
            return
        word, skipped = found
        self._host.count(PREFIX + "words.heard")
        if skipped:
            self._host.state.counters[PREFIX + "lines.skipped"] += skipped
        if name not in self._names.get(word.place, ()) and word.place != self.sharing.place:
            # Guards against a member that speaks for a place which it does not tell as its own.
            self._host.count(PREFIX + "words.astray")
            return
        self._heard_at[word.place] = self._host.clock()
        self._tell(Heard(word))

    def _watch(self, *_: object) -> None:
        """Who is there, and of which place."""
        names: dict[int, list[str]] = {}
        for member in self._members.members():
            is_there = not member.is_me and member.status in (Status.ALIVE, Status.SUSPECT)
            if is_there and (place := _place_of(member)) is not None:
                names.setdefault(place, []).append(member.name)
        if names.keys() != self._names.keys():
            self._names = names
            self._tell(Present(frozenset(names)))
        self._names = names
        lonely = not names.keys() - {self.sharing.place} and self.sharing.places > 1
        if lonely != self._was_lonely:
            self._was_lonely = lonely
            word = "sharing: alone with our own part" if lonely else "sharing: others are there"
            self._host.errors.line(word, places=len(names), configured=self.sharing.places)

    async def run(self) -> None:
        """Take part until cancelled."""
        self._members.hear(KIND, self._hear)
        self._members.set_meta(KIND, msgspec.msgpack.encode(self.sharing.place))
        self._members.watch(self._watch)
        self._watch()
        async with anyio.create_task_group() as group:
            if self._judging:
                group.start_soon(self._judging.run)
            await self._keep_time()

    async def _keep_time(self) -> None:
        apart = boot_ms() - anyio.current_time() * 1_000
        while True:
            due, now = self.sharing.next_at(), self._host.clock()
            wait = IDLE_S if due is None else max(LEAST_S, min(IDLE_S, (due - now) / 1_000))
            await anyio.sleep(wait)
            apart, before = boot_ms() - anyio.current_time() * 1_000, apart
            if apart - before > SLEPT_MS:
                self._tell(Slept())
                slept_s = round((apart - before) / 1_000, 1)
                self._host.errors.line("sharing: the machine slept", slept_s=slept_s)
            due = self.sharing.next_at()
            if due is not None and self._host.clock() >= due:
                self._tell(Woke())

    # ------------------------------------------------------------ to see it

    def side_pages(self) -> Mapping[bytes, SidePage]:
        """`/sharing`."""
        ours: dict[bytes, SidePage] = {
            b"/sharing": lambda: Reply(200, json.dumps(self.page()).encode(), JSON, close=True)}
        return ours | dict(self._judging.side_pages()) if self._judging else ours

    def page(self) -> dict[str, Any]:
        """All that is known here."""
        sharing, now = self.sharing, self._host.clock()
        late = 2 * round_ms(sharing.places, len(sharing.holdings))
        unheard: dict[str, float | None] = {}
        for place in range(sharing.places):
            at = self._heard_at.get(place)
            if place != sharing.place and (at is None or now - at > late):
                unheard[str(place)] = None if at is None else round((now - at) / 1_000, 1)
        longest = max((h.limit.window_ms for h in sharing.holdings.values()), default=0.0)
        young = now < sharing.began + hold_ms(LEASE_MS, longest)
        mode = "ended: our place has a newer process" if sharing.ended else "beginning" if young else (
            "alone" if self._was_lonely else "sharing")
        return {"name": self._host.config.name, "place": sharing.place, "places": sharing.places,
                "life": sharing.life, "at_ms": round(now, 1), "up_ms": round(now - sharing.began, 1),
                "mode": mode, "present": sorted(sharing.present), "unheard_s": unheard,
                "limits": view(sharing, now)}


def _place_of(member: Member) -> int | None:
    data = member.meta.more.get(KIND)
    try:
        return msgspec.msgpack.decode(data, type=int) if data else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


FEATURE = Feature((SECTION, QUOTA), SharingUnit, needs=("membership",))
