"""What a queue operation can be answered with when it is not done: values, with the published error codes.

Source: Amazon SQS API Reference, "Errors" of each action, and "Common Error Types" (API version 2012-11-05).
`code` is the code of the JSON protocol (`com.amazonaws.sqs#CODE`); `query_code` the older one of the query
protocol where the two differ. `status` is the HTTP status.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueError(Exception):
    """One refusal; `sender` tells whether the caller is at fault."""

    code: str
    message: str
    status: int = 400
    query_code: str = ""
    sender: bool = True

    @property
    def old_code(self) -> str:
        """The code that the query protocol uses."""
        return self.query_code or self.code


def no_queue(name: str = "") -> QueueError:
    """The queue does not exist."""
    return QueueError("QueueDoesNotExist",
                      "The specified queue does not exist." + (f" ({name})" if name else ""),
                      query_code="AWS.SimpleQueueService.NonExistentQueue")


def queue_exists(name: str) -> QueueError:
    """A queue of that name has other attributes."""
    return QueueError("QueueNameExists", f"A queue named {name} already exists with other attributes.",
                      query_code="QueueAlreadyExists")


def deleted_recently() -> QueueError:
    """Names of deleted queues rest for a minute."""
    return QueueError("QueueDeletedRecently",
                      "You must wait 60 seconds after deleting a queue before you can create another "
                      "with the "
                      "same name.", query_code="AWS.SimpleQueueService.QueueDeletedRecently")


def purge_in_progress(name: str) -> QueueError:
    """One purge a minute."""
    return QueueError("PurgeQueueInProgress",
                      f"Only one PurgeQueue operation on {name} is allowed every 60 seconds.", 403,
                      query_code="AWS.SimpleQueueService.PurgeQueueInProgress")


def bad_value(message: str) -> QueueError:
    """A parameter's value that can not be."""
    return QueueError("InvalidParameterValue", message)


def missing(name: str) -> QueueError:
    """A parameter that must be given."""
    return QueueError("MissingParameter", f"The request must contain the parameter {name}.")


def bad_attribute(name: str, reason: str = "") -> QueueError:
    """A queue attribute that is unknown (no reason), or whose value can not be."""
    if reason:
        return QueueError("InvalidAttributeValue", f"Invalid value for the parameter {name}. Reason: "
                                                   f"{reason}")
    return QueueError("InvalidAttributeName", f"Unknown Attribute {name}.")


def bad_contents() -> QueueError:
    """Characters outside the allowed set."""
    return QueueError("InvalidMessageContents",
                      "The message contains characters outside the allowed set: #x9 | #xA | #xD | #x20 "
                      "to #xD7FF "
                      "| #xE000 to #xFFFD | #x10000 to #x10FFFF.")


def bad_receipt(reason: str = "The input receipt handle is invalid.") -> QueueError:
    """A handle that was never ours, or of another queue."""
    return QueueError("ReceiptHandleIsInvalid", reason, 404)


def not_in_flight() -> QueueError:
    """The message is not being worked on under that handle."""
    return QueueError("MessageNotInflight", "The message referred to isn't in flight.",
                      query_code="AWS.SimpleQueueService.MessageNotInflight")


def over_limit(message: str) -> QueueError:
    """A limit of the service is reached."""
    return QueueError("OverLimit", message, 403)


def empty_batch(entry: str) -> QueueError:
    """A batch without entries."""
    return QueueError("EmptyBatchRequest", f"There should be at least one {entry} in the request.",
                      query_code="AWS.SimpleQueueService.EmptyBatchRequest")


def too_many_entries(found: int) -> QueueError:
    """A batch of more than ten."""
    return QueueError("TooManyEntriesInBatchRequest",
                      f"Maximum number of entries per request are 10. You have sent {found}.",
                      query_code="AWS.SimpleQueueService.TooManyEntriesInBatchRequest")


def ids_not_distinct(name: str) -> QueueError:
    """Two entries of a batch have one id."""
    return QueueError("BatchEntryIdsNotDistinct", f"Id {name} repeated.",
                      query_code="AWS.SimpleQueueService.BatchEntryIdsNotDistinct")


def bad_entry_id() -> QueueError:
    """An entry's id that can not be."""
    return QueueError("InvalidBatchEntryId",
                      "A batch entry id can only contain alphanumeric characters, hyphens and "
                      "underscores. It can "
                      "be at most 80 letters long.", query_code="AWS.SimpleQueueService.InvalidBatchEntryId")


def batch_too_long(found: int) -> QueueError:
    """All entries together are too long."""
    return QueueError("BatchRequestTooLong",
                      f"Batch requests cannot be longer than 262144 bytes. You have sent {found} bytes.",
                      query_code="AWS.SimpleQueueService.BatchRequestTooLong")


def unsupported(message: str) -> QueueError:
    """An operation that this queue, or this program, does not do."""
    return QueueError("UnsupportedOperation", message,
                      query_code="AWS.SimpleQueueService.UnsupportedOperation")


def no_resource(message: str) -> QueueError:
    """An ARN or a task handle that names nothing."""
    return QueueError("ResourceNotFoundException", message, 404)


def unavailable(word: str) -> QueueError:
    """The store does not take writes: nothing is promised, the caller may come again."""
    return QueueError("ServiceUnavailable", f"The request could not be kept: {word}", 503, sender=False)
