"""What a real scheduler is told at its start: a JSON file, completed from variables, and checked."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from flintfield.base.settings import ConfigError, Section, fault, on_sockets, read_settings
from flintfield.decision.interface import Settings


@dataclass(frozen=True, slots=True)
class Config:
    """All that a real scheduler is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    admin: tuple[str, int] | None  # the second address, for operators; None: there is none
    accept_fd: int | None  # a listening socket that is inherited, in place of `listen`; None: none is
    seed: int
    sockets: int
    settings: Settings
    raw_settings: Any  # as they stand in the file
    class_names: tuple[str, ...]
    tenant_names: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report_names: dict[str, str]  # a load report's names on the wire, and ours
    conn_idle_ms: float
    dial_timeout_ms: float
    most_held: int
    known: Any  # the list of next hops as last had, in discovery's form


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the file that LB_CONFIG names; what it lacks is taken from the other variables."""
    path = environ.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("LB_CONFIG: found nothing, expected the path of the configuration")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"LB_CONFIG: {path}: cannot be read: {error}") from error
    try:
        return _read(Section(raw, ""), environ)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def _read(top: Section, environ: Mapping[str, str]) -> Config:
    raw_settings = top.part("settings")
    settings, fields = read_settings(raw_settings.raw)
    limits, report = raw_settings.part("limits"), raw_settings.part("report")
    wire_names = report.texts("fields")
    return Config(
        name=top.text("name", environ.get("LB_NAME", "scheduler")),
        listen=_address(top, "listen", environ.get("LB_LISTEN")),
        discovery=_address(top, "discovery", environ.get("LB_DISCOVERY")),
        admin=_admin(top, environ.get("LB_ADMIN") or None),
        accept_fd=_accept_fd(environ.get("LB_ACCEPT_FD", "")),
        seed=_seed(top),
        sockets=top.part("limits").whole("sockets", 1024),
        settings=on_sockets(settings),
        raw_settings=raw_settings.raw,
        class_names=tuple(c.text("name") for c in raw_settings.sections("request_classes")),
        tenant_names=tuple(t.text("name", "") for t in raw_settings.sections("parties")),
        zones=raw_settings.texts("areas"),
        kinds=raw_settings.texts("shapes"),
        report_names={wire: ours for wire, ours in zip(wire_names, fields, strict=True) if ours},
        conn_idle_ms=limits.number("conn_idle_ms", 5_000.0),
        dial_timeout_ms=limits.number("dial_timeout_ms", 250.0),
        most_held=limits.whole("most_held", 20_000),
        known=top.raw.get("known") or {"generation": 0, "reset": True, "instances": []},
    )


def read_address(text: str) -> tuple[str, int]:
    """Split `host:port`; a ValueError tells what is wrong."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and 0 <= int(port) < 65536):
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def _address(top: Section, name: str, default: str | None) -> tuple[str, int]:
    text = top.text(name, default)
    try:
        return read_address(text)
    except ValueError as error:
        raise fault(name, text, "host:port") from error


def _admin(top: Section, default: str | None) -> tuple[str, int] | None:
    """The second address, where the file or the variable names one."""
    return None if top.raw.get("admin") is default is None else _address(top, "admin", default)


def _accept_fd(text: str) -> int | None:
    if not text:
        return None
    if not text.isdecimal() or len(text) > 9:
        raise ConfigError(f"LB_ACCEPT_FD: found {text!r}, expected the number of a descriptor")
    return int(text)


def _seed(top: Section) -> int:
    text = top.text("seed", "0")
    try:
        return int(text, 16)
    except ValueError as error:
        raise fault("seed", text, "a hexadecimal number") from error
