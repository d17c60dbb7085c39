"""Interface of an optional recorder that the dispatcher notifies of state changes of jobs."""

from __future__ import annotations

import enum
from typing import Protocol

from flintfield.jobs.model import Job, Run


class JobEvent(enum.IntEnum):
    """An event in the life of a job. The numbers are part of the message format of `flintfield.observe`."""

    ACCEPTED = 1
    PLACED = 2  # a run was placed on a worker
    INHERITED = 3  # a run of an earlier dispatcher was found in the store
    STOPPING = 4  # a run is being stopped
    RUN_ENDED = 5  # the end of a run is certain; the detail is how it ended
    JOB_ENDED = 6  # the detail is the job's state


class Recorder(Protocol):
    """Receives state changes; called while an event is processed, so it must be fast and must not raise."""

    def note(self, wall_ms: int, job: Job, happening: JobEvent, run: Run | None, detail: str) -> None:
        """Record an event of the job or of one of its runs; `wall_ms` is cluster time."""
