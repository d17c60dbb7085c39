"""Counters of the RPC transport."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Counters:
    """What has happened on the connections of one server, pool or client since it was made."""

    opened: int = 0
    closed: int = 0
    refused_connections: int = 0  # accepted above the bound and closed at once
    failed_connects: int = 0
    malformed_frames: int = 0  # closed the connection
    malformed_records: int = 0  # inside a well-formed frame; the connection goes on
    oversized_messages: int = 0  # refused before they were sent
    buffer_overflows: int = 0  # the peer did not read: aborted
    timed_out_calls: int = 0
    silent_aborts: int = 0  # a call timed out and nothing had come in since it was sent
    late_replies: int = 0  # nobody waits for them any more
    refused_calls: int = 0  # too many outstanding on one connection
    handler_failures: int = 0
    missing_handlers: int = 0
    overloads: int = 0  # too many handlers running for one connection
    long_turns: int = 0  # frames that came in at once took too long: some were served in a later turn
    dropped_one_way: int = 0  # one-way messages that could not be sent
