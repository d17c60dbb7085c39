"""Operations on messages that were received, by their receipt handles: delete, and change the visibility."""

from __future__ import annotations

import msgspec

from flintfield.queues import errors
from flintfield.queues import operations as ops
from flintfield.queues.checks import batch_answer, check_batch, check_visibility
from flintfield.queues.errors import QueueError
from flintfield.queues.limits import LONGEST_VISIBILITY_S
from flintfield.queues.messages import Put
from flintfield.queues.receipts import Receipt
from flintfield.queues.receiving import serve_polls
from flintfield.queues.records import STATE, encode
from flintfield.queues.shelf import Entry
from flintfield.queues.state import Queue
from flintfield.queues.turn import Turn, drops_of


def _read_handle(turn: Turn, queue: Queue, handle: str) -> tuple[Receipt, Entry | None]:
    receipt = turn.state.receipts.read(handle)
    if receipt is None or receipt.queue != queue.number:
        turn.state.counters["handles_refused"] += 1
        raise errors.bad_receipt()
    return receipt, queue.shelf.entries.get(receipt.seq)


# ------------------------------------------------------------------------ delete


def delete(turn: Turn, call: int, given: ops.Delete) -> None:
    """Delete messages. One that is gone already is deleted; an old handle deletes nothing, and is told so
    by a FIFO queue alone."""
    queue = turn.queue(given.queue)
    check_batch([h.entry for h in given.handles], "DeleteMessageBatchRequestEntry")
    results: list[tuple[str, str | QueueError | None]] = []
    gone: list[Entry] = []
    puts: list[Put] = []
    for handle in given.handles:
        try:
            _delete_one(turn, queue, handle, gone, puts)
            results.append((handle.entry, handle.entry))
        except QueueError as error:
            results.append((handle.entry, error))
    if not gone and not puts:
        turn.reply(call, batch_answer(results))
        return
    for entry in gone:
        queue.shelf.remove(entry, turn.now)
    turn.state.counters["deleted"] += len(gone)
    serve_polls(turn, queue)  # the next of a FIFO group

    def undo(turn: Turn, word: str) -> None:
        for entry in gone:
            turn.enqueue(queue, entry)
        turn.reply(call, errors.unavailable(word))

    turn.write(puts, [d for e in gone for d in drops_of(e)],
               lambda turn: turn.reply(call, batch_answer(results)), undo)


def _delete_one(turn: Turn, queue: Queue, handle: ops.Handle, gone: list[Entry], puts: list[Put]) -> None:
    receipt, entry = _read_handle(turn, queue, handle.handle)
    if entry is None or entry in gone:
        return
    assert entry.state
    if entry.held == "scheduler":
        # A delete that comes while its job runs: what runs can't be stopped, but it is never tried again.
        turn.state.counters["deleted_while_running"] += 1
        entry.state = msgspec.structs.replace(entry.state, withdrawn=True)
        puts.append((STATE, entry.key, encode(entry.state)))
        return
    expired = entry.held != "client" or entry.visible <= turn.now
    if receipt.number != entry.state.number or (queue.settings.fifo and expired):
        turn.state.counters["handles_expired"] += 1
        if queue.settings.fifo:
            raise errors.bad_value(f"Value {handle.handle} for parameter ReceiptHandle is invalid. Reason: "
                                   "The receipt handle has expired.")
        return
    gone.append(entry)


# ------------------------------------------------------------- change visibility


def change_visibility(turn: Turn, call: int, given: ops.ChangeVisibility) -> None:
    """Set how long messages in flight stay hidden, counted from now."""
    queue = turn.queue(given.queue)
    check_batch([h.entry for h in given.handles], "ChangeMessageVisibilityBatchRequestEntry")
    results: list[tuple[str, str | QueueError | None]] = []
    puts: list[Put] = []
    for handle in given.handles:
        try:
            puts.append(_change_one(turn, queue, handle))
            results.append((handle.entry, handle.entry))
        except QueueError as error:
            results.append((handle.entry, error))
    if not puts:
        turn.reply(call, batch_answer(results))
        return
    serve_polls(turn, queue)
    turn.write(puts, (), lambda turn: turn.reply(call, batch_answer(results)), turn.fails(call))


def _change_one(turn: Turn, queue: Queue, handle: ops.Handle) -> Put:
    check_visibility(handle.visibility_s)
    receipt, entry = _read_handle(turn, queue, handle.handle)
    if entry is None:
        raise errors.bad_value(f"Value {handle.handle} for parameter ReceiptHandle is invalid. Reason: "
                               "Message does not exist or is not available for visibility timeout change.")
    state = entry.state
    # A job in work is the scheduler's: a change to 0 in mid-run must not let it run twice.
    held = entry.held == "client" and entry.visible > turn.now
    if state is None or not held or receipt.number != state.number:
        raise errors.not_in_flight()
    visible = turn.now + handle.visibility_s * 1000
    if visible > state.first + LONGEST_VISIBILITY_S * 1000:
        raise errors.bad_value(f"Value {handle.visibility_s} for parameter VisibilityTimeout is invalid. "
                               "Reason: Total VisibilityTimeout for the message is beyond the limit "
                               f"[{LONGEST_VISIBILITY_S} seconds].")
    entry.state = msgspec.structs.replace(state, visible=visible)
    queue.shelf.hide(entry, turn.now)
    return STATE, entry.key, encode(entry.state)
