"""The form of a log line, by python-json-logger; imported when logs are configured (0.6 MB, 10 ms)."""

from __future__ import annotations

import logging
from typing import Any

from pythonjsonlogger.json import JsonFormatter

MAX_TEXT = 2_000  # characters of a text field or a traceback
_FORMAT = "%(created)f%(levelname)s%(name)s%(message)s"
_NAMES = {"created": "time", "levelname": "level", "name": "logger", "message": "event"}


class _Lines(JsonFormatter):
    """JSON lines whose texts are cut to a bounded length."""

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        for key, value in log_data.items():
            if isinstance(value, str) and len(value) > MAX_TEXT:
                log_data[key] = value[:MAX_TEXT] + "..."
        return log_data


def line_format(node_name: str, role: str) -> logging.Formatter:
    """The formatter of a process."""
    return _Lines(_FORMAT, rename_fields=_NAMES, static_fields={"node": node_name, "role": role})
