"""A bounded history of each job, for the operator: the recorder that the dispatcher calls.

A job's notes are a ring of packed events that hangs on the job and is dropped with it. An event costs
`EVENT.size` bytes and about a microsecond. Beyond `MOST_JOBS` histories the eldest is emptied.
"""

from __future__ import annotations

import struct
import weakref
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from flintfield.jobs.model import Job, Run
from flintfield.jobs.recorder import JobEvent

if TYPE_CHECKING:
    from flintfield.observe.messages import EventRow

EVENTS_KEPT = 32  # of one job, the newest
MOST_JOBS = 2_000  # whose histories are kept: 2 MB if all are full
MOST_WORDS = 4_096  # distinct names of workers, and of details; later ones are noted as ""
EVENT = struct.Struct("<qBIHHIIHH")  # time of day, happening, time, step, index, run, epoch, worker, detail
FULL = EVENTS_KEPT * EVENT.size  # bytes
_NUMBER = 0xFFFF_FFFF  # what fits into a field of 32 bits


class Notes:
    """One job's ring. `total` counts all events that were ever noted."""

    __slots__ = ("__weakref__", "events", "total")

    def __init__(self) -> None:
        self.events = bytearray()
        self.total = 0

    def add(self, event: bytes) -> None:
        """Append an event, in the place of the eldest where the ring is full."""
        if len(self.events) < FULL:
            self.events += event
        else:
            at = self.total % EVENTS_KEPT * EVENT.size
            self.events[at : at + EVENT.size] = event
        self.total += 1

    def clear(self) -> None:
        """Forget the events, but for how many there were; begins anew at the ring's start."""
        self.events = bytearray()
        self.total += -self.total % EVENTS_KEPT

    def in_order(self) -> list[bytes]:
        """The events that are kept, eldest first."""
        raw = bytes(self.events)
        events = [raw[at : at + EVENT.size] for at in range(0, len(raw), EVENT.size)]
        if len(raw) < FULL:
            return events
        eldest = self.total % EVENTS_KEPT
        return events[eldest:] + events[:eldest]


@dataclass(slots=True)
class HistoryCounters:
    """Since the election."""

    events: int = 0
    emptied_histories: int = 0
    unnamed: int = 0  # workers and details beyond `MOST_WORDS`


class _Words:
    """Texts by small numbers; 0 is ""."""

    def __init__(self) -> None:
        self._numbers = {"": 0}
        self.texts = [""]

    def number(self, text: str) -> int:
        """The text's number; 0 where there are too many."""
        known = self._numbers.get(text)
        if known is not None:
            return known
        if len(self.texts) >= MOST_WORDS:
            return 0
        self._numbers[text] = len(self.texts)
        self.texts.append(text)
        return len(self.texts) - 1


class JobHistory:
    """The recorder of one term; see `flintfield.jobs.recorder.Recorder`."""

    def __init__(self) -> None:
        self.counters = HistoryCounters()
        self._words = _Words()
        self._kept: deque[weakref.ref[Notes]] = deque()

    def note(self, wall_ms: int, job: Job, happening: JobEvent, run: Run | None, detail: str) -> None:
        """Note one event."""
        notes = job.history
        if not isinstance(notes, Notes):
            notes = job.history = self._new_notes()
        self.counters.events += 1
        detail_number = self._number(detail)
        if run is None:
            notes.add(EVENT.pack(wall_ms, happening, 0, 0, 0, 0, 0, 0, detail_number))
            return
        task = run.task
        step = task.step
        notes.add(
            EVENT.pack(
                wall_ms,
                happening,
                step.occurrence.number & _NUMBER,
                step.index,
                task.index,
                run.number & _NUMBER,
                run.epoch & _NUMBER,
                self._number(run.instance),
                detail_number,
            )
        )

    def events(self, job: Job, epoch: int) -> tuple[tuple[EventRow, ...], int]:
        """The events that are kept of a job, and how many earlier ones are not; `epoch` is the term's."""
        notes = job.history
        if not isinstance(notes, Notes):
            return (), 0
        rows = tuple(self._row(event, epoch) for event in notes.in_order())
        return rows, notes.total - len(rows)

    def _row(self, event: bytes, epoch: int) -> EventRow:
        from flintfield.observe.messages import EventRow

        wall_ms, happening, time, step, index, run, run_epoch, worker, detail = EVENT.unpack(event)
        texts = self._words.texts
        return EventRow(
            wall_ms,
            JobEvent(happening),
            time,
            step,
            index,
            run,
            texts[worker],
            texts[detail],
            run_epoch or epoch,
        )

    def _number(self, text: str) -> int:
        number = self._words.number(text)
        if text and not number:
            self.counters.unnamed += 1
        return number

    def _new_notes(self) -> Notes:
        notes = Notes()
        if len(self._kept) >= MOST_JOBS:
            self._make_room()
        self._kept.append(weakref.ref(notes))
        return notes

    def _make_room(self) -> None:
        """Drop what has ended with its job; if that is nothing, empty the eldest history."""
        alive = [reference for reference in self._kept if reference() is not None]
        if len(alive) >= MOST_JOBS:
            eldest = alive.pop(0)()
            if eldest is not None:
                eldest.clear()
                self.counters.emptied_histories += 1
        self._kept = deque(alive)
