"""Effects, the outputs of the reducer: plain values, no I/O. Import them from messages.py."""

from __future__ import annotations

from flintfield.decision.interface import WorkerId
from flintfield.decision.values import value
from flintfield.memory.terms import (
    Address, StoredJob, Submission, Verdict,
)


@value
class OpenBranch:
    """Connect to a next hop, reusing a connection only if `may_reuse`; then report `BranchUp`."""

    rid: int
    branch: int
    address: Address
    may_reuse: bool = False


@value
class HoldBranch:
    """Keep the branch's connection without writing to it until `WriteBranch` or `DropBranch`."""

    rid: int
    branch: int


@value
class WriteBranch:
    """Write the request on the branch's connection; the next hop has `wait_ms` to answer."""

    rid: int
    branch: int
    submission: Submission
    wait_ms: float


@value
class DropBranch:
    """Close the branch's connection immediately, whatever its state."""

    rid: int
    branch: int


@value
class Answer:
    """Send the caller its final answer; `close` closes the caller connection afterwards."""

    rid: int
    verdict: Verdict
    body: bytes = b""
    retry_after_ms: float = 0.0
    close: bool = False
    limited: bool = False  # refused because of a limit of this caller, not for lack of capacity


@value
class ProbeWorker:
    """Ask a next hop for its load."""

    worker: WorkerId
    address: Address


@value
class CallDiscovery:
    """Make one watch call for changes since `generation`, or for the whole list if it is None.

    `waits`: the call waits until there are changes; otherwise it is answered immediately.
    """

    call: int
    address: Address
    generation: int | None
    waits: bool = True


@value
class LeaveDiscovery:
    """Cancel the pending call, if any, and close all connections to that address."""

    address: Address


@value
class JobOpened:
    """A job with that id is open here; emitted while other processes of this scheduler are linked."""

    name: str


@value
class JobClosed:
    """A job that was announced by `JobOpened` is settled."""

    name: str


@value
class CloseIdleClients:
    """Close callers' connections as they become idle, as long as the scheduler is drained."""


@value
class CloseIdleConnections:
    """Keep no idle connections to these addresses; replaces those of the previous `CloseIdleConnections`."""

    addresses: frozenset[Address]


@value
class Defect:
    """Report an internal error to the log; it was caught and contained."""

    where: str
    error: str


@value
class WatchFailed:
    """Log a failed call to discovery."""

    word: str


@value
class Untracked:
    """The job table is full of live jobs, so the status of this one is not tracked."""

    name: str


@value
class WriteRecords:
    """Atomically write these records and delete those named in `gone`.

    Then report `RecordsWritten` or `RecordsFailed`.

    A step waits for an `urgent` write: it must be durable when `RecordsWritten` is reported. Other writes may
    be batched in order for a while, and are written with the next urgent one at the latest. A `WriteRecords`
    with nothing to write tests whether anything can be written.
    """

    ticket: int
    records: tuple[StoredJob, ...]
    gone: tuple[str, ...]
    urgent: bool


@value
class AskWritePermission:
    """Ask the front that submitted a job whether its first byte may be written; `WritePermission` answers."""

    front: str
    rid: int
    branch: int


@value
class FrontAnswer:
    """Send the front that submitted a job its answer; `may_have_run`: no outcome proves that it did not."""

    front: str
    rid: int
    verdict: Verdict
    body: bytes
    retry_after_ms: float
    may_have_run: bool


class UnitEffect:
    """Base class of units' own effects; the unit performs them."""

    __slots__ = ()


Effect = (OpenBranch | WriteBranch | DropBranch | Answer | ProbeWorker | CallDiscovery | LeaveDiscovery
          | Defect | WatchFailed | Untracked | HoldBranch | WriteRecords | AskWritePermission | FrontAnswer
          | CloseIdleConnections | CloseIdleClients | JobOpened | JobClosed | UnitEffect)
