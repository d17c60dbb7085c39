"""The event log: all that the judge, the reports and the plots know of a run.

Rules. A log holds what an onlooker with perfect sight would have written down: what clients asked and got,
what reached worker nodes and what became of it there, what discovery told to whom, what went wrong. It holds
nothing of a scheduler's insides, so every engine (virtual time, sockets) and every chooser writes the same
words.

Records stand in order of time; of one instant, in order of cause. Times are milliseconds from the run's start
on the one true clock. Nodes, schedulers, clients' requests and attempts are named by texts and small numbers
that are the same in every engine. `encode` gives one line of bytes for each record, alike on every machine
and under every PYTHONHASHSEED: `Log.sha256` over them is the run's fingerprint.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from typing import Literal

import msgspec


class Record(msgspec.Struct, frozen=True, tag_field="what", array_like=False):
    """What all records have: `at`, in ms from the run's start."""

    at: float


# ------------------------------------------------------------------ the set-up


class Class(msgspec.Struct, frozen=True):
    """A class of request as the judge needs it; times in ms."""

    name: str
    worth: float
    aim_ms: float
    stretch: float  # times the job's own work at speed 1 is added to the aim
    deadline_ms: float
    effect: Literal["safe", "unsafe"]


class Begin(Record, frozen=True, tag="begin"):
    """The first record: what was played, and the figures of the rules."""

    scenario: str
    seed: int
    engine: Literal["virtual", "sockets"]
    chooser: str  # `flintfield`, or a yardstick's name
    schedulers: int
    length_ms: float  # arrivals end here; the run goes on until all is answered
    classes: tuple[Class, ...]
    worth_by_work: bool
    drain_grace_ms: float
    answer_slack_ms: float
    cold_multiple: float  # of present capacity: sent more for `cold_window_ms`, a cold node falls over
    cold_window_ms: float
    goal_whole: float = 0.55
    goal_window: float = 0.15
    goal_class: float = 0.30
    window_ms: float = 10_000.0


class NodeUp(Record, frozen=True, tag="node-up"):
    """A worker node's process starts; cold if `warm_share` is below 1."""

    node: str
    zone: str
    kind: str
    slots: int
    cores: int
    capacity: float  # work (ms of a standard core) it does in a ms when warm: cores times speed
    warm_share: float  # the share of `capacity` that it has at this moment


class NodeWarmth(Record, frozen=True, tag="node-warmth"):
    """A cold node's share of its capacity, noted whenever it has changed by 0.05 or reaches 1."""

    node: str
    warm_share: float


class NodeState(Record, frozen=True, tag="node-state"):
    """A worker node's true state changes: `draining`, `down` (its process died or ended), `fell` (pushed
    over), `slow` and `usual` (`factor` times slower, and back)."""

    node: str
    state: Literal["draining", "down", "fell", "slow", "usual"]
    factor: float = 1.0


class NodeLoad(Record, frozen=True, tag="node-load"):
    """A sample of a worker node for plots, each second: jobs in work, waiting, and its connections."""

    node: str
    running: int
    waiting: int
    connections: int


class SchedulerState(Record, frozen=True, tag="scheduler-state"):
    """A scheduler starts, is told to stop (SIGTERM), has ended by itself or is killed."""

    scheduler: str
    state: Literal["up", "stopping", "ended", "killed"]
    zone: str = ""  # where it stands; told with `up`


class Trouble(Record, frozen=True, tag="trouble"):
    """A trouble of the scenario begins or is over; for people and plots."""

    name: str
    begins: bool
    word: str = ""


# ------------------------------------------------------------------ discovery


class Told(Record, frozen=True, tag="told"):
    """Discovery's word on a node counts as told to a scheduler (written to it, or deemed so).

    From now on, or since `since`, if that is not None: a change between two calls of one watch counts from
    when it happened, but only once the next call has come soon enough is it the same watch.
    """

    scheduler: str
    node: str
    state: Literal["ready", "draining", "gone"]
    started_at: float = 0.0  # of the process that is told of; 0: long ago
    since: float | None = None


# ------------------------------------------------------------------ requests


class Asked(Record, frozen=True, tag="asked"):
    """A client has written a try's last byte to a scheduler that took the connection.

    `request` names the client's wish, which all its tries share; `rid` names this try.
    """

    rid: str
    request: str
    attempt: int  # 0 for the first try
    scheduler: str
    cls: str
    work: float  # ms of a standard core that the job truly needs
    first_at: float  # when the wish was first uttered: its aim and deadline count from there
    deadline_at: float  # when this try is given up
    owner: str = ""  # tenant or caller, where the scenario has them


class Unreached(Record, frozen=True, tag="unreached"):
    """A client's try found no scheduler (refused, reset before it was whole, no one there).

    It carries what `Asked` would have told of the wish, for a wish that never reaches any was asked too.
    """

    request: str
    scheduler: str
    cls: str = ""
    work: float = 0.0
    first_at: float = 0.0


class Answered(Record, frozen=True, tag="answered"):
    """A try's final answer has wholly reached its client."""

    rid: str
    verdict: Literal["served", "refused", "failed"]
    body: str = ""  # what the node made, for `served`: the judge knows it by the node's `Done`
    retry_after_ms: float = 0.0


class ConnectionLost(Record, frozen=True, tag="connection-lost"):
    """The connection of an unanswered try ended: by the scheduler, by its death, or by the client itself."""

    rid: str
    by: Literal["scheduler", "death", "client", "network"]


class GivenUp(Record, frozen=True, tag="given-up"):
    """The client stopped waiting for this try (its deadline came); nothing is owed any more."""

    rid: str


# ------------------------------------------------------------------ attempts


class Sent(Record, frozen=True, tag="sent"):
    """A scheduler let out the first byte of a job's request to a node; from here it counts for drains."""

    rid: str
    branch: int
    scheduler: str
    node: str


class Arrived(Record, frozen=True, tag="arrived"):
    """The last byte of an attempt reached the node: it may run from here on. `cost` is the work it brings."""

    rid: str
    branch: int
    scheduler: str
    node: str
    cost: float


class TurnedAway(Record, frozen=True, tag="turned-away"):
    """The node proves that it never ran: full, or handed back unstarted."""

    rid: str
    branch: int
    node: str


class Started(Record, frozen=True, tag="started"):
    """The node began to run it."""

    rid: str
    branch: int
    node: str


class Done(Record, frozen=True, tag="done"):
    """It ran to its end at the node, whoever still waits for it; `body` is what it made."""

    rid: str
    branch: int
    node: str
    body: str
    spent: float | None = None  # work (ms of a standard core) that the node did for it; None: its `cost`


class Broke(Record, frozen=True, tag="broke"):
    """The attempt ended at the node in another way: an error of its own, killed with the node, or cancelled
    before it ran (`started` tells whether it had begun)."""

    rid: str
    branch: int
    node: str
    how: Literal["error", "killed", "cancelled", "expired"]
    started: bool
    spent: float | None = None  # as in `Done`; None: nothing if it had not started, else its `cost`


class LetGo(Record, frozen=True, tag="let-go"):
    """The scheduler's side of the attempt is over: it closed the connection, or had read its end."""

    rid: str
    branch: int
    scheduler: str


class ProbeSeen(Record, frozen=True, tag="probe"):
    """A load probe reached a node."""

    scheduler: str
    node: str


# ------------------------------------------------------------------ the end


class End(Record, frozen=True, tag="end"):
    """The last record: all is answered, and what the run cost."""

    void: str = ""  # why the run is void (the machine was too busy), else empty
    cpu_ms: dict[str, float] = {}  # by part: model, reducer, decisions; or by process
    events: int = 0


AnyRecord = (
    Begin | NodeUp | NodeWarmth | NodeState | NodeLoad | SchedulerState | Trouble | Told | Asked | Unreached
    | Answered | ConnectionLost | GivenUp | Sent | Arrived | TurnedAway | Started | Done | Broke | LetGo
    | ProbeSeen | End
)

_encoder = msgspec.json.Encoder(order="deterministic")
_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


class Log:
    """The records of one run, in memory."""

    def __init__(self, records: Iterable[AnyRecord] = ()) -> None:
        self.records: list[AnyRecord] = list(records)

    def add(self, record: AnyRecord) -> None:
        """Write one record down; times must not fall."""
        self.records.append(record)

    def __iter__(self) -> Iterator[AnyRecord]:
        return iter(self.records)

    def __len__(self) -> int:
        return len(self.records)

    def encode(self) -> bytes:
        """One JSON object a line, without what differs from run to run (the End record's CPU)."""
        return b"".join(encode_line(r) for r in self.records)

    def sha256(self) -> str:
        """The run's fingerprint: the same seed gives the same one."""
        return hashlib.sha256(self.encode()).hexdigest()


def encode_line(record: AnyRecord) -> bytes:
    """One record as its line of the log, without what differs from run to run (the End record's CPU)."""
    steady = msgspec.structs.replace(record, cpu_ms={}) if isinstance(record, End) else record
    return _encoder.encode(steady) + b"\n"


def decode(lines: bytes) -> Log:
    """Read a log back; a `msgspec.MsgspecError` if a line is none of ours."""
    return Log(_decoder.decode(line) for line in lines.splitlines() if line)
