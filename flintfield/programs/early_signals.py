"""Signals that come while a program is still being imported and assembled.

Python leaves SIGTERM and SIGHUP to their default until a program handles them: both end the process. A
service may be told to read its settings again at any time, also a moment after it was started; that must not
end it. So the programs call `hold` before they import anything else. What remains is the start of the
interpreter.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

_reload_asked = False


def hold() -> None:
    """From now on SIGTERM and SIGINT end the process with 0, and SIGHUP is remembered.

    Nothing is served yet, and what is on disk bears the end of a process at any moment.
    """
    signal.signal(signal.SIGTERM, _end)
    signal.signal(signal.SIGINT, _end)
    signal.signal(signal.SIGHUP, _remember)


def take_reload() -> bool:
    """Whether SIGHUP came since `hold`, once: the settings that were read before may be old."""
    global _reload_asked
    asked, _reload_asked = _reload_asked, False
    return asked


def _end(_number: int, _frame: FrameType | None) -> None:
    os._exit(0)


def _remember(_number: int, _frame: FrameType | None) -> None:
    global _reload_asked
    _reload_asked = True
