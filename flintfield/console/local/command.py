"""`local`: play a whole cluster on this machine."""

from __future__ import annotations

import shutil
import signal
import sys
import tempfile
from pathlib import Path
from types import FrameType

from cleo.commands.command import Command
from cleo.helpers import option

from flintfield.console.exit_codes import FAULTY, OK, VERDICT_BAD
from flintfield.console.local.machines import NoPorts
from flintfield.console.local.play import Options, Play, PlayFailed
from flintfield.console.local.table import LiveTable


class LocalCommand(Command):
    """Starts the processes, submits the jobs, ends with a verdict."""

    name = "local"
    description = "Play a whole cluster on this machine: real processes, jobs of each kind, a verdict"
    options = [  # noqa: RUF012 (cleo's way)
        option("kill-leader", None, "Kill the dispatcher's process in the middle", flag=True),
        option("rounds", None, "How many jobs of each kind", flag=False, default="1"),
        option("timeout", None, "Seconds that the jobs may take", flag=False, default="60"),
        option("stay", None, "Let the cluster run on afterwards, until Ctrl-C", flag=True),
        option("folder", None, "Keep settings, logs and data here (else a temporary folder)", flag=False),
    ]

    def handle(self) -> int:
        """Exit code 0 where all jobs ended as they must, 1 otherwise, 2 for unusable options."""
        try:
            options = Options(
                int(self.option("rounds")),
                bool(self.option("kill-leader")),
                float(self.option("timeout")),
                bool(self.option("stay")),
            )
        except ValueError as error:
            self.line_error(f"local: {error}")
            return FAULTY
        given = self.option("folder")
        folder = Path(given).resolve() if given else Path(tempfile.mkdtemp(prefix="flintfield-local-"))
        good = self._play(folder, options)
        if good and not given:
            shutil.rmtree(folder, ignore_errors=True)
        else:
            self.line(f"settings, logs and data: {folder}")
        return OK if good else VERDICT_BAD

    def _play(self, folder: Path, options: Options) -> bool:
        signal.signal(signal.SIGTERM, _interrupt)
        table = LiveTable(_write, in_place=sys.stdout.isatty())
        try:
            play = Play(folder, options, table.show)
            good = play.run()
        except (PlayFailed, NoPorts) as error:
            self.line(f"verdict: failed: {error}")
            return False
        wrong = [job for job in play.jobs if not job.as_expected]
        for job in wrong:
            self.line(f"{job.kind.name} {job.id}: {job.state}, must be {job.kind.end}")
        count = f"{len(play.jobs) - len(wrong)} of {len(play.jobs)}"
        self.line(f"verdict: {'good' if good else 'failed'}: {count} jobs ended as they must")
        return good


def _write(text: str) -> None:
    sys.stdout.write(text)
    sys.stdout.flush()


def _interrupt(_signal: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt
