"""Faults of a worker's behaviour that last for a while and are over then."""

from __future__ import annotations

from flintfield.simulation.faults import Fault, FaultKind
from flintfield.simulation.spot import Spot


def begin(spot: Spot, fault: Fault) -> None:
    """The worker of this place misbehaves from now on."""
    match fault.kind:
        case FaultKind.DARK_WORKER:
            spot.dark = True
        case FaultKind.UNHEALTHY_WORKER:
            spot.unhealthy = True
        case FaultKind.LATE_ORDERS:
            spot.late_share = fault.amount
        case FaultKind.LOST_ANSWERS:
            spot.lost_share = fault.amount
        case FaultKind.LATE_BEATS:
            spot.late_beats = fault.amount


def end(spot: Spot, kind: FaultKind) -> None:
    """It is well again, as far as this kind goes."""
    match kind:
        case FaultKind.DARK_WORKER:
            spot.dark = False
        case FaultKind.UNHEALTHY_WORKER:
            spot.unhealthy = False
        case FaultKind.LATE_ORDERS:
            spot.late_share = 0.0
        case FaultKind.LOST_ANSWERS:
            spot.lost_share = 0.0
        case FaultKind.LATE_BEATS:
            spot.late_beats = 0.0
