"""Inputs (messages) and outputs (effects) of the reducer: plain values, no I/O.

A transaction is identified by `rid`, one of its branches by `(rid, branch)`. Times are Unix milliseconds.
"""

from __future__ import annotations

from flintfield.decision.interface import ListMode, WorkerId
from flintfield.decision.values import value
from flintfield.memory.effects import (
    Answer, CallDiscovery, Defect, DropBranch, Effect, FrontAnswer, HoldBranch, JobClosed, JobOpened,
    WriteRecords, LeaveDiscovery, AskWritePermission, OpenBranch, ProbeWorker, CloseIdleClients,
    CloseIdleConnections, UnitEffect, Untracked, WatchFailed, WriteBranch,
)
from flintfield.memory.terms import (
    Address, End, Ending, StoredJob, Reach, Route, Submission, Verdict, worker_of,
)

__all__ = [
    "Address", "Answer", "AskWritePermission", "BranchEnded", "BranchNoted", "BranchUp", "CallDiscovery",
    "CallerLeft", "CloseIdleClients", "CloseIdleConnections", "Defect", "DiscoveryMoved", "DropBranch",
    "Effect", "End", "Ending", "FrontAnswer", "HoldBranch", "JobClosed", "JobOpened", "LeaveDiscovery",
    "Message", "OpenBranch", "ProbeEnded", "ProbeWorker", "Reach", "RecordsFailed", "RecordsWritten",
    "RetryRecords", "Route", "RouteCallFailed", "RouteUpdate", "StopRequested", "StoredJob", "Submission",
    "Submitted", "TimerFired", "UnitEffect", "UnitMessage", "Untracked", "Verdict", "WatchFailed",
    "WriteBranch", "WritePermission", "WriteRecords", "worker_of",
]


@value
class RouteUpdate:
    """An answer of discovery: changes since our version, or the whole list; `call` is the call it answers."""

    mode: ListMode
    generation: int
    routes: tuple[Route, ...]
    call: int = 0


@value
class RouteCallFailed:
    """A watch failed, timed out or returned an invalid answer.

    `busy`: discovery reported that it can't answer now. `silent`: it did not answer before the timeout.
    """

    word: str
    call: int = 0
    busy: bool = False
    silent: bool = False


@value
class DiscoveryMoved:
    """A new configuration sets the address of discovery."""

    address: Address


@value
class Submitted:
    """A caller's request was received completely; the caller connection assigned `rid`."""

    rid: int
    submission: Submission


@value
class CallerLeft:
    """The caller closed its connection before the answer."""

    rid: int


@value
class BranchUp:
    """A branch is connected; nothing is written before `WriteBranch`."""

    rid: int
    branch: int


@value
class BranchNoted:
    """A next hop reports that the job started, or which share of it is done."""

    rid: int
    branch: int
    started: bool
    share: float = 0.0


@value
class BranchEnded:
    """The exchange of a branch with its next hop has ended."""

    rid: int
    branch: int
    ending: Ending


@value
class ProbeEnded:
    """A probe has ended."""

    worker: WorkerId
    ending: Ending
    took_ms: float


@value
class TimerFired:
    """The first timer is due."""


@value
class StopRequested:
    """The program was asked to stop; requests received from now on are answered by `settle_by`."""

    settle_by: float


@value
class RecordsWritten:
    """The writes of these tickets are as durable as requested."""

    tickets: tuple[int, ...]


@value
class RecordsFailed:
    """The writes of these tickets failed; which of them reached the disk is unknown."""

    tickets: tuple[int, ...]


@value
class RetryRecords:
    """Check whether records can be written again, if writing had failed."""


@value
class WritePermission:
    """A front's answer to `AskWritePermission`: whether the branch's first byte may be written."""

    rid: int
    branch: int
    allowed: bool


class UnitMessage:
    """Base class of units' own messages; the handler that the unit registered on the state handles them."""

    __slots__ = ()


Message = (RouteUpdate | RouteCallFailed | DiscoveryMoved | Submitted | CallerLeft | BranchUp | BranchNoted
           | BranchEnded | ProbeEnded | TimerFired | StopRequested | RecordsWritten | RecordsFailed
           | RetryRecords | WritePermission | UnitMessage)
