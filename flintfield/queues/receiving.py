"""Receiving: messages are taken for a client, and handed out once that is on disk and their bodies are here.

A receive that finds nothing waits in its queue until something can be taken or its time is over. What was
received too often goes to the dead-letter queue instead.
"""

from __future__ import annotations

import heapq
from typing import Any

import msgspec

from flintfield.queues import digests, errors
from flintfield.queues import operations as ops
from flintfield.queues.checks import check_visibility
from flintfield.queues.expiry import expire
from flintfield.queues.limits import LONGEST_POLL_S, MOST_BATCH, MOST_IN_FLIGHT, MOST_POLLS, SEEN_MS
from flintfield.queues.messages import Put
from flintfield.queues.receipts import Receipt
from flintfield.queues.records import MESSAGE, STATE, StateRecord, encode, read_body
from flintfield.queues.shelf import Entry
from flintfield.queues.state import Poll, Queue
from flintfield.queues.turn import Turn, Values, sequence_number


def receive(turn: Turn, call: int, given: ops.Receive) -> None:
    """Hand out messages, or wait for some."""
    queue = turn.queue(given.queue)
    wait_s = queue.settings.wait_s if given.wait_s is None else given.wait_s
    _check_receive(queue, given, wait_s)
    expire(turn, queue)
    if _repeat(turn, queue, call, given) or _take(turn, queue, call, given):
        return
    if wait_s == 0:
        turn.reply(call, ops.Received())
        return
    if turn.state.polls >= MOST_POLLS:
        raise errors.over_limit(f"There are {MOST_POLLS} receives waiting already.")
    turn.state.polls += 1
    until = turn.now + wait_s * 1000
    queue.polls[call] = Poll(call, given, until)
    heapq.heappush(turn.state.poll_ends, (until, queue.number, call))


def _check_receive(queue: Queue, given: ops.Receive, wait_s: int) -> None:
    if not 1 <= given.most <= MOST_BATCH:
        raise errors.bad_value(f"Value {given.most} for parameter MaxNumberOfMessages is invalid. Reason: "
                               f"Must be between 1 and {MOST_BATCH}, if provided.")
    if not 0 <= wait_s <= LONGEST_POLL_S:
        raise errors.bad_value(f"Value {wait_s} for parameter WaitTimeSeconds is invalid. Reason: "
                               f"Must be >= 0 and <= {LONGEST_POLL_S}, if provided.")
    check_visibility(0 if given.visibility_s is None else given.visibility_s)
    if given.attempt and not queue.settings.fifo:
        raise errors.bad_value("ReceiveRequestAttemptId is for FIFO queues only.")
    if not queue.settings.fifo and len(queue.shelf.in_flight) >= MOST_IN_FLIGHT:
        raise errors.over_limit(f"There are {MOST_IN_FLIGHT} messages in flight already.")


def serve_polls(turn: Turn, queue: Queue) -> None:
    """Give what can be taken to those that wait, the first first."""
    while queue.polls and queue.shelf.has_ready():
        call, poll = next(iter(queue.polls.items()))
        if not _take(turn, queue, call, poll.operation):
            return
        del queue.polls[call]
        turn.state.polls -= 1


def end_polls(turn: Turn) -> None:
    """Answer the receives that have waited long enough."""
    state = turn.state
    while (first := state.first_poll()) is not None and first[0] <= turn.now:
        _, number, call = first
        del state.numbers[number].polls[call]
        state.polls -= 1
        turn.reply(call, ops.Received())


# ----------------------------------------------------------------- what is taken


def _repeat(turn: Turn, queue: Queue, call: int, given: ops.Receive) -> bool:
    """The same receive once more within five minutes: the same messages, if nothing came between."""
    if not given.attempt or (before := queue.attempts.get(given.attempt)) is None:
        return False
    until, seqs = before
    entries = [queue.shelf.entries.get(s) for s in seqs]
    still = [e for e in entries if e and e.held == "client" and e.visible > turn.now]
    if until <= turn.now or len(still) < len(entries):
        del queue.attempts[given.attempt]
        return False
    _hand_out(turn, queue, call, given, still, again=True)
    return True


def _take(turn: Turn, queue: Queue, call: int, given: ops.Receive) -> bool:
    """Hand out what can be taken; whether there was anything."""
    room = MOST_IN_FLIGHT - len(queue.shelf.in_flight)
    entries = ready(turn, queue, min(given.most, room))
    if not entries:
        return False
    if given.attempt:
        queue.attempts[given.attempt] = turn.now + SEEN_MS, tuple(e.seq for e in entries)
        while len(queue.attempts) > MOST_POLLS:
            queue.attempts.popitem(last=False)
    _hand_out(turn, queue, call, given, entries)
    return True


def ready(turn: Turn, queue: Queue, most: int) -> list[Entry]:
    """What can be taken next; what was received too often goes to the dead-letter queue instead."""
    redrive = queue.settings.redrive
    target = turn.state.of_arn(redrive.target_arn) if redrive else None
    while most > 0:
        entries = queue.shelf.ready(turn.now, most)
        spent = [e for e in entries if redrive and target and e.receives >= redrive.most_receives]
        if not spent:
            return entries
        assert target
        _move_to_dead_letters(turn, queue, target, spent)
    return []


def _move_to_dead_letters(turn: Turn, queue: Queue, target: Queue, entries: list[Entry]) -> None:
    puts, before = [], [e.state for e in entries]
    for entry in entries:
        queue.shelf.remove(entry, turn.now)
        counted = turn.now if queue.settings.fifo else entry.counted_from
        first, number = (entry.state.first, entry.state.number) if entry.state else (0, 0)
        entry.state = StateRecord(target.number, turn.now, entry.receives, first, number,
                                  counted_from=counted)
        puts.append((STATE, entry.key, encode(entry.state)))
    turn.state.counters["moved_to_dead_letters"] += len(entries)

    def done(turn: Turn) -> None:
        for entry in entries:
            turn.enqueue(target, entry)
        serve_polls(turn, target)

    def undo(turn: Turn, _: str) -> None:
        for entry, state in zip(entries, before, strict=True):
            entry.state = state
            turn.enqueue(queue, entry)

    turn.write(puts, (), done, undo)


# --------------------------------------------------------------------- hand out


def _hand_out(turn: Turn, queue: Queue, call: int, given: ops.Receive, entries: list[Entry],
              again: bool = False) -> None:
    """Take messages for a client, and answer once that is on disk and their bodies are here.

    `again`: they are this client's already; handles and counts stay, only their time begins anew.
    """
    before = [e.state for e in entries]
    puts = _hide(turn, queue, given, entries, again)
    after = [e.state for e in entries]
    turn.state.counters["received"] += len(entries)

    def give_back(turn: Turn) -> None:
        for entry, old, new in zip(entries, before, after, strict=True):
            is_here = queue.shelf.entries.get(entry.seq) is entry  # it may have been purged or have expired
            if new and entry.state is new and is_here:  # nobody else has had it since
                _give_back(turn, queue, entry, new, old.receives if old else 0)

    def done(turn: Turn, values: Values) -> None:
        if not pending.call:  # the client has gone: others may have them at once
            turn.state.counters["receives_abandoned"] += 1
            give_back(turn)
            serve_polls(turn, queue)
            return
        messages = [_message(turn, queue, e, s, v) for e, s, v in zip(entries, after, values, strict=True)
                    if v is not None and s is not None]
        turn.reply(call, ops.Received(tuple(messages)))

    def undo(turn: Turn, word: str) -> None:
        give_back(turn)
        turn.reply(call, errors.unavailable(word))

    keys = tuple((MESSAGE, e.key) for e in entries)
    pending = turn.write_and_fetch(puts, keys, done, undo, call)


def _hide(turn: Turn, queue: Queue, given: ops.Receive, entries: list[Entry], again: bool) -> list[Put]:
    span_s = queue.settings.visibility_s if given.visibility_s is None else given.visibility_s
    visible = turn.now + span_s * 1000
    puts: list[Put] = []
    for entry in entries:
        if again and entry.state:
            entry.state = msgspec.structs.replace(entry.state, visible=visible)
        else:
            entry.state = received_state(turn, queue, entry, "client", visible)
        queue.shelf.hide(entry, turn.now)
        puts.append((STATE, entry.key, encode(entry.state)))
    return puts


def _give_back(turn: Turn, queue: Queue, entry: Entry, state: StateRecord, receives: int) -> None:
    visible = min(turn.now, entry.visible)
    entry.state = msgspec.structs.replace(state, visible=visible, holder="", receives=receives)
    queue.shelf.release(entry, turn.now)


def received_state(turn: Turn, queue: Queue, entry: Entry, holder: Any, visible: int) -> StateRecord:
    """A message's state once it is received anew."""
    old = entry.state or StateRecord(queue.number, 0)
    return msgspec.structs.replace(old, visible=visible, receives=old.receives + 1, number=old.number + 1,
                                   first=old.first or turn.now, holder=holder)


def _message(turn: Turn, queue: Queue, entry: Entry, state: StateRecord, value: bytes) -> ops.Message:
    """A message as a client gets it."""
    body, receipts = read_body(value), turn.state.receipts
    system = {
        "SenderId": body.sender, "SentTimestamp": str(entry.counted_from),
        "ApproximateReceiveCount": str(state.receives),
        "ApproximateFirstReceiveTimestamp": str(state.first),
    }
    if entry.group:
        system["MessageGroupId"] = entry.group
    if queue.settings.fifo:
        system["MessageDeduplicationId"] = body.deduplication
        system["SequenceNumber"] = sequence_number(entry.seq)
    if body.trace_header:
        system["AWSTraceHeader"] = body.trace_header
    if entry.origin != queue.number and (origin := turn.state.numbers.get(entry.origin)):
        system["DeadLetterQueueSourceArn"] = turn.state.arn(origin.name)
    return ops.Message(
        receipts.message_id(entry.origin, entry.seq),
        receipts.make(Receipt(queue.number, entry.seq, state.number)), body.body,
        digests.md5_of_body(body.body), digests.attributes_of(body.attributes), system)
