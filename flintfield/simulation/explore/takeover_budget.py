"""How much may happen on one path of the takeover world."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Budget:
    """How often each of these may happen on one path."""

    takeovers: int = 1
    restarts: int = 0  # of the agent
    leaps: int = 0
    unanswered: int = 2  # orders that get no answer and are carried out later
    ends: int = 1  # runs that end done
    slow: int = 0  # times that the messages between dispatcher and agent wait, to be delivered one by one
    waits: int = 4
    deregistrations: int = 0  # workers that deregister, serve on, and are replaced at any later time
