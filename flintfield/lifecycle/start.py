"""Program start: configuration, log, signals, event loop and exit code."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Sequence
from typing import Any

import anyio
from anyio.abc import TaskStatus

from flintfield.base.config import Config, read_config
from flintfield.base.ini import OperatorsError
from flintfield.base.settings import ConfigError, fault
from flintfield.lifecycle.log import make_log
from flintfield.lifecycle.operators import chosen, read_operators
from flintfield.lifecycle.program import Program
from flintfield.wire.http1.discovery import ListError
from flintfield.wire.http1.sockets import LOOP

BAD_CONFIG = 2
COMPLETION_VARIABLE = "_FLINTFIELD_COMPLETE"  # set by shells that request completions


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one scheduler until SIGTERM or SIGINT, or run a command; return the exit code.

    Arguments that only start a scheduler are parsed here and all others by `flintfield.cli`, so that a
    running scheduler does not hold memory for commands that it does not use.
    """
    given = list(sys.argv[1:] if arguments is None else arguments)
    match given[1:] if given[:1] == ["run"] else given:
        case [] if COMPLETION_VARIABLE not in os.environ:
            return serve(None)
        case ["--ini", file] if not file.startswith("-"):
            return serve(file)
    from flintfield.cli.group import run_command

    return run_command(given)


def serve(ini: str | None) -> int:
    """Run one scheduler with this operators' file; return the exit code."""
    try:
        operators = read_operators(ini)
        config = read_config(os.environ)
        anyio.run(_serve, config, operators, make_log(name=config.name), backend_options=LOOP)
    except OperatorsError as error:
        print(f"flintfield: {ini}: {error}", file=sys.stderr)
        return BAD_CONFIG
    except ConfigError as error:
        print(f"flintfield: {error}", file=sys.stderr)
        return BAD_CONFIG
    except ListError as error:
        print(f"flintfield: known: {error}", file=sys.stderr)
        return BAD_CONFIG
    except OSError as error:
        print(f"flintfield: listen: {error}", file=sys.stderr)
        return 1
    return 0


async def _serve(config: Config, operators: Any, log: Any) -> None:
    program, stop_asked = Program(config, chosen(operators, config), log), anyio.Event()
    try:
        program.listen()
    except OSError as error:
        if config.accept_fd is None:
            raise
        raise fault("LB_ACCEPT_FD", config.accept_fd, f"a listening socket: {error}") from error
    async with anyio.create_task_group() as tasks:
        # Signals are handled before the program runs: one right after the start would kill the process.
        await tasks.start(_handle_signals, program, stop_asked, log)
        await program.run(stop_asked)
        tasks.cancel_scope.cancel()


async def _handle_signals(
    program: Program, stop_asked: anyio.Event, log: Any, *, task_status: TaskStatus[None]
) -> None:
    units = program.signals()
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP, *units) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                _reload(program, log)
            elif number in units:
                units[number]()
            else:
                stop_asked.set()


def _reload(program: Program, log: Any) -> None:
    """Reload the configuration; a faulty file is logged and the scheduler continues to serve."""
    program.reload_units()
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        log.error("reload refused", error=str(error))
        return
    program.reload(config)
