"""What is asked of the fleet: classes of requests, owners, load and clients."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from flintfield.lab.scenario.types import Ms, Positive, Share, Spec


class RequestClass(Spec):
    """A class of request."""

    name: str
    share: Positive = 1.0
    work_ms: Positive = 700.0  # the mean
    dist: Literal["fixed", "exponential", "lognormal", "pareto"] = "lognormal"
    cv: Ms = 1.0  # of the work
    most_ms: Ms = 0.0  # works beyond it are cut to it, which lowers mean and cv; 0: none is
    attempt_noise: Ms = 0.15  # relative spread of a job's running time from attempt to attempt
    aim_ms: Ms = 600.0
    stretch: Ms = 2.0  # times the job's own work is added to the aim
    deadline_ms: Positive = 8_000.0  # all tries together
    worth: Positive = 1.0
    effect: Literal["safe", "unsafe"] = "safe"
    slots: Annotated[tuple[Share, ...], Meta(min_length=1)] = (1.0,)  # shares of jobs with 1, 2, 4, 8 slots
    priority: int = 0


class Owner(Spec):
    """An agency or caller, where the scenario has them; `share` of all requests."""

    name: str
    share: Positive = 1.0
    allowance_per_s: Ms = 0.0


class Load(Spec):
    """How much is asked for: `level` of the warm fleet's capacity, or `per_s` requests a second."""

    level: Ms | None = None
    per_s: Ms | None = None
    shape: tuple[tuple[float, Positive], ...] = ((0.0, 1.0),)  # (second, factor), linear in between
    hint_cv: Ms = 0.5  # spread of the cost hints; they are unbiased
    hint_factor: Positive = 1.0  # all hints are off by it
    hints: bool = True
    worth_by_work: bool = True
    zone_share: list[Positive] = field(default_factory=list)  # of requests, one for each zone; empty: even
    owners: list[Owner] = field(default_factory=list)


class Clients(Spec):
    """What clients do when a try fails; all tries of a wish have new ids."""

    retries: Annotated[int, Meta(ge=0)] = 3
    backoff_ms: Ms = 0.0  # the short fixed wait; 0: at once
    honours_advice: Share = 0.0  # of clients that wait as long as Retry-After says
    leaves: Share = 0.0  # of wishes whose client goes away before its answer, at a random time
    marks_retry: bool = False
