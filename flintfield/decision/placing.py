"""Chooses the worker for a job: a random draw by share among those that may take it."""

from __future__ import annotations

from collections.abc import Callable

from flintfield.decision.interface import Effect, Send, SetTimer
from flintfield.decision.pricing import START_MS
from flintfield.decision.records import Attempt, Job, Worker
from flintfield.decision.repeats import bound, may_go
from flintfield.decision.shares import Order, round_down_slots
from flintfield.decision.useful import JobValue

SPARE_SLOTS = 0.5  # slots that should stay free beside a job that must not be sent again


class JobPlacement(JobValue):
    """Starts attempts."""

    def _place(self, job: Job, anywhere: bool = False) -> bool:
        """Send the job to a drawn worker; if none has room at a price it can pay, hold the job here."""
        may = self.asking.is_sure(self.now) and (not job.attempts or may_go(job, self.settings, self.now))
        worker = self._draw(job, anywhere) if may else None
        if worker is None:
            if not job.running():  # a job that waits at a worker is not held as well: in a jam, thousands do
                self.held.put(job, (bound(job, self.settings) or ("", -1))[1])
            return False
        self.held.take_out(job)
        settings, rid, slots = self.settings, job.request.rid, job.request.slots
        attempt = Attempt(worker, self.now, slots, settings.tells_start)
        self.attempts[rid, len(job.attempts)] = attempt
        job.attempts.append(attempt)
        worker.hold(slots, self.ticks)
        if settings.tells_start:
            worker.pending[attempt] = None
            cls = settings.classes[job.request.cls]
            if settings.limits.second_copies and cls.effect is not Effect.UNSAFE:
                self.actions.append(SetTimer(START_MS, self.timers.set(job)))
        else:
            self.started += slots
        if worker.is_cold(settings.rules, self.now):
            worker.sent.append((self.now, job.cost))
        self.fleet.touch(worker)
        self.actions.append(Send(rid, worker.entry.worker))
        return True

    def _draw(self, job: Job, anywhere: bool) -> Worker | None:
        """Draw by η among workers that may take the job; jobs of a key share one, which fetches it once."""
        request, avoided_class = job.request, -1
        cls, needs = self.settings.classes[request.cls], [request.slots]
        if cls.effect is Effect.UNSAFE:
            # Keeps an unsafe job, which cannot be sent elsewhere later, out of a worker's queue.
            needs.insert(0, request.slots + SPARE_SLOTS)
            # Avoids a worker that fails this class again and again but serves other classes well.
            avoided_class = request.cls if self.fleet.is_any_willing(request.cls) else -1
        if job.arrived < self.now and self._may_queue(job):
            needs.append(max(0.0, request.slots - 1.0))
        for need in needs:
            def allowed(worker: Worker, floor: float = need - 0.5) -> bool:
                return worker.room >= floor and self._may_send(job, worker)

            order = not anywhere, cls.kind, job.theta, round_down_slots(need), avoided_class
            if (worker := self._draw_by_share(job, order, allowed)) is not None:
                return worker
        return None

    def _draw_by_share(self, job: Job, order: Order, allowed: Callable[[Worker], bool]) -> Worker | None:
        """Draw one worker by its share among those that `order` describes and `allowed` accepts."""
        pace = max(self.pace.value or 1.0, 1e-6)
        place = bound(job, self.settings) if job.attempts else None
        return self.fleet.draw(order, allowed, self.random, pace, job.request.key, place)

    def _may_send(self, job: Job, worker: Worker) -> bool:
        """Check rules 3 and 4 for a ready worker of the needed kind; no job returns to one that failed it."""
        if worker.born > 0 and not self._cold_room(worker, job.cost):
            return False
        if not job.attempts:
            return True
        return not job.failed_at(worker) and ((place := bound(job, self.settings)) is None or all(
            getattr(a.worker.entry, place[0]) == getattr(worker.entry, place[0]) for a in job.maybe_ran()))

    def _can_go_anywhere(self, job: Job) -> bool:
        """Whether any listed worker may take the job now, regardless of room."""
        kind, place = self.settings.classes[job.request.cls].kind, bound(job, self.settings)
        if not self.fleet.ready(kind):
            return False
        pool = self.fleet.group(place) if place else self.fleet.ring
        return any(w.open and kind in (None, w.entry.kind) and self._may_send(job, w)
                   for w in pool)
