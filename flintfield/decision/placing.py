"""Which worker a job goes to: drawn by its share among those that may take it."""

from __future__ import annotations

from collections.abc import Callable

from flintfield.decision.interface import Effect, Send, SetTimer
from flintfield.decision.pricing import START_MS
from flintfield.decision.records import Attempt, Job, Worker
from flintfield.decision.repeats import bound, may_go
from flintfield.decision.shares import Order, step_down
from flintfield.decision.useful import Useful

SPARE = 0.5  # slots that are to be free beside those of a job that may not be sent again


class Placing(Useful):
    """One send."""

    def _place(self, job: Job, anywhere: bool = False) -> bool:
        """Draw a worker with room for the job; while there is none, or none it can pay, it is held here."""
        may = self.asking.is_sure(self.now) and (not job.attempts or may_go(job, self.settings, self.now))
        worker = self._draw(job, anywhere) if may else None
        if worker is None:
            if not job.running():  # one that waits at a worker is not held as well: thousands may in a jam
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
        """Draw from η over those that may take the job now; jobs of one key go alike: it is fetched once."""
        request, shy = job.request, -1
        cls, needs = self.settings.classes[request.cls], [request.slots]
        if cls.effect is Effect.UNSAFE:
            # Guards against a booking in a queue that it may not leave: its first place is its only one.
            needs.insert(0, request.slots + SPARE)
            # Guards against booking after booking at a worker that fails them and serves other classes well.
            shy = request.cls if self.fleet.willing(request.cls) else -1
        if job.arrived < self.now and self._presses(job):
            needs.append(max(0.0, request.slots - 1.0))
        for need in needs:
            def allowed(worker: Worker, floor: float = need - 0.5) -> bool:
                return worker.room >= floor and self._may_send(job, worker)

            order = not anywhere, cls.kind, job.theta, step_down(need), shy
            if (worker := self._pick(job, order, allowed)) is not None:
                return worker
        return None

    def _pick(self, job: Job, order: Order, allowed: Callable[[Worker], bool]) -> Worker | None:
        """One worker by its share among those of that order that are allowed."""
        pace = max(self.pace.value or 1.0, 1e-6)
        place = bound(job, self.settings) if job.attempts else None
        return self.fleet.draw(order, allowed, self.random, pace, job.request.key, place)

    def _may_send(self, job: Job, worker: Worker) -> bool:
        """Rules 3 and 4 as far as a ready worker of the needed kind tells; no job goes where it failed."""
        if worker.born > 0 and not self._cold_room(worker, job.cost):
            return False
        if not job.attempts:
            return True
        return not job.failed_at(worker) and ((place := bound(job, self.settings)) is None or all(
            getattr(a.worker.entry, place[0]) == getattr(worker.entry, place[0]) for a in job.maybe_ran()))

    def _somewhere(self, job: Job) -> bool:
        """Whether any listed worker may take the job now, be there room or not."""
        kind, place = self.settings.classes[job.request.cls].kind, bound(job, self.settings)
        if not self.fleet.ready(kind):
            return False
        pool = self.fleet.group(place) if place else self.fleet.ring
        return any(w.open and kind in (None, w.entry.kind) and self._may_send(job, w)
                   for w in pool)
