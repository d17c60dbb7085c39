"""The jobs that a local cluster is given: one of each kind that the protocol knows.

`spec` is read by the stand-in workers: how long a task works, how it ends, how large its gang is.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from flintfield.console.local.calls import HOST, PREFIX
from flintfield.console.local.machines import SERVICE
from flintfield.console.local.processes import RACKS, SPECIAL_LABEL

Fields = dict[str, Any]
FIRST_RUN_MS = 1_000  # of the job that runs at set times, from now on
INTERVAL_MS = 700


@dataclass(frozen=True, slots=True)
class JobKind:
    """A job, the state that it must end in, and when its client cancels it (0: never)."""

    name: str
    body: Fields
    end: str = "completed"
    cancel_after_s: float = 0.0


def _job(spec: str, *steps: Fields, **more: int) -> Fields:
    return {"spec": spec, "steps": list(steps), **more}


def _step(count: int, work_ms: int, **more: object) -> Fields:
    return {"count": count, "cpu": 500, "memMb": 64, "estimateMs": work_ms, **more}


def job_kinds(wall_ms: int) -> tuple[JobKind, ...]:
    """One job of each kind; `wall_ms` is the time of day, for those that run at set times."""
    return (
        JobKind("tasks", _job("work_ms=500", _step(6, 500))),
        JobKind(
            "steps",
            _job("work_ms=300", _step(2, 300), _step(4, 300, dependsOn=[0]), _step(1, 300, dependsOn=[0, 1])),
        ),
        JobKind("checkpoints", _job("work_ms=2500 checkpoints=1", _step(2, 2_500, checkpoints=True))),
        JobKind("gang", _job("work_ms=500 gang=3", _step(3, 500, gang=True))),
        JobKind("gang-same-rack", _job("work_ms=500 gang=2", _step(2, 500, gang=True, sameRack=True))),
        JobKind("constraints", _job("work_ms=300", _step(2, 300, constraints=SPECIAL_LABEL))),
        JobKind("affinity", _job("work_ms=300", _step(2, 300, affinity=RACKS[0]))),
        JobKind("anti-affinity", _job("work_ms=400", _step(4, 400, antiAffinity=1))),
        JobKind("speculative", _job("work_ms=400", _step(2, 400, speculative=True))),
        JobKind(
            "repeated",
            _job(
                "work_ms=200",
                _step(2, 200),
                repeatCount=3,
                firstRunMs=wall_ms + FIRST_RUN_MS,
                intervalMs=INTERVAL_MS,
            ),
        ),
        JobKind("long-running", _job("work_ms=0", _step(1, 0, longRunning=True)), "cancelled", 3.0),
        JobKind("cancelled", _job("work_ms=60000", _step(3, 60_000)), "cancelled", 2.0),
        JobKind("failing", _job("work_ms=200 how=failed", _step(1, 200)), "failed"),
    )


def configuration(version: int) -> Fields:
    """The configuration of a local cluster: one service and one queue."""
    return {
        "version": version,
        "routes": [
            {
                "name": "local-queue",
                "host": HOST,
                "pathPrefix": PREFIX,
                "service": SERVICE,
                "routeType": "non_idempotent",
                "timeoutMs": 3_000,
                "targetLatencyMs": 1_000,
                "priority": 0,
                "maxAttempts": 3,
                "extension": 2.0,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConnections": 64,
                "protocol": "h1",
                "tls": False,
                "guards": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }
