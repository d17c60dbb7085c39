"""The place of a worker on its machine, and what is wrong there at the moment."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from flintfield.agent.events import Event
from flintfield.simulation.plans import Kind
from flintfield.simulation.worker import StandInWorker

Deliver = Callable[[Event], bool]
"""Give the living agent an event; False where there is none to take it in."""


@dataclass
class Spot:
    """A worker's place. Shares are of the orders, from 0 to 1."""

    machine: str
    kind: Kind
    deliver: Deliver
    worker: StandInWorker
    beats: int = 0
    late_share: float = 0.0  # of the orders that get no answer and are carried out later
    lost_share: float = 0.0  # of the orders that end without an answer, carried out or not
    dark: bool = False  # calls are neither done nor answered
    unhealthy: bool = False  # 503 to every call, heartbeats go on
    late_beats: float = 0.0  # share of the heartbeats that come late
