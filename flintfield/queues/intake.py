"""How many messages of a bound queue are taken now: no more than there is room for, and a fair part of that.

Rules. Pure; told the time and what stands in the scheduler, it answers with a number. It decides nothing
about a job once it is taken: that is the decision module's.

Theory of operation. A queue gives back-pressure for nothing: what is not taken waits on disk. So only
`ahead` jobs of a queue wait in the scheduler for room at a worker node; when one is let out, the next is
taken. Where HTTP callers wait too, both draw on the same slots. Then `ahead` is moved, a step each
`STEP_MS`, until the queue's part of the jobs let out meets `share`: up if it had less, down if it had more,
to none at all. Where no caller waits, the queue may use all (the rule conserves work), and where the queue
is empty the callers do.

An integral controller with a dead band: its one state is `ahead`, bounded on both sides. Source of the
back-pressure by a small window: Kanban's work-in-progress limit, and the send window of RFC 9293; of shares
that bind only under contention: Demers, Keshav, Shenker, "Analysis and simulation of a fair queueing
algorithm" (1989).
"""

from __future__ import annotations

from dataclasses import dataclass

STEP_MS = 250.0  # several jobs are let out meanwhile at any rate that matters
CALM_AHEAD = 1.0  # where no caller waits: one that waits for room; a second one would keep callers waiting
DEAD_BAND = 0.02  # of the share: jobs are counted, so the parts never meet exactly
STEP = 0.5  # `ahead` moves by at most two a second
FADE = 0.9  # of the counts each step: the parts are those of the last 2.5 s


@dataclass(frozen=True, slots=True)
class View:
    """What stands in the scheduler: jobs that wait for room, and all that were ever let out, by where they
    came from."""

    queue_waiting: int
    queue_running: int
    queue_let_out: int
    callers_waiting: int
    callers_let_out: int


class Intake:
    """The intake of all bound queues together."""

    def __init__(self, share: float, most_running: int) -> None:
        self.share, self.most_running = share, most_running
        self.ahead = CALM_AHEAD
        self._next = 0.0
        self._seen = (0, 0)
        self._queue = self._callers = 0.0  # let out of late

    def room(self, now: float, view: View) -> int:
        """How many messages may be taken now."""
        if now >= self._next:
            self._step(now, view)
        ahead = self.ahead if view.callers_waiting else max(CALM_AHEAD, self.ahead)
        free = self.most_running - view.queue_running - view.queue_waiting
        return max(0, min(free, int(ahead) - view.queue_waiting))

    def _step(self, now: float, view: View) -> None:
        self._next = now + STEP_MS
        queue, callers = view.queue_let_out - self._seen[0], view.callers_let_out - self._seen[1]
        self._seen = view.queue_let_out, view.callers_let_out
        self._queue = self._queue * FADE + queue
        self._callers = self._callers * FADE + callers
        total = self._queue + self._callers
        if not view.callers_waiting:
            self.ahead = max(CALM_AHEAD, min(self.ahead, self.most_running))
            return
        if total <= 0:
            return
        part = self._queue / total
        if part < self.share - DEAD_BAND:
            self.ahead = min(float(self.most_running), self.ahead + STEP)
        elif part > self.share + DEAD_BAND:
            self.ahead = max(0.0, self.ahead - STEP)
