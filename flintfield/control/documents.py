"""Reading and checking what the operator sends, and merging a change into the present document.

Documents stay JSON objects: keys that are not known are kept and read back as they were sent. This module
imports trafaret (13 ms, 0.9 MB), so it is loaded with the first order only.
"""

from __future__ import annotations

import json
import math
import typing
from collections.abc import Callable, Iterable

import trafaret  # type: ignore[import-untyped]

from flintfield.base.hosts import canonical_host

Document = dict[str, typing.Any]

_LARGEST = 2**53  # beyond it, JSON numbers are not exact everywhere
_NAMED_ITEMS = ("routes", "services")


class InvalidConfiguration(ValueError):
    """The order can never be taken; the message names the item at fault."""


def _integer(at_least: int) -> Callable[[typing.Any], int]:
    def check(value: typing.Any) -> int:
        if type(value) is not int:
            raise trafaret.DataError("is not a whole number")
        if not at_least <= value <= _LARGEST:
            raise trafaret.DataError(f"is not between {at_least} and {_LARGEST}")
        return value

    return check


def _positive_number(value: typing.Any) -> float:
    if type(value) not in (int, float) or not 0 < value <= _LARGEST:  # not-a-number is neither
        raise trafaret.DataError(f"is not a number above 0 and up to {_LARGEST}")
    return float(value)


def _name(value: typing.Any) -> str:
    if not isinstance(value, str) or not value or not _is_unicode(value):
        raise trafaret.DataError("is not a text that says something")
    return value


def _path(value: typing.Any) -> str:
    if not isinstance(value, str) or not value.startswith("/") or not _is_unicode(value):
        raise trafaret.DataError("is not a path")
    return value


def _is_unicode(text: str) -> bool:
    """Whether the text can be encoded: JSON can escape half of a surrogate pair, which is no character."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _optional(name: str) -> trafaret.Key:
    return trafaret.Key(name, optional=True)


_ROUTE = trafaret.Dict(
    {
        "name": _name,
        "host": _name,
        "pathPrefix": _path,
        "service": _name,
        "timeoutMs": _integer(1),
        _optional("routeType"): trafaret.String(allow_blank=True),
        _optional("targetLatencyMs"): _integer(0),
        _optional("priority"): _integer(0),
        _optional("maxAttempts"): _integer(1),
        _optional("extension"): _positive_number,
    }
).allow_extra("*")

_SERVICE = trafaret.Dict(
    {
        "name": _name,
        _optional("healthPath"): trafaret.String(allow_blank=True),
        _optional("maxConnections"): _integer(0),
        _optional("protocol"): trafaret.String(allow_blank=True),
        _optional("tls"): trafaret.Bool(),
        _optional("guards"): trafaret.Bool(),
    }
).allow_extra("*")

_LIMITS = trafaret.Dict(
    {
        _optional("maxHeaderBytes"): _integer(1),
        _optional("maxBodyBytes"): _integer(1),
        _optional("headerTimeoutMs"): _integer(1),
        _optional("idleTimeoutMs"): _integer(1),
    }
).allow_extra("*")

_WHOLE = trafaret.Dict(
    {
        "version": _integer(1),
        "routes": trafaret.List(_ROUTE),
        "services": trafaret.List(_SERVICE),
        _optional("limits"): _LIMITS,
    }
).allow_extra("*")

_UPSERT = trafaret.Dict(
    {_optional("routes"): trafaret.List(_ROUTE), _optional("services"): trafaret.List(_SERVICE)}
).ignore_extra("*")

_REMOVE = trafaret.Dict(
    {_optional(items): trafaret.List(trafaret.String()) for items in _NAMED_ITEMS}
).ignore_extra("*")

_CHANGE = trafaret.Dict(
    {
        "version": _integer(1),
        _optional("upsert"): _UPSERT,
        _optional("remove"): _REMOVE,
        _optional("limits"): _LIMITS,
    }
).allow_extra("*")


def parse(body: bytes) -> Document:
    """The JSON object in this body; raises `InvalidConfiguration` where there is none."""
    try:
        document = json.loads(
            body.decode(),
            parse_constant=_refuse_constant,
            parse_float=_finite_number,
            object_pairs_hook=_object,
        )
    except InvalidConfiguration:
        raise
    except (UnicodeDecodeError, json.JSONDecodeError, ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"body: cannot be read as JSON: {error}") from error
    if not isinstance(document, dict):
        raise InvalidConfiguration("body: is not a JSON object")
    return document


def dump(document: Document) -> bytes:
    """The compact JSON form of a document."""
    return json.dumps(document, separators=(",", ":")).encode()


def dump_sorted(document: Document) -> bytes:
    """A JSON form that does not depend on the order of the keys."""
    return json.dumps(document, separators=(",", ":"), sort_keys=True).encode()


def check_whole(document: Document) -> None:
    """Check a whole configuration; raises `InvalidConfiguration`."""
    _check_shape(_WHOLE, document)
    _check_items_together(document)


def check_change(change: Document) -> None:
    """Check a change as far as that goes without its base; raises `InvalidConfiguration`."""
    _check_shape(_CHANGE, change)
    for items in _NAMED_ITEMS:
        upserted = [item["name"] for item in change.get("upsert", {}).get(items, ())]
        removed = change.get("remove", {}).get(items, ())
        _check_unique(f"upsert.{items}", "name", upserted)
        for name in set(upserted) & set(removed):
            raise InvalidConfiguration(f"remove.{items}: {name!r} is in upsert too")


def merge(document: Document, change: Document) -> Document:
    """The document with this change; raises `InvalidConfiguration`.

    Items keep their places, new ones come last; removing an item that is not there changes nothing. The form
    of each item was checked when it came (`check_whole`, `check_change`); here it is checked how the items go
    together, so that a short change of a long document takes little time.
    """
    merged = {**document, "version": change["version"]}
    for items in _NAMED_ITEMS:
        merged[items] = _merge_items(
            document[items], change.get("upsert", {}).get(items, ()), change.get("remove", {}).get(items, ())
        )
    if "limits" in change:
        merged["limits"] = {**document.get("limits", {}), **change["limits"]}
    _check_items_together(merged)
    return merged


def _merge_items(
    present: Iterable[Document], upserted: Iterable[Document], removed: Iterable[str]
) -> list[Document]:
    by_name = {item["name"]: item for item in present}
    for name in removed:
        by_name.pop(name, None)
    for item in upserted:
        by_name[item["name"]] = item
    return list(by_name.values())


def _check_shape(shape: trafaret.Trafaret, document: Document) -> None:
    try:
        shape.check(document)
    except trafaret.DataError as error:
        raise InvalidConfiguration(_first_fault(error)) from error


def _first_fault(error: trafaret.DataError) -> str:
    """The path of the first item at fault, and what is wrong with it."""
    path, fault = [], error
    while isinstance(fault.error, dict) and fault.error:
        key, fault = next(iter(fault.error.items()))
        path.append(str(key))
    return f"{'.'.join(path) or 'body'}: {fault.error}"


def _check_items_together(document: Document) -> None:
    _check_unique("routes", "name", (route["name"] for route in document["routes"]))
    _check_unique("services", "name", (service["name"] for service in document["services"]))
    _check_unique("routes", "host and pathPrefix", map(_address, document["routes"]))
    _check_services_known(document)


def _check_unique(items: str, what: str, values: Iterable[typing.Any]) -> None:
    seen = set()
    for value in values:
        if value in seen:
            raise InvalidConfiguration(f"{items}: the same {what} twice: {value!r}")
        seen.add(value)


def _check_services_known(document: Document) -> None:
    known = {service["name"] for service in document["services"]}
    for route in document["routes"]:
        if route["service"] not in known:
            raise InvalidConfiguration(
                f"routes: {route['name']!r} names the unknown service {route['service']!r}"
            )


def _address(route: Document) -> tuple[str, str]:
    return canonical_host(route["host"]), route["pathPrefix"]


def _refuse_constant(text: str) -> typing.NoReturn:
    raise InvalidConfiguration(f"body: {text} is no JSON number")


def _finite_number(text: str) -> float:
    number = float(text)
    if math.isinf(number):  # it would be written as a word that is no JSON
        raise InvalidConfiguration(f"body: {text[:40]} is above the largest number")
    return number


def _object(pairs: list[tuple[str, typing.Any]]) -> Document:
    document = dict(pairs)
    if len(document) != len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise InvalidConfiguration(f"body: the key {twice!r} twice in one object")
    return document
