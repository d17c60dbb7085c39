"""What fronts ask of the queues, and what they are told: plain values, alike for every wire form.

A queue is named by its name; fronts turn URLs into names. Sizes are bytes, times seconds where the published
API counts seconds, and milliseconds since 1970 where a field says `_at`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from flintfield.queues.digests import Attribute
from flintfield.queues.errors import QueueError

# --------------------------------------------------------------------- asked


@dataclass(frozen=True, slots=True)
class CreateQueue:
    """Make a queue, or find the one with the same name and attributes."""

    name: str
    attributes: Mapping[str, str] = field(default_factory=dict)
    tags: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class DeleteQueue:
    """Delete a queue with all its messages."""

    queue: str


@dataclass(frozen=True, slots=True)
class FindQueue:
    """Whether there is such a queue (GetQueueUrl)."""

    queue: str


@dataclass(frozen=True, slots=True)
class ListQueues:
    """Names in order; `after` continues an earlier list."""

    prefix: str = ""
    most: int = 1_000
    after: str = ""


@dataclass(frozen=True, slots=True)
class ListSources:
    """The queues whose dead-letter queue this one is."""

    queue: str
    most: int = 1_000
    after: str = ""


@dataclass(frozen=True, slots=True)
class GetAttributes:
    """Read attributes by name; `All` reads all."""

    queue: str
    names: tuple[str, ...] = ("All",)


@dataclass(frozen=True, slots=True)
class SetAttributes:
    """Change attributes; the others stay."""

    queue: str
    attributes: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Purge:
    """Delete all messages that are there now."""

    queue: str


@dataclass(frozen=True, slots=True)
class Tag:
    """Set tags, and take others away."""

    queue: str
    tags: Mapping[str, str] = field(default_factory=dict)
    untag: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ListTags:
    """Read a queue's tags."""

    queue: str


@dataclass(frozen=True, slots=True)
class Outgoing:
    """One message to send; `entry` is its id within a batch."""

    body: str
    entry: str = ""
    delay_s: int | None = None
    attributes: Mapping[str, Attribute] = field(default_factory=dict)
    trace_header: str = ""
    group: str = ""
    deduplication: str = ""


@dataclass(frozen=True, slots=True)
class Send:
    """Send one message or a batch; `sender` is whose key signed it."""

    queue: str
    messages: tuple[Outgoing, ...]
    sender: str = ""


@dataclass(frozen=True, slots=True)
class Receive:
    """Take up to `most` messages, waiting for the first as long as `wait_s`."""

    queue: str
    most: int = 1
    visibility_s: int | None = None
    wait_s: int | None = None
    attempt: str = ""  # ReceiveRequestAttemptId


@dataclass(frozen=True, slots=True)
class Handle:
    """An entry of a batch that names a message by its receipt handle."""

    handle: str
    entry: str = ""
    visibility_s: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete messages that were received."""

    queue: str
    handles: tuple[Handle, ...]


@dataclass(frozen=True, slots=True)
class ChangeVisibility:
    """Let received messages be seen again after so many seconds from now."""

    queue: str
    handles: tuple[Handle, ...]


@dataclass(frozen=True, slots=True)
class StartMove:
    """Move a dead-letter queue's messages back where they came from, or to a named queue."""

    source_arn: str
    target_arn: str = ""
    per_s: int = 0  # 0: as fast as may be


@dataclass(frozen=True, slots=True)
class CancelMove:
    """End a move that runs; what was moved stays moved."""

    handle: str


@dataclass(frozen=True, slots=True)
class ListMoves:
    """The newest moves out of a queue."""

    source_arn: str
    most: int = 1


Operation = (CreateQueue | DeleteQueue | FindQueue | ListQueues | ListSources | GetAttributes | SetAttributes
             | Purge | Tag | ListTags | Send | Receive | Delete | ChangeVisibility | StartMove | CancelMove
             | ListMoves)

# ---------------------------------------------------------------------- told


@dataclass(frozen=True, slots=True)
class Done:
    """It is done; `name` where a queue was asked for."""

    name: str = ""


@dataclass(frozen=True, slots=True)
class Names:
    """A part of a list; `after` is not empty if more follows."""

    names: tuple[str, ...]
    after: str = ""


@dataclass(frozen=True, slots=True)
class Texts:
    """Attributes or tags."""

    texts: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Sent:
    """A message that is kept."""

    entry: str
    message_id: str
    md5_of_body: str
    md5_of_attributes: str = ""
    sequence: str = ""  # of a FIFO queue


@dataclass(frozen=True, slots=True)
class Entries:
    """What became of each entry of a batch, in its order: a `Sent`, or the entry's id, or its error."""

    done: tuple[Sent | str, ...] = ()
    failed: tuple[tuple[str, QueueError], ...] = ()


@dataclass(frozen=True, slots=True)
class Message:
    """A received message; `system` holds all its system attributes as texts."""

    message_id: str
    handle: str
    body: str
    md5_of_body: str
    attributes: Mapping[str, Attribute]
    system: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Received:
    """What was taken, possibly nothing."""

    messages: tuple[Message, ...] = ()


@dataclass(frozen=True, slots=True)
class Move:
    """A move task as it stands."""

    handle: str
    status: str  # RUNNING, COMPLETED, CANCELLING, CANCELLED, FAILED
    source_arn: str
    target_arn: str
    per_s: int
    moved: int
    to_move: int
    started_at: int
    word: str = ""


@dataclass(frozen=True, slots=True)
class Moves:
    """The newest moves first."""

    moves: tuple[Move, ...]


Result = Done | Names | Texts | Entries | Received | Moves | QueueError
