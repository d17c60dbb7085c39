"""One queue's messages: which may be taken now, which are in flight or delayed, and which are too old.

Rules. A shelf holds what `records.py` keeps of each message and no bodies. It is told the time and never asks
for it. It decides nothing about who may do what: `core.py` does.

Theory of operation. Each message is an `Entry`; one that was only ever sent has no state of its own, so
that a long queue costs little. What may be taken stands in `ready` (a standard queue: oldest first, those
that came back behind) or in its group (FIFO: a group's messages go out in the order of their sending, and
no further ones while one of them is in flight). What will be visible later stands in the heap `timed`; an
entry there counts only while it still is that message's time, so nothing is ever searched for in the heap.
Ages are looked at in the order of sending. All of it is O(log n) a message at the most.

Source: Amazon SQS Developer Guide, "Visibility timeout", "FIFO queue delivery logic", "Dead-letter queues".
Rejected: one heap for all messages (a delete would leave a dead entry for each message, and a long queue is
mostly messages that are visible now); a plain dict as the order (its front is searched past all that went).
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Iterator
from itertools import islice

import msgspec

from flintfield.queues.attributes import Settings
from flintfield.queues.records import StateRecord, message_key


class Entry(msgspec.Struct, gc=False):
    """One message: where and when it was sent (ms since 1970), and how far it has come."""

    seq: int
    origin: int  # the queue that it was sent to
    sent: int
    group: str
    state: StateRecord | None = None  # None: sent, not delayed, never received

    @property
    def key(self) -> bytes:
        """Its key in the store."""
        return message_key(self.origin, self.seq, self.sent, self.group)

    @property
    def visible(self) -> int:
        """Seen from then on."""
        return self.state.visible if self.state else self.sent

    @property
    def receives(self) -> int:
        """How often it was received."""
        return self.state.receives if self.state else 0

    @property
    def held(self) -> str:
        """Who has it in work; empty for nobody."""
        return self.state.holder if self.state else ""

    @property
    def counted_from(self) -> int:
        """When its retention began."""
        return (self.state.counted_from if self.state else 0) or self.sent


class Group:
    """A message group of a FIFO queue: its messages in order, and how many of them are in flight."""

    __slots__ = ("busy", "order")

    def __init__(self) -> None:
        self.order: OrderedDict[int, None] = OrderedDict()
        self.busy = 0


class Shelf:
    """The messages of one queue."""

    def __init__(self, queue: int, settings: Settings) -> None:
        self.queue, self.settings = queue, settings
        self.entries: dict[int, Entry] = {}
        self.in_flight: dict[int, None] = {}  # received and not yet seen again, also by the scheduler itself
        self.delayed: dict[int, None] = {}
        self._ready: OrderedDict[int, None] = OrderedDict()
        self._groups: dict[str, Group] = {}
        self._ready_groups: OrderedDict[str, None] = OrderedDict()
        self._timed: list[tuple[int, int]] = []
        self._ages: deque[int] = deque()
        self._late_ages: list[tuple[int, int]] = []  # of messages that came from another queue

    # ---------------------------------------------------------------- numbers

    def __len__(self) -> int:
        return len(self.entries)

    @property
    def waiting(self) -> int:
        """How many could be received now, were there room (groups in flight included)."""
        return len(self.entries) - len(self.in_flight) - len(self.delayed)

    def next_at(self) -> int | None:
        """When something changes by itself, in ms; it may be earlier than need be, never later."""
        times = [self._timed[0][0]] if self._timed else []
        if oldest := self._oldest():
            times.append(self._ends(oldest))
        if self._late_ages:
            times.append(self._late_ages[0][0])
        return min(times, default=None)

    # ---------------------------------------------------------------- changes

    def add(self, entry: Entry, now: int) -> None:
        """Take a message in, as it stands: new, moved here, or found again after a restart."""
        self.entries[entry.seq] = entry
        if entry.origin == self.queue and not (entry.state and entry.state.counted_from):
            self._ages.append(entry.seq)
        else:
            heapq.heappush(self._late_ages, (self._ends(entry), entry.seq))
        if self.settings.fifo:
            self._groups.setdefault(entry.group, Group()).order[entry.seq] = None
        if entry.held == "scheduler":
            self._fly(entry)
        elif entry.visible > now:
            if entry.held:
                self._fly(entry)
            else:
                self.delayed[entry.seq] = None
            heapq.heappush(self._timed, (entry.visible, entry.seq))
            if self.settings.fifo:
                self._settle_group(entry.group, now)
        else:
            self._show(entry, now)

    def remove(self, entry: Entry, now: int) -> None:
        """The message is gone from here."""
        if self.entries.pop(entry.seq, None) is None:
            return
        flew = self.in_flight.pop(entry.seq, self) is None
        self.delayed.pop(entry.seq, None)
        self._ready.pop(entry.seq, None)
        if self.settings.fifo and (group := self._groups.get(entry.group)):
            group.busy -= flew
            group.order.pop(entry.seq, None)
            self._settle_group(entry.group, now)

    def hide(self, entry: Entry, now: int) -> None:
        """The message, just taken or held anew, is in flight as its state says: until then, or for good."""
        self._ready.pop(entry.seq, None)
        if entry.seq not in self.in_flight:
            self._fly(entry)
        if entry.held == "scheduler":
            return
        if entry.visible <= now:
            self._return(entry, now)
        else:
            heapq.heappush(self._timed, (entry.visible, entry.seq))

    def release(self, entry: Entry, now: int) -> None:
        """The message's state says that nobody has it any more: it is seen at once, or later."""
        if entry.visible <= now:
            self._return(entry, now)
            return
        flew = self.in_flight.pop(entry.seq, self) is None
        self.delayed[entry.seq] = None
        heapq.heappush(self._timed, (entry.visible, entry.seq))
        if self.settings.fifo:
            self._groups[entry.group].busy -= flew
            self._settle_group(entry.group, now)

    def _fly(self, entry: Entry) -> None:
        self.in_flight[entry.seq] = None
        self.delayed.pop(entry.seq, None)
        if self.settings.fifo:
            group = self._groups[entry.group]
            group.busy += 1
            self._ready_groups.pop(entry.group, None)

    def _return(self, entry: Entry, now: int) -> None:
        flew = self.in_flight.pop(entry.seq, self) is None
        self.delayed.pop(entry.seq, None)
        if self.settings.fifo:
            self._groups[entry.group].busy -= flew
        self._show(entry, now)

    def _show(self, entry: Entry, now: int) -> None:
        if self.settings.fifo:
            self._settle_group(entry.group, now)
        else:
            self._ready.setdefault(entry.seq)

    def _settle_group(self, name: str, now: int) -> None:
        """Note whether a group's first message may go out now."""
        group = self._groups[name]
        if not group.order:
            del self._groups[name]
            self._ready_groups.pop(name, None)
        elif group.busy == 0 and self.entries[next(iter(group.order))].visible <= now:
            self._ready_groups.setdefault(name)
        else:
            self._ready_groups.pop(name, None)

    # ------------------------------------------------------------------- time

    def advance(self, now: int) -> list[Entry]:
        """Let what is due be seen again; the messages whose retention has passed, which are still here."""
        while self._timed and self._timed[0][0] <= now:
            at, seq = heapq.heappop(self._timed)
            entry = self.entries.get(seq)
            if entry is None or entry.visible != at or entry.held == "scheduler":
                continue  # it was deleted, or its time was changed
            if seq in self.in_flight or seq in self.delayed:
                self._return(entry, now)
        return list(self._too_old(now))

    def _too_old(self, now: int) -> Iterator[Entry]:
        while (entry := self._oldest()) and self._ends(entry) <= now:
            self._ages.popleft()
            yield entry
        while self._late_ages and self._late_ages[0][0] <= now:
            _, seq = heapq.heappop(self._late_ages)
            if (late := self.entries.get(seq)) and self._ends(late) <= now:
                yield late

    def _oldest(self) -> Entry | None:
        """The first that counts from its sending; one that went away and came back stands in the other
        list."""
        while self._ages:
            entry = self.entries.get(self._ages[0])
            if entry and not (entry.state and entry.state.counted_from):
                return entry
            self._ages.popleft()
        return None

    def _ends(self, entry: Entry) -> int:
        return entry.counted_from + self.settings.retention_s * 1000

    def recount(self) -> None:
        """The retention was changed."""
        self._late_ages = [(self._ends(self.entries[s]), s) for _, s in self._late_ages if s in self.entries]
        heapq.heapify(self._late_ages)

    # ----------------------------------------------------------------- taking

    def has_ready(self) -> bool:
        """Whether something can be taken now."""
        return bool(self._ready or self._ready_groups)

    def ready(self, now: int, most: int) -> list[Entry]:
        """The messages that are to be taken next, at most so many; they stay until they are hidden or
        removed.

        Of a FIFO group as many as are wanted, in order; the groups take turns.
        """
        return self._ready_of_groups(now, most) if self.settings.fifo else self._ready_plain(most)

    def _ready_plain(self, most: int) -> list[Entry]:
        return [self.entries[seq] for seq in islice(self._ready, most)]

    def _ready_of_groups(self, now: int, most: int) -> list[Entry]:
        found: list[Entry] = []
        for name in list(self._ready_groups):
            if len(found) >= most:
                break
            self._ready_groups.move_to_end(name)
            for seq in self._groups[name].order:
                entry = self.entries[seq]
                if len(found) >= most or entry.visible > now:
                    break
                found.append(entry)
        return found
