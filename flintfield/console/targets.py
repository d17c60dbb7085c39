"""Which processes a command asks: addresses that are given, or those that a settings file leads to."""

from __future__ import annotations

import os

from flintfield.runtime.settings import VARIABLE, NodeSettings, rpc_address
from flintfield.runtime.settings_file import load
from flintfield.transport.sockets import parse_address


class NoTargets(Exception):
    """It is not said whom to ask; the text says what is missing or wrong."""


def targets(given: str, settings_path: str) -> tuple[str, ...]:
    """RPC addresses: those given ("ip:port,ip:port"), else the seeds in the settings file at that path, else
    in the one that `FLINTFIELD_CONFIG` names. Raises `NoTargets`, and `SettingsError` for a faulty file."""
    if given:
        return tuple(_checked(address.strip()) for address in given.split(","))
    path = settings_path or os.environ.get(VARIABLE, "")
    if not path:
        raise NoTargets(f"neither --at nor --settings is given, and {VARIABLE} is not set")
    return _of_settings(load(path))


def _of_settings(settings: NodeSettings) -> tuple[str, ...]:
    """The seeds, and the process itself where it is a scheduler."""
    ips = [seed.rpartition(":")[0] for seed in settings.seeds]
    if settings.listen.front is not None:
        ips.insert(0, settings.ip)
    return tuple(dict.fromkeys(rpc_address(ip, settings) for ip in ips))


def _checked(address: str) -> str:
    try:
        parse_address(address)
    except ValueError as error:
        raise NoTargets(f"{address!r} is no address (ip:port)") from error
    return address
