"""Yardsticks: plain choosers that decide in the module's place, from a floor (random) to a top (all-seeing).

Each takes the module's events and answers with its actions, so the reducer and every engine drive it alike.
They share one core that keeps the four rules; a chooser only orders the worker nodes that the rules allow.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from flintfield.decision.interface import Settings
from flintfield.decision.policy import Dispatcher

NAMES = ("random", "round-robin", "least-in-flight", "power-of-two", "omniscient")

Outlook = Callable[[str], "tuple[float, float, float] | None"]
"""What is true of a node now, by name: work left there, free slots, and work that it does in a ms."""


def maker(name: str, outlook: Outlook) -> Callable[[Settings, int], Any]:
    """What makes a scheduler's decisions, by the chooser's name; a ValueError if there is none."""
    if name == "flintfield":
        return Dispatcher
    raise ValueError(f"chooser: found {name!r}, expected flintfield, {', '.join(NAMES)}")
