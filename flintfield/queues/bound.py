"""Queues bound to a class of jobs: their messages are taken as transactions, and each gets one final answer.

Rules.
- A message that the scheduler has in work is seen by nobody else, however long that lasts: the
  transaction's own deadline is its bound. A visibility time that runs out in mid-run lets nothing run
  twice.
- Before a job's first byte leaves for a worker node, `let_out` is on disk. So after a crash it is known of
  each message whether its job may have run.
- A message whose job must not run twice and may have run is never seen again: it goes to the dead-letter
  queue with the word `may-have-run`, and the reply queue says `failed`.
- The end of a message and its word to the reply queue are one batch: both are on disk, or neither is.

Theory of operation. `Lease` takes messages that are ready, as a receive would, and marks them as the
scheduler's. `LettingOut` asks for the mark on disk, and `MayLetOut` allows the first byte. `Settle` ends
it: a served message is deleted; one that failed is buried; one that was refused, and so surely did not run,
is seen again after `retry_after_ms`, until it was tried as often as its redrive policy allows or a client
deleted it meanwhile (`withdrawn`): then it is answered `refused` and buried or deleted. After a restart
`recover` does the same with what the last process had in work.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

import msgspec

from flintfield.queues.digests import attributes_of
from flintfield.queues.limits import SEEN_MS
from flintfield.queues.messages import (
    Binding, BoundMessage, Drop, Effect, Job, Lease, Leased, LettingOut, MayLetOut, Put, Settle, Settled,
    Verdict,
)
from flintfield.queues.receiving import ready, received_state, serve_polls
from flintfield.queues.records import (
    MESSAGE, SEEN, STATE, BodyRecord, SeenRecord, StateRecord, encode, read_body, seen_key,
)
from flintfield.queues.shelf import Entry
from flintfield.queues.state import Queue, State
from flintfield.queues.turn import Turn, Values, drops_of, no_follow_up

MAY_HAVE_RUN = "may-have-run"
MOST_TRIES = 100  # of a queue without a redrive policy


def step(state: State, now: float, bindings: Mapping[str, Binding], message: BoundMessage) -> list[Effect]:
    """Take one message of the scheduler's in; the effects it calls for, in order."""
    turn = Turn(state, int(now))
    binding, queue = bindings[message.queue], state.queues.get(message.queue)
    if queue is None:
        return []
    if isinstance(message, Lease):
        _lease(turn, queue, message.most)
    elif (entry := queue.shelf.entries.get(message.seq)) is None or entry.held != "scheduler":
        return []
    elif isinstance(message, LettingOut):
        _let_out(turn, queue, entry)
    else:
        _settle(turn, binding, queue, entry, message)
    return turn.effects


def _lease(turn: Turn, queue: Queue, most: int) -> None:
    entries = ready(turn, queue, most)
    if not entries:
        return
    puts: list[Put] = []
    before = [e.state for e in entries]
    for entry in entries:
        entry.state = received_state(turn, queue, entry, "scheduler", turn.now)
        queue.shelf.hide(entry, turn.now)
        puts.append((STATE, entry.key, encode(entry.state)))

    def done(later: Turn, values: Values) -> None:
        jobs = [_job(later, queue, e, v) for e, v in zip(entries, values, strict=True) if v is not None]
        later.effects.append(Leased(queue.name, tuple(jobs)))

    def undo(later: Turn, _: str) -> None:
        for entry, old in zip(entries, before, strict=True):
            entry.state = old
            queue.shelf.release(entry, later.now)
        later.effects.append(Leased(queue.name, ()))

    # Lazy: a lease that a crash forgets is a message that is still there, and nothing of it was let out.
    turn.write_and_fetch(puts, tuple((MESSAGE, e.key) for e in entries), done, undo, lazy=True)


def _job(turn: Turn, queue: Queue, entry: Entry, value: bytes) -> Job:
    body = read_body(value)
    return Job(queue.name, entry.seq, turn.state.receipts.message_id(entry.origin, entry.seq), body.body,
               attributes_of(body.attributes), entry.sent, entry.receives, entry.group)


def _let_out(turn: Turn, queue: Queue, entry: Entry) -> None:
    assert entry.state
    if entry.state.let_out:
        turn.effects.append(MayLetOut(queue.name, entry.seq, True))
        return
    marked = msgspec.structs.replace(entry.state, let_out=True)

    def done(later: Turn) -> None:
        if entry.state and entry.held == "scheduler":
            entry.state = msgspec.structs.replace(entry.state, let_out=True)
        later.effects.append(MayLetOut(queue.name, entry.seq, True))

    def undo(later: Turn, _: str) -> None:
        later.effects.append(MayLetOut(queue.name, entry.seq, False))

    turn.write([(STATE, entry.key, encode(marked))], (), done, undo)


def _settle(turn: Turn, binding: Binding, queue: Queue, entry: Entry, told: Settle) -> None:
    """End a job in one batch; until that is on disk the message stays the scheduler's."""
    assert entry.state
    puts: list[Put] = []
    drops: list[Drop] = []
    replies: list[tuple[Queue, Entry]] = []
    verdict, old = told.verdict, entry.state
    tried_out = entry.receives >= _most_tries(queue)
    buried: Queue | None = None
    again: StateRecord | None = None
    if verdict == "refused" and not told.may_have_run and not tried_out and not old.withdrawn:
        again = StateRecord(queue.number, turn.now + int(told.retry_after_ms), old.receives, old.first,
                            old.number, counted_from=old.counted_from)
        puts.append((STATE, entry.key, encode(again)))
    else:
        if verdict != "served" and not old.withdrawn:
            buried = turn.state.queues.get(binding.dead_letters)
        word = MAY_HAVE_RUN if told.may_have_run else verdict
        if buried:
            put, state = _bury_put(turn, entry, buried, word)
            puts.append(put)
        else:
            drops += drops_of(entry)
        reply = _reply(turn, binding, queue, entry, verdict, told.result, word if verdict != "served" else "")
        if reply:
            replies.append(reply[0])
            puts += reply[1]

    def done(later: Turn) -> None:
        if again:
            entry.state = again
            queue.shelf.release(entry, later.now)
        else:
            queue.shelf.remove(entry, later.now)
            if buried:
                entry.state = state
                later.enqueue(buried, entry)
        for home, answer in replies:
            later.enqueue(home, answer)
            serve_polls(later, home)
        serve_polls(later, queue)
        if buried:
            serve_polls(later, buried)
        later.state.reply_seqs.pop(entry.seq, None)
        later.state.counters[f"bound.{'again' if again else verdict}"] += 1
        later.effects.append(Settled(queue.name, entry.seq, True))

    def undo(later: Turn, _: str) -> None:
        later.effects.append(Settled(queue.name, entry.seq, False))

    turn.write(puts, drops, done, undo)


def _most_tries(queue: Queue) -> int:
    return queue.settings.redrive.most_receives if queue.settings.redrive else MOST_TRIES


def _bury_put(turn: Turn, entry: Entry, target: Queue, word: str) -> tuple[Put, StateRecord]:
    old = entry.state or StateRecord(target.number, 0)
    state = StateRecord(target.number, turn.now, old.receives, old.first, old.number,
                        let_out=old.let_out, counted_from=turn.now, word=word)
    return (STATE, entry.key, encode(state)), state


def _reply(turn: Turn, binding: Binding, queue: Queue, entry: Entry, verdict: Verdict, result: str,
           word: str) -> tuple[tuple[Queue, Entry], list[Put]] | None:
    """The message to the reply queue; None if there is no such queue."""
    home = turn.state.queues.get(binding.reply_queue)
    if home is None:
        turn.state.counters["bound.no_reply_queue"] += 1
        return None
    message_id = turn.state.receipts.message_id(entry.origin, entry.seq)
    told = {"message_id": message_id, "outcome": verdict, "class": binding.class_name}
    if verdict == "served":
        told["result"] = result
    elif word and word != verdict:
        told["reason"] = word
    text = json.dumps(told, separators=(",", ":"))
    # An end that is tried again, because nobody knows whether its batch is on disk, has the same reply.
    seq = turn.state.reply_seqs.get(entry.seq, 0)
    if not seq:
        seq = turn.state.reply_seqs[entry.seq] = turn.next_sequence()
    group = (entry.group or queue.name) if home.settings.fifo else ""
    told_by = (("message_id", "String", message_id.encode()), ("outcome", "String", verdict.encode()))
    body = BodyRecord(text, told_by, "flintfield", "", message_id if home.settings.fifo else "")
    answer = Entry(seq, home.number, turn.now, group)
    puts: list[Put] = [(MESSAGE, answer.key, encode(body))]
    if home.settings.fifo:
        puts.append((SEEN, seen_key(home.number, group if home.settings.group_scope else "", message_id),
                     encode(SeenRecord(seq, turn.now + SEEN_MS))))
    if reserve := turn.reserve_sequences():
        puts.append(reserve)
    return (home, answer), puts


# -------------------------------------------------------------------- recovery


def recover(state: State, now: float, bindings: Mapping[str, Binding]) -> list[Effect]:
    """End, or free, what the last process had in work; the effects are to be carried out before serving.

    What was let out and must not run twice may have run: it is failed. All else is seen again at once.
    """
    effects: list[Effect] = []
    for queue in list(state.queues.values()):
        binding = bindings.get(queue.name)
        for entry in [e for e in queue.shelf.entries.values() if e.held == "scheduler"]:
            turn = Turn(state, int(now))
            assert entry.state
            unsafe = binding is None or binding.unsafe
            if entry.state.let_out and unsafe and binding:
                end = Settle(queue.name, entry.seq, "failed", may_have_run=True)
                _settle(turn, binding, queue, entry, end)
            elif entry.state.let_out and unsafe:
                continue  # its binding is gone from the file: it stays where nobody sees it, and is counted
            elif entry.state.withdrawn and binding:
                _settle(turn, binding, queue, entry, Settle(queue.name, entry.seq, "refused"))
            else:
                _free(turn, queue, entry)
            effects += turn.effects
    return effects


def _free(turn: Turn, queue: Queue, entry: Entry) -> None:
    assert entry.state
    entry.state = msgspec.structs.replace(entry.state, holder="", let_out=False, visible=turn.now)
    queue.shelf.release(entry, turn.now)
    turn.write([(STATE, entry.key, encode(entry.state))], (), no_follow_up, lambda *_: None, lazy=True)
