"""What the commands have in common that ask running processes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from flintfield.console.exit_codes import FAULTY, UNREACHABLE
from flintfield.console.output import as_json
from flintfield.console.rpc_client import NobodyAnswers, NobodyLeads
from flintfield.console.targets import NoTargets, targets
from flintfield.runtime.settings import SettingsError


def json_option() -> Option:
    """`--json`."""
    return option("json", None, "Print JSON instead of a table", flag=True)


def observing_options(*more: Option) -> list[Option]:
    """The options of a command that asks running processes."""
    return [
        option("at", None, "RPC addresses of schedulers to ask first (ip:port,ip:port)", flag=False),
        option(
            "settings", None, "Settings file whose seeds are asked (default: $FLINTFIELD_CONFIG)", flag=False
        ),
        json_option(),
        *more,
    ]


class ObservingCommand(Command):
    """A command that asks running processes; `observe` does it and returns the exit code."""

    def handle(self) -> int:
        """Find out whom to ask, and tell faults by their exit code."""
        try:
            addresses = targets(self.option("at") or "", self.option("settings") or "")
            return self.observe(addresses)
        except (NoTargets, SettingsError) as error:
            self.line_error(f"{self.name}: {error}")
            return FAULTY
        except (NobodyAnswers, NobodyLeads) as error:
            self.line_error(f"{self.name}: {error}")
            return UNREACHABLE

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask and print."""
        raise NotImplementedError

    def show(self, value: Any, text: str) -> None:
        """Print the value as JSON where that is wanted, else the text."""
        self.io.write_line(as_json(value) if self.option("json") else text)

    def whole_number(self, name: str) -> int:
        """The value of an option; raises `NoTargets` for what is no number."""
        try:
            return int(self.option(name))
        except ValueError as error:
            raise NoTargets(f"--{name}: {self.option(name)!r} is no whole number") from error
