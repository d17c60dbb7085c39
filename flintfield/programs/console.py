"""The operator's command line: `python3 -m flintfield.programs.console COMMAND`.

Where cleo is not installed, the libraries that the build line of `deploy/system.toml` put under `target/deps`
are used. Exit codes: see `flintfield/console/exit_codes.py`.
"""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

DEPENDENCIES = Path(__file__).resolve().parents[2] / "target" / "deps"


def main() -> int:
    """Run the command that the arguments name; returns the exit code."""
    if importlib.util.find_spec("cleo") is None:
        sys.path.append(str(DEPENDENCIES))
    from cleo.exceptions import CleoError

    from flintfield.console.application import build
    from flintfield.console.exit_codes import FAULTY

    try:
        return build().run()
    except CleoError as error:
        print(error, file=sys.stderr)
        return FAULTY


if __name__ == "__main__":
    sys.exit(main())
