"""Operations and results in the shapes of the published API, common to both wire forms.

The JSON form sends these shapes as they are; the query form is turned into them first (`query.py`). What is
not in a shape is passed over; what has the wrong type is an error that names it.

Source: Amazon SQS API Reference, "Request Syntax" and "Response Syntax" of each action (API 2012-11-05).
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from urllib.parse import unquote, urlsplit

from flintfield.queues import errors, operations as ops
from flintfield.queues.digests import Attribute, md5_of_attributes
from flintfield.queues.errors import QueueError

Shape = Mapping[str, Any]
MOST_SEEN = 1_000
SYSTEM_NAMES = frozenset({
    "All", "SenderId", "SentTimestamp", "ApproximateReceiveCount", "ApproximateFirstReceiveTimestamp",
    "SequenceNumber", "MessageDeduplicationId", "MessageGroupId", "AWSTraceHeader",
    "DeadLetterQueueSourceArn",
})
REFUSED = ("AddPermission", "RemovePermission")


class Urls:
    """Queue URLs: `http://HOST/ACCOUNT/NAME`. Any host is taken back, for clients reach us by many names."""

    def __init__(self, account: str) -> None:
        self.account = account

    def of(self, name: str, host: str) -> str:
        """The URL of a queue as that client reaches us."""
        return f"http://{host}/{self.account}/{name}"

    def name(self, url: str) -> str:
        """The queue that a URL, or its path, names."""
        parts = unquote(urlsplit(url).path).strip("/").split("/")
        if len(parts) != 2 or parts[0] != self.account:
            raise QueueError("InvalidAddress", f"The address {url[:200]} is not valid here.", 404)
        return parts[1]


# ------------------------------------------------------------------- reading


def _text(shape: Shape, name: str, default: str | None = None) -> str:
    value = shape.get(name)
    if value is None:
        if default is None:
            raise errors.missing(name)
        return default
    if not isinstance(value, str):
        raise errors.bad_value(f"{name} must be a string.")
    return value


def _whole(shape: Shape, name: str, default: int | None = None) -> int | None:
    value = shape.get(name, default)
    if value is None:
        return None
    if isinstance(value, str) and value.lstrip("-").isdecimal():  # of the query form
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or abs(value) > 1 << 31:
        raise errors.bad_value(f"{name} must be an integer.")
    return value


def _texts(shape: Shape, name: str) -> tuple[str, ...]:
    value = shape.get(name) or []
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise errors.bad_value(f"{name} must be a list of strings.")
    if len(value) > MOST_SEEN:
        raise errors.bad_value(f"{name} has more than {MOST_SEEN} entries.")
    return tuple(value)


def _map(shape: Shape, name: str) -> dict[str, str]:
    value = shape.get(name) or {}
    if not isinstance(value, Mapping) or not all(isinstance(v, str) for v in value.values()):
        raise errors.bad_value(f"{name} must be a map of strings.")
    return dict(value)


def _shapes(shape: Shape, name: str) -> list[Shape]:
    value = shape.get(name) or []
    if not isinstance(value, list) or not all(isinstance(v, Mapping) for v in value):
        raise errors.bad_value(f"{name} must be a list of structures.")
    return value


def _attributes(shape: Shape, name: str) -> dict[str, Attribute]:
    given = shape.get(name) or {}
    if not isinstance(given, Mapping) or not all(isinstance(v, Mapping) for v in given.values()):
        raise errors.bad_value(f"{name} must be a map of attribute values.")
    return {key: _attribute(key, value) for key, value in given.items()}


def _attribute(name: str, value: Shape) -> Attribute:
    kind = _text(value, "DataType", "")
    if not kind:
        raise errors.bad_value(f"The message attribute '{name}' must contain a non-empty data type.")
    if value.get("StringListValues") or value.get("BinaryListValues"):
        raise errors.bad_value("Message attribute list values in SendMessage operation are not supported.")
    if kind.startswith("Binary") and value.get("BinaryValue") is not None:
        try:
            return Attribute(kind, base64.b64decode(_text(value, "BinaryValue"), validate=True))
        except (binascii.Error, ValueError):
            raise errors.bad_value(f"The message attribute '{name}' is no base64.") from None
    return Attribute(kind, _text(value, "StringValue", ""))


def _outgoing(shape: Shape) -> ops.Outgoing:
    system = _attributes(shape, "MessageSystemAttributes")
    if odd := set(system) - {"AWSTraceHeader"}:
        raise errors.bad_value(f"Message system attribute name '{sorted(odd)[0]}' is invalid.")
    trace = system.get("AWSTraceHeader")
    header = trace.value if trace and isinstance(trace.value, str) else ""
    return ops.Outgoing(
        _text(shape, "MessageBody", ""), _text(shape, "Id", ""), _whole(shape, "DelaySeconds"),
        _attributes(shape, "MessageAttributes"), header,
        _text(shape, "MessageGroupId", ""), _text(shape, "MessageDeduplicationId", ""))


def _handle(shape: Shape) -> ops.Handle:
    return ops.Handle(_text(shape, "ReceiptHandle"), _text(shape, "Id", ""),
                      _whole(shape, "VisibilityTimeout", 0) or 0)


class Wanted:
    """What a receive wants to be told of each message."""

    def __init__(self, shape: Shape) -> None:
        self.system = {*_texts(shape, "AttributeNames"), *_texts(shape, "MessageSystemAttributeNames")}
        self.attributes = _texts(shape, "MessageAttributeNames")
        if odd := self.system - SYSTEM_NAMES:
            raise errors.bad_attribute(sorted(odd)[0])

    def takes(self, name: str) -> bool:
        """Whether an attribute of that name is wanted: by name, by `prefix.*`, or all."""
        return any(w in ("All", ".*", name) or (w.endswith(".*") and name.startswith(w[:-1]))
                   for w in self.attributes)


Reader = Callable[[Shape, str, str], ops.Operation]  # the shape, its queue's name, who signed it


def _visibility(shape: Shape) -> ops.Handle:
    if shape.get("VisibilityTimeout") is None:
        raise errors.missing("VisibilityTimeout")
    return _handle(shape)


def _list(shape: Shape, _queue: str, _sender: str) -> ops.Operation:
    return ops.ListQueues(_text(shape, "QueueNamePrefix", ""), _whole(shape, "MaxResults", MOST_SEEN) or 0,
                          _text(shape, "NextToken", ""))


READERS: Mapping[str, Reader] = {
    "CreateQueue": lambda s, _q, _w: ops.CreateQueue(
        _text(s, "QueueName"), _map(s, "Attributes"), _map(s, "tags") or _map(s, "Tags")),
    "DeleteQueue": lambda _s, q, _w: ops.DeleteQueue(q),
    "GetQueueUrl": lambda s, _q, _w: ops.FindQueue(_text(s, "QueueName")),
    "ListQueues": _list,
    "ListDeadLetterSourceQueues": lambda s, q, _w: ops.ListSources(
        q, _whole(s, "MaxResults", MOST_SEEN) or 0, _text(s, "NextToken", "")),
    "GetQueueAttributes": lambda s, q, _w: ops.GetAttributes(q, _texts(s, "AttributeNames")),
    "SetQueueAttributes": lambda s, q, _w: ops.SetAttributes(q, _map(s, "Attributes")),
    "PurgeQueue": lambda _s, q, _w: ops.Purge(q),
    "TagQueue": lambda s, q, _w: ops.Tag(q, _map(s, "Tags")),
    "UntagQueue": lambda s, q, _w: ops.Tag(q, untag=_texts(s, "TagKeys")),
    "ListQueueTags": lambda _s, q, _w: ops.ListTags(q),
    "SendMessage": lambda s, q, w: ops.Send(q, (_outgoing(s),), w),
    "SendMessageBatch": lambda s, q, w: ops.Send(q, tuple(_outgoing(e) for e in _shapes(s, "Entries")), w),
    "ReceiveMessage": lambda s, q, _w: ops.Receive(
        q, _whole(s, "MaxNumberOfMessages", 1) or 0, _whole(s, "VisibilityTimeout"),
        _whole(s, "WaitTimeSeconds"), _text(s, "ReceiveRequestAttemptId", "")),
    "DeleteMessage": lambda s, q, _w: ops.Delete(q, (_handle(s),)),
    "DeleteMessageBatch": lambda s, q, _w: ops.Delete(q, tuple(_handle(e) for e in _shapes(s, "Entries"))),
    "ChangeMessageVisibility": lambda s, q, _w: ops.ChangeVisibility(q, (_visibility(s),)),
    "ChangeMessageVisibilityBatch": lambda s, q, _w: ops.ChangeVisibility(
        q, tuple(_handle(e) for e in _shapes(s, "Entries"))),
    "StartMessageMoveTask": lambda s, _q, _w: ops.StartMove(
        _text(s, "SourceArn"), _text(s, "DestinationArn", ""),
        _whole(s, "MaxNumberOfMessagesPerSecond", 0) or 0),
    "CancelMessageMoveTask": lambda s, _q, _w: ops.CancelMove(_text(s, "TaskHandle")),
    "ListMessageMoveTasks": lambda s, _q, _w: ops.ListMoves(
        _text(s, "SourceArn"), _whole(s, "MaxResults", 1) or 0),
}
WITHOUT_QUEUE = frozenset({"CreateQueue", "GetQueueUrl", "ListQueues", "StartMessageMoveTask",
                           "CancelMessageMoveTask", "ListMessageMoveTasks"})


def read_operation(action: str, shape: Shape, urls: Urls, sender: str) -> ops.Operation:
    """Read an operation; a `QueueError` says what is wrong with it."""
    if action in REFUSED:
        raise errors.unsupported(f"{action} is not supported: access is by keys alone.")
    if action not in READERS:
        raise QueueError("InvalidAction", f"The action {action[:80]} is not valid for this endpoint.")
    queue = "" if action in WITHOUT_QUEUE else urls.name(_text(shape, "QueueUrl"))
    if action.endswith("Batch") and not isinstance(shape.get("Entries"), list):
        raise errors.missing("Entries")
    return READERS[action](shape, queue, sender)


# ------------------------------------------------------------------- writing


def write_result(action: str, result: ops.Result, urls: Urls, host: str, shape: Shape) -> dict[str, Any]:
    """A result in its published shape; a `QueueError` (that of a single entry too) is raised."""
    if isinstance(result, QueueError):
        raise result
    if isinstance(result, ops.Entries):
        return _batch(result) if action.endswith("Batch") else _single(result)
    if isinstance(result, ops.Received):
        wanted = Wanted(shape)
        messages = [_message(m, wanted) for m in result.messages]
        return {"Messages": messages} if messages else {}
    if isinstance(result, ops.Names):
        key = "queueUrls" if action == "ListDeadLetterSourceQueues" else "QueueUrls"
        told: dict[str, Any] = {key: [urls.of(n, host) for n in result.names]}
        return told | ({"NextToken": result.after} if result.after else {})
    if isinstance(result, ops.Texts):
        return {"Tags" if action == "ListQueueTags" else "Attributes": dict(result.texts)}
    if isinstance(result, ops.Moves):
        return {"Results": [_move(m) for m in result.moves]}
    if action in ("CreateQueue", "GetQueueUrl"):
        return {"QueueUrl": urls.of(result.name, host)}
    if action == "StartMessageMoveTask":
        return {"TaskHandle": result.name}
    if action == "CancelMessageMoveTask":
        return {"ApproximateNumberOfMessagesMoved": int(result.name)}
    return {}


def _sent(sent: ops.Sent) -> dict[str, Any]:
    told = {"MessageId": sent.message_id, "MD5OfMessageBody": sent.md5_of_body}
    if sent.md5_of_attributes:
        told["MD5OfMessageAttributes"] = sent.md5_of_attributes
    if sent.sequence:
        told["SequenceNumber"] = sent.sequence
    return told


def _single(result: ops.Entries) -> dict[str, Any]:
    for _, error in result.failed:
        raise error
    done = result.done[0] if result.done else ""
    return _sent(done) if isinstance(done, ops.Sent) else {}


def _batch(result: ops.Entries) -> dict[str, Any]:
    done = [{"Id": d.entry, **_sent(d)} if isinstance(d, ops.Sent) else {"Id": d} for d in result.done]
    failed = [{"Id": entry, "SenderFault": e.sender, "Code": e.old_code, "Message": e.message}
              for entry, e in result.failed]
    return {"Successful": done} | ({"Failed": failed} if failed else {})


def _message(message: ops.Message, wanted: Wanted) -> dict[str, Any]:
    told: dict[str, Any] = {"MessageId": message.message_id, "ReceiptHandle": message.handle,
                            "MD5OfBody": message.md5_of_body, "Body": message.body}
    system = {n: v for n, v in message.system.items() if "All" in wanted.system or n in wanted.system}
    attributes = {n: a for n, a in message.attributes.items() if wanted.takes(n)}
    if system:
        told["Attributes"] = system
    if attributes:
        told["MessageAttributes"] = {n: _value(a) for n, a in attributes.items()}
        told["MD5OfMessageAttributes"] = md5_of_attributes(attributes)
    return told


def _value(attribute: Attribute) -> dict[str, str]:
    if isinstance(attribute.value, bytes):
        return {"DataType": attribute.data_type, "BinaryValue": base64.b64encode(attribute.value).decode()}
    return {"DataType": attribute.data_type, "StringValue": attribute.value}


def _move(move: ops.Move) -> dict[str, Any]:
    told: dict[str, Any] = {
        "Status": move.status, "SourceArn": move.source_arn, "StartedTimestamp": move.started_at,
        "ApproximateNumberOfMessagesMoved": move.moved, "ApproximateNumberOfMessagesToMove": move.to_move,
    }
    for name, value in (("TaskHandle", move.handle), ("DestinationArn", move.target_arn),
                        ("MaxNumberOfMessagesPerSecond", move.per_s), ("FailureReason", move.word)):
        if value:
            told[name] = value
    return told


def names_of(shapes: Sequence[Shape]) -> tuple[str, ...]:
    """The ids of a batch's entries."""
    return tuple(str(s.get("Id", "")) for s in shapes)
