"""The in-memory state of the scheduler. Only the reducer writes to it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from flintfield.decision.time_queue import TimeQueue
from flintfield.decision.interface import Action, Event, Limits, WorkerId
from flintfield.decision.policy import Dispatcher
from flintfield.memory.exclusions import Barred
from flintfield.memory.jobs import Jobs
from flintfield.memory.job_records import Ledger
from flintfield.memory.messages import Address, Route, Submission


@dataclass(slots=True)
class Branch:
    """One attempt to run a transaction at a next hop."""

    worker: WorkerId
    address: Address
    opened: float
    ended: bool = False
    written: bool = False
    never_ran: bool = False  # the outcome proves that the next hop did not run the job
    timed: bool = False  # has its own timeout
    held: bool = False  # connected; waits for a record or the front before its first byte


@dataclass(slots=True)
class Transaction:
    """One caller's request, from its last byte until it is answered and its branches ended."""

    rid: int
    submission: Submission
    taken: float
    deadline: float
    branches: list[Branch] = field(default_factory=list)
    answered: bool = False

    def settled(self) -> bool:
        """Whether it is answered and all its branches have ended."""
        return self.answered and all(b.ended for b in self.branches)


@dataclass(frozen=True, slots=True, order=True)
class DecisionTimer:
    """Identifies a timer of the decision module."""

    token: int


@dataclass(frozen=True, slots=True, order=True)
class DeadlineTimer:
    """Identifies the deadline of a transaction; the reducer settles it then, whatever was decided."""

    rid: int


@dataclass(frozen=True, slots=True, order=True)
class BranchTimer:
    """Identifies the timeout of one branch."""

    rid: int
    branch: int


@dataclass(frozen=True, slots=True, order=True)
class RecordTimer:
    """Identifies the longest wait of a step for its record to be written."""

    ticket: int


TimerKey = DecisionTimer | DeadlineTimer | BranchTimer | RecordTimer


class Timers:
    """Pending timers, soonest first. The space taken by cancelled timers is bounded."""

    def __init__(self) -> None:
        self._agenda: TimeQueue[TimerKey] = TimeQueue()

    def __len__(self) -> int:
        return len(self._agenda)

    def set(self, at: float, due: TimerKey) -> None:
        """Set or replace a timer; timers due at the same time fire in the order in which they were set."""
        self._agenda.put(due, at)

    def cancel(self, due: TimerKey) -> None:
        """Cancel a timer, if it is set."""
        self._agenda.drop(due)

    def next_at(self) -> float | None:
        """When the next timer fires; None if there is none."""
        return self._agenda.next_at()

    def pop_due(self, now: float) -> TimerKey | None:
        """Remove and return the first timer that is due."""
        return self._agenda.pop_due(now)


Tap = Callable[[float, Event, Sequence[Action]], None]
"""Observes each event that the decision module receives, with its time, and the resulting actions."""

class Admission(Protocol):
    """Limits checked before a job is passed to the decision module. Does no I/O and reads no clock."""

    def latest(self, now: float, given: Submission) -> float:
        """The latest deadline allowed for the job, whatever its caller asks for; inf if unlimited."""

    def admit(self, now: float, rid: int, given: Submission) -> float | None:
        """Count the job and return None if it is within all limits; else return the retry delay in ms."""

    def settled(self, rid: int) -> None:
        """Called when a transaction is settled, whether it was admitted or not."""


Handler = Callable[[Any, Any], None]
"""Handles a unit's own message within a `reducer.Turn`; does no I/O and reads no clock but `turn.now`."""


class State:
    """All state of the scheduler."""

    def __init__(self, dispatcher: Dispatcher, most_held: int, discovery: Address,
                 jobs: Jobs | None = None) -> None:
        self.dispatcher, self.discovery = dispatcher, discovery
        self.limits: Limits = dispatcher.settings.limits
        self.most_held = most_held
        self.jobs = jobs  # None: job status is not tracked
        self.ledger: Ledger | None = None  # None: job records are not written to disk
        self.tap: Tap | None = None
        self.admission: Admission | None = None  # None: no limits
        self.handlers: dict[type, Handler] = {}  # by type of the units' own messages
        self.transactions: dict[int, Transaction] = {}
        self.open_job_ids: dict[str, int] = {}  # rid of each unsettled transaction by its job id
        self.routes: dict[WorkerId, Route] = {}
        self.last_errors: dict[WorkerId, tuple[float, str]] = {}  # by next hop in the route set: time, error
        self.orders = Barred()
        self.barred: frozenset[WorkerId] = frozenset()  # next hops excluded manually or by plan
        self.drained = False  # by operators: callers are to connect elsewhere
        # About other processes of this scheduler, which overlap during an upgrade:
        self.shared = False  # the listening socket is shared with them
        self.linked = False  # at least one is informed of our jobs
        self.newer = self.newer_ready = False  # one was started after this one; it is ready to serve
        self.remote_job_ids: Counter[str] = Counter()  # ids of jobs that are open in other processes
        self.generation: int | None = None  # of the route set; None: request the whole list
        self.calls = 0  # made to discovery; answers to all but the last one are ignored
        self.watching = False  # a call to discovery is pending, or about to be made
        self.called_at = -math.inf  # when the last call was made
        self.changes_due_at: float | None = None  # when changes missed by a failed watch take effect
        self.discovery_answered = False  # discovery has answered this process at least once
        self.timers = Timers()
        self.counters: Counter[str] = Counter()
        self.settle_by = math.inf  # deadline for all answers after a request to stop

    @property
    def closes_connections(self) -> bool:
        """Whether answers close callers' connections, so that the callers move to other processes."""
        return self.drained or (self.shared and self.stopping)

    @property
    def stopping(self) -> bool:
        """Whether the program was asked to stop."""
        return self.settle_by < math.inf
