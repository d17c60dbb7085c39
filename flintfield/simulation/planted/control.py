"""Faults of the operator's API."""

from __future__ import annotations

from flintfield.control.redirection import ReadRedirector
from flintfield.simulation.planted.patch import Patch


def answer_long_reads_by_itself() -> list[Patch]:
    """Reads are never redirected, however long their answers take over the own link."""
    return [Patch(ReadRedirector, "location", lambda self, path, answer_bytes: None)]
