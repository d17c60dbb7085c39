"""Rules 2 and 3 as far as they depend on the job alone: whether it may be sent or resent, and where."""

from __future__ import annotations

from flintfield.decision.interface import Effect, Group, Settings
from flintfield.decision.records import Job


def may_go(job: Job, settings: Settings, now: float) -> bool:
    """Whether the job may be sent or resent at `now` (ms)."""
    if not job.attempts:
        return True
    cls, limits, past = settings.classes[job.request.cls], settings.limits, job.maybe_ran()
    if len(job.attempts) >= limits.max_attempts:
        return False
    if not past:
        return True
    if cls.effect is Effect.UNSAFE or (not limits.second_copies and job.running()):
        return False
    return cls.effect is Effect.SAFE or now < _known_until(job, settings)


def _known_until(job: Job, settings: Settings) -> float:
    """Until when workers recognise a keyed job that may have run as a repeat."""
    window_ms = settings.classes[job.request.cls].window_ms
    return job.maybe_ran()[0].at + window_ms - settings.resolution_ms


def bound(job: Job, settings: Settings) -> tuple[str, int] | None:
    """The zone or cell that a keyed job which may have run must not leave."""
    if not job.attempts:
        return None
    cls = settings.classes[job.request.cls]
    if cls.effect is not Effect.KEYED or cls.group is Group.ALL:
        return None
    what, past = cls.group.value, job.maybe_ran()
    return (what, getattr(past[0].worker.entry, what)) if past else None


def is_harmless(job: Job, settings: Settings, back_at: float) -> bool:
    """Whether a client's retry at `back_at` is surely harmless, so that the job may be refused (rule 2)."""
    cls = settings.classes[job.request.cls]
    if cls.effect is Effect.SAFE or not job.maybe_ran():
        return True
    return cls.effect is Effect.KEYED and cls.group is Group.ALL and back_at < _known_until(job, settings)
