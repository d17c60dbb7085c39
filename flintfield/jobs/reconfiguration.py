"""Lets jobs take up a newer configuration: they stay with their queue and adopt its terms.

After an election, jobs keep the terms with which they were restored until the configuration is confirmed to
be the newest: the one that this process knows may be older than the one that the last dispatcher acted on.
"""

from __future__ import annotations

from collections import deque

from flintfield.jobs import durable
from flintfield.jobs.addresses import queue_of
from flintfield.jobs.events import Configuration, Route
from flintfield.jobs.model import Job
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState
from flintfield.jobs.terms import terms_of

JOBS_JOINED_AT_ONCE = 1_000
STEPS_JOINED_AT_ONCE = 2_000  # open ones; a job that passes it is the last one


class Reconfiguration:
    """The jobs that are still to take up the newest configuration."""

    def __init__(self, state: DispatcherState, readiness: Readiness) -> None:
        self._state = state
        self._readiness = readiness
        self._queues: dict[str, Route] = {}  # by name
        self._joining: deque[Job] = deque()

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration to some jobs now, to the others with later calls of `join_queues`."""
        state = self._state
        state.configuration = configuration
        self._queues = {route.name: route for route in configuration.routes}
        if not state.configuration_confirmed:
            return
        self._joining = deque(job for job in state.jobs.values() if not job.ended)
        self.join_queues()

    def confirm(self, configuration: Configuration | None) -> None:
        """Apply a configuration that was confirmed to be the newest, unless a newer one is known by now."""
        self._state.configuration_confirmed = True
        known = self._state.configuration
        if configuration is None or (known is not None and known.version > configuration.version):
            configuration = known
        if configuration is not None:
            self.configure(configuration)
        else:
            self.join_queues()
        self._readiness.try_all()

    def join_queues(self) -> bool:
        """Let a part of the jobs take up the newest configuration; True while some are left."""
        left = self._join_some()
        state = self._state
        if state.configuration_confirmed and not left and not state.terms_confirmed:
            state.terms_confirmed = True
            self._readiness.try_all()
        return left

    def _join_some(self) -> bool:
        configuration = self._state.configuration
        steps = 0
        for _ in range(min(len(self._joining), JOBS_JOINED_AT_ONCE)):
            if steps >= STEPS_JOINED_AT_ONCE:
                break
            job = self._joining.popleft()
            if job.ended or job.spec is None or configuration is None:
                continue
            steps += len(job.open) * len(job.spec.steps)
            route = queue_of(job, configuration, self._queues)
            if route is not None:
                self._join_queue(job, route)
        return bool(self._joining)

    def _join_queue(self, job: Job, route: Route) -> None:
        terms = terms_of(route)
        if route.name == job.route and terms == job.terms:
            return
        if route.name != job.route:
            if job.state is JobState.ACTIVE:
                self._state.pending[job.route] -= 1
                self._state.pending[route.name] += 1
            job.route = route.name
        if terms != job.terms:
            self._readiness.change_terms(job, terms)
        self._state.put(durable.queue_key(job.id), durable.encode_queue(job))
        job.queue_recorded = True
