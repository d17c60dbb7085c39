"""Questions to a running scheduler: even records from 300 to 348.

Every scheduler answers `AskProcess`; the rest is answered by the dispatcher alone, and by `NotDispatcher`
elsewhere. The answers stand in `flintfield.observe.messages`.
"""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.transport.records import record

PAGE_ROWS = 200  # of one answer: a row has some hundred bytes


@record(300)
@dataclass(frozen=True, slots=True)
class AskProcess:
    """How are you?"""


@record(302)
@dataclass(frozen=True, slots=True)
class AskWorkers:
    """The workers that the dispatcher knows, from that place on, at most `limit` (and `PAGE_ROWS`)."""

    offset: int = 0
    limit: int = PAGE_ROWS


@record(304)
@dataclass(frozen=True, slots=True)
class AskJobs:
    """The jobs that the dispatcher keeps, of one queue by its name ("": of all), perhaps only the open ones;
    eldest first, from that place on, at most `limit` (and `PAGE_ROWS`)."""

    queue: str = ""
    open_only: bool = False
    offset: int = 0
    limit: int = PAGE_ROWS


@record(306)
@dataclass(frozen=True, slots=True)
class AskJob:
    """One job, with its history."""

    id: str


@record(308)
@dataclass(frozen=True, slots=True)
class AskQueueTimes:
    """Where the time of each queue's jobs went, since the dispatcher's election."""
