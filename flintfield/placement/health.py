"""Quarantine of workers whose runs fail or stall while runs on other workers succeed.

Each worker has a sequential probability ratio test (Wald; with the floor of Page's CUSUM). The log odds that
the worker is faulty start at a prior, rise with each failed run by ln(P(fails | faulty) / P(fails | healthy))
and fall with each success. P(fails | healthy) is the failure rate of the service's runs; it is set high for
a task that has failed on another worker and for a job that has only failed so far, so that poison jobs do not
quarantine workers. A worker is quarantined at even odds. Where many runs end on each worker, the threshold is
higher, since each end is a chance of a false alarm: its distance above the floor is the logarithm of the
number of ends per tolerated false alarm (Page), from the rate at which the service's runs end.

States: TRUSTED → QUARANTINED (until the back-off is over) → PROBING (one run is active) → TRUSTED, or back
to QUARANTINED with a longer back-off. Only `_set_trust` changes the state. At most a third of a service's
workers are untrusted at once.
"""

from __future__ import annotations

import enum
import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field

PRIOR_ODDS = math.log(0.02 / 0.98)  # log odds that a worker without any runs is faulty
FAULTY_FAILURE_RATE = 0.9  # P(a run fails | its worker is faulty)
MIN_FAILURE_RATE = 0.05  # lower bound on a service's estimated failure rate
SUSPECT_TASK_RATE = 0.6  # P(fails | healthy) for a task or job that has failed before and never succeeded
RATE_GAIN = 0.05  # weight of one end in a service's failure rate (exponential smoothing)
EVEN_ODDS = 0.0
MEAN_TIME_BETWEEN_FALSE_ALARMS_S = 600.0  # target for the mean time between false alarms on a healthy worker
END_RATE_HALF_LIFE_MS = 10_000.0  # of the decaying count of ends, from which their rate is computed
UNTRUSTED_DIVISOR = 3  # at most one in this many of a service's workers may be untrusted
BACK_OFF_MS = 1_500.0  # before the first probing run
BACK_OFF_GROWTH = 2.0
MAX_BACK_OFF_MS = 12_000.0  # a fault lasts some 7 s
JITTER = 0.2
PROBE_MIN_TIMEOUT_MS = 3_000  # a probing run that has not ended by then (or three estimates) is given up
MAX_JOBS = 2_048  # whose ends are remembered; the least recently updated one is dropped
ODDS_FLOOR = PRIOR_ODDS  # so successes do not offset later failures


class Trust(enum.Enum):
    """Whether tasks are sent to a worker."""

    TRUSTED = enum.auto()
    QUARANTINED = enum.auto()
    PROBING = enum.auto()


@dataclass(slots=True)
class _WorkerHealth:
    service: str
    trust: Trust = Trust.TRUSTED
    odds: float = PRIOR_ODDS
    until_ms: float = 0.0  # QUARANTINED: the back-off's end; PROBING: when the probe is given up
    back_off_ms: float = BACK_OFF_MS
    probe: str = ""  # PROBING: the task of the probing run


@dataclass(slots=True)
class _EndRate:
    """The rate at which a service's runs end, as a count that halves every `END_RATE_HALF_LIFE_MS`."""

    count: float = 0.0
    at_ms: int = 0

    def note(self, now_ms: int) -> None:
        """Count one more end."""
        self.count = self.count * 0.5 ** (max(0, now_ms - self.at_ms) / END_RATE_HALF_LIFE_MS) + 1.0
        self.at_ms = now_ms

    @property
    def per_s(self) -> float:
        """The constant rate of ends at which the decaying count would stay at its value."""
        return self.count * math.log(2.0) / (END_RATE_HALF_LIFE_MS / 1_000.0)


@dataclass(slots=True)
class _Job:
    succeeded: bool = False
    failed_on: set[str] = field(default_factory=set)


class HealthTable:
    """Which workers are trusted. `quarantines` counts quarantines begun, `suppressed` those that the limit on
    untrusted workers prevented."""

    def __init__(self, generator: random.Random) -> None:
        self.quarantines = 0
        self.suppressed = 0
        self._generator = generator
        self._health: dict[str, _WorkerHealth] = {}
        self._untrusted: dict[str, set[str]] = {}  # by service: the untrusted workers
        self._failure_rates: dict[str, float] = {}
        self._end_rates: dict[str, _EndRate] = {}
        self._jobs: OrderedDict[str, _Job] = OrderedDict()

    def trusted(self, instance: str) -> bool:
        """False from the start of a quarantine until a probing run has succeeded."""
        health = self._health.get(instance)
        return health is None or health.trust is Trust.TRUSTED

    def untrusted(self, service: str) -> set[str]:
        """The untrusted workers of a service; the caller must not modify the set."""
        return self._untrusted.get(service, _NO_WORKERS)

    def due_for_probe(self, service: str, now_ms: int) -> list[str]:
        """Workers that may be given a probing run now, to test whether they have recovered."""
        return sorted(i for i in self.untrusted(service) if now_ms >= self._health[i].until_ms)

    def note_start(self, instance: str, task: str, estimate_ms: int, now_ms: int) -> None:
        """Record that a run was ordered; on a quarantined worker it becomes the probing run."""
        health = self._health.get(instance)
        if health is not None and health.trust is Trust.QUARANTINED:
            self._set_trust(instance, health, Trust.PROBING, now_ms)
            health.probe = task
            health.until_ms = now_ms + max(PROBE_MIN_TIMEOUT_MS, 3 * estimate_ms)

    def note_success(self, instance: str, service: str, task: str, now_ms: int) -> None:
        """Record that a run on the worker succeeded."""
        self._job(task).succeeded = True
        self._end_rate(service).note(now_ms)
        rate = self._learn_rate(service, 0.0)
        health = self._health_of(instance, service)
        health.odds = max(ODDS_FLOOR, health.odds + math.log((1.0 - FAULTY_FAILURE_RATE) / (1.0 - rate)))
        if health.trust is Trust.PROBING and health.probe == task:
            self._set_trust(instance, health, Trust.TRUSTED, now_ms)

    def note_failure(
        self, instance: str, service: str, task: str, failed_elsewhere: bool, workers: int, now_ms: int
    ) -> float:
        """Record that a run on the worker failed or stalled; the service has `workers` workers.

        Returns the weight of the failure as evidence against the worker, from 0.0 (none) to 1.0.
        """
        job = self._job(task)
        self._end_rate(service).note(now_ms)
        suspect_task = failed_elsewhere or (bool(job.failed_on) and not job.succeeded)
        rate = max(self._learn_rate(service, 1.0), SUSPECT_TASK_RATE if suspect_task else 0.0)
        already_counted = instance in job.failed_on and not job.succeeded  # a repeat adds no evidence
        evidence = 0.0 if already_counted else max(0.0, math.log(FAULTY_FAILURE_RATE / rate))
        job.failed_on.add(instance)
        health = self._health_of(instance, service)
        health.odds += evidence
        if health.trust is Trust.PROBING and health.probe == task:
            self._set_trust(instance, health, Trust.QUARANTINED, now_ms)
        elif health.trust is Trust.TRUSTED and health.odds > self._alarm_odds(service, workers):
            self._quarantine(instance, health, workers, now_ms)
        return evidence / math.log(FAULTY_FAILURE_RATE / MIN_FAILURE_RATE)

    def forget(self, instance: str) -> None:
        """Drop the state of a worker that no longer exists."""
        health = self._health.pop(instance, None)
        if health is not None:
            self._untrusted.get(health.service, set()).discard(instance)

    def _quarantine(self, instance: str, health: _WorkerHealth, workers: int, now_ms: int) -> None:
        if len(self.untrusted(health.service)) + 1 > workers // UNTRUSTED_DIVISOR:
            self.suppressed += 1
            return
        self._set_trust(instance, health, Trust.QUARANTINED, now_ms)

    def _set_trust(self, instance: str, health: _WorkerHealth, trust: Trust, now_ms: int) -> None:
        """Change the trust state; nothing else does."""
        previous, health.trust = health.trust, trust
        health.probe = ""
        untrusted = self._untrusted.setdefault(health.service, set())
        if trust is Trust.TRUSTED:
            untrusted.discard(instance)
            health.odds = PRIOR_ODDS
            health.back_off_ms = BACK_OFF_MS
            return
        untrusted.add(instance)
        if trust is Trust.QUARANTINED:
            self.quarantines += 1
            if previous is Trust.PROBING:
                health.back_off_ms = min(MAX_BACK_OFF_MS, health.back_off_ms * BACK_OFF_GROWTH)
            jitter = 1.0 + JITTER * (2.0 * self._generator.random() - 1.0)
            health.until_ms = now_ms + health.back_off_ms * jitter

    def _health_of(self, instance: str, service: str) -> _WorkerHealth:
        health = self._health.get(instance)
        if health is None:
            health = self._health[instance] = _WorkerHealth(service)
        return health

    def _learn_rate(self, service: str, failed: float) -> float:
        """Update the failure rate with this end; returns the rate before it, at least `MIN_FAILURE_RATE`."""
        rate = self._failure_rates.get(service, MIN_FAILURE_RATE)
        self._failure_rates[service] = rate + (failed - rate) * RATE_GAIN
        return max(MIN_FAILURE_RATE, rate)

    def _end_rate(self, service: str) -> _EndRate:
        return self._end_rates.setdefault(service, _EndRate())

    def _alarm_odds(self, service: str, workers: int) -> float:
        """The log odds above which a worker is quarantined."""
        ends = self._end_rate(service).per_s / max(1, workers) * MEAN_TIME_BETWEEN_FALSE_ALARMS_S
        return max(EVEN_ODDS, PRIOR_ODDS + math.log(max(1.0, ends)))

    def _job(self, task: str) -> _Job:
        """The record of the task's job (tasks are named JOB.TIME.STEP.INDEX)."""
        name = task.partition(".")[0]
        job = self._jobs.pop(name, None) or _Job()
        self._jobs[name] = job
        if len(self._jobs) > MAX_JOBS:
            self._jobs.popitem(last=False)
        return job


_NO_WORKERS: set[str] = set()
