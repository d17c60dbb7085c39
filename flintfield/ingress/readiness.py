"""When a scheduler calls itself ready (no I/O, no state).

The platform takes a scheduler out after two misses of its poll of 1 s. A scheduler that is cut off from the
core can serve nobody, so it is not ready. A core without a dispatcher (a takeover of 1 to 2 s) is no reason:
every other scheduler is in the same place, and taking out all of them only moves the clients about.
"""

from __future__ import annotations

from dataclasses import dataclass

# About as long as the platform takes to act, and below `contactMs` of the known sites
HEARD_WITHIN_MS = 2_000


@dataclass(frozen=True, slots=True)
class Contact:
    """What is known of the core; ages in ms, None for never."""

    draining: bool
    dispatcher_known: bool  # at any time in this life
    core_heard_ms_ago: int | None
    dispatcher_heard_ms_ago: int | None


def is_ready(contact: Contact) -> bool:
    """Whether new connections are wanted."""
    if contact.draining or not contact.dispatcher_known:
        return False
    ages = (contact.core_heard_ms_ago, contact.dispatcher_heard_ms_ago)
    return any(age is not None and age <= HEARD_WITHIN_MS for age in ages)
