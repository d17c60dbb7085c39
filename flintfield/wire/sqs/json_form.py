"""The JSON form: AWS JSON 1.0, `X-Amz-Target: AmazonSQS.ACTION`, shapes as they are.

Source: Amazon SQS Developer Guide, "Making requests using the AWS JSON protocol"; Smithy, "AWS JSON 1.0
protocol".
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from flintfield.queues.errors import QueueError
from flintfield.wire.sqs.forms import Shape

CONTENT_TYPE = "application/x-amz-json-1.0"
TARGET = "AmazonSQS."
_decode: Callable[[bytes], dict[str, Any]] = msgspec.json.Decoder(dict[str, Any]).decode


def read(target: str, body: bytes) -> tuple[str, Shape]:
    """Action and shape of a request."""
    if not target.startswith(TARGET):
        raise QueueError("UnknownOperationException", f"The target must begin with {TARGET}", 404)
    try:
        return target[len(TARGET):], _decode(body or b"{}")
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise QueueError("SerializationException", f"The body is no JSON object: {error}") from error


def write(_action: str, shape: Shape, _request_id: str) -> bytes:
    """A result's body."""
    return msgspec.json.encode(shape)


def write_error(error: QueueError, _request_id: str) -> tuple[bytes, dict[str, str]]:
    """An error's body and its headers: SDKs of the query form's time read the older code from there."""
    fault = "Sender" if error.sender else "Receiver"
    body = {"__type": f"com.amazonaws.sqs#{error.code}", "message": error.message}
    return msgspec.json.encode(body), {"x-amzn-query-error": f"{error.old_code};{fault}"}
