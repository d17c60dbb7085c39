"""Rank of steps in a queue."""

from __future__ import annotations

PRIORITY_GAP_MS = 30_000  # added to a step's latest start time for each priority number
