"""The state of all queues: what `core.step` changes and `recovery.recover` builds from the store."""

from __future__ import annotations

import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from flintfield.queues import operations as ops
from flintfield.queues.attributes import Settings
from flintfield.queues.errors import QueueError
from flintfield.queues.limits import REST_MS
from flintfield.queues.messages import Effect
from flintfield.queues.receipts import Receipts
from flintfield.queues.records import QueueRecord, encode
from flintfield.queues.shelf import Shelf


class Answering(Protocol):
    """Who can answer a call: the step that is being made."""

    def reply(self, call: int, result: ops.Result) -> None:
        """Answer a call."""


@dataclass(slots=True)
class Queue:
    """One queue."""

    number: int
    name: str
    shelf: Shelf
    created: int
    modified: int
    tags: dict[str, str]
    polls: OrderedDict[int, Poll] = field(default_factory=OrderedDict)
    seen: OrderedDict[tuple[str, str], Seen] = field(default_factory=OrderedDict)
    attempts: OrderedDict[str, tuple[int, tuple[int, ...]]] = field(default_factory=OrderedDict)
    purged: int = -REST_MS

    @property
    def settings(self) -> Settings:
        """The attributes in force."""
        return self.shelf.settings

    def record(self) -> bytes:
        """As the store keeps it."""
        return encode(QueueRecord(self.name, self.settings, self.created, self.modified, self.tags))


@dataclass(frozen=True, slots=True)
class Poll:
    """A receive that waits."""

    call: int
    operation: ops.Receive
    until: int


@dataclass(slots=True)
class Seen:
    """A deduplication id; `told` is None while its first send is on its way to the disk."""

    seq: int
    until: int
    told: ops.Sent | None
    followers: list[Callable[[Answering, ops.Sent | QueueError], None]] = field(default_factory=list)


@dataclass(slots=True)
class Pending:
    """What waits for the disk: `left` of a keep and a fetch, and what then follows."""

    left: int
    done: Callable[[int, tuple[bytes | None, ...]], list[Effect]]
    failed: Callable[[int, str], list[Effect]]
    values: tuple[bytes | None, ...] = ()
    call: int = 0


@dataclass(slots=True)
class MoveTask:
    """Messages on their way from one queue to others; `next` is when the next ones may go."""

    handle: str
    source: Queue
    target: Queue | None
    per_s: int
    started: int
    to_move: int
    next: float
    moved: int = 0
    status: str = "RUNNING"
    word: str = ""
    in_step: bool = False  # a part is on its way to the disk


class State:
    """All queues. `arn_prefix` stands before a queue's name in its ARN."""

    def __init__(self, secret: bytes, arn_prefix: str = "arn:aws:sqs:local:000000000000:") -> None:
        self.receipts, self.arn_prefix = Receipts(secret), arn_prefix
        self.queues: dict[str, Queue] = {}
        self.numbers: dict[int, Queue] = {}
        self.deleted: dict[str, int] = {}  # names that rest, until when
        self.reserved: set[str] = set()  # names of queues that the operators' file binds
        self.pending: dict[int, Pending] = {}
        self.moves: OrderedDict[str, MoveTask] = OrderedDict()
        self.reply_seqs: dict[int, int] = {}  # of ends on their way to the disk, by the message that ends
        self.counters: Counter[str] = Counter()
        self.next_ticket = self.next_queue = self.next_seq = 1
        self.seqs_until = 1  # numbers below it are reserved on disk
        self.polls = 0
        self.poll_ends: list[tuple[int, int, int]] = []  # heap: until, queue, call; ended polls leave theirs

    def arn(self, name: str) -> str:
        """A queue's ARN."""
        return self.arn_prefix + name

    def of_arn(self, arn: str) -> Queue | None:
        """The queue that an ARN names."""
        return self.queues.get(arn.removeprefix(self.arn_prefix)) if arn.startswith(self.arn_prefix) else None

    def sources(self, queue: Queue) -> list[Queue]:
        """The queues that send their dead letters to this one, by name."""
        arn = self.arn(queue.name)
        return [q for _, q in sorted(self.queues.items())
                if q.settings.redrive and q.settings.redrive.target_arn == arn]

    def next_at(self) -> float | None:
        """When the next `Tick` is due, in ms since 1970."""
        times: list[float] = [t.next for t in self.moves.values() if t.status == "RUNNING" and not t.in_step]
        for queue in self.queues.values():
            times += [at for at in (queue.shelf.next_at(),) if at is not None]
        if (poll := self.first_poll()) is not None:
            times.append(poll[0])
        return min(times, default=None)

    def first_poll(self) -> tuple[int, int, int] | None:
        """The poll that ends first: when, in which queue, and its call; O(log n) for each that is over."""
        while self.poll_ends:
            until, number, call = self.poll_ends[0]
            queue = self.numbers.get(number)
            if queue is not None and call in queue.polls:
                return until, number, call
            heapq.heappop(self.poll_ends)
        return None
