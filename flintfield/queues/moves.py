"""Tasks that move messages from a dead-letter queue back to where they were sent, or to a named queue."""

from __future__ import annotations

from flintfield.queues import errors
from flintfield.queues import operations as ops
from flintfield.queues.limits import MOST_MOVES_PER_S, MOST_QUEUES, MOVE_BATCH, MOVES_KEPT
from flintfield.queues.messages import Put
from flintfield.queues.receipts import Receipt
from flintfield.queues.receiving import serve_polls
from flintfield.queues.records import STATE, StateRecord, encode
from flintfield.queues.shelf import Entry
from flintfield.queues.state import MoveTask, Queue
from flintfield.queues.turn import Turn


def start_move(turn: Turn, call: int, given: ops.StartMove) -> None:
    """Start a task; its first part moves at once."""
    state = turn.state
    source = _source(turn, given.source_arn)
    if not state.sources(source):
        raise errors.bad_value("Source queue must be configured as a Dead Letter Queue.")
    target = _target(turn, source, given.target_arn)
    if given.per_s and not 1 <= given.per_s <= MOST_MOVES_PER_S:
        raise errors.bad_value(f"MaxNumberOfMessagesPerSecond must be from 1 to {MOST_MOVES_PER_S}.")
    if any(t.source is source and t.status == "RUNNING" for t in state.moves.values()):
        raise errors.unsupported("There is already a task running. Only one active task is allowed for a "
                                 "source queue arn at a given time.")
    handle = state.receipts.make(Receipt(source.number, state.next_ticket, turn.now & 0xFFFFFFFF))
    task = MoveTask(handle, source, target, given.per_s, turn.now, source.shelf.waiting, turn.now)
    state.moves[handle] = task
    while len(state.moves) > MOVES_KEPT * MOST_QUEUES:
        state.moves.popitem(last=False)
    turn.reply(call, ops.Done(handle))
    move_some(turn, task)


def _source(turn: Turn, arn: str) -> Queue:
    source = turn.state.of_arn(arn)
    if source is None:
        raise errors.no_resource("The resource that you specified for the SourceArn parameter doesn't exist.")
    return source


def _target(turn: Turn, source: Queue, arn: str) -> Queue | None:
    """The queue that was named as the destination; None if none was."""
    if not arn:
        return None
    target = turn.state.of_arn(arn)
    if target is None:
        raise errors.no_resource("The resource that you specified for the DestinationArn parameter doesn't "
                                 "exist.")
    if target is source or target.settings.fifo != source.settings.fifo:
        raise errors.bad_value("The destination must be another queue of the same type.")
    return target


def cancel_move(turn: Turn, call: int, given: ops.CancelMove) -> None:
    """Stop a task; what was moved stays moved."""
    task = turn.state.moves.get(given.handle)
    if task is None:
        raise errors.no_resource("Task does not exist.")
    if task.status != "RUNNING":
        raise errors.unsupported("Only active tasks can be cancelled.")
    task.status = "CANCELLED"
    turn.reply(call, ops.Done(str(task.moved)))


def list_moves(turn: Turn, call: int, given: ops.ListMoves) -> None:
    """The tasks of a source queue, the last first."""
    source = _source(turn, given.source_arn)
    if not 1 <= given.most <= MOVES_KEPT:
        raise errors.bad_value(f"MaxResults must be from 1 to {MOVES_KEPT}.")
    tasks = [t for t in reversed(turn.state.moves.values()) if t.source is source][:given.most]
    turn.reply(call, ops.Moves(tuple(_description(turn, t) for t in tasks)))


def _description(turn: Turn, task: MoveTask) -> ops.Move:
    target = turn.state.arn(task.target.name) if task.target else ""
    return ops.Move(task.handle if task.status == "RUNNING" else "", task.status,
                    turn.state.arn(task.source.name), target, task.per_s, task.moved, task.to_move,
                    task.started, task.word)


def move_some(turn: Turn, task: MoveTask) -> None:
    """Move the next part, if it is due; each goes back to where it was sent to, unless a queue was named."""
    if task.status != "RUNNING" or task.in_step or task.next > turn.now:
        return
    share = max(1, task.per_s // 10) if task.per_s else MOVE_BATCH
    entries = task.source.shelf.ready(turn.now, min(share, task.to_move - task.moved))
    if not entries:
        task.status, task.word = "COMPLETED", ""
        return
    moves: list[tuple[Entry, Queue]] = []
    for entry in entries:
        home = task.target or turn.state.numbers.get(entry.origin)
        if home is None:
            task.status, task.word = "FAILED", "CouldNotDetermineMessageSource"
            return
        moves.append((entry, home))
    task.in_step = True
    task.next = turn.now + (share * 1000 / task.per_s if task.per_s else 0)
    _move(turn, task, moves)


def _move(turn: Turn, task: MoveTask, moves: list[tuple[Entry, Queue]]) -> None:
    puts: list[Put] = []
    for entry, home in moves:
        task.source.shelf.remove(entry, turn.now)
        entry.state = StateRecord(home.number, turn.now, number=_receipt_number(entry), counted_from=turn.now)
        puts.append((STATE, entry.key, encode(entry.state)))

    def done(turn: Turn) -> None:
        task.in_step = False
        task.moved += len(moves)
        for entry, home in moves:
            turn.enqueue(home, entry)
        for home in {h.number: h for _, h in moves}.values():
            serve_polls(turn, home)
        move_some(turn, task)

    def undo(turn: Turn, word: str) -> None:
        task.in_step, task.status, task.word = False, "FAILED", word
        for entry, _ in moves:
            entry.state = StateRecord(task.source.number, turn.now, number=_receipt_number(entry))
            turn.enqueue(task.source, entry)

    turn.write(puts, (), done, undo)


def _receipt_number(entry: Entry) -> int:
    return entry.state.number if entry.state else 0
