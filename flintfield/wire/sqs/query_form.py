"""The older query form: parameters of a form or a query string in, XML out.

Source: Amazon SQS Developer Guide, "Making Query API requests"; the list and map names of API 2012-11-05.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import Any
from urllib.parse import parse_qsl
from xml.sax.saxutils import escape

from flintfield.queues.errors import QueueError
from flintfield.wire.sqs.forms import Shape

CONTENT_TYPE = "text/xml"
NAMESPACE = "http://queue.amazonaws.com/doc/2012-11-05/"
MOST_PARAMETERS = 1_000
PLACE = re.compile(r"[1-9][0-9]{0,3}")
RETURN = {"\r": "&#xD;"}

LISTS = {  # the parameter's first word, and the shape's key
    "AttributeName": "AttributeNames", "MessageAttributeName": "MessageAttributeNames",
    "MessageSystemAttributeName": "MessageSystemAttributeNames", "TagKey": "TagKeys",
}
MAPS = {  # and the words of key and value
    "Attribute": ("Attributes", "Name", "Value"), "Tag": ("Tags", "Key", "Value"),
    "MessageAttribute": ("MessageAttributes", "Name", "Value"),
    "MessageSystemAttribute": ("MessageSystemAttributes", "Name", "Value"),
}
ENTRIES = re.compile(r"(SendMessage|DeleteMessage|ChangeMessageVisibility)BatchRequestEntry")


def read(text: str, path: str) -> tuple[str, Shape]:
    """Action and shape of a request; the path names its queue where no parameter does."""
    try:
        pairs = parse_qsl(text, keep_blank_values=True, strict_parsing=bool(text),
                          max_num_fields=MOST_PARAMETERS)
    except ValueError as error:
        raise QueueError("MalformedQueryString", f"The parameters can not be read: {error}", 404) from error
    given = dict(pairs)
    action = given.pop("Action", "")
    if not action:
        raise QueueError("MissingAction", "The request must contain the parameter Action.")
    shape = _shape(given)
    if "QueueUrl" not in shape and path.strip("/"):
        shape["QueueUrl"] = path
    return action, shape


def _shape(given: Mapping[str, str]) -> dict[str, Any]:
    shape: dict[str, Any] = {}
    nested: dict[str, dict[int, dict[str, str]]] = {}
    for name, value in given.items():
        first, _, rest = name.partition(".")
        place, _, more = rest.partition(".")
        if PLACE.fullmatch(place) and (first in LISTS or first in MAPS or ENTRIES.fullmatch(first)):
            nested.setdefault(first, {}).setdefault(int(place), {})[more] = value
        elif not rest:
            shape[name] = value
    for first, places in nested.items():
        ordered = [places[p] for p in sorted(places)]
        if first in LISTS:
            shape[LISTS[first]] = [p.get("", "") for p in ordered]
        elif first in MAPS:
            key, name, value = MAPS[first]
            shape[key] = {p.get(name, ""): _map_value(p, value) for p in ordered}
        else:
            shape["Entries"] = [_shape(p) for p in ordered]
    return shape


def _map_value(parts: Mapping[str, str], word: str) -> Any:
    if word in parts:
        return parts[word]
    return {name.removeprefix(word + "."): v for name, v in parts.items() if name.startswith(word + ".")}


# ------------------------------------------------------------------- writing


def write(action: str, shape: Shape, request_id: str) -> bytes:
    """A result's body."""
    inner = "".join(_elements(shape, action))
    result = f"<{action}Result>{inner}</{action}Result>" if inner or action in WITH_RESULT else ""
    return (f'<?xml version="1.0"?><{action}Response xmlns="{NAMESPACE}">{result}<ResponseMetadata>'
            f"<RequestId>{request_id}</RequestId></ResponseMetadata></{action}Response>").encode()


def write_error(error: QueueError, request_id: str) -> tuple[bytes, dict[str, str]]:
    """An error's body; there are no headers of its own."""
    fault = "Sender" if error.sender else "Receiver"
    return (f'<?xml version="1.0"?><ErrorResponse xmlns="{NAMESPACE}"><Error><Type>{fault}</Type><Code>'
            f"{_xml(error.old_code)}</Code><Message>{_xml(error.message)}</Message><Detail/></Error><RequestId>"
            f"{request_id}</RequestId></ErrorResponse>").encode(), {}


WITH_RESULT = frozenset({"ReceiveMessage", "ListQueues", "ListQueueTags", "GetQueueAttributes",
                         "ListDeadLetterSourceQueues", "ListMessageMoveTasks"})
FLAT = {  # lists and maps of a result: the element of one part, and the words of a map's key and value
    "Messages": ("Message", None), "QueueUrls": ("QueueUrl", None), "queueUrls": ("QueueUrl", None),
    "Results": ("ListMessageMoveTasksResultEntry", None), "Failed": ("BatchResultErrorEntry", None),
    "Attributes": ("Attribute", ("Name", "Value")), "Tags": ("Tag", ("Key", "Value")),
    "MessageAttributes": ("MessageAttribute", ("Name", "Value")),
}


def _elements(shape: Shape, action: str) -> Iterator[str]:
    for name, value in shape.items():
        if name == "Successful":
            yield from (_element(f"{action}ResultEntry", part, action) for part in value)
        elif name not in FLAT:
            yield _element(name, value, action)
        elif (words := FLAT[name][1]) is None:
            yield from (_element(FLAT[name][0], part, action) for part in value)
        else:
            for key, part in value.items():
                yield _element(FLAT[name][0], {words[0]: key, words[1]: part}, action)


def _element(name: str, value: Any, action: str) -> str:
    if isinstance(value, Mapping):
        return f"<{name}>{''.join(_elements(value, action))}</{name}>"
    text = str(value).lower() if isinstance(value, bool) else str(value)
    return f"<{name}>{_xml(text)}</{name}>"


def _xml(text: str) -> str:
    return escape(text, RETURN)
