"""Sending: a message enters its queue with the `Kept` of its batch, and until then nobody can receive it.

A second send of a deduplication id within five minutes gets the first one's answer; while that one is on its
way to the disk, the second waits for its fate.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from functools import partial

from flintfield.queues import digests, errors
from flintfield.queues import operations as ops
from flintfield.queues.checks import batch_answer, check_batch, is_token
from flintfield.queues.errors import QueueError
from flintfield.queues.expiry import expire
from flintfield.queues.limits import LONGEST_DELAY_S, SEEN_MS
from flintfield.queues.messages import Put
from flintfield.queues.receiving import serve_polls
from flintfield.queues.records import (
    MESSAGE, SEEN, STATE, BodyRecord, SeenRecord, StateRecord, encode, seen_key,
)
from flintfield.queues.shelf import Entry
from flintfield.queues.state import Answering, Queue, Seen
from flintfield.queues.turn import Turn, sequence_number

DeduplicationName = tuple[str, str]
"""The scope (a group, or empty for the whole queue) and the id; the id is empty where there is none."""


@dataclass(frozen=True, slots=True)
class _NewMessage:
    """A message that this call sends; `seen` is its deduplication id's mark, if it has one."""

    place: int  # in the batch
    entry: Entry
    sent: ops.Sent
    seen: Seen | None
    name: DeduplicationName


class _Batch:
    """The entries of one send and their results; the call is answered with the last of them."""

    def __init__(self, call: int, messages: tuple[ops.Outgoing, ...] | list[ops.Outgoing]) -> None:
        self._call, self._messages = call, messages
        self._results: list[tuple[str, ops.Sent | QueueError | None]] = [(m.entry, None) for m in messages]
        self._open = len(messages)

    def set(self, place: int, result: ops.Sent | QueueError) -> None:
        """Note an entry's result."""
        message = self._messages[place]
        if isinstance(result, ops.Sent):
            result = _for_entry(result, message)
        self._results[place] = message.entry, result
        self._open -= 1

    def answer_if_settled(self, turn: Answering) -> None:
        """Answer the call if each entry has its result."""
        if self._open == 0:
            turn.reply(self._call, batch_answer(self._results))

    def settle(self, place: int, turn: Answering, result: ops.Sent | QueueError) -> None:
        """Note an entry's result, and answer the call if it was the last."""
        self.set(place, result)
        self.answer_if_settled(turn)


def send(turn: Turn, call: int, given: ops.Send) -> None:
    """Send messages; the bad entries of a batch fail alone."""
    queue = turn.queue(given.queue)
    expire(turn, queue)
    check_batch([m.entry for m in given.messages], "SendMessageBatchRequestEntry")
    sizes = [digests.size(m.body, m.attributes) for m in given.messages]
    if len(sizes) > 1 and sum(sizes) > digests.MOST_BYTES:
        raise errors.batch_too_long(sum(sizes))
    batch = _Batch(call, given.messages)
    fresh: list[_NewMessage] = []
    puts: list[Put] = []
    for place, (message, size) in enumerate(zip(given.messages, sizes, strict=True)):
        try:
            name = _check_message(queue, message, size)
        except QueueError as error:
            batch.set(place, error)
            continue
        if seen := queue.seen.get(name) if name[1] else None:
            _repeat(turn, batch, place, seen)
            continue
        new, new_puts = _new_message(turn, queue, given, place, name)
        fresh.append(new)
        puts += new_puts
    if fresh:
        _write(turn, queue, batch, fresh, puts)
    else:
        batch.answer_if_settled(turn)


def _repeat(turn: Turn, batch: _Batch, place: int, seen: Seen) -> None:
    """An entry whose deduplication id was sent before."""
    turn.state.counters["sends.repeated"] += 1
    if seen.told:
        batch.set(place, seen.told)
    else:  # the first one is on its way to the disk: this one shares its fate
        seen.followers.append(partial(batch.settle, place))


def _write(turn: Turn, queue: Queue, batch: _Batch, fresh: list[_NewMessage], puts: list[Put]) -> None:
    if (reserve := turn.reserve_sequences()) is not None:
        puts.append(reserve)

    def done(turn: Turn) -> None:
        turn.state.counters["sends.kept"] += len(fresh)
        for new in fresh:
            turn.enqueue(queue, new.entry)
            batch.settle(new.place, turn, new.sent)
            _tell_followers(turn, new.seen, new.sent)
        serve_polls(turn, queue)

    def undo(turn: Turn, word: str) -> None:
        for new in fresh:
            if new.seen and queue.seen.get(new.name) is new.seen:  # else it expired while the batch waited
                del queue.seen[new.name]
            batch.settle(new.place, turn, errors.unavailable(word))
            _tell_followers(turn, new.seen, errors.unavailable(word))

    turn.write(puts, (), done, undo)


def _tell_followers(turn: Turn, seen: Seen | None, result: ops.Sent | QueueError) -> None:
    """Tell those that sent the same deduplication id meanwhile."""
    if seen is None:
        return
    if isinstance(result, ops.Sent):
        seen.told = result
    followers, seen.followers = seen.followers, []
    for follow in followers:
        follow(turn, result)


def _for_entry(sent: ops.Sent, message: ops.Outgoing) -> ops.Sent:
    return ops.Sent(message.entry, sent.message_id, digests.md5_of_body(message.body),
                    digests.md5_of_attributes(message.attributes), sent.sequence)


# ------------------------------------------------------------------------ checks


def _check_message(queue: Queue, message: ops.Outgoing, size: int) -> DeduplicationName:
    """Refuse a message that can not be; its deduplication name."""
    if not message.body:
        raise errors.missing("MessageBody")
    digests.check_text(message.body)
    digests.check_attributes(message.attributes)
    if size > queue.settings.most_bytes:
        raise errors.bad_value("One or more parameters are invalid. Reason: Message must be shorter than "
                               f"{queue.settings.most_bytes} bytes.")
    if message.delay_s is not None and not 0 <= message.delay_s <= LONGEST_DELAY_S:
        raise _invalid(message.delay_s, "DelaySeconds",
                       f"DelaySeconds must be >= 0 and <= {LONGEST_DELAY_S}.")
    tokens = {"MessageGroupId": message.group, "MessageDeduplicationId": message.deduplication}
    for name, text in tokens.items():
        if text and not is_token(text):
            raise _invalid(text, name, f"{name} can only include alphanumeric and punctuation characters. "
                                       "1 to 128 in length.")
    return _fifo_name(queue, message) if queue.settings.fifo else _standard_name(message)


def _standard_name(message: ops.Outgoing) -> DeduplicationName:
    if message.deduplication:
        raise _invalid(message.deduplication, "MessageDeduplicationId",
                       "The request includes a parameter that is not valid for this queue type.")
    return "", ""


def _fifo_name(queue: Queue, message: ops.Outgoing) -> DeduplicationName:
    settings = queue.settings
    if not message.group:
        raise errors.missing("MessageGroupId")
    if message.delay_s:
        raise _invalid(message.delay_s, "DelaySeconds",
                       "The request include parameter that is not valid for this queue type.")
    if not message.deduplication and not settings.by_content:
        raise errors.bad_value("The queue should either have ContentBasedDeduplication enabled or "
                               "MessageDeduplicationId provided explicitly")
    name = message.deduplication or hashlib.sha256(message.body.encode()).hexdigest()
    return message.group if settings.group_scope else "", name


def _invalid(value: object, parameter: str, reason: str) -> QueueError:
    return errors.bad_value(f"Value {value} for parameter {parameter} is invalid. Reason: {reason}")


# ----------------------------------------------------------------- new messages


def _new_message(turn: Turn, queue: Queue, given: ops.Send, place: int,
                 name: DeduplicationName) -> tuple[_NewMessage, list[Put]]:
    message, seq = given.messages[place], turn.next_sequence()
    entry = Entry(seq, queue.number, turn.now, message.group)
    attributes = tuple((n, a.data_type, a.raw) for n, a in message.attributes.items())
    body = BodyRecord(message.body, attributes, given.sender, message.trace_header, name[1])
    puts: list[Put] = [(MESSAGE, entry.key, encode(body))]
    delay_s = queue.settings.delay_s if message.delay_s is None else message.delay_s
    if delay_s:
        entry.state = StateRecord(queue.number, turn.now + delay_s * 1000)
        puts.append((STATE, entry.key, encode(entry.state)))
    seen = None
    if name[1]:
        until = turn.now + SEEN_MS
        puts.append((SEEN, seen_key(queue.number, *name), encode(SeenRecord(seq, until))))
        seen = queue.seen[name] = Seen(seq, until, None)
    sent = ops.Sent("", turn.state.receipts.message_id(queue.number, seq), "",
                    sequence=sequence_number(seq) if queue.settings.fifo else "")
    return _NewMessage(place, entry, sent, seen, name), puts
