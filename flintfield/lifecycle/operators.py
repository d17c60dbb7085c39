"""The operators' INI file, named on the command line: the one place where it is read, checked and completed.

A section turns its feature on; without it the feature is off and the program behaves as if it were not there.
What is faulty is an `OperatorsError` that names `[section] key`.
"""

from __future__ import annotations

import configparser
import math
from collections.abc import Callable, Mapping
from dataclasses import MISSING, dataclass, fields
from ipaddress import IPv4Network, IPv6Network, ip_network
from typing import Any

Network = IPv4Network | IPv6Network
MAPPED = IPv6Network("::ffff:0:0/96")


class OperatorsError(Exception):
    """An operators' file that cannot be used; the text is one line that names what is faulty."""


@dataclass(frozen=True, slots=True)
class JobStatus:
    """How long an ended job is kept, and how many jobs are known at the most."""

    keep_ms: float = 600_000.0
    max_entries: int = 4_000


@dataclass(frozen=True, slots=True)
class Access:
    """Ranges of addresses that may connect, that may not, and whose PROXY headers are believed."""

    allow: tuple[Network, ...] = ()
    deny: tuple[Network, ...] = ()
    proxy_trusted: tuple[Network, ...] = ()


@dataclass(frozen=True, slots=True)
class CaptureOn:
    """How much is recorded: in a ring in memory, or in so many files of that size."""

    ring_kib: int = 512
    dir: str | None = None
    files: int = 8


@dataclass(frozen=True, slots=True)
class StatusPageOn:
    """The side port, how often its snapshot is made, and how long an error is shown."""

    port: int
    refresh_ms: float = 1_000.0
    error_keep_s: float = 300.0


@dataclass(frozen=True, slots=True)
class Operators:
    """The features that the operators have turned on."""

    jobstatus: JobStatus | None = None
    access: Access | None = None
    capture: CaptureOn | None = None
    statuspage: StatusPageOn | None = None


# ------------------------------------------------------------------- values


def _number(least: float, most: float) -> Callable[[str], float]:
    def read(text: str) -> float:
        value = float(text)
        if not (math.isfinite(value) and least <= value <= most):
            raise ValueError(f"must be a number from {least:g} to {most:g}")
        return value

    return read


def _whole(least: int, most: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not (text.isascii() and text.isdecimal() and least <= int(text) <= most):
            raise ValueError(f"must be a whole number from {least} to {most}")
        return int(text)

    return read


def _folder(text: str) -> str:
    if not text:
        raise ValueError("must name a folder")
    return text


def _networks(text: str) -> tuple[Network, ...]:
    return tuple(_network(part) for part in (p.strip() for p in text.split(",")) if part)


def _network(text: str) -> Network:
    """One range; mapped IPv4 addresses count as IPv4."""
    network = ip_network(text)
    if network.version == 6 and network.prefixlen >= MAPPED.prefixlen and network.subnet_of(MAPPED):
        mapped = network.network_address.ipv4_mapped
        return ip_network(f"{mapped}/{network.prefixlen - MAPPED.prefixlen}")
    return network


DAY_MS = 86_400_000.0
SECTIONS: Mapping[str, tuple[type[Any], Mapping[str, Callable[[str], Any]]]] = {
    "jobstatus": (JobStatus, {"keep_ms": _number(0, 7 * DAY_MS), "max_entries": _whole(1, 1_000_000)}),
    "capture": (CaptureOn, {"ring_kib": _whole(4, 1_048_576), "dir": _folder, "files": _whole(1, 9_999)}),
    "statuspage": (StatusPageOn, {"port": _whole(0, 65_535), "refresh_ms": _number(50, DAY_MS),
                                  "error_keep_s": _number(0, 7 * DAY_MS / 1000)}),
    "access": (Access, {"allow": _networks, "deny": _networks, "proxy_trusted": _networks}),
}


# --------------------------------------------------------------------- file


def read_operators(path: str | None) -> Operators:
    """Read the file; no name means that all features are off."""
    if path is None:
        return Operators()
    # No section's keys are those of all others, and nothing in a value stands for another value.
    parser = configparser.ConfigParser(default_section="", interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, ValueError) as error:
        raise OperatorsError(f"{path}: cannot be read: {error}") from error
    except configparser.DuplicateOptionError as error:
        raise OperatorsError(f"[{error.section}] {error.option}: given twice") from error
    except configparser.DuplicateSectionError as error:
        raise OperatorsError(f"[{error.section}]: given twice") from error
    except configparser.Error as error:
        raise OperatorsError(f"{path}: {' '.join(str(error).split())}") from error
    return Operators(**{name: _read_section(name, parser[name]) for name in parser.sections()})


def _read_section(name: str, raw: Mapping[str, str]) -> Any:
    if name not in SECTIONS:
        raise OperatorsError(f"[{name}]: unknown section")
    make, keys = SECTIONS[name]
    given = {}
    for key, text in raw.items():
        if key not in keys:
            raise OperatorsError(f"[{name}] {key}: unknown key")
        try:
            given[key] = keys[key](text)
        except ValueError as error:
            raise OperatorsError(f"[{name}] {key}: {' '.join(str(error).split())}") from error
    for item in fields(make):
        if item.default is MISSING and item.name not in given:
            raise OperatorsError(f"[{name}] {item.name}: missing")
    return make(**given)
