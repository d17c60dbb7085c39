"""How the ingress of a process that is about to end spends its time (no I/O, no state).

The platform polls every second and takes a scheduler out after two misses, so new connections come for about
2 s and are served. Idle connections are closed before: whoever uses them next opens another one, and where
that is to depends on the platform.
"""

from __future__ import annotations

from dataclasses import dataclass

PLATFORM_POLL_MS = 1_000
_MS_IN_S = 1_000


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """Seconds from the start of the drain."""

    close_idle_s: float
    stop_listening_s: float
    end_s: float  # what is not answered by then is given up


def plan_drain(grace_s: float) -> DrainPlan:
    """The plan for a grace period; shares of it where it is short."""
    poll_s = PLATFORM_POLL_MS / _MS_IN_S
    return DrainPlan(
        close_idle_s=min(1.5 * poll_s, 0.3 * grace_s),
        stop_listening_s=min(2.5 * poll_s, 0.5 * grace_s),
        end_s=0.9 * grace_s,
    )
