"""What can go wrong with a run on sockets that no scenario's file is to blame for."""

from __future__ import annotations


class StartError(Exception):
    """A scheduler that ended at its start; one line with its name and last words."""
