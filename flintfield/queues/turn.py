"""One step of the queues: what it reads and changes, the effects it gathers, and what waits for the disk.

Rules. An answer waits for the `Kept` of what it rests on: `Turn.write` keeps what follows in `State.pending`
under a ticket, and `written`, `fetched` and `write_failed` carry it on in the later step.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from flintfield.queues import errors
from flintfield.queues import operations as ops
from flintfield.queues.errors import QueueError
from flintfield.queues.limits import SEQ_BLOCK
from flintfield.queues.messages import Drop, Effect, Fetch, Keep, Put, Reply
from flintfield.queues.records import MESSAGE, META, STATE
from flintfield.queues.shelf import Entry
from flintfield.queues.state import Pending, Queue, State

NEXT_SEQ = b"next-seq"
"""The key, in the keyspace META, of the first message number that is not reserved."""

Values = tuple[bytes | None, ...]


class Turn:
    """One step: what it changes, and the effects it gathers. `now` is in ms since 1970."""

    def __init__(self, state: State, now: int) -> None:
        self.state, self.now = state, now
        self.effects: list[Effect] = []

    # ------------------------------------------------------------ the disk

    def write(self, puts: Iterable[Put], drops: Iterable[Drop], done: Callable[[Turn], None],
              failed: Callable[[Turn, str], None], lazy: bool = False) -> None:
        """Ask for a batch; `done` follows once it is on disk, `failed` if it is turned down.

        `lazy`: it need not be on disk soon.
        """
        self._expect(1, lambda turn, _: done(turn), failed)
        self._keep(puts, drops, lazy)

    def write_and_fetch(self, puts: Iterable[Put], keys: tuple[tuple[str, bytes], ...],
                        done: Callable[[Turn, Values], None], failed: Callable[[Turn, str], None],
                        call: int = 0, lazy: bool = False) -> Pending:
        """Ask for a batch, and for values beside it; `done` follows once both are there.

        `call` is the call that waits for it, if any: `Pending.call` is 0 once its client has gone.
        """
        ticket = self.state.next_ticket
        pending = self._expect(2 if keys else 1, done, failed, call)
        self._keep(puts, (), lazy)
        if keys:
            self.effects.append(Fetch(ticket, keys))
        return pending

    def _expect(self, answers: int, done: Callable[[Turn, Values], None],
                failed: Callable[[Turn, str], None], call: int = 0) -> Pending:
        state = self.state

        def finish(now: int, values: Values) -> list[Effect]:
            turn = Turn(state, now)
            done(turn, values)
            return turn.effects

        def fail(now: int, word: str) -> list[Effect]:
            turn = Turn(state, now)
            failed(turn, word)
            return turn.effects

        pending = state.pending[state.next_ticket] = Pending(answers, finish, fail, call=call)
        return pending

    def _keep(self, puts: Iterable[Put], drops: Iterable[Drop], lazy: bool) -> None:
        self.effects.append(Keep(self.state.next_ticket, tuple(puts), tuple(drops), lazy))
        self.state.next_ticket += 1

    def arrived(self, ticket: int, values: Values) -> None:
        """A batch is on disk, or the values asked for beside it are here."""
        if (pending := self.state.pending.get(ticket)) is None:
            return
        pending.left -= 1
        pending.values = pending.values or values
        if pending.left == 0:
            del self.state.pending[ticket]
            self.effects += pending.done(self.now, pending.values)

    def write_failed(self, ticket: int, word: str) -> None:
        """A batch was turned down, and nothing of it is on disk."""
        if pending := self.state.pending.pop(ticket, None):
            self.state.counters["keeps_failed"] += 1
            self.effects += pending.failed(self.now, word)

    # ---------------------------------------------------------------- calls

    def reply(self, call: int, result: ops.Result) -> None:
        """Answer a call."""
        if isinstance(result, QueueError):
            self.state.counters[f"errors.{result.code}"] += 1
        self.effects.append(Reply(call, result))

    def fails(self, call: int) -> Callable[[Turn, str], None]:
        """What follows on a batch that was turned down, where there is nothing to take back."""
        return lambda turn, word: turn.reply(call, errors.unavailable(word))

    # --------------------------------------------------------------- queues

    def queue(self, name: str) -> Queue:
        """The queue of that name; else the published error."""
        if (queue := self.state.queues.get(name)) is None:
            raise errors.no_queue()
        return queue

    def enqueue(self, queue: Queue, entry: Entry) -> None:
        """A message that is on disk enters its queue, unless that was deleted meanwhile."""
        if self.state.numbers.get(queue.number) is queue:
            queue.shelf.add(entry, self.now)
        else:
            self.write((), drops_of(entry), no_follow_up, ignore_failure, lazy=True)

    def next_sequence(self) -> int:
        """A message number that was never given before."""
        seq = self.state.next_seq
        self.state.next_seq += 1
        return seq

    def reserve_sequences(self) -> Put | None:
        """Reserve the next numbers on disk with the batch that comes near their end."""
        state = self.state
        if state.next_seq <= state.seqs_until:
            return None
        state.seqs_until = state.next_seq + SEQ_BLOCK
        return META, NEXT_SEQ, state.seqs_until.to_bytes(8, "big")


def drops_of(entry: Entry) -> list[Drop]:
    """What goes from the disk with a message."""
    return [(MESSAGE, entry.key), *([(STATE, entry.key)] if entry.state else [])]


def no_follow_up(_: Turn) -> None:
    """Nobody waits for it."""


def ignore_failure(_: Turn, __: str) -> None:
    """What was not dropped now is dropped at the next start."""


def sequence_number(seq: int) -> str:
    """A message's number as the published API writes it."""
    return f"{seq:020d}"
