"""Checks that several operations share, and the answer of a batch."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from flintfield.queues import errors
from flintfield.queues import operations as ops
from flintfield.queues.errors import QueueError
from flintfield.queues.limits import LONGEST_VISIBILITY_S, MOST_BATCH, MOST_TAGS


def is_token(text: str) -> bool:
    """Whether a text can be a group or a deduplication id."""
    return len(text) <= 128 and all("!" <= c <= "~" for c in text)


def check_visibility(seconds: int) -> None:
    """Refuse a visibility time that is out of bounds."""
    if not 0 <= seconds <= LONGEST_VISIBILITY_S:
        raise errors.bad_value(f"Value {seconds} for parameter VisibilityTimeout is invalid. Reason: Must be "
                               f"between 0 and {LONGEST_VISIBILITY_S}.")


def check_tags(tags: Mapping[str, str]) -> None:
    """Refuse tags that are too many or too long."""
    if len(tags) > MOST_TAGS:
        raise errors.bad_value(f"Too many tags: {len(tags)}, at most {MOST_TAGS}.")
    for key, value in tags.items():
        if not 1 <= len(key) <= 128 or len(value) > 256:
            raise errors.bad_value(f"Tag {key[:128]!r}: keys have 1 to 128 characters, values at most 256.")


def check_batch(ids: list[str], name: str) -> None:
    """Refuse a batch as a whole; a single operation has one entry without an id."""
    if not ids:
        raise errors.empty_batch(name)
    if len(ids) > MOST_BATCH:
        raise errors.too_many_entries(len(ids))
    if ids == [""]:
        return
    for i, entry in enumerate(ids):
        if not 1 <= len(entry) <= 80 or not all(c.isascii() and (c.isalnum() or c in "-_") for c in entry):
            raise errors.bad_entry_id()
        if entry in ids[:i]:
            raise errors.ids_not_distinct(entry)


def batch_answer(results: Iterable[tuple[str, Any]]) -> ops.Entries:
    """The answer of a batch from each entry's id and result; None stands for an entry without one."""
    done = [r for _, r in results if r is not None and not isinstance(r, QueueError)]
    return ops.Entries(tuple(done), tuple((e, r) for e, r in results if isinstance(r, QueueError)))
