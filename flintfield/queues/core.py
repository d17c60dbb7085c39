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

This module is the public one: it takes each message to the part that it concerns. `state.py` has the
state, `turn.py` one step of it, `recovery.py` the start; the operations are in `administration.py`,
`sending.py`, `receiving.py`, `handles.py` and `moves.py`.

Source: Amazon SQS API Reference and Developer Guide (API version 2012-11-05). Where this differs is told in
docs/queue.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from flintfield.queues import administration, handles, moves, receiving, sending
from flintfield.queues import operations as ops
from flintfield.queues.errors import QueueError
from flintfield.queues.expiry import expire
from flintfield.queues.messages import Abandoned, Asked, Effect, Fetched, KeepFailed, Kept, Message
from flintfield.queues.recovery import recover
from flintfield.queues.state import Queue, State
from flintfield.queues.turn import NEXT_SEQ, Turn

__all__ = ["NEXT_SEQ", "Queue", "State", "recover", "step"]


def step(state: State, now: float, message: Message) -> list[Effect]:
    """Take one message in; the effects it calls for, in order. `now` is in ms since 1970."""
    turn = Turn(state, int(now))
    if isinstance(message, Asked):
        _ask(turn, message)
    elif isinstance(message, Kept):
        turn.arrived(message.ticket, ())
    elif isinstance(message, Fetched):
        turn.arrived(message.ticket, message.values)
    elif isinstance(message, KeepFailed):
        turn.write_failed(message.ticket, message.word)
    elif isinstance(message, Abandoned):
        _abandon(state, message.call)
    else:
        _tick(turn)
    return turn.effects


def _ask(turn: Turn, message: Asked) -> None:
    operation = message.operation
    turn.state.counters[f"calls.{type(operation).__name__}"] += 1
    try:
        OPERATIONS[type(operation)](turn, message.call, operation)
    except QueueError as error:
        turn.reply(message.call, error)


def _abandon(state: State, call: int) -> None:
    for queue in state.queues.values():
        if queue.polls.pop(call, None):
            state.polls -= 1
            return
    for pending in state.pending.values():
        if pending.call == call:
            pending.call = 0  # a receive that finds it so puts its messages back


def _tick(turn: Turn) -> None:
    for queue in list(turn.state.queues.values()):
        expire(turn, queue)
        receiving.serve_polls(turn, queue)
    receiving.end_polls(turn)
    for task in list(turn.state.moves.values()):
        moves.move_some(turn, task)


OPERATIONS: dict[type, Callable[[Turn, int, Any], None]] = {
    ops.CreateQueue: administration.create,
    ops.DeleteQueue: administration.delete_queue,
    ops.FindQueue: administration.find,
    ops.ListQueues: administration.list_queues,
    ops.ListSources: administration.list_sources,
    ops.GetAttributes: administration.get_attributes,
    ops.SetAttributes: administration.set_attributes,
    ops.Purge: administration.purge,
    ops.Tag: administration.tag,
    ops.ListTags: administration.list_tags,
    ops.Send: sending.send,
    ops.Receive: receiving.receive,
    ops.Delete: handles.delete,
    ops.ChangeVisibility: handles.change_visibility,
    ops.StartMove: moves.start_move,
    ops.CancelMove: moves.cancel_move,
    ops.ListMoves: moves.list_moves,
}
