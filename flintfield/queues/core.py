"""The queues: one state, changed by one `step`. No I/O, no clock; a store and a front carry the effects out.

Rules.
- Nothing is acknowledged before it is on disk: an answer waits for the `Kept` of what it rests on.
- The store keeps batches in the order of their `Keep`; so an answer may rest on what another call changed a
  moment earlier, for that is on disk before.
- A batch that the store turns down (`KeepFailed`) never happened: what the call had changed is taken back.
- A message that the scheduler has in work is nobody else's until the scheduler lets go of it (`bound.py`).

Theory of operation. A call comes in as `Asked`. What only reads is answered at once. What changes something
is checked, changed in memory, and written as a `Keep` with a ticket; the answer waits in `pending` for it.
A send enters its queue only with its `Kept`: until then nobody can receive it, and a second send of its
deduplication id waits for the first one's fate. A receive needs the bodies too (`Fetch`): they are not held
in memory. A receive that finds nothing waits in its queue (`polls`) until something can be taken or its
time is over. Time moves in `Tick`; `next_at` tells when the next one is due.

Source: Amazon SQS API Reference and Developer Guide (API version 2012-11-05). Where this differs is told in
docs/queue.md.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from flintfield.queues import attributes, digests, errors
from flintfield.queues import operations as ops
from flintfield.queues.attributes import Settings
from flintfield.queues.errors import QueueError
from flintfield.queues.messages import (
    Abandoned, Asked, Drop, Effect, Fetch, Fetched, Keep, KeepFailed, Kept, Message, Put, Reply,
)
from flintfield.queues.receipts import Receipt, Receipts
from flintfield.queues.records import (
    MESSAGE, META, QUEUE, SEEN, STATE, BodyRecord, NUMBER, QueueRecord, SeenRecord, StateRecord, encode,
    read_body, read_key, read_queue, read_seen, read_seen_key, read_state, seen_key,
)
from flintfield.queues.shelf import Entry, Shelf

MOST_BATCH = 10
MOST_IN_FLIGHT = 120_000  # of a queue, as published
MOST_POLLS = 10_000  # of all queues: each holds a connection
MOST_QUEUES = 1_000
MOST_TAGS = 50
LONGEST_S = 43_200  # a message is in flight for twelve hours at the most
SEEN_MS = 300_000  # a deduplication id counts for five minutes
REST_MS = 60_000  # between two purges, and after a delete before the name comes back
SEQ_BLOCK = 10_000  # message numbers reserved at a time: none is given twice, also after a crash
MOVE_BATCH = 100  # messages moved in one step, so that nothing else waits long
MOVES_KEPT = 10
NEXT_SEQ = b"next-seq"

# --------------------------------------------------------------------- state


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
    followers: list[Callable[[Turn, ops.Sent | QueueError], None]] = field(default_factory=list)


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


# --------------------------------------------------------------------- opening


def recover(state: State, now: int, queues: Iterable[tuple[bytes, bytes]], messages: Iterable[bytes],
            states: Iterable[tuple[bytes, bytes]], seen: Iterable[tuple[bytes, bytes]],
            next_seq: bytes | None) -> list[Drop]:
    """Take in what the store has: queues, keys of messages, states, deduplication ids.

    What belongs to no queue any more (a delete that had not come to its end) is returned to be dropped. A
    message that a client has keeps its time; one that the scheduler had is `bound.recover`'s.
    """
    lost: list[Drop] = []
    for key, value in queues:
        record, number = read_queue(value), NUMBER.unpack(key)[0]
        queue = Queue(number, record.name, Shelf(number, record.settings), record.created, record.modified,
                      record.tags)
        state.queues[record.name] = state.numbers[number] = queue
        state.next_queue = max(state.next_queue, number + 1)
    come_far = {key: read_state(value) for key, value in states}
    for key in messages:
        origin, seq, sent, group = read_key(key)
        told = come_far.pop(key, None)
        home = state.numbers.get(told.queue if told else origin)
        if home is None:
            lost += [(MESSAGE, key), (STATE, key)]
            continue
        home.shelf.add(Entry(seq, origin, sent, group, told), now)
        state.next_seq = max(state.next_seq, seq + 1)
    lost += [(STATE, key) for key in come_far]
    for key, value in seen:
        number, scope, name = read_seen_key(key)
        record_seen, where = read_seen(value), state.numbers.get(number)
        if where is None or record_seen.until <= now:
            lost.append((SEEN, key))
            continue
        told_sent = ops.Sent("", state.receipts.message_id(number, record_seen.seq), "",
                             sequence=_sequence(record_seen.seq))
        where.seen[scope, name] = Seen(record_seen.seq, record_seen.until, told_sent)
    for queue in state.queues.values():
        queue.seen = OrderedDict(sorted(queue.seen.items(), key=lambda item: item[1].until))
    state.next_seq = max(state.next_seq, int.from_bytes(next_seq or b"", "big"))
    state.seqs_until = state.next_seq
    return lost


# ------------------------------------------------------------------------ step


def step(state: State, now: float, message: Message) -> list[Effect]:
    """Take one message in; the effects it calls for, in order."""
    turn = Turn(state, int(now))
    turn.take(message)
    return turn.effects


class Turn:
    """One step: what it changes, and the effects it gathers."""

    def __init__(self, state: State, now: int) -> None:
        self.state, self.now = state, now
        self.effects: list[Effect] = []

    def take(self, message: Message) -> None:
        """Take the message in."""
        if isinstance(message, Asked):
            self._ask(message)
        elif isinstance(message, Kept):
            self._arrived(message.ticket, ())
        elif isinstance(message, Fetched):
            self._arrived(message.ticket, message.values)
        elif isinstance(message, KeepFailed):
            self._keep_failed(message)
        elif isinstance(message, Abandoned):
            self._abandoned(message.call)
        else:
            self._tick()

    # ------------------------------------------------------------ the disk

    def write(self, puts: Iterable[Put], drops: Iterable[Drop], done: Callable[[Turn], None],
              failed: Callable[[Turn, str], None], call: int = 0, lazy: bool = False,
              fetch: tuple[tuple[str, bytes], ...] = (),
              done_with: Callable[[Turn, tuple[bytes | None, ...]], None] | None = None) -> Pending:
        """Ask for a batch, and for values beside it; `done` follows once both are there."""
        ticket, state = self.state.next_ticket, self.state
        state.next_ticket += 1

        def finish(now: int, values: tuple[bytes | None, ...]) -> list[Effect]:
            turn = Turn(state, now)
            done_with(turn, values) if done_with else done(turn)
            return turn.effects

        def fail(now: int, word: str) -> list[Effect]:
            turn = Turn(state, now)
            failed(turn, word)
            return turn.effects

        pending = state.pending[ticket] = Pending(1 + bool(fetch), finish, fail, call=call)
        self.effects.append(Keep(ticket, tuple(puts), tuple(drops), lazy))
        if fetch:
            self.effects.append(Fetch(ticket, fetch))
        return pending

    def _arrived(self, ticket: int, values: tuple[bytes | None, ...]) -> None:
        if (pending := self.state.pending.get(ticket)) is None:
            return
        pending.left -= 1
        pending.values = pending.values or values
        if pending.left == 0:
            del self.state.pending[ticket]
            self.effects += pending.done(self.now, pending.values)

    def _keep_failed(self, message: KeepFailed) -> None:
        if pending := self.state.pending.pop(message.ticket, None):
            self.state.counters["keeps_failed"] += 1
            self.effects += pending.failed(self.now, message.word)

    # --------------------------------------------------------------- calls

    def _ask(self, message: Asked) -> None:
        operation = message.operation
        self.state.counters[f"calls.{type(operation).__name__}"] += 1
        try:
            OPERATIONS[type(operation)](self, message.call, operation)
        except QueueError as error:
            self.reply(message.call, error)

    def reply(self, call: int, result: ops.Result) -> None:
        """Answer a call."""
        if isinstance(result, QueueError):
            self.state.counters[f"errors.{result.code}"] += 1
        self.effects.append(Reply(call, result))

    def fails(self, call: int) -> Callable[[Turn, str], None]:
        """What follows on a batch that was turned down, where there is nothing to take back."""
        return lambda turn, word: turn.reply(call, errors.unavailable(word))

    def queue(self, name: str) -> Queue:
        """The queue of that name; else the published error."""
        if (queue := self.state.queues.get(name)) is None:
            raise errors.no_queue()
        return queue

    def _abandoned(self, call: int) -> None:
        for queue in self.state.queues.values():
            if queue.polls.pop(call, None):
                self.state.polls -= 1
                return
        for pending in self.state.pending.values():
            if pending.call == call:
                pending.call = 0  # a receive that finds it so puts its messages back

    # ---------------------------------------------------------- the queues

    def create(self, call: int, given: ops.CreateQueue) -> None:
        state = self.state
        settings = attributes.read(given.attributes, Settings(), new=True)
        attributes.check_name(given.name, settings.fifo)
        _check_tags(given.tags)
        if there := state.queues.get(given.name):
            wanted = attributes.read(given.attributes, there.settings, new=True)
            if wanted != there.settings:
                raise errors.queue_exists(given.name)
            self.reply(call, ops.Done(given.name))
            return
        if state.deleted.get(given.name, 0) > self.now:
            raise errors.deleted_recently()
        if len(state.queues) >= MOST_QUEUES:
            raise errors.over_limit(f"There are {MOST_QUEUES} queues already.")
        self._check_redrive(given.name, settings)
        number = state.next_queue
        state.next_queue += 1
        queue = Queue(number, given.name, Shelf(number, settings), self.now, self.now, dict(given.tags))
        state.queues[given.name] = state.numbers[number] = queue

        def undo(turn: Turn, word: str) -> None:
            if turn.state.numbers.pop(number, None):
                turn.state.queues.pop(given.name, None)
            turn.reply(call, errors.unavailable(word))

        self.write([(QUEUE, NUMBER.pack(number), queue.record())], (),
                   lambda turn: turn.reply(call, ops.Done(given.name)), undo)

    def _check_redrive(self, name: str, settings: Settings) -> None:
        if not settings.redrive:
            return
        target = self.state.of_arn(settings.redrive.target_arn)
        if target is None:
            raise errors.bad_attribute("RedrivePolicy", "the dead-letter queue does not exist.")
        if target.settings.fifo != settings.fifo or target.name == name:
            raise errors.bad_attribute("RedrivePolicy", "the dead-letter queue must be another queue of the "
                                                        "same type, FIFO or standard.")
        allow = target.settings.redrive_allow
        if allow and not allow.allows(self.state.arn(name)):
            raise errors.bad_attribute("RedrivePolicy", "the dead-letter queue does not allow this source.")

    def delete_queue(self, call: int, given: ops.DeleteQueue) -> None:
        queue, state = self.queue(given.queue), self.state
        if queue.name in state.reserved:
            raise errors.unsupported("The operators' file binds this queue to a class of jobs.")
        del state.queues[queue.name], state.numbers[queue.number]
        state.deleted = {n: until for n, until in state.deleted.items() if until > self.now}
        state.deleted[queue.name] = self.now + REST_MS
        for poll in list(queue.polls.values()):
            self.reply(poll.call, errors.no_queue())
        state.polls -= len(queue.polls)
        queue.polls.clear()
        drops = [d for e in queue.shelf.entries.values() for d in drops_of(e)]
        drops += [(SEEN, seen_key(queue.number, *name)) for name in queue.seen]

        def undo(turn: Turn, word: str) -> None:
            turn.state.queues[queue.name] = turn.state.numbers[queue.number] = queue
            turn.state.deleted.pop(queue.name, None)
            turn.reply(call, errors.unavailable(word))

        def drop_messages(turn: Turn) -> None:
            # What a crash leaves of them belongs to no queue, and goes at the next start.
            for at in range(0, len(drops), SEQ_BLOCK):
                turn.write((), drops[at:at + SEQ_BLOCK], nothing, no_matter, lazy=True)
            turn.reply(call, ops.Done())

        self.write((), [(QUEUE, NUMBER.pack(queue.number))], drop_messages, undo)

    def find(self, call: int, given: ops.FindQueue) -> None:
        self.reply(call, ops.Done(self.queue(given.queue).name))

    def list_queues(self, call: int, given: ops.ListQueues) -> None:
        names = [n for n in sorted(self.state.queues) if n.startswith(given.prefix) and n > given.after]
        self._names(call, names, given.most)

    def list_sources(self, call: int, given: ops.ListSources) -> None:
        queue = self.queue(given.queue)
        self._names(call, [q.name for q in self.state.sources(queue) if q.name > given.after], given.most)

    def _names(self, call: int, names: list[str], most: int) -> None:
        if not 1 <= most <= 1_000:
            raise errors.bad_value("MaxResults must be from 1 to 1000.")
        self.reply(call, ops.Names(tuple(names[:most]), names[most - 1] if len(names) > most else ""))

    def get_attributes(self, call: int, given: ops.GetAttributes) -> None:
        queue = self.queue(given.queue)
        shelf = queue.shelf
        told = attributes.words(queue.settings) | dict(zip(attributes.COMPUTED, (
            str(shelf.waiting), str(len(shelf.in_flight)), str(len(shelf.delayed)),
            str(queue.created // 1000), str(queue.modified // 1000), self.state.arn(queue.name),
        ), strict=True))
        known = {*attributes.READERS, *attributes.COMPUTED, *attributes.NOT_SUPPORTED, "All"}
        for name in given.names:
            if name not in known:
                raise errors.bad_attribute(name)
        wanted = told if "All" in given.names else {n: told[n] for n in given.names if n in told}
        self.reply(call, ops.Texts(wanted))

    def set_attributes(self, call: int, given: ops.SetAttributes) -> None:
        queue = self.queue(given.queue)
        before = queue.settings
        settings = attributes.read(given.attributes, before, new=False)
        if settings.redrive != before.redrive:
            self._check_redrive(queue.name, settings)
        self._change(call, queue, settings, queue.tags)

    def tag(self, call: int, given: ops.Tag) -> None:
        queue = self.queue(given.queue)
        tags = {k: v for k, v in (queue.tags | dict(given.tags)).items() if k not in given.untag}
        _check_tags(tags)
        self._change(call, queue, queue.settings, tags)

    def _change(self, call: int, queue: Queue, settings: Settings, tags: dict[str, str]) -> None:
        before = queue.settings, queue.tags, queue.modified

        def set_to(settings: Settings, tags: dict[str, str], modified: int) -> None:
            queue.shelf.settings, queue.tags, queue.modified = settings, tags, modified
            queue.shelf.recount()

        def undo(turn: Turn, word: str) -> None:
            set_to(*before)
            turn.reply(call, errors.unavailable(word))

        set_to(settings, tags, self.now)
        self.write([(QUEUE, NUMBER.pack(queue.number), queue.record())], (),
                   lambda turn: turn.reply(call, ops.Done()), undo)

    def list_tags(self, call: int, given: ops.ListTags) -> None:
        self.reply(call, ops.Texts(dict(self.queue(given.queue).tags)))

    def purge(self, call: int, given: ops.Purge) -> None:
        queue = self.queue(given.queue)
        if self.now - queue.purged < REST_MS:
            raise errors.purge_in_progress(queue.name)
        # What the scheduler has in work stays: its outcome is still owed.
        gone = [e for e in queue.shelf.entries.values() if e.held != "scheduler"]
        for entry in gone:
            queue.shelf.remove(entry, self.now)
        before, queue.purged = queue.purged, self.now

        def undo(turn: Turn, word: str) -> None:
            queue.purged = before
            for entry in gone:
                queue.shelf.add(entry, turn.now)
            turn.reply(call, errors.unavailable(word))

        drops = [d for e in gone for d in drops_of(e)]
        self.write((), drops, lambda turn: turn.reply(call, ops.Done()), undo)

    # ------------------------------------------------------------- sending

    def send(self, call: int, given: ops.Send) -> None:
        """Send messages; the bad entries of a batch fail alone."""
        queue = self.queue(given.queue)
        self._age(queue)
        _check_batch([m.entry for m in given.messages], "SendMessageBatchRequestEntry")
        sizes = [digests.size(m.body, m.attributes) for m in given.messages]
        if len(sizes) > 1 and sum(sizes) > digests.MOST_BYTES:
            raise errors.batch_too_long(sum(sizes))
        results: list[tuple[str, ops.Sent | QueueError | None]] = [(m.entry, None) for m in given.messages]
        fresh: list[tuple[int, Entry, ops.Sent, Seen | None, tuple[str, str]]] = []
        puts: list[Put] = []
        waits = [0]

        def settle(turn: Turn, place: int, result: ops.Sent | QueueError) -> None:
            entry = results[place][0]
            if isinstance(result, ops.Sent):
                result = _for_entry(result, given.messages[place], entry)
            results[place] = entry, result
            waits[0] -= 1
            if waits[0] == 0:
                turn.reply(call, _entries(results))

        for place, (message, size) in enumerate(zip(given.messages, sizes, strict=True)):
            waits[0] += 1
            try:
                name = self._check_message(queue, message, size)
            except QueueError as error:
                results[place] = message.entry, error
                waits[0] -= 1
                continue
            if seen := queue.seen.get(name) if name[1] else None:
                self.state.counters["sends.repeated"] += 1
                if seen.told:
                    results[place] = message.entry, _for_entry(seen.told, message, message.entry)
                    waits[0] -= 1
                else:  # the first one is on its way to the disk: this one shares its fate
                    seen.followers.append(partial(_follow, settle, place))
                continue
            entry, sent, new_puts = self._new_message(queue, message, given.sender, name)
            mark = None
            if name[1]:
                mark = queue.seen[name] = Seen(entry.seq, self.now + SEEN_MS, None)
            fresh.append((place, entry, sent, mark, name))
            puts += new_puts
        if not fresh:
            if waits[0] == 0:
                self.reply(call, _entries(results))
            return
        if (reserve := self.reserve()) is not None:
            puts.append(reserve)

        def done(turn: Turn) -> None:
            turn.state.counters["sends.kept"] += len(fresh)
            for place, entry, sent, mark, _ in fresh:
                turn.put_in(queue, entry)
                settle(turn, place, sent)
                turn.tell(mark, sent)
            turn.serve(queue)

        def undo(turn: Turn, word: str) -> None:
            for place, _, _, mark, name in fresh:
                if mark:
                    del queue.seen[name]
                settle(turn, place, errors.unavailable(word))
                turn.tell(mark, errors.unavailable(word))

        self.write(puts, (), done, undo)

    def tell(self, mark: Seen | None, result: ops.Sent | QueueError) -> None:
        """Tell those that sent the same deduplication id meanwhile."""
        if mark is None:
            return
        if isinstance(result, ops.Sent):
            mark.told = result
        followers, mark.followers = mark.followers, []
        for follow in followers:
            follow(self, result)

    def _check_message(self, queue: Queue, message: ops.Outgoing, size: int) -> tuple[str, str]:
        """Refuse a message that can not be; its scope and deduplication id, empty where there is none."""
        settings = queue.settings
        if not message.body:
            raise errors.missing("MessageBody")
        digests.check_text(message.body)
        digests.check_attributes(message.attributes)
        if size > settings.most_bytes:
            raise errors.bad_value("One or more parameters are invalid. Reason: Message must be shorter than "
                                   f"{settings.most_bytes} bytes.")
        if message.delay_s is not None and not 0 <= message.delay_s <= 900:
            raise errors.bad_value(f"Value {message.delay_s} for parameter DelaySeconds is invalid. Reason: "
                                   "DelaySeconds must be >= 0 and <= 900.")
        tokens = {"MessageGroupId": message.group, "MessageDeduplicationId": message.deduplication}
        for name, text in tokens.items():
            if text and not _is_token(text):
                raise errors.bad_value(f"Value {text} for parameter {name} is invalid. Reason: {name} "
                                       "can only "
                                       "include alphanumeric and punctuation characters. 1 to 128 in length.")
        if not settings.fifo:
            if message.deduplication:
                raise errors.bad_value(f"Value {message.deduplication} for parameter "
                                       "MessageDeduplicationId is "
                                       "invalid. Reason: The request includes a parameter that is not valid "
                                       "for this queue type.")
            return "", ""
        if not message.group:
            raise errors.missing("MessageGroupId")
        if message.delay_s:
            raise errors.bad_value(f"Value {message.delay_s} for parameter DelaySeconds is invalid. "
                                   "Reason: The "
                                   "request include parameter that is not valid for this queue type.")
        if not message.deduplication and not settings.by_content:
            raise errors.bad_value("The queue should either have ContentBasedDeduplication enabled or "
                                   "MessageDeduplicationId provided explicitly")
        name = message.deduplication or hashlib.sha256(message.body.encode()).hexdigest()
        return message.group if settings.group_scope else "", name

    def _new_message(self, queue: Queue, message: ops.Outgoing, sender: str,
                     name: tuple[str, str]) -> tuple[Entry, ops.Sent, list[Put]]:
        seq = self.state.next_seq
        self.state.next_seq += 1
        delay = queue.settings.delay_s if message.delay_s is None else message.delay_s
        entry = Entry(seq, queue.number, self.now, message.group)
        given = tuple((n, a.data_type, a.raw) for n, a in message.attributes.items())
        body = BodyRecord(message.body, given, sender, message.trace_header, name[1])
        puts: list[Put] = [(MESSAGE, entry.key, encode(body))]
        if delay:
            entry.state = StateRecord(queue.number, self.now + delay * 1000)
            puts.append((STATE, entry.key, encode(entry.state)))
        if name[1]:
            puts.append((SEEN, seen_key(queue.number, *name), encode(SeenRecord(seq, self.now + SEEN_MS))))
        sent = ops.Sent("", self.state.receipts.message_id(queue.number, seq), "",
                        sequence=_sequence(seq) if queue.settings.fifo else "")
        return entry, sent, puts

    def reserve(self) -> Put | None:
        """Reserve the next numbers on disk with the batch that comes near their end."""
        state = self.state
        if state.next_seq <= state.seqs_until:
            return None
        state.seqs_until = state.next_seq + SEQ_BLOCK
        return META, NEXT_SEQ, state.seqs_until.to_bytes(8, "big")

    def put_in(self, queue: Queue, entry: Entry) -> None:
        """A message that is on disk enters its queue, unless that was deleted meanwhile."""
        if self.state.numbers.get(queue.number) is queue:
            queue.shelf.add(entry, self.now)
        else:
            self.write((), drops_of(entry), nothing, no_matter, lazy=True)

    # ----------------------------------------------------------- receiving

    def receive(self, call: int, given: ops.Receive) -> None:
        queue = self.queue(given.queue)
        wait = queue.settings.wait_s if given.wait_s is None else given.wait_s
        if not 1 <= given.most <= MOST_BATCH:
            raise errors.bad_value(f"Value {given.most} for parameter MaxNumberOfMessages is invalid. "
                                   "Reason: "
                                   "Must be between 1 and 10, if provided.")
        if not 0 <= wait <= 20:
            raise errors.bad_value(f"Value {wait} for parameter WaitTimeSeconds is invalid. Reason: "
                                   "Must be >= "
                                   "0 and <= 20, if provided.")
        _check_visibility(0 if given.visibility_s is None else given.visibility_s)
        if given.attempt and not queue.settings.fifo:
            raise errors.bad_value("ReceiveRequestAttemptId is for FIFO queues only.")
        if not queue.settings.fifo and len(queue.shelf.in_flight) >= MOST_IN_FLIGHT:
            raise errors.over_limit(f"There are {MOST_IN_FLIGHT} messages in flight already.")
        self._age(queue)
        if self._again(queue, call, given) or self._take(queue, call, given):
            return
        if wait == 0:
            self.reply(call, ops.Received())
            return
        if self.state.polls >= MOST_POLLS:
            raise errors.over_limit(f"There are {MOST_POLLS} receives waiting already.")
        self.state.polls += 1
        queue.polls[call] = Poll(call, given, self.now + wait * 1000)
        heapq.heappush(self.state.poll_ends, (self.now + wait * 1000, queue.number, call))

    def _again(self, queue: Queue, call: int, given: ops.Receive) -> bool:
        """The same receive once more within five minutes: the same messages, if nothing came between."""
        if not given.attempt or (before := queue.attempts.get(given.attempt)) is None:
            return False
        until, seqs = before
        entries = [queue.shelf.entries.get(s) for s in seqs]
        still = [e for e in entries if e and e.held == "client" and e.visible > self.now]
        if until <= self.now or len(still) < len(entries):
            del queue.attempts[given.attempt]
            return False
        self._hand_out(queue, call, given, still, again=True)
        return True

    def _take(self, queue: Queue, call: int, given: ops.Receive) -> bool:
        """Hand out what can be taken; whether there was anything."""
        room = MOST_IN_FLIGHT - len(queue.shelf.in_flight)
        entries = self.ready(queue, min(given.most, room))
        if not entries:
            return False
        if given.attempt:
            queue.attempts[given.attempt] = self.now + SEEN_MS, tuple(e.seq for e in entries)
            while len(queue.attempts) > MOST_POLLS:
                queue.attempts.popitem(last=False)
        self._hand_out(queue, call, given, entries)
        return True

    def ready(self, queue: Queue, most: int) -> list[Entry]:
        """What can be taken next; what was received too often goes to the dead-letter queue instead."""
        redrive = queue.settings.redrive
        target = self.state.of_arn(redrive.target_arn) if redrive else None
        while most > 0:
            entries = queue.shelf.ready(self.now, most)
            spent = [e for e in entries if redrive and target and e.receives >= redrive.most_receives]
            if not spent:
                return entries
            assert target
            self.bury(queue, target, spent)
        return []

    def bury(self, queue: Queue, target: Queue, entries: list[Entry], word: str = "") -> None:
        """Move messages to a dead-letter queue."""
        puts, before = [], [e.state for e in entries]
        for entry in entries:
            queue.shelf.remove(entry, self.now)
            counted = self.now if queue.settings.fifo else entry.counted_from
            entry.state = StateRecord(target.number, self.now, entry.receives, entry.state.first
                                      if entry.state else 0, entry.state.number if entry.state else 0,
                                      counted_from=counted, word=word)
            puts.append((STATE, entry.key, encode(entry.state)))
        self.state.counters["moved_to_dead_letters"] += len(entries)

        def done(turn: Turn) -> None:
            for entry in entries:
                turn.put_in(target, entry)
            turn.serve(target)

        def undo(turn: Turn, _: str) -> None:
            for entry, state in zip(entries, before, strict=True):
                entry.state = state
                turn.put_in(queue, entry)

        self.write(puts, (), done, undo)

    def _hand_out(self, queue: Queue, call: int, given: ops.Receive, entries: list[Entry],
                  again: bool = False) -> None:
        """Take messages for a client, and answer once that is on disk and their bodies are here.

        `again`: they are this client's already; handles and counts stay, only their time begins anew.
        """
        span = queue.settings.visibility_s if given.visibility_s is None else given.visibility_s
        puts: list[Put] = []
        before = [e.state for e in entries]
        for entry in entries:
            visible = self.now + span * 1000
            entry.state = (msgspec.structs.replace(entry.state, visible=visible) if again and entry.state
                           else self.taken(queue, entry, "client", visible))
            queue.shelf.hide(entry, self.now)
            puts.append((STATE, entry.key, encode(entry.state)))
        after = [e.state for e in entries]
        fetch = tuple((MESSAGE, e.key) for e in entries)
        self.state.counters["received"] += len(entries)

        def give_back(turn: Turn) -> None:
            for entry, old, new in zip(entries, before, after, strict=True):
                if new and entry.state is new:  # nobody else has had it since
                    visible = min(turn.now, entry.visible)
                    entry.state = msgspec.structs.replace(new, visible=visible, holder="",
                                                          receives=old.receives if old else 0)
                    queue.shelf.release(entry, turn.now)

        def done(turn: Turn, values: tuple[bytes | None, ...]) -> None:
            if not pending.call:  # the client has gone: others may have them at once
                turn.state.counters["receives_abandoned"] += 1
                give_back(turn)
                turn.serve(queue)
                return
            messages = [turn.message(queue, e, s, v) for e, s, v in zip(entries, after, values, strict=True)
                        if v is not None and s is not None]
            turn.reply(call, ops.Received(tuple(messages)))

        def undo(turn: Turn, word: str) -> None:
            give_back(turn)
            turn.reply(call, errors.unavailable(word))

        pending = self.write(puts, (), nothing, undo, call, fetch=fetch, done_with=done)

    def taken(self, queue: Queue, entry: Entry, holder: Any, visible: int) -> StateRecord:
        """A message's state once it is received anew."""
        old = entry.state or StateRecord(queue.number, 0)
        return msgspec.structs.replace(old, visible=visible, receives=old.receives + 1, number=old.number + 1,
                                       first=old.first or self.now, holder=holder)

    def message(self, queue: Queue, entry: Entry, state: StateRecord, value: bytes) -> ops.Message:
        """A message as a client gets it."""
        body, receipts = read_body(value), self.state.receipts
        system = {
            "SenderId": body.sender, "SentTimestamp": str(entry.counted_from),
            "ApproximateReceiveCount": str(state.receives),
            "ApproximateFirstReceiveTimestamp": str(state.first),
        }
        if entry.group:
            system["MessageGroupId"] = entry.group
        if queue.settings.fifo:
            system |= {"MessageDeduplicationId": body.deduplication, "SequenceNumber": _sequence(entry.seq)}
        if body.trace_header:
            system["AWSTraceHeader"] = body.trace_header
        if entry.origin != queue.number and (origin := self.state.numbers.get(entry.origin)):
            system["DeadLetterQueueSourceArn"] = self.state.arn(origin.name)
        return ops.Message(
            receipts.message_id(entry.origin, entry.seq),
            receipts.make(Receipt(queue.number, entry.seq, state.number)), body.body,
            digests.md5_of_body(body.body), digests.attributes_of(body.attributes), system)

    def serve(self, queue: Queue) -> None:
        """Give what can be taken to those that wait, the first first."""
        while queue.polls and queue.shelf.has_ready():
            call, poll = next(iter(queue.polls.items()))
            if not self._take(queue, call, poll.operation):
                return
            del queue.polls[call]
            self.state.polls -= 1

    # ------------------------------------------------------ receipt handles

    def _held(self, queue: Queue, handle: str) -> tuple[Receipt, Entry | None]:
        receipt = self.state.receipts.read(handle)
        if receipt is None or receipt.queue != queue.number:
            self.state.counters["handles_refused"] += 1
            raise errors.bad_receipt()
        return receipt, queue.shelf.entries.get(receipt.seq)

    def delete(self, call: int, given: ops.Delete) -> None:
        """Delete messages. One that is gone already is deleted; an old handle deletes nothing, and is told so
        by a FIFO queue alone."""
        queue = self.queue(given.queue)
        _check_batch([h.entry for h in given.handles], "DeleteMessageBatchRequestEntry")
        results: list[tuple[str, str | QueueError | None]] = []
        gone: list[Entry] = []
        puts: list[Put] = []
        for handle in given.handles:
            try:
                self._delete_one(queue, handle, gone, puts)
                results.append((handle.entry, handle.entry))
            except QueueError as error:
                results.append((handle.entry, error))
        if not gone and not puts:
            self.reply(call, _entries(results))
            return
        for entry in gone:
            queue.shelf.remove(entry, self.now)
        self.state.counters["deleted"] += len(gone)
        self.serve(queue)  # the next of a FIFO group

        def undo(turn: Turn, word: str) -> None:
            for entry in gone:
                turn.put_in(queue, entry)
            turn.reply(call, errors.unavailable(word))

        self.write(puts, [d for e in gone for d in drops_of(e)],
                   lambda turn: turn.reply(call, _entries(results)), undo)

    def _delete_one(self, queue: Queue, handle: ops.Handle, gone: list[Entry], puts: list[Put]) -> None:
        receipt, entry = self._held(queue, handle.handle)
        if entry is None or entry in gone:
            return
        assert entry.state
        if entry.held == "scheduler":
            # A delete that comes while its job runs: what runs can't be stopped, but it is never tried again.
            self.state.counters["deleted_while_running"] += 1
            entry.state = msgspec.structs.replace(entry.state, withdrawn=True)
            puts.append((STATE, entry.key, encode(entry.state)))
            return
        expired = entry.held != "client" or entry.visible <= self.now
        if receipt.number != entry.state.number or (queue.settings.fifo and expired):
            self.state.counters["handles_expired"] += 1
            if queue.settings.fifo:
                raise errors.bad_value(f"Value {handle.handle} for parameter ReceiptHandle is invalid. "
                                       "Reason: "
                                       "The receipt handle has expired.")
            return
        gone.append(entry)

    def change_visibility(self, call: int, given: ops.ChangeVisibility) -> None:
        queue = self.queue(given.queue)
        _check_batch([h.entry for h in given.handles], "ChangeMessageVisibilityBatchRequestEntry")
        results: list[tuple[str, str | QueueError | None]] = []
        puts: list[Put] = []
        for handle in given.handles:
            try:
                if put := self._change_one(queue, handle):
                    puts.append(put)
                results.append((handle.entry, handle.entry))
            except QueueError as error:
                results.append((handle.entry, error))
        if not puts:
            self.reply(call, _entries(results))
            return
        self.serve(queue)
        self.write(puts, (), lambda turn: turn.reply(call, _entries(results)), self.fails(call))

    def _change_one(self, queue: Queue, handle: ops.Handle) -> Put | None:
        _check_visibility(handle.visibility_s)
        receipt, entry = self._held(queue, handle.handle)
        if entry is None:
            raise errors.bad_value(f"Value {handle.handle} for parameter ReceiptHandle is invalid. Reason: "
                                   "Message does not exist or is not available for visibility timeout "
                                   "change.")
        state = entry.state
        # A job in work is the scheduler's: a change to 0 in mid-run must not let it run twice.
        held = entry.held == "client" and entry.visible > self.now
        if state is None or not held or receipt.number != state.number:
            raise errors.not_in_flight()
        visible = self.now + handle.visibility_s * 1000
        if visible > state.first + LONGEST_S * 1000:
            raise errors.bad_value(f"Value {handle.visibility_s} for parameter VisibilityTimeout is invalid. "
                                   "Reason: Total VisibilityTimeout for the message is beyond the limit "
                                   f"[{LONGEST_S} seconds].")
        entry.state = msgspec.structs.replace(state, visible=visible)
        queue.shelf.hide(entry, self.now)
        return STATE, entry.key, encode(entry.state)

    # ---------------------------------------------------------------- moves

    def start_move(self, call: int, given: ops.StartMove) -> None:
        state = self.state
        source = state.of_arn(given.source_arn)
        if source is None:
            raise errors.no_resource("The resource that you specified for the SourceArn parameter "
                                     "doesn't exist.")
        if not state.sources(source):
            raise errors.bad_value("Source queue must be configured as a Dead Letter Queue.")
        target = state.of_arn(given.target_arn) if given.target_arn else None
        if given.target_arn and target is None:
            raise errors.no_resource("The resource that you specified for the DestinationArn parameter "
                                     "doesn't "
                                     "exist.")
        if target and (target is source or target.settings.fifo != source.settings.fifo):
            raise errors.bad_value("The destination must be another queue of the same type.")
        if given.per_s and not 1 <= given.per_s <= 500:
            raise errors.bad_value("MaxNumberOfMessagesPerSecond must be from 1 to 500.")
        if any(t.source is source and t.status == "RUNNING" for t in state.moves.values()):
            raise errors.unsupported("There is already a task running. Only one active task is allowed for a "
                                     "source queue arn at a given time.")
        handle = state.receipts.make(Receipt(source.number, state.next_ticket, self.now & 0xFFFFFFFF))
        state.moves[handle] = MoveTask(handle, source, target, given.per_s, self.now, source.shelf.waiting,
                                       self.now)
        while len(state.moves) > MOVES_KEPT * MOST_QUEUES:
            state.moves.popitem(last=False)
        self.reply(call, ops.Done(handle))
        self._move_some(state.moves[handle])

    def cancel_move(self, call: int, given: ops.CancelMove) -> None:
        task = self.state.moves.get(given.handle)
        if task is None:
            raise errors.no_resource("Task does not exist.")
        if task.status != "RUNNING":
            raise errors.unsupported("Only active tasks can be cancelled.")
        task.status = "CANCELLED"
        self.reply(call, ops.Done(str(task.moved)))

    def list_moves(self, call: int, given: ops.ListMoves) -> None:
        source = self.state.of_arn(given.source_arn)
        if source is None:
            raise errors.no_resource("The resource that you specified for the SourceArn parameter "
                                     "doesn't exist.")
        if not 1 <= given.most <= MOVES_KEPT:
            raise errors.bad_value("MaxResults must be from 1 to 10.")
        tasks = [t for t in reversed(self.state.moves.values()) if t.source is source][:given.most]
        self.reply(call, ops.Moves(tuple(self._told(t) for t in tasks)))

    def _told(self, task: MoveTask) -> ops.Move:
        target = self.state.arn(task.target.name) if task.target else ""
        return ops.Move(task.handle if task.status == "RUNNING" else "", task.status,
                        self.state.arn(task.source.name), target, task.per_s, task.moved, task.to_move,
                        task.started, task.word)

    def _move_some(self, task: MoveTask) -> None:
        """Move the next part; each goes back to where it was sent to, unless a queue was named."""
        if task.status != "RUNNING" or task.in_step or task.next > self.now:
            return
        share = max(1, task.per_s // 10) if task.per_s else MOVE_BATCH
        entries = task.source.shelf.ready(self.now, min(share, task.to_move - task.moved))
        homes = [(e, task.target or self.state.numbers.get(e.origin)) for e in entries]
        if not entries or any(home is None for _, home in homes):
            task.status = "FAILED" if entries else "COMPLETED"
            task.word = "CouldNotDetermineMessageSource" if entries else ""
            return
        puts = []
        for entry, home in homes:
            assert home
            task.source.shelf.remove(entry, self.now)
            number = entry.state.number if entry.state else 0
            entry.state = StateRecord(home.number, self.now, number=number, counted_from=self.now)
            puts.append((STATE, entry.key, encode(entry.state)))
        task.in_step, task.next = True, self.now + (share * 1000 / task.per_s if task.per_s else 0)

        def done(turn: Turn) -> None:
            task.in_step = False
            task.moved += len(entries)
            for entry, home in homes:
                assert home
                turn.put_in(home, entry)
            for home in {h.number: h for _, h in homes if h}.values():
                turn.serve(home)
            turn._move_some(task)

        def undo(turn: Turn, word: str) -> None:
            task.in_step, task.status, task.word = False, "FAILED", word
            for entry in entries:
                entry.state = StateRecord(task.source.number, turn.now, number=entry.state.number
                                          if entry.state else 0)
                turn.put_in(task.source, entry)

        self.write(puts, (), done, undo)

    # ---------------------------------------------------------------- time

    def _tick(self) -> None:
        for queue in list(self.state.queues.values()):
            self._age(queue)
            self.serve(queue)
        while (first := self.state.first_poll()) is not None and first[0] <= self.now:
            del self.state.numbers[first[1]].polls[first[2]]
            self.state.polls -= 1
            self.reply(first[2], ops.Received())
        for task in list(self.state.moves.values()):
            self._move_some(task)

    def _age(self, queue: Queue) -> None:
        """Let what is due be seen again; drop what is too old, and deduplication ids that count no more."""
        old = [e for e in queue.shelf.advance(self.now) if e.held != "scheduler"]
        for entry in old:
            queue.shelf.remove(entry, self.now)
        drops = [d for e in old for d in drops_of(e)]
        while queue.seen and next(iter(queue.seen.values())).until <= self.now:
            name, _ = queue.seen.popitem(last=False)
            drops.append((SEEN, seen_key(queue.number, *name)))
        while queue.attempts and next(iter(queue.attempts.values()))[0] <= self.now:
            queue.attempts.popitem(last=False)
        if drops:
            self.state.counters["expired"] += len(old)
            self.write((), drops, nothing, no_matter, lazy=True)


OPERATIONS: dict[type, Callable[[Turn, int, Any], None]] = {
    ops.CreateQueue: Turn.create, ops.DeleteQueue: Turn.delete_queue, ops.FindQueue: Turn.find,
    ops.ListQueues: Turn.list_queues, ops.ListSources: Turn.list_sources,
    ops.GetAttributes: Turn.get_attributes, ops.SetAttributes: Turn.set_attributes, ops.Purge: Turn.purge,
    ops.Tag: Turn.tag, ops.ListTags: Turn.list_tags, ops.Send: Turn.send, ops.Receive: Turn.receive,
    ops.Delete: Turn.delete, ops.ChangeVisibility: Turn.change_visibility, ops.StartMove: Turn.start_move,
    ops.CancelMove: Turn.cancel_move, ops.ListMoves: Turn.list_moves,
}


# ----------------------------------------------------------------------- words


def drops_of(entry: Entry) -> list[Drop]:
    return [(MESSAGE, entry.key), *([(STATE, entry.key)] if entry.state else [])]


def _follow(settle: Callable[[Turn, int, ops.Sent | QueueError], None], place: int, turn: Turn,
            result: ops.Sent | QueueError) -> None:
    settle(turn, place, result)


def nothing(_: Turn) -> None:
    """Nobody waits for it."""


def no_matter(_: Turn, __: str) -> None:
    """What was not dropped now is dropped at the next start."""


def _sequence(seq: int) -> str:
    return f"{seq:020d}"


def _is_token(text: str) -> bool:
    return len(text) <= 128 and all("!" <= c <= "~" for c in text)


def _check_visibility(seconds: int) -> None:
    if not 0 <= seconds <= LONGEST_S:
        raise errors.bad_value(f"Value {seconds} for parameter VisibilityTimeout is invalid. Reason: Must be "
                               f"between 0 and {LONGEST_S}.")


def _check_tags(tags: Any) -> None:
    if len(tags) > MOST_TAGS:
        raise errors.bad_value(f"Too many tags: {len(tags)}, at most {MOST_TAGS}.")
    for key, value in tags.items():
        if not 1 <= len(key) <= 128 or len(value) > 256:
            raise errors.bad_value(f"Tag {key[:128]!r}: keys have 1 to 128 characters, values at most 256.")


def _check_batch(ids: list[str], name: str) -> None:
    """Refuse a batch as a whole; a single operation has one entry without an id."""
    if not ids:
        raise errors.empty_batch(name)
    if len(ids) > MOST_BATCH:
        raise errors.too_many_entries(len(ids))
    if ids == [""]:
        return
    for i, entry in enumerate(ids):
        if not 1 <= len(entry) <= 80 or not all(c.isascii() and (c.isalnum() or c in "-_") for c in entry):
            raise errors.bad_entry_id()
        if entry in ids[:i]:
            raise errors.ids_not_distinct(entry)


def _for_entry(sent: ops.Sent, message: ops.Outgoing, entry: str) -> ops.Sent:
    return ops.Sent(entry, sent.message_id, digests.md5_of_body(message.body),
                    digests.md5_of_attributes(message.attributes), sent.sequence)


def _entries(results: Iterable[tuple[str, Any]]) -> ops.Entries:
    done = [r for _, r in results if r is not None and not isinstance(r, QueueError)]
    return ops.Entries(tuple(done), tuple((e, r) for e, r in results if isinstance(r, QueueError)))
