"""Operations on whole queues: create, delete, list, attributes, tags and purge."""

from __future__ import annotations

from flintfield.queues import attributes, errors
from flintfield.queues import operations as ops
from flintfield.queues.attributes import Settings
from flintfield.queues.checks import check_tags
from flintfield.queues.limits import MOST_NAMES, MOST_QUEUES, REST_MS, SEQ_BLOCK
from flintfield.queues.records import NUMBER, QUEUE, SEEN, seen_key
from flintfield.queues.shelf import Shelf
from flintfield.queues.state import Queue
from flintfield.queues.turn import Turn, drops_of, ignore_failure, no_follow_up

# ------------------------------------------------------------- create and delete


def create(turn: Turn, call: int, given: ops.CreateQueue) -> None:
    """Make a queue, or find the one with the same name and attributes."""
    settings = attributes.read(given.attributes, Settings(), new=True)
    attributes.check_name(given.name, settings.fifo)
    check_tags(given.tags)
    if there := turn.state.queues.get(given.name):
        wanted = attributes.read(given.attributes, there.settings, new=True)
        if wanted != there.settings:
            raise errors.queue_exists(given.name)
        turn.reply(call, ops.Done(given.name))
        return
    if turn.state.deleted.get(given.name, 0) > turn.now:
        raise errors.deleted_recently()
    if len(turn.state.queues) >= MOST_QUEUES:
        raise errors.over_limit(f"There are {MOST_QUEUES} queues already.")
    _check_redrive(turn, given.name, settings)
    queue = _add_queue(turn, given, settings)

    def undo(turn: Turn, word: str) -> None:
        if turn.state.numbers.pop(queue.number, None):
            turn.state.queues.pop(given.name, None)
        turn.reply(call, errors.unavailable(word))

    turn.write([(QUEUE, NUMBER.pack(queue.number), queue.record())], (),
               lambda turn: turn.reply(call, ops.Done(given.name)), undo)


def _add_queue(turn: Turn, given: ops.CreateQueue, settings: Settings) -> Queue:
    state = turn.state
    number = state.next_queue
    state.next_queue += 1
    queue = Queue(number, given.name, Shelf(number, settings), turn.now, turn.now, dict(given.tags))
    state.queues[given.name] = state.numbers[number] = queue
    return queue


def _check_redrive(turn: Turn, name: str, settings: Settings) -> None:
    if not settings.redrive:
        return
    target = turn.state.of_arn(settings.redrive.target_arn)
    if target is None:
        raise errors.bad_attribute("RedrivePolicy", "the dead-letter queue does not exist.")
    if target.settings.fifo != settings.fifo or target.name == name:
        raise errors.bad_attribute("RedrivePolicy", "the dead-letter queue must be another queue of the "
                                                    "same type, FIFO or standard.")
    allow = target.settings.redrive_allow
    if allow and not allow.allows(turn.state.arn(name)):
        raise errors.bad_attribute("RedrivePolicy", "the dead-letter queue does not allow this source.")


def delete_queue(turn: Turn, call: int, given: ops.DeleteQueue) -> None:
    """Delete a queue with all its messages; receives that wait there are refused."""
    queue, state = turn.queue(given.queue), turn.state
    if queue.name in state.reserved:
        raise errors.unsupported("The operators' file binds this queue to a class of jobs.")
    del state.queues[queue.name], state.numbers[queue.number]
    state.deleted = {n: until for n, until in state.deleted.items() if until > turn.now}
    state.deleted[queue.name] = turn.now + REST_MS
    _refuse_polls(turn, queue)
    drops = [d for e in queue.shelf.entries.values() for d in drops_of(e)]
    drops += [(SEEN, seen_key(queue.number, *name)) for name in queue.seen]

    def undo(turn: Turn, word: str) -> None:
        turn.state.queues[queue.name] = turn.state.numbers[queue.number] = queue
        turn.state.deleted.pop(queue.name, None)
        turn.reply(call, errors.unavailable(word))

    def drop_messages(turn: Turn) -> None:
        # What a crash leaves of them belongs to no queue, and goes at the next start.
        for at in range(0, len(drops), SEQ_BLOCK):
            turn.write((), drops[at:at + SEQ_BLOCK], no_follow_up, ignore_failure, lazy=True)
        turn.reply(call, ops.Done())

    turn.write((), [(QUEUE, NUMBER.pack(queue.number))], drop_messages, undo)


def _refuse_polls(turn: Turn, queue: Queue) -> None:
    for poll in list(queue.polls.values()):
        turn.reply(poll.call, errors.no_queue())
    turn.state.polls -= len(queue.polls)
    queue.polls.clear()


# ----------------------------------------------------------------- find and list


def find(turn: Turn, call: int, given: ops.FindQueue) -> None:
    """Whether there is such a queue."""
    turn.reply(call, ops.Done(turn.queue(given.queue).name))


def list_queues(turn: Turn, call: int, given: ops.ListQueues) -> None:
    """The names of queues, in order."""
    names = [n for n in sorted(turn.state.queues) if n.startswith(given.prefix) and n > given.after]
    _reply_names(turn, call, names, given.most)


def list_sources(turn: Turn, call: int, given: ops.ListSources) -> None:
    """The queues whose dead-letter queue this one is."""
    queue = turn.queue(given.queue)
    names = [q.name for q in turn.state.sources(queue) if q.name > given.after]
    _reply_names(turn, call, names, given.most)


def _reply_names(turn: Turn, call: int, names: list[str], most: int) -> None:
    if not 1 <= most <= MOST_NAMES:
        raise errors.bad_value(f"MaxResults must be from 1 to {MOST_NAMES}.")
    turn.reply(call, ops.Names(tuple(names[:most]), names[most - 1] if len(names) > most else ""))


# ----------------------------------------------------------- attributes and tags


def get_attributes(turn: Turn, call: int, given: ops.GetAttributes) -> None:
    """A queue's attributes, set and computed."""
    queue = turn.queue(given.queue)
    known = {*attributes.READERS, *attributes.COMPUTED, *attributes.NOT_SUPPORTED, "All"}
    for name in given.names:
        if name not in known:
            raise errors.bad_attribute(name)
    texts = attributes.words(queue.settings) | _computed(turn, queue)
    wanted = texts if "All" in given.names else {n: texts[n] for n in given.names if n in texts}
    turn.reply(call, ops.Texts(wanted))


def _computed(turn: Turn, queue: Queue) -> dict[str, str]:
    shelf = queue.shelf
    return dict(zip(attributes.COMPUTED, (
        str(shelf.waiting), str(len(shelf.in_flight)), str(len(shelf.delayed)),
        str(queue.created // 1000), str(queue.modified // 1000), turn.state.arn(queue.name),
    ), strict=True))


def set_attributes(turn: Turn, call: int, given: ops.SetAttributes) -> None:
    """Change some of a queue's attributes."""
    queue = turn.queue(given.queue)
    before = queue.settings
    settings = attributes.read(given.attributes, before, new=False)
    if settings.redrive != before.redrive:
        _check_redrive(turn, queue.name, settings)
    _change(turn, call, queue, settings, queue.tags)


def tag(turn: Turn, call: int, given: ops.Tag) -> None:
    """Set and take away tags."""
    queue = turn.queue(given.queue)
    tags = {k: v for k, v in (queue.tags | dict(given.tags)).items() if k not in given.untag}
    check_tags(tags)
    _change(turn, call, queue, queue.settings, tags)


def _change(turn: Turn, call: int, queue: Queue, settings: Settings, tags: dict[str, str]) -> None:
    before = queue.settings, queue.tags, queue.modified

    def set_to(settings: Settings, tags: dict[str, str], modified: int) -> None:
        queue.shelf.settings, queue.tags, queue.modified = settings, tags, modified
        queue.shelf.recount()

    def undo(turn: Turn, word: str) -> None:
        set_to(*before)
        turn.reply(call, errors.unavailable(word))

    set_to(settings, tags, turn.now)
    turn.write([(QUEUE, NUMBER.pack(queue.number), queue.record())], (),
               lambda turn: turn.reply(call, ops.Done()), undo)


def list_tags(turn: Turn, call: int, given: ops.ListTags) -> None:
    """A queue's tags."""
    turn.reply(call, ops.Texts(dict(turn.queue(given.queue).tags)))


# ------------------------------------------------------------------------- purge


def purge(turn: Turn, call: int, given: ops.Purge) -> None:
    """Delete all messages of a queue but those in work at the scheduler: their outcome is still owed."""
    queue = turn.queue(given.queue)
    if turn.now - queue.purged < REST_MS:
        raise errors.purge_in_progress(queue.name)
    gone = [e for e in queue.shelf.entries.values() if e.held != "scheduler"]
    for entry in gone:
        queue.shelf.remove(entry, turn.now)
    before, queue.purged = queue.purged, turn.now

    def undo(turn: Turn, word: str) -> None:
        queue.purged = before
        for entry in gone:
            queue.shelf.add(entry, turn.now)
        turn.reply(call, errors.unavailable(word))

    drops = [d for e in gone for d in drops_of(e)]
    turn.write((), drops, lambda turn: turn.reply(call, ops.Done()), undo)
