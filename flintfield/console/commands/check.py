"""`check` and `check-configuration`: faults in files, before a process or the operator meets them."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.helpers import argument

from flintfield.console.checks import Fault, check_configuration, check_settings
from flintfield.console.commands.base import json_option
from flintfield.console.exit_codes import FAULTY, OK
from flintfield.console.output import as_json


class _CheckCommand(Command):
    """Exit code 2 where there is a fault."""

    options = [json_option()]  # noqa: RUF012 (cleo's way)

    def handle(self) -> int:
        """Check and print."""
        path = self.argument("file")
        faults = self.faults(path)
        if self.option("json"):
            self.io.write_line(as_json({"file": path, "faults": faults}))
        else:
            for fault in faults:
                self.line_error(str(fault))
            if not faults:
                self.line(f"{path}: no fault")
        return FAULTY if faults else OK

    def faults(self, path: str) -> list[Fault]:
        """What is wrong with the file."""
        raise NotImplementedError


class CheckSettingsCommand(_CheckCommand):
    """A process's settings file."""

    name = "check"
    description = "Check a settings file (TOML)"
    arguments = [argument("file", "The settings file")]  # noqa: RUF012

    def faults(self, path: str) -> list[Fault]:
        """What is wrong with it."""
        return check_settings(path)


class CheckConfigurationCommand(_CheckCommand):
    """An operator's configuration."""

    name = "check-configuration"
    description = "Check a whole configuration (JSON), as Config.Replace takes it"
    arguments = [argument("file", "The configuration")]  # noqa: RUF012

    def faults(self, path: str) -> list[Fault]:
        """What is wrong with it."""
        return check_configuration(path)
