"""The hook for a history of jobs: what the dispatcher tells at its changes of state, if anybody listens."""

from __future__ import annotations

import enum
from typing import Protocol

from flintfield.jobs.model import Job, Run


class Happening(enum.IntEnum):
    """What happened to a job. The numbers are part of the form of `flintfield.observe`'s messages."""

    ACCEPTED = 1
    PLACED = 2  # a run was placed on a worker
    INHERITED = 3  # a run of an earlier dispatcher was found in the store
    STOPPING = 4  # a run is to end
    RUN_ENDED = 5  # its end is certain; the detail says how
    JOB_ENDED = 6  # the detail is the job's state


class Recorder(Protocol):
    """Takes notes; called within the event in hand, so it must be quick and must not raise."""

    def note(self, wall_ms: int, job: Job, happening: Happening, run: Run | None, detail: str) -> None:
        """That happened to the job, or to that run of it, at this common time."""
