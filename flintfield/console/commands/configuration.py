"""`configuration`: which version each scheduler goes by, and since when."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from flintfield.console.commands.base import ObservingCommand, observing_options
from flintfield.console.exit_codes import OK, VERDICT_BAD
from flintfield.console.output import duration, moment, table
from flintfield.console.rpc_client import survey
from flintfield.observe.messages import ProcessStatus

TITLES = ("name", "version", "taken up (UTC)", "confirmed", "accepted on disk")


class ConfigurationCommand(ObservingCommand):
    """Exit code 1 where processes go by different versions."""

    name = "configuration"
    description = "The version of the configuration at each scheduler, and since when"
    options = observing_options()

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask everybody."""
        found = asyncio.run(survey(addresses))
        statuses = [status for status in found.processes.values() if status is not None]
        versions = {status.name: status.configuration_version for status in statuses}
        newest = max(versions.values(), default=0)
        text = f"newest version: {newest}\n\n" + table(TITLES, [_cells(status) for status in statuses])
        self.show({"newest": newest, "processes": [_fields(status) for status in statuses]}, text)
        return OK if len(set(versions.values())) <= 1 else VERDICT_BAD


def _accepted(status: ProcessStatus) -> int | str:
    return status.replica.configuration_version if status.replica is not None else ""


def _cells(status: ProcessStatus) -> tuple[object, ...]:
    age = duration(status.confirmed_ms_ago)
    return (
        status.name,
        status.configuration_version,
        moment(status.configuration_since_ms),
        age if age == "unknown" else f"{age} ago",
        str(_accepted(status)),
    )


def _fields(status: ProcessStatus) -> dict[str, object]:
    return {
        "name": status.name,
        "version": status.configuration_version,
        "since_wall_ms": status.configuration_since_ms,
        "confirmed_ms_ago": status.confirmed_ms_ago,
        "accepted_on_disk": _accepted(status),
    }
