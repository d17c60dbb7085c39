"""The group of commands. A new one is a line in `COMMANDS`.

A command is a `click.Command` or a group of them, declared where its work is done; what is heavy is imported
within it, for `--help` imports all. It returns its exit code (None is 0) or raises `BadInput`, which is 2.
"""

from __future__ import annotations

import sys
from collections.abc import Mapping, Sequence
from importlib import import_module

import click

from flintfield import __version__ as VERSION
from flintfield.base.errors import BadInput

BAD_INPUT = 2
LACKS = 1  # a package is not installed
ABORTED = 130  # by Ctrl-C, as shells count it
NAMES = {"help_option_names": ["-h", "--help"]}

COMMANDS: Mapping[str, str] = {
    "run": "flintfield.cli.commands:run",
    "replay": "flintfield.cli.commands:replay",
    "queue": "flintfield.wire.sqs.commands:queue",
    "demo": "flintfield.lab.demo:demo",
    "lab": "flintfield.lab.cli:lab",
    "members": "flintfield.wire.membership.commands:members",
    "plan": "flintfield.wire.link.commands:plan",
    "budgets": "flintfield.wire.sharing.commands:budgets",
    "nodes": "flintfield.wire.sharing.nodes:nodes",
    "maintenance": "flintfield.wire.maintenance.commands:maintenance",
    "sites": "flintfield.sites.commands:sites",
    "keys": "flintfield.wire.membership.commands:keys",
    "store": "flintfield.store.command:store",
}
"""The commands' names, and where each is declared."""


class Lacking(click.ClickException):
    """A command that can not be imported for want of a package."""

    exit_code = LACKS


class Table(click.Group):
    """A group that imports a command when it is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All names, in the order of the table."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import one; None if there is no such command."""
        if cmd_name not in COMMANDS:
            return None
        module, _, name = COMMANDS[cmd_name].partition(":")
        try:
            command = getattr(import_module(module), name)
        except ModuleNotFoundError as error:
            return _lacking(cmd_name, error)
        assert isinstance(command, click.Command)
        return command


def _lacking(name: str, error: ModuleNotFoundError) -> click.Command:
    """Stands for a command whose packages are not there, so that `--help` tells of all others."""
    def tell() -> None:
        raise Lacking(f"{name} needs the package {error.name}, which an extra brings: pip install '.[lab]' "
                      "(pyproject.toml names the others)")

    settings = {"ignore_unknown_options": True, "allow_extra_args": True, "help_option_names": []}
    return click.Command(name, callback=tell, context_settings=settings,
                         short_help=f"(not here: needs the package {error.name})")


@click.group(cls=Table, invoke_without_command=True, context_settings=NAMES)
@click.option("--ini", metavar="FILE", help="The operators' settings; without it no feature is on.")
@click.version_option(VERSION, "-V", "--version", message="flintfield %(version)s")
@click.pass_context
def flintfield(ctx: click.Context, ini: str | None) -> int | None:
    """Push jobs to worker nodes: without a command, run one real scheduler.

    LB_CONFIG names the platform's configuration.
    """
    if ctx.invoked_subcommand is None:
        from flintfield.lifecycle.start import serve

        return serve(ini)
    return None


def run_command(arguments: Sequence[str]) -> int:
    """Carry a command out; its exit code."""
    try:
        code = flintfield.main(list(arguments), "flintfield", standalone_mode=False)
    except click.UsageError as error:
        path = error.ctx.command_path if error.ctx else "flintfield"
        _tell(f"{path}: {error.format_message()} ({path} --help tells more)")
        return BAD_INPUT
    except click.ClickException as error:
        _tell(f"flintfield: {error.format_message()}")
        return error.exit_code
    except BadInput as error:
        _tell(f"flintfield: {error}")
        return BAD_INPUT
    except (click.Abort, KeyboardInterrupt):
        return ABORTED
    return code if isinstance(code, int) else 0


def _tell(text: str) -> None:
    print(" ".join(text.split()), file=sys.stderr)
