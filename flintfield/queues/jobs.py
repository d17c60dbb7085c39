"""A message as a job: what its attributes say of it, and the submission that it becomes.

The attributes are named as the headers of a caller's request: `Req-Cost` (microseconds), `Req-Key`
(hexadecimal), `Req-Extra` (`name=value,…`), `Req-Deadline` (like `480m`); all may be missing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from flintfield.queues.digests import Attribute
from flintfield.queues.messages import Job

HEADERS = ("Req-Cost", "Req-Key", "Req-Extra", "Req-Deadline")


@dataclass(frozen=True, slots=True)
class Asked:
    """A job's id, unlike that of any earlier try, its headers, and its body."""

    name: str
    headers: Mapping[bytes, bytes]
    body: bytes


def ask_of(job: Job) -> Asked:
    """The request that a message stands for."""
    given = job.attributes
    headers = {name.lower().encode(): _text(given[name]) for name in HEADERS if name in given}
    return Asked(f"{job.message_id}.{job.receives}", headers, job.body.encode())


def _text(attribute: Attribute) -> bytes:
    return attribute.raw.strip()
