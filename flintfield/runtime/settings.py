"""The settings of a process: typed, read once from the file that `FLINTFIELD_CONFIG` names.

Keys that are not known are ignored, for the file may gain new ones. A fault is a `SettingsError` that names
the file, the key, what was found and what was expected; a program that meets one ends with `EXIT_CODE`.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

VARIABLE = "FLINTFIELD_CONFIG"
EXIT_CODE = 2  # of a program whose settings can't be used


class SettingsError(Exception):
    """A fault in the settings file; `key` is "" where the whole file is at fault."""

    def __init__(self, file: str, key: str, found: str, expected: str) -> None:
        super().__init__(f"{file}: {key + ': ' if key else ''}found {found}, expected {expected}")
        self.file = file
        self.key = key
        self.found = found
        self.expected = expected


@dataclass(frozen=True, slots=True)
class Listen:
    """Addresses ("ip:port") for what the role serves; None for what it doesn't."""

    front: str | None = None
    ready: str | None = None
    control: str | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """What the process may use: share of a core, cores shown, MB, descriptors, Mbit/s, MB of disk."""

    cpu_share: float = 1.0
    cores: int = 1
    memory_mb: int = 128
    max_fds: int = 1_024
    link_mbps: float = 1_000.0
    disk_mb: int = 0


@dataclass(frozen=True, slots=True)
class Tolerance:
    """What may be lost at once: machines that count for the quorum, or zones, or regions."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of the rules; the unit is the end of the name (s, ms; x is a factor).

    The defaults are the figures of the users' printed example.
    """

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: int = 3_000
    ack_ms: int = 4_000
    catch_up_s: float = 4.0
    drain_ms: int = 2_000
    grace_s: float = 6.0
    loss_slack_ms: int = 200
    config_apply_ms: int = 2_000
    rollback_slack_ms: int = 250
    max_skew_ms: int = 5_000
    recovery_s: float = 12.0
    hold_max_ms: int = 10_000
    stop_ms: int = 200
    gang_ms: int = 3_000
    cancel_ms: int = 3_000
    visible_ms: int = 3_000
    early_ms: int = 250
    finish_s: float = 14.0
    status_s: float = 120.0
    far_x: float = 1.5
    save_s: float = 2.0
    restore_ms: int = 250


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All that a process is told; names as in the file, in snake case.

    `seeds` are `control` addresses. `data_dir` is None where the process has no disk. `zones` gives the
    region of each zone. `app` and `service` are the worker's, on the machine of an agent, and "" elsewhere.
    """

    node_name: str
    role: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    machine_class: str = ""
    serves: tuple[str, ...] = ()
    region: str = ""
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    counts_for_quorum: bool = False
    data_dir: str | None = None
    heartbeat_ms: int = 1_500
    commands: str = "rpc"
    app: str = ""
    service: str = ""
    zones: Mapping[str, str] = field(default_factory=lambda: MappingProxyType({}))
    listen: Listen = Listen()
    limits: Limits = Limits()
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    contracts: tuple[str, ...] = ()


def path_from_environment(environment: Mapping[str, str] = os.environ) -> str:
    """The path in `FLINTFIELD_CONFIG`; raises `SettingsError` where it is not set."""
    path = environment.get(VARIABLE, "")
    if not path:
        raise SettingsError(VARIABLE, "", "nothing", "the path of the settings file")
    return path


def rpc_address(ip: str, settings: NodeSettings) -> str:
    """The RPC listener of the scheduler at that IP: the first port of the range, the same on all machines."""
    return f"{ip}:{settings.port_range[0]}"


def agent_rpc_address(ip: str, settings: NodeSettings) -> str:
    """The RPC listener of the agent at that IP: the second port of the range."""
    return f"{ip}:{settings.port_range[0] + 1}"
