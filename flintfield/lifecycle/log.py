"""Log lines: one JSON object a line on standard output, written with structlog."""

from __future__ import annotations

import sys
from typing import Any

import structlog


def make_log(**bound: Any) -> Any:
    """Make a logger that adds the time, the level and the bound values to each line."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(**bound)
