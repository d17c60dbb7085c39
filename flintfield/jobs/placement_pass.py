"""One placement pass over a service's queue: what it found, and how far it may go.

A pass has two parts (`flintfield.jobs.starts`), each of which ends at a limit. It is followed by a pause that
grows with its work.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from flintfield.jobs.exemptions import ReservationExemptions
from flintfield.jobs.model import Shape, Step
from flintfield.jobs.racks import RackWaits
from flintfield.jobs.states import WaitCause

MAX_STARTS = 256  # per pass, so that an event is processed quickly
FIRST_WAITING_SHAPES = 32  # different demands left waiting in the first part of a pass
LATER_WAITING_SHAPES = 16  # in the second part; while it stops early, the next pass follows at once
FIRST_RACK_WAITS = 192  # steps left waiting for a rack in the first part; they do not block other steps
LATER_RACK_WAITS = 64  # in the second part
FIRST_STEPS = 2_000  # visited in the first part
LATER_STEPS = 2_000  # in the second part
STEPS_PER_PAUSE_MS = 200  # per ms of pause; a pass is to take no more than a third of the processor
LATER_STEPS_PER_PAUSE_MS = 64  # the same beyond the first part
RUNS_PER_PAUSE_MS = 1_000  # looked at for preemption, per ms of pause
RACK_WAITS_PER_PAUSE_MS = 8  # per ms of pause; a check of a rack is cheap
PAUSE_PER_SHAPE_MS = 1  # a pass with many waiting demands is expensive, so the next one is delayed

WaitingShape = tuple[bool, bool, Shape]  # exempt from reservations, first of its job

SHORT_OF_ROOM = (WaitCause.ROOM, WaitCause.GANG)


@dataclass(slots=True)
class PlacementPass:
    """One pass over one queue: what it found, and how far it may go."""

    racks: RackWaits
    exemptions: ReservationExemptions
    causes: dict[WaitingShape, WaitCause] = field(default_factory=dict)  # why steps of a shape wait
    budget: int = MAX_STARTS
    max_shapes: int = FIRST_WAITING_SHAPES
    max_rack_waits: int = FIRST_RACK_WAITS
    tables_full: bool = False  # whether a worker has as many runs as it gets for jobs that run already
    visited: int = 0  # steps, or members of gangs, which are placed together
    max_visited: int = FIRST_STEPS

    def is_over(self) -> bool:
        """Whether this part of the pass has reached a limit."""
        return (
            self.budget <= 0
            or self.visited >= self.max_visited
            or len(self.causes) >= self.max_shapes
            or self.racks.waiting_steps >= self.max_rack_waits
        )

    def waiting_shape(self, step: Step, exempt: bool) -> WaitingShape:
        """Steps that wait under the same of these find room, or don't, together."""
        first_of_job = self.tables_full and step.occurrence.job.open_runs == 0
        return exempt, first_of_job, step.shape

    def begin_second_part(self) -> None:
        """Allow the work of the second part."""
        self.max_visited = self.visited + LATER_STEPS
        self.max_shapes = len(self.causes) + LATER_WAITING_SHAPES
        self.max_rack_waits = self.racks.waiting_steps + LATER_RACK_WAITS

    def note_placed(self, tasks: int) -> None:
        """Count placed tasks."""
        if tasks:
            self.budget -= tasks
            self.exemptions.capacity_taken()

    @property
    def short_of_room(self) -> bool:
        """Whether tasks found no capacity."""
        return any(cause in SHORT_OF_ROOM for cause in self.causes.values())

    def pause_ms(self, runs_examined: int) -> int:
        """How long the queue rests after the pass, so that passes leave processor time for everything else.

        `runs_examined` were looked at for preemption.
        """
        rack_pause_ms = self.racks.waiting_steps // RACK_WAITS_PER_PAUSE_MS
        visits_pause_ms = self.visited // STEPS_PER_PAUSE_MS
        later_pause_ms = max(0, self.visited - FIRST_STEPS) // LATER_STEPS_PER_PAUSE_MS
        preemption_pause_ms = runs_examined // RUNS_PER_PAUSE_MS
        shapes_pause_ms = len(self.causes) * PAUSE_PER_SHAPE_MS
        return shapes_pause_ms + rack_pause_ms + visits_pause_ms + later_pause_ms + preemption_pause_ms
