"""Build the state of the queues from what the store has."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from flintfield.queues import operations as ops
from flintfield.queues.messages import Drop
from flintfield.queues.records import (
    MESSAGE, NUMBER, SEEN, STATE, read_key, read_queue, read_seen, read_seen_key, read_state,
)
from flintfield.queues.shelf import Entry, Shelf
from flintfield.queues.state import Queue, Seen, State
from flintfield.queues.turn import sequence_number


def recover(state: State, now: int, queues: Iterable[tuple[bytes, bytes]], messages: Iterable[bytes],
            states: Iterable[tuple[bytes, bytes]], seen: Iterable[tuple[bytes, bytes]],
            next_seq: bytes | None) -> list[Drop]:
    """Take in what the store has: queues, keys of messages, states, deduplication ids.

    What belongs to no queue any more (a delete that had not come to its end) is returned to be dropped. A
    message that a client has keeps its time; one that the scheduler had is `bound.recover`'s.
    """
    _recover_queues(state, queues)
    lost = _recover_messages(state, now, messages, states)
    lost += _recover_seen(state, now, seen)
    state.next_seq = max(state.next_seq, int.from_bytes(next_seq or b"", "big"))
    state.seqs_until = state.next_seq
    return lost


def _recover_queues(state: State, queues: Iterable[tuple[bytes, bytes]]) -> None:
    for key, value in queues:
        record, number = read_queue(value), NUMBER.unpack(key)[0]
        queue = Queue(number, record.name, Shelf(number, record.settings), record.created, record.modified,
                      record.tags)
        state.queues[record.name] = state.numbers[number] = queue
        state.next_queue = max(state.next_queue, number + 1)


def _recover_messages(state: State, now: int, messages: Iterable[bytes],
                      states: Iterable[tuple[bytes, bytes]]) -> list[Drop]:
    """Put messages into their queues; what belongs to none is returned."""
    lost: list[Drop] = []
    message_states = {key: read_state(value) for key, value in states}
    for key in messages:
        origin, seq, sent, group = read_key(key)
        known = message_states.pop(key, None)
        home = state.numbers.get(known.queue if known else origin)
        if home is None:
            lost += [(MESSAGE, key), (STATE, key)]
            continue
        home.shelf.add(Entry(seq, origin, sent, group, known), now)
        state.next_seq = max(state.next_seq, seq + 1)
    lost += [(STATE, key) for key in message_states]
    return lost


def _recover_seen(state: State, now: int, seen: Iterable[tuple[bytes, bytes]]) -> list[Drop]:
    """Put deduplication ids into their queues, the oldest first; what counts no more is returned."""
    lost: list[Drop] = []
    for key, value in seen:
        number, scope, name = read_seen_key(key)
        record, queue = read_seen(value), state.numbers.get(number)
        if queue is None or record.until <= now:
            lost.append((SEEN, key))
            continue
        sent = ops.Sent("", state.receipts.message_id(number, record.seq), "",
                        sequence=sequence_number(record.seq))
        queue.seen[scope, name] = Seen(record.seq, record.until, sent)
    for queue in state.queues.values():
        queue.seen = OrderedDict(sorted(queue.seen.items(), key=lambda item: item[1].until))
    return lost
