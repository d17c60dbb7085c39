"""The command line, made of its commands."""

from __future__ import annotations

from cleo.application import Application
from cleo.commands.command import Command

from flintfield import __version__
from flintfield.console.commands.check import CheckConfigurationCommand, CheckSettingsCommand
from flintfield.console.commands.configuration import ConfigurationCommand
from flintfield.console.commands.counters import CountersCommand
from flintfield.console.commands.job import JobCommand
from flintfield.console.commands.jobs import JobsCommand
from flintfield.console.commands.members import MembersCommand
from flintfield.console.commands.start import StartCommand
from flintfield.console.commands.store import StoreRepairCommand, StoreShowCommand
from flintfield.console.commands.times import ExplainJobCommand, QueuesCommand
from flintfield.console.commands.workers import WorkersCommand
from flintfield.console.local.command import LocalCommand

COMMANDS: tuple[type[Command], ...] = (
    LocalCommand,
    StartCommand,
    CheckSettingsCommand,
    CheckConfigurationCommand,
    MembersCommand,
    WorkersCommand,
    JobsCommand,
    JobCommand,
    ExplainJobCommand,
    QueuesCommand,
    ConfigurationCommand,
    CountersCommand,
    StoreShowCommand,
    StoreRepairCommand,
)


def build() -> Application:
    """The application with all commands. It raises `CleoError` for what it can't make out."""
    application = Application("flintfield console", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application
