"""What operators write down: worker nodes, what was agreed with tenants, windows, and works to be done.

The forms of one TOML file, which `reading.py` reads and checks. Slots are whole numbers; times of day are
local to `zone`; lengths are minutes. The file's `version` is a hash of what it says on nodes and agreements:
all who act on them name it.
"""

from __future__ import annotations

import hashlib
from datetime import date, datetime
from typing import Annotated
from zoneinfo import ZoneInfo

import msgspec
from msgspec import Meta

from flintfield.escrow.interface import Pool, Units

Name = Annotated[str, Meta(min_length=1, max_length=40, pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:-]*$")]
Minutes = Annotated[int, Meta(ge=1, le=60 * 24 * 14)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
TimeOfDay = Annotated[str, Meta(pattern=r"^([01]\d|2[0-3]):[0-5]\d$")]
ANY = "*"
MOST_NODES, MOST_AGREEMENTS = 10_000, 1_000


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of the file."""


class Node(Spec, frozen=True):
    """A worker node."""

    name: Name
    slots: Annotated[int, Meta(ge=1, le=10_000)]
    zone: str = ""
    kind: str = ""
    tenants: tuple[str, ...] = (ANY,)  # whom it serves
    classes: tuple[str, ...] = (ANY,)


class Window(Spec, frozen=True):
    """When work may be done: a repetition rule (RFC 5545) of days, a time of day, a length."""

    name: Name
    rule: str  # such as FREQ=WEEKLY;BYDAY=TU,TH
    at: TimeOfDay
    minutes: Minutes
    since: date = date(2026, 1, 1)  # what INTERVAL counts from


class Agreement(Spec, frozen=True):
    """What was promised to a tenant for a class: slots that stay at any moment."""

    name: Name
    tenant: str = ANY
    class_: str = msgspec.field(name="class", default=ANY)
    kind: str = ANY  # of worker nodes
    keep_slots: Count | None = None
    keep_share: Share | None = None  # of the slots of its nodes
    windows: list[str] = []  # its nodes may be worked on within these alone; none: at any time
    closed: list[str] = []  # days without works: 2027-02-08 or 2027-02-08/2027-02-14, local
    notice_min: Annotated[int, Meta(ge=0, le=60 * 24 * 60)] = 0


class Work(Spec, frozen=True):
    """Something to be done at worker nodes, one after the other as agreements allow."""

    name: Name
    minutes: Minutes
    nodes: list[str] = []
    zone: str = ""  # with `kind`: a selector in place of names
    kind: str = ""
    latest: datetime | None = None  # when it must be over; local where it names no zone
    after: list[str] = []  # works that must be over first
    apart: list[str] = []  # works that must not go on at the same time


class Book(Spec, frozen=True):
    """The whole file."""

    nodes: Annotated[list[Node], Meta(min_length=1, max_length=MOST_NODES)]
    agreements: Annotated[list[Agreement], Meta(max_length=MOST_AGREEMENTS)] = []
    windows: list[Window] = []
    works: list[Work] = []
    zone: str = "America/Guatemala"  # of all local times
    at_once: Annotated[int, Meta(ge=1)] | None = None  # so many nodes out at once, anywhere
    at_once_zone: Annotated[int, Meta(ge=1)] | None = None  # and in one zone

    def place(self) -> ZoneInfo:
        """The zone of local times."""
        return ZoneInfo(self.zone)

    def nodes_of(self, agreement: Agreement) -> list[Node]:
        """The worker nodes that can serve it."""
        return [n for n in self.nodes if _fits(agreement.tenant, n.tenants)
                and _fits(agreement.class_, n.classes) and agreement.kind in (ANY, n.kind)]

    def floor(self, agreement: Agreement, total: int) -> int:
        """Slots that must stay, of those of all its nodes."""
        if agreement.keep_slots is not None:
            return agreement.keep_slots
        share = agreement.keep_share or 0.0
        return min(total, -int(-total * share // 1))  # up: a share is at least kept

    def pools(self) -> list[Pool]:
        """The units that may be missing, by agreement, by zone and in all."""
        totals = {a.name: sum(n.slots for n in self.nodes_of(a)) for a in self.agreements}
        found = [Pool(a.name, max(0, totals[a.name] - self.floor(a, totals[a.name])))
                 for a in self.agreements]
        if self.at_once_zone is not None:
            found += [Pool(f"zone:{z}", self.at_once_zone) for z in sorted({n.zone for n in self.nodes})]
        if self.at_once is not None:
            found.append(Pool("all:nodes", self.at_once))
        return found

    def weights(self) -> dict[str, Units]:
        """By node, the units that it costs while it is out."""
        found: dict[str, Units] = {n.name: {} for n in self.nodes}
        for agreement in self.agreements:
            for node in self.nodes_of(agreement):
                found[node.name][agreement.name] = node.slots
        for node in self.nodes:
            if self.at_once_zone is not None:
                found[node.name][f"zone:{node.zone}"] = 1
            if self.at_once is not None:
                found[node.name]["all:nodes"] = 1
        return found

    def nodes_for(self, work: Work) -> list[Node]:
        """The worker nodes that a work is for."""
        if work.nodes:
            names = set(work.nodes)
            return [n for n in self.nodes if n.name in names]
        return [n for n in self.nodes if work.zone in ("", n.zone) and work.kind in ("", n.kind)]

    def version(self) -> int:
        """A hash of what the law rests on; works and windows may change without it."""
        text = repr([(p.name, p.units) for p in self.pools()]) + repr(sorted(
            (name, sorted(units.items())) for name, units in self.weights().items()))
        return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest(), "big")


def _fits(wanted: str, served: tuple[str, ...]) -> bool:
    return wanted == ANY or ANY in served or wanted in served


def closed_days(agreement: Agreement) -> list[tuple[date, date]]:
    """From the first to the last day, both without works; a ValueError for what is no day."""
    found = []
    for text in agreement.closed:
        first, _, last = text.partition("/")
        one = date.fromisoformat(first)
        other = date.fromisoformat(last) if last else one
        if other < one:
            raise ValueError(text)
        found.append((one, other))
    return found
