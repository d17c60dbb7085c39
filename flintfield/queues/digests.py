"""MD5 digests as clients check them, the lengths that count, and the characters that a body may hold.

Source: Amazon SQS Developer Guide, "Calculating the MD5 message digest for message attributes": attributes
are sorted by name in ascending order; each contributes the length (4 bytes, big endian) and bytes of its
name, the same of its data type, one byte for the kind of value (1 text, 2 binary) and length and bytes of
the value.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from flintfield.queues.errors import QueueError, bad_contents, bad_value

MOST_BYTES = 262_144  # of a message with its attributes, and of a batch
MOST_ATTRIBUTES = 10
NAME = re.compile(r"[A-Za-z0-9_.-]{1,256}")
TYPE = re.compile(r"(String|Number|Binary)(\.[^\x00-\x1f]{0,249})?")
NUMBER = re.compile(r"[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]{1,3})?")
ODD = re.compile("[^\t\n\r\u0020-\ud7ff\ue000-\ufffd\U00010000-\U0010ffff]")


@dataclass(frozen=True, slots=True)
class Attribute:
    """A message attribute: its data type, and a text or bytes by that type."""

    data_type: str
    value: str | bytes

    @property
    def raw(self) -> bytes:
        """The value's bytes."""
        return self.value if isinstance(self.value, bytes) else self.value.encode()


def attributes_of(kept: Iterable[tuple[str, str, bytes]]) -> dict[str, Attribute]:
    """Attributes as they were sent, from (name, type, value's bytes)."""
    return {name: Attribute(kind, raw if kind.startswith("Binary") else raw.decode())
            for name, kind, raw in kept}


def check_text(text: str) -> None:
    """Refuse characters that a body or a text attribute may not hold."""
    if ODD.search(text):
        raise bad_contents()


def check_attributes(attributes: Mapping[str, Attribute]) -> None:
    """Refuse attributes that can not be: by number, name, type or value."""
    if len(attributes) > MOST_ATTRIBUTES:
        raise bad_value(f"Number of message attributes [{len(attributes)}] exceeds the allowed maximum "
                        f"[{MOST_ATTRIBUTES}].")
    for name, attribute in attributes.items():
        if error := _fault(name, attribute):
            raise error
        if isinstance(attribute.value, str):
            check_text(attribute.value)


def _fault(name: str, attribute: Attribute) -> QueueError | None:
    dotted = name.startswith(".") or name.endswith(".") or ".." in name
    if not NAME.fullmatch(name) or dotted or name.lower().startswith(("aws.", "amazon.")):
        return bad_value(f"The message attribute name '{name}' is invalid. Attribute name can contain "
                         "A-Z, a-z, "
                         "0-9, underscore (_), hyphen (-), and period (.) characters.")
    if not TYPE.fullmatch(attribute.data_type):
        return bad_value(f"The type of message attribute '{name}' is invalid. You must use only the "
                         "following "
                         "supported type prefixes: Binary, Number, String.")
    if isinstance(attribute.value, bytes) != attribute.data_type.startswith("Binary"):
        return bad_value(f"The message attribute '{name}' with type '{attribute.data_type}' must use field "
                         f"'{'Binary' if attribute.data_type.startswith('Binary') else 'String'}'.")
    if not attribute.value:
        return bad_value(f"Message attribute '{name}' must have a non-empty value.")
    is_number = attribute.data_type.startswith("Number")
    if is_number and isinstance(attribute.value, str) and not NUMBER.fullmatch(attribute.value.strip()):
        return bad_value(f"Can't cast the value of message (user) attribute '{name}' to a number.")
    return None


def size(body: str, attributes: Mapping[str, Attribute]) -> int:
    """The bytes that count against the limit: body, and names, types and values of attributes."""
    return len(body.encode()) + sum(
        len(name.encode()) + len(a.data_type.encode()) + len(a.raw) for name, a in attributes.items())


def md5_of_body(body: str) -> str:
    """Hexadecimal."""
    return hashlib.md5(body.encode(), usedforsecurity=False).hexdigest()


def md5_of_attributes(attributes: Mapping[str, Attribute]) -> str:
    """Hexadecimal; empty where there are none."""
    if not attributes:
        return ""
    digest = hashlib.md5(usedforsecurity=False)
    for name in sorted(attributes):
        attribute = attributes[name]
        for part in (name.encode(), attribute.data_type.encode()):
            digest.update(len(part).to_bytes(4, "big") + part)
        digest.update(b"\x02" if isinstance(attribute.value, bytes) else b"\x01")
        digest.update(len(attribute.raw).to_bytes(4, "big") + attribute.raw)
    return digest.hexdigest()
