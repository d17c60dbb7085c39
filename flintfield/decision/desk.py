"""What a dispatcher holds: its workers, its jobs, its own random numbers. Plain state, no decision in it.

The decisions are layers over it, a matter and a file each, that call only what stands below them:

    desk       what is held                         (this file)
    knowing    what is known of workers, and when they are asked
    pricing    prices, shares and the room of workers
    cold       what a worker that has just started may get
    ending     refused or failed, and when to come back
    useful     for how long a job is worth a try
    placing    which worker
    waiting    jobs held here: who goes first, and who is given up
    outcomes   what notes and endings tell of workers
    policy     an event in, actions out
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from flintfield.decision.accounts import Accounts
from flintfield.decision.agenda import Agenda
from flintfield.decision.asking import Asking
from flintfield.decision.byhand import Hands
from flintfield.decision.fleet import Fleet
from flintfield.decision.interface import Action, Settings
from flintfield.decision.patience import Patience
from flintfield.decision.records import Attempt, Held, Job, Mean, Timers, Worker
from flintfield.decision.shares import Fill

RATE_MS = 30_000.0  # how long the tenants' rates are remembered that tell our part of all traffic
SHORT_MS = 2000.0  # weight of the prior of an n-th; allowance that may come at once; longest rest
BURST_JOBS = 12  # what a tenant may send at once beyond that, for few jobs are unsteady
MEMORY = 8  # samples that a mean of costs or paces goes back


class Desk:
    """The state of one dispatcher; times in ms."""

    def __init__(self, settings: Settings, seed: int, fill: Fill) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.fleet = Fleet(self._assess, fill, (c.kind for c in settings.classes))
        self.workers = self.fleet.workers
        self.jobs: dict[int, Job] = {}
        self.held = Held()  # jobs that wait here for a free slot
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.timers = Timers()
        self.checks: Agenda[int] = Agenda()  # when a job is to be looked at
        self.ticks, self.sharers = 0, 1.0  # sharers: dispatchers that are thought to deal with a worker
        self.started = 0.0  # slots that our jobs hold that have started
        self.in_flight = 0.0  # the same in the mean
        self.costs, self.pace = [Mean(MEMORY) for _ in settings.classes], Mean(MEMORY)
        allowances = [t.allowance_per_s for t in settings.tenants]
        self.accounts = Accounts(allowances, settings.dispatchers, SHORT_MS, RATE_MS, BURST_JOBS)
        self.top_worth = max(c.worth for c in settings.classes) or 1.0
        self.top_price = min(c.worth for c in settings.classes) / self.top_worth  # against wind-up
        self.asks = settings.limits.probes and settings.reports  # else silence might never end
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[..., None]] = {}
        self.now = self.last_tick = self.wake_at = -math.inf
        self.passed = 0.0  # between the last two ticks
        self.asking = Asking(settings.rules.ask_within_ms, settings.longest_unasked_ms(),
                             settings.first_word_ms)
        self.hands = Hands()
        self.patience = Patience(c.deadline_ms for c in settings.classes)
        self.short_at = -math.inf  # when a job was last given up for want of room

    def _assess(self, worker: Worker) -> tuple[float, bool, bool, bool, float]:
        """For the fleet: room for jobs that would start at once, is it silent, may it be counted on, may its
        price step, and when time alone changes one of these."""
        raise NotImplementedError
