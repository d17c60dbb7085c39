"""The state of a dispatcher: its workers, its jobs and its random generator, without any decision logic.

The decisions are layers of subclasses over it, one topic and file each; a layer calls only those above it in
this list:

    state         the state                            (this file)
    observations  the server list, load reports and probes
    pricing       prices, shares and free capacity of workers
    cold          limits for workers that have just started
    ending        final answers: refused or failed, and the time to retry after
    useful        how long a job is worth trying
    placing       choice of a worker
    waiting       held jobs: which is sent first, and which is given up
    outcomes      what notes and attempt outcomes reveal about workers
    policy        maps an event to actions
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from flintfield.decision.accounts import Accounts
from flintfield.decision.time_queue import TimeQueue
from flintfield.decision.discovery_schedule import Asking
from flintfield.decision.operator_overrides import Hands
from flintfield.decision.fleet import Fleet
from flintfield.decision.interface import Action, Settings
from flintfield.decision.patience import Patience
from flintfield.decision.records import Attempt, Held, Job, Mean, Timers, Worker
from flintfield.decision.shares import Fill

RATE_MEMORY_MS = 30_000.0  # decay time of tenants' request rates, from which the traffic share is estimated
SHORT_TERM_MS = 2000.0  # weight of the 1/n traffic prior; allowance accepted in one burst; longest back-off
BURST_SIZE = 12  # requests that a tenant may send at once beyond that, since small counts fluctuate
MEAN_SAMPLES = 8  # samples over which a mean of costs or paces is taken


class DispatcherState:
    """The state of one dispatcher; times in ms."""

    def __init__(self, settings: Settings, seed: int, fill: Fill) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.fleet = Fleet(self._assess, fill, (c.kind for c in settings.classes))
        self.workers = self.fleet.workers
        self.jobs: dict[int, Job] = {}
        self.held = Held()  # jobs that wait at this dispatcher for a free slot
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.timers = Timers()
        self.checks: TimeQueue[int] = TimeQueue()  # when each job is to be checked
        self.ticks, self.sharers = 0, 1.0  # sharers: estimated number of dispatchers that use a worker
        self.started = 0.0  # slots held by this dispatcher's started jobs
        self.in_flight = 0.0  # moving average of `started`
        self.costs, self.pace = [Mean(MEAN_SAMPLES) for _ in settings.classes], Mean(MEAN_SAMPLES)
        allowances = [t.allowance_per_s for t in settings.tenants]
        self.accounts = Accounts(allowances, settings.dispatchers, SHORT_TERM_MS, RATE_MEMORY_MS, BURST_SIZE)
        self.top_worth = max(c.worth for c in settings.classes) or 1.0
        self.top_price = min(c.worth for c in settings.classes) / self.top_worth  # no windup
        self.asks = settings.limits.probes and settings.reports  # else a silence might never end
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[..., None]] = {}
        self.now = self.last_tick = self.wake_at = -math.inf
        self.passed = 0.0  # ms between the last two ticks
        self.asking = Asking(settings.rules.ask_within_ms, settings.max_call_wait_ms(),
                             settings.first_word_ms)
        self.hands = Hands()
        self.patience = Patience(c.deadline_ms for c in settings.classes)
        self.short_at = -math.inf  # when a job was last given up for lack of room

    def _assess(self, worker: Worker) -> tuple[float, bool, bool, bool, float]:
        """A worker's state for the fleet: the room for jobs that would start at once, whether it is silent,
        whether it is usable, whether its price may change, and when one of these changes without an event."""
        raise NotImplementedError
