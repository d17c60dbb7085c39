"""The form of the settings file: which keys it has and what each may be, checked with trafaret.

Apart from `settings`, so that only a process that reads a file pays for trafaret (1.6 MB, 20 ms).
"""

from __future__ import annotations

import dataclasses
import socket
import tomllib
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

import trafaret  # type: ignore[import-untyped]

from flintfield.runtime.settings import Bounds, Limits, Listen, NodeSettings, SettingsError, Tolerance

HIGHEST_PORT = 65_535
MOST_SHOWN = 60  # characters of a value that was found, in the text of a fault

Check = Callable[[Any], Any]


def load(path: str) -> NodeSettings:
    """Read and check the settings in that file; raises `SettingsError`."""
    try:
        with open(path, "rb") as file:
            content = tomllib.load(file)
    except (OSError, ValueError) as error:  # TOMLDecodeError and UnicodeDecodeError are ValueErrors
        raise SettingsError(path, "", str(error), "a TOML file that can be read") from error
    try:
        values = _FORM.check(content)
    except trafaret.DataError as error:
        key, found, expected = _first_fault(error)
        raise SettingsError(path, key, found, expected) from error
    return NodeSettings(**values)


def _expect(expected: str, check: Check) -> Any:
    """A check that answers every fault by what was expected; `check` raises
    `ValueError`, `TypeError` or `OSError`."""

    def run(value: Any) -> Any:
        try:
            return check(value)
        except (ValueError, TypeError, OSError):
            return trafaret.DataError(error=expected, value=value)

    return trafaret.Call(run)


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError
    return value


def _name(value: Any) -> str:
    if not _text(value):
        raise ValueError
    return value  # type: ignore[no-any-return]


def _ip(value: Any) -> str:
    socket.inet_pton(socket.AF_INET, _text(value))
    return value  # type: ignore[no-any-return]


def _address(value: Any) -> str:
    ip, _, port = _text(value).rpartition(":")
    if not 1 <= int(port) <= HIGHEST_PORT:
        raise ValueError
    return f"{_ip(ip)}:{int(port)}"


def _address_or_none(value: Any) -> str | None:
    return _address(value) if value != "" else None


def _flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError
    return value


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError
    if not 0 <= value < float("inf"):
        raise ValueError
    return float(value)


def _whole(value: Any) -> int:
    return int(_number(value))


def _positive(value: Any) -> int:
    if _whole(value) < 1:
        raise ValueError
    return _whole(value)


def _many(check: Check) -> Check:
    def run(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list):
            raise TypeError
        return tuple(check(item) for item in value)

    return run


def _ports(value: Any) -> tuple[int, int]:
    first, last = _many(_whole)(value)
    if not 1 <= first < last <= HIGHEST_PORT:
        raise ValueError
    return first, last


def _zones(value: Any) -> MappingProxyType[str, str]:
    if not isinstance(value, dict):
        raise TypeError
    return MappingProxyType({_name(zone): _text(region) for zone, region in value.items()})


TEXT = _expect("a text", _text)
TEXTS = _expect("a list of texts", _many(_text))
NAME = _expect("a text that is not empty", _name)
FLAG = _expect("true or false", _flag)
NUMBER = _expect("a number of 0 or more", _number)
WHOLE = _expect("a whole number of 0 or more", _whole)
POSITIVE = _expect("a whole number above 0", _positive)
ADDRESS = _expect("an address (ip:port) or nothing", _address_or_none)


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _section(kind: type, checks: dict[type, Any]) -> Any:
    """The check of a table whose keys are the fields of a dataclass, in camel case or as they are."""

    def build(values: dict[str, Any]) -> Any:
        return kind(**values)

    keys = {}
    for field in dataclasses.fields(kind):
        for spelling in {_camel(field.name), field.name}:
            keys[_optional(spelling, field.name)] = checks[type(field.default)]
    return _expect("a table", _table) & trafaret.Dict(keys, ignore_extra="*") & build


def _table(value: Any) -> Any:
    if not isinstance(value, dict):
        raise TypeError
    return value


def _required(key: str, name: str) -> Any:
    return trafaret.Key(key, to_name=name)


def _optional(key: str, name: str) -> Any:
    return trafaret.Key(key, to_name=name, optional=True)


_FIGURES: dict[type, Any] = {int: WHOLE, float: NUMBER}

_FORM = trafaret.Dict(
    {
        _required("nodeName", "node_name"): NAME,
        _required("role", "role"): NAME,
        _required("ip", "ip"): _expect("an IPv4 address", _ip),
        _required("zone", "zone"): NAME,
        _required("portRange", "port_range"): _expect("two ports, the first below the second", _ports),
        _optional("machineClass", "machine_class"): TEXT,
        _optional("serves", "serves"): TEXTS,
        _optional("region", "region"): TEXT,
        _optional("seeds", "seeds"): _expect("a list of addresses (ip:port)", _many(_address)),
        _optional("bootstrap", "bootstrap"): FLAG,
        _optional("countsForQuorum", "counts_for_quorum"): FLAG,
        _optional("dataDir", "data_dir"): _expect("a path or nothing", lambda value: _text(value) or None),
        _optional("heartbeatMs", "heartbeat_ms"): POSITIVE,
        _optional("commands", "commands"): TEXT,
        _optional("app", "app"): _expect(
            "an address (ip:port) or nothing", lambda value: _address_or_none(value) or ""
        ),
        _optional("service", "service"): TEXT,
        _optional("contracts", "contracts"): TEXTS,
        _optional("zones", "zones"): _expect("a table of the regions by zone", _zones),
        _optional("listen", "listen"): _section(Listen, {type(None): ADDRESS}),
        _optional("limits", "limits"): _section(Limits, _FIGURES),
        _optional("faultTolerance", "tolerance"): _section(Tolerance, _FIGURES),
        _optional("bounds", "bounds"): _section(Bounds, _FIGURES),
    },
    ignore_extra="*",
)


def _first_fault(error: trafaret.DataError) -> tuple[str, str, str]:
    """Key, what was found and what was expected of the first fault, in the order of the keys."""
    path: list[str] = []
    while isinstance(error.error, dict):
        key = min(error.error, key=str)
        path.append(str(key))
        error = error.error[key]
        if not isinstance(error, trafaret.DataError):
            return ".".join(path), "nothing", str(error)
    if str(error.error) == "is required":
        return ".".join(path), "nothing", "a value"
    return ".".join(path), repr(error.value)[:MOST_SHOWN], str(error.error)
