"""Queue attributes: their names, defaults and ranges, read from the texts that clients send.

Source: Amazon SQS API Reference, SetQueueAttributes and CreateQueue (API version 2012-11-05).
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from flintfield.queues.errors import QueueError, bad_attribute, bad_value

NAME = re.compile(r"[A-Za-z0-9_-]{1,80}")
FIFO = ".fifo"
MOST_SOURCES = 10
NOT_SUPPORTED = {"KmsMasterKeyId", "KmsDataKeyReusePeriodSeconds", "SqsManagedSseEnabled", "Policy"}
COMPUTED = ("ApproximateNumberOfMessages", "ApproximateNumberOfMessagesNotVisible",
            "ApproximateNumberOfMessagesDelayed", "CreatedTimestamp", "LastModifiedTimestamp", "QueueArn")


class Redrive(msgspec.Struct, frozen=True):
    """Where a message goes that was received more often than that."""

    target_arn: str
    most_receives: int  # 1 to 1,000


class RedriveAllow(msgspec.Struct, frozen=True):
    """Which queues may name this one as their dead-letter queue: all, none, or those named."""

    permission: str = "allowAll"
    sources: tuple[str, ...] = ()

    def allows(self, arn: str) -> bool:
        """Whether that queue may."""
        return self.permission == "allowAll" or (self.permission == "byQueue" and arn in self.sources)


class Settings(msgspec.Struct, frozen=True):
    """A queue's attributes in force; times in seconds, sizes in bytes."""

    fifo: bool = False
    delay_s: int = 0
    most_bytes: int = 262_144
    retention_s: int = 345_600
    wait_s: int = 0
    visibility_s: int = 30
    redrive: Redrive | None = None
    redrive_allow: RedriveAllow | None = None
    by_content: bool = False  # content-based deduplication
    group_scope: bool = False  # deduplication within a message group, not the whole queue
    group_throughput: bool = False


def check_name(name: str, fifo: bool) -> None:
    """Refuse a queue name that can not be."""
    plain = name.removesuffix(FIFO) if fifo else name
    if fifo and not name.endswith(FIFO):
        raise bad_value("The name of a FIFO queue can only include alphanumeric characters, hyphens, or "
                        "underscores, must end with .fifo suffix and be 1 to 80 in length.")
    if not NAME.fullmatch(plain) or len(name) > 80:
        raise bad_value("Can only include alphanumeric characters, hyphens, or underscores. 1 to 80 in "
                        "length")


def _whole(least: int, most: int) -> Callable[[str, str], int]:
    def read(name: str, text: str) -> int:
        if not (text.isascii() and text.isdecimal() and least <= int(text) <= most):
            raise bad_attribute(name, f"must be a whole number from {least} to {most}, not {text!r}.")
        return int(text)

    return read


def _flag(name: str, text: str) -> bool:
    if text.lower() not in ("true", "false"):
        raise bad_attribute(name, f"must be true or false, not {text!r}.")
    return text.lower() == "true"


def _choice(plain: str, chosen: str) -> Callable[[str, str], bool]:
    def read(name: str, text: str) -> bool:
        if text not in (plain, chosen):
            raise bad_attribute(name, f"must be {plain} or {chosen}, not {text!r}.")
        return text == chosen

    return read


def _object(name: str, text: str) -> Mapping[str, Any]:
    try:
        value = json.loads(text)
    except ValueError:
        value = None
    if not isinstance(value, dict):
        raise bad_attribute(name, "must be a JSON object.")
    return value


def _redrive(name: str, text: str) -> Redrive | None:
    if not text:
        return None
    value = _object(name, text)
    target, most = value.get("deadLetterTargetArn"), value.get("maxReceiveCount")
    if not isinstance(target, str) or not target:
        raise bad_attribute(name, "deadLetterTargetArn must be a queue's ARN.")
    most = int(most) if isinstance(most, str) and most.isdecimal() else most
    if not isinstance(most, int) or isinstance(most, bool) or not 1 <= most <= 1000:
        raise bad_attribute(name, f"maxReceiveCount must be a whole number from 1 to 1000, not {most!r}.")
    return Redrive(target, most)


def _redrive_allow(name: str, text: str) -> RedriveAllow | None:
    if not text:
        return None
    value = _object(name, text)
    permission, sources = value.get("redrivePermission"), value.get("sourceQueueArns", [])
    if permission not in ("allowAll", "denyAll", "byQueue"):
        raise bad_attribute(name, "redrivePermission must be allowAll, denyAll or byQueue.")
    texts = isinstance(sources, list) and all(isinstance(s, str) for s in sources)
    if not texts or bool(sources) != (permission == "byQueue") or len(sources) > MOST_SOURCES:
        raise bad_attribute(name, f"sourceQueueArns holds 1 to {MOST_SOURCES} ARNs with byQueue, else none.")
    return RedriveAllow(permission, tuple(sources))


READERS: Mapping[str, tuple[str, Callable[[str, str], Any]]] = {
    "FifoQueue": ("fifo", _flag),
    "DelaySeconds": ("delay_s", _whole(0, 900)),
    "MaximumMessageSize": ("most_bytes", _whole(1_024, 262_144)),
    "MessageRetentionPeriod": ("retention_s", _whole(60, 1_209_600)),
    "ReceiveMessageWaitTimeSeconds": ("wait_s", _whole(0, 20)),
    "VisibilityTimeout": ("visibility_s", _whole(0, 43_200)),
    "RedrivePolicy": ("redrive", _redrive),
    "RedriveAllowPolicy": ("redrive_allow", _redrive_allow),
    "ContentBasedDeduplication": ("by_content", _flag),
    "DeduplicationScope": ("group_scope", _choice("queue", "messageGroup")),
    "FifoThroughputLimit": ("group_throughput", _choice("perQueue", "perMessageGroupId")),
}
OF_FIFO = ("ContentBasedDeduplication", "DeduplicationScope", "FifoThroughputLimit")


def read(given: Mapping[str, str], before: Settings, new: bool) -> Settings:
    """The settings after these changes; a `QueueError` names the attribute that can not be."""
    values: dict[str, Any] = {}
    for name, text in given.items():
        if name in NOT_SUPPORTED:
            raise _not_supported(name)
        if name not in READERS:
            raise bad_attribute(name)
        field, reader = READERS[name]
        values[field] = reader(name, text)
    fifo = values.get("fifo", before.fifo)
    if not new and fifo != before.fifo:
        raise bad_attribute("FifoQueue", "it can not be changed.")
    if "FifoQueue" in given and not fifo:
        raise bad_attribute("FifoQueue", "it may only be true, or left out.")
    for name in OF_FIFO:
        if name in given and not fifo:
            raise bad_attribute(name)
    return msgspec.structs.replace(before, **values)


def _not_supported(name: str) -> QueueError:
    return QueueError("InvalidAttributeName", f"The attribute {name} is not supported by this queue service.")


def words(settings: Settings) -> dict[str, str]:
    """The attributes as clients read them."""
    told = {
        "DelaySeconds": str(settings.delay_s), "MaximumMessageSize": str(settings.most_bytes),
        "MessageRetentionPeriod": str(settings.retention_s),
        "ReceiveMessageWaitTimeSeconds": str(settings.wait_s),
        "VisibilityTimeout": str(settings.visibility_s),
    }
    if settings.redrive:
        told["RedrivePolicy"] = json.dumps({"deadLetterTargetArn": settings.redrive.target_arn,
                                            "maxReceiveCount": settings.redrive.most_receives})
    if settings.redrive_allow:
        allow: dict[str, Any] = {"redrivePermission": settings.redrive_allow.permission}
        if settings.redrive_allow.sources:
            allow["sourceQueueArns"] = list(settings.redrive_allow.sources)
        told["RedriveAllowPolicy"] = json.dumps(allow)
    if settings.fifo:
        told |= {
            "FifoQueue": "true", "ContentBasedDeduplication": str(settings.by_content).lower(),
            "DeduplicationScope": "messageGroup" if settings.group_scope else "queue",
            "FifoThroughputLimit": "perMessageGroupId" if settings.group_throughput else "perQueue",
        }
    return told
