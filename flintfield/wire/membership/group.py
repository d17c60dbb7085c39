"""What the program sees of the group: members as a list and as JSON, news, metadata, and operators' lines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from flintfield.membership.interface import (
    Answerer, Hearer, Load, Member, Members, Meta, Reach, Watcher, read_meta,
)
from flintfield.membership.messages import (
    WORDS, Address, Changed, MetaSet, Noted, Record, Renamed, Status, Updated,
)
from flintfield.membership.table import Entry
from flintfield.membership.ways import identity, reaches
from flintfield.wire.membership.member import MemberShell, Notice
from flintfield.wire.membership.rates import Sources

LINES_S, LINES_BURST = 0.2, 12.0  # lines about one member; guards against one that flaps filling the log
ALL_LINES_S, ALL_LINES_BURST = 20.0, 2_000.0
SCHEDULER = "scheduler"


@dataclass(frozen=True, slots=True)
class _Kept:
    """A member's line of the page, and what it was made of."""

    seen: tuple[Record, Status, int, float]
    text: bytes
    is_scheduler: bool  # and believed to be there


class Group:
    """The members, for the rest of the program."""

    def __init__(self, shell: MemberShell, meta: Meta, say: Callable[..., None], count: Callable[[str], None],
                 clock: Callable[[], float]) -> None:
        self.shell, self.meta = shell, meta
        self._say, self._count, self._clock = say, count, clock
        self._watchers: list[Watcher] = []
        self._lines = Sources(LINES_S, LINES_BURST, ALL_LINES_S, ALL_LINES_BURST)
        self._unsaid: Counter[str] = Counter()
        self._kept: dict[str, _Kept] = {}

    def face(self) -> Members:
        """The interface for units."""
        return Members(self.members, self._watchers.append, self.set_more, self.answer, self.shell.say,
                       self.hear, self.reaches, self.shell.ask_all)

    # ------------------------------------------------------------ the list

    def members(self) -> list[Member]:
        """All that are remembered, ourselves first."""
        own = self.shell.state.name
        entries = sorted(self.shell.state.table.entries.items(), key=lambda item: (item[0] != own, item[0]))
        return [self._member(entry) for _, entry in entries]

    def reaches(self, one: str, other: str) -> Reach:
        """Whether what the first sends comes to the second."""
        is_open, age_ms = reaches(self.shell.state, one, other)
        return Reach(is_open, None if age_ms is None else max(0.0, age_ms) / 1000)

    def _member(self, entry: Entry) -> Member:
        record, now = entry.record, self.shell.state.clock.now
        heard = entry.path.heard_at
        return Member(record.name, record.address, record.session, entry.status,
                      max(0.0, now - entry.since) / 1000, entry.incarnation, entry.reason, entry.changes,
                      read_meta(record.meta), record.name == self.shell.state.name,
                      max(0.0, now - heard) / 1000 if heard > float("-inf") else None)

    def as_json(self, configured: int) -> bytes:
        """The page of members; `configured` is the count of schedulers that decisions go by.

        A member's line is made anew only when it changes: the page is made each second, a thousand lines take
        50 ms. Times are on our own clock, whose reading stands beside them.
        """
        state = self.shell.state
        entries = sorted(state.table.entries.items(), key=lambda item: (item[0] != state.name, item[0]))
        self._kept = {name: self._line_of(name, entry) for name, entry in entries}
        counts = Counter(WORDS[entry.status] for _, entry in entries)
        head = msgspec.json.encode({
            "name": state.name, "joined": state.meeting.joined, "health": state.health.score,
            "at_s": round(state.clock.now / 1000, 1),
            "schedulers": {"live": sum(k.is_scheduler for k in self._kept.values()),
                           "configured": configured},
            "counts": {word: counts.get(word, 0) for word in WORDS.values()},
            "keys": [k.name for k in self.shell.seal.ring.keys],
            "standing": state.standing.word, "standing_since_s": round(state.standing.since / 1000, 1),
            "paths": self._paths()})
        return head[:-1] + b',"members":[' + b",\n".join(k.text for k in self._kept.values()) + b"]}"

    def _paths(self) -> dict[str, Any]:
        """Of each member whose word is known: whom it does not hear, and how old that is. Beside it those
        that we hold for dead and hear: who speaks is deaf, and not dead."""
        state = self.shell.state
        now, names = state.clock.now, {identity(e.record.session): n for n, e in state.table.entries.items()}
        rows: dict[str, Any] = {}
        if state.ways.looked_at > float("-inf"):
            rows[state.name] = {"not_heard": sorted(state.ways.shut), "more": 0,
                                "age_s": round((now - state.ways.looked_at) / 1000, 1)}
        for name, told in state.ways.rows.items():
            rows[name] = {"not_heard": sorted(names[i] for i in told.row.shut if i in names),
                          "more": told.row.more, "age_s": round((now - told.at) / 1000, 1)}
        speaking = {n: round((now - e.path.heard_at) / 1000, 1) for n, e in state.table.entries.items()
                    if not e.live and e.path.heard_at > e.since}
        return {"rows": rows, "gone_but_heard_s": speaking}

    def _line_of(self, name: str, entry: Entry) -> _Kept:
        seen = entry.record, entry.status, entry.incarnation, entry.since
        kept = self._kept.get(name)
        if kept and kept.seen[0] is seen[0] and kept.seen[1:] == seen[1:]:
            return kept
        member = self._member(entry)
        is_scheduler = entry.live and member.meta.role == SCHEDULER
        return _Kept(seen, msgspec.json.encode(_told(member, entry)), is_scheduler)

    # ------------------------------------------------------------ metadata and questions

    def set_more(self, name: str, value: bytes | None) -> None:
        """Tell this of ourselves under a name."""
        more = {k: v for k, v in self.meta.more.items() if k != name}
        if value is not None:
            more[name] = value
        self._set_meta(msgspec.structs.replace(self.meta, more=more))

    def set_load(self, load: Load) -> None:
        """Tell this digest of what we have in work."""
        self._set_meta(msgspec.structs.replace(self.meta, load=load))

    def _set_meta(self, meta: Meta) -> None:
        data = meta.encode()
        if meta != self.meta:
            self.meta = meta
            self.shell.tell(MetaSet(data))

    def announce(self, changes: Mapping[str, Any]) -> None:
        """Tell these of our own fields."""
        self._set_meta(msgspec.structs.replace(self.meta, **changes))

    def answer(self, kind: str, answerer: Answerer) -> None:
        """Answer questions of this kind."""
        self.shell.asks.answerers[kind] = answerer

    def hear(self, kind: str, hearer: Hearer) -> None:
        """Take words of this kind in."""
        self.shell.asks.hearers[kind] = hearer

    # ------------------------------------------------------------ news

    def notice(self, effect: Notice) -> None:
        """A change of a view, or something that operators should know."""
        match effect:
            case Changed():
                self._line(effect)
                self._tell_watchers(effect.record.name, effect.before, effect.after)
            case Updated():
                entry = self.shell.state.table.get(effect.record.name)
                if entry:
                    self._tell_watchers(effect.record.name, entry.status, entry.status)
            case Noted():
                self._say(f"membership: {effect.event}", **dict(effect.values))
            case Renamed():
                self._count("renamed_to")

    def _tell_watchers(self, name: str, before: Status | None, after: Status | None) -> None:
        if not self._watchers or (entry := self.shell.state.table.get(name)) is None:
            return
        member = self._member(entry)
        for watcher in self._watchers:
            watcher(member, before, after)

    def _line(self, effect: Changed) -> None:
        if effect.after is None:
            return
        name = effect.record.name
        if not self._lines.admits(name, self._clock()):
            self._unsaid[name] += 1
            self._count("lines_unsaid")
            return
        unsaid = {"unsaid": said} if (said := self._unsaid.pop(name, 0)) else {}
        self._say(f"member {WORDS[effect.after]}", member=name, at=_text(effect.record.address),
                  was=WORDS[effect.before] if effect.before is not None else "unknown", reason=effect.reason,
                  **unsaid)


def _text(address: Address) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _told(member: Member, entry: Entry) -> dict[str, object]:
    meta = member.meta
    return {
        "name": member.name, "address": _text(member.address), "state": WORDS[member.status],
        "since_s": round(entry.since / 1000, 1), "reason": member.reason, "incarnation": member.incarnation,
        "changes": member.changes, "role": meta.role, "zone": meta.zone, "release": meta.release,
        "http": meta.http, "status": meta.status, "session": f"{member.session:016x}",
        "keys": [f"{k:08x}" for k in entry.record.keys],
        "versions": [entry.record.least, entry.record.most],
        "load": {"jobs": meta.load.jobs, "waiting": meta.load.waiting, "nodes": meta.load.nodes},
    }
