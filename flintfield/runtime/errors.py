"""The kinds of errors that callers from outside may see, and the one table of how each is answered.

To a client, 429 and 503 say that a job was not taken and never runs; 502 and 504 say that it may have been
taken, so that the same job is sent again. Whatever may have reached a replica's disk is therefore answered by
504.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

MS_IN_S = 1_000


class ErrorKind(enum.Enum):
    """Why a call was not served; closed: whoever adds a kind adds its answer below."""

    NO_CONFIGURATION = "no_configuration"  # this process has not seen a configuration yet
    UNKNOWN_QUEUE = "unknown_queue"  # no route has this host and path
    UNKNOWN_JOB = "unknown_job"
    UNKNOWN_PATH = "unknown_path"  # none of the system's own paths
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    NOT_ALLOWED = "not_allowed"  # the path is known, the method is not
    OVERLOADED = "overloaded"  # a bound is reached; nothing was taken
    NO_DISPATCHER = "no_dispatcher"  # nobody acts, or whoever acts was not reached; nothing was passed on
    NO_QUORUM = "no_quorum"  # too few replicas are in reach; nothing was passed on
    NOT_READY = "not_ready"  # starting, or too long out of touch
    DRAINING = "draining"  # this process is about to end
    OUTCOME_UNKNOWN = "outcome_unknown"  # passed on, and no answer came
    TIMED_OUT = "timed_out"  # the caller's deadline is over
    STORAGE_FAILED = "storage_failed"  # a disk refused; other replicas may have it
    INTERNAL = "internal"  # a fault of this program
    VERSION_CONFLICT = "version_conflict"  # another configuration is current
    INVALID_CONFIGURATION = "invalid_configuration"


@dataclass(frozen=True, slots=True)
class Answer:
    """How a kind is answered: HTTP status, and after how many ms to come back (0: not told)."""

    status: int
    retry_after_ms: int = 0

    @property
    def tells_retry_after(self) -> bool:
        """Whether the answer has a `Retry-After`."""
        return self.retry_after_ms > 0


ANSWERS: Mapping[ErrorKind, Answer] = MappingProxyType(
    {
        ErrorKind.NO_CONFIGURATION: Answer(503, 500),
        ErrorKind.UNKNOWN_QUEUE: Answer(404),
        ErrorKind.UNKNOWN_JOB: Answer(410),
        ErrorKind.UNKNOWN_PATH: Answer(404),
        ErrorKind.MALFORMED: Answer(400),
        ErrorKind.TOO_LARGE: Answer(413),
        ErrorKind.NOT_ALLOWED: Answer(405),
        ErrorKind.OVERLOADED: Answer(429, 1_000),
        ErrorKind.NO_DISPATCHER: Answer(503, 300),
        ErrorKind.NO_QUORUM: Answer(503, 500),
        ErrorKind.NOT_READY: Answer(503, 500),
        ErrorKind.DRAINING: Answer(503, 200),
        ErrorKind.OUTCOME_UNKNOWN: Answer(504),
        ErrorKind.TIMED_OUT: Answer(504),
        ErrorKind.STORAGE_FAILED: Answer(504),
        ErrorKind.INTERNAL: Answer(502),
        ErrorKind.VERSION_CONFLICT: Answer(412),
        ErrorKind.INVALID_CONFIGURATION: Answer(400),
    }
)


def answer(kind: ErrorKind) -> Answer:
    """The row of a kind."""
    return ANSWERS[kind]


def retry_after_header(retry_after_ms: int) -> str:
    """The value of `Retry-After`, which HTTP counts in whole seconds: rounded up."""
    return str(-(-retry_after_ms // MS_IN_S))
