"""`start`: become one of the programs."""

from __future__ import annotations

import os
import sys

from cleo.commands.command import Command
from cleo.helpers import argument, option

from flintfield.console.exit_codes import FAULTY
from flintfield.runtime.settings import VARIABLE

PROGRAMS = {"scheduler": "flintfield.programs.scheduler", "agent": "flintfield.programs.agent"}


class StartCommand(Command):
    """The program takes this process over, so nothing of the command line stays in its memory."""

    name = "start"
    description = "Run a scheduler or an agent in this process"
    arguments = [argument("program", "scheduler or agent")]  # noqa: RUF012 (cleo's way)
    options = [  # noqa: RUF012
        option("settings", None, f"Settings file (default: ${VARIABLE})", flag=False)
    ]

    def handle(self) -> int:
        """Returns only for what can't be started."""
        module = PROGRAMS.get(self.argument("program"))
        if module is None:
            self.line_error(f"start: {self.argument('program')!r} is neither scheduler nor agent")
            return FAULTY
        environment = dict(os.environ)
        environment["PYTHONPATH"] = os.pathsep.join(place for place in (os.getcwd(), *sys.path) if place)
        if self.option("settings"):
            environment[VARIABLE] = self.option("settings")
        os.execve(sys.executable, (sys.executable, "-m", module), environment)
