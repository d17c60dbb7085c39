"""What time does to a queue: messages that are too old go, and ids that count no more."""

from __future__ import annotations

from flintfield.queues.records import SEEN, seen_key
from flintfield.queues.state import Queue
from flintfield.queues.turn import Turn, drops_of, ignore_failure, no_follow_up


def expire(turn: Turn, queue: Queue) -> None:
    """Let what is due be seen again; drop what is too old, and deduplication ids that count no more."""
    old = [e for e in queue.shelf.advance(turn.now) if e.held != "scheduler"]
    for entry in old:
        queue.shelf.remove(entry, turn.now)
    drops = [d for e in old for d in drops_of(e)]
    while queue.seen and next(iter(queue.seen.values())).until <= turn.now:
        name, _ = queue.seen.popitem(last=False)
        drops.append((SEEN, seen_key(queue.number, *name)))
    while queue.attempts and next(iter(queue.attempts.values()))[0] <= turn.now:
        queue.attempts.popitem(last=False)
    if drops:
        turn.state.counters["expired"] += len(old)
        turn.write((), drops, no_follow_up, ignore_failure, lazy=True)
