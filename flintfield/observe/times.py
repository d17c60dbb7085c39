"""Where the time of queues and jobs went, as rows. Reads the dispatcher's tables and changes nothing."""

from __future__ import annotations

from flintfield.jobs.dispatcher import Dispatcher
from flintfield.jobs.model import Job
from flintfield.jobs.timing import JobTimes, Phase
from flintfield.observe.messages import PhaseRow, QueueTimesTable


def queue_times(dispatcher: Dispatcher) -> QueueTimesTable:
    """The phases that jobs of each queue went through since the election."""
    rows = [
        PhaseRow(name, phase, times.count[phase], times.total_ms[phase], times.longest_ms[phase])
        for name, times in sorted(dispatcher.state.timing.queues.items())
        for phase in Phase
        if times.count[phase]
    ]
    return QueueTimesTable(dispatcher.epoch, tuple(rows))


def job_times(job: Job) -> tuple[PhaseRow, ...]:
    """The phases of one job's tasks; empty for one whose times are not kept any more."""
    times = job.times
    if not isinstance(times, JobTimes):
        return ()
    return tuple(
        PhaseRow(job.route, phase, 0, times.total_ms[phase], times.longest_ms[phase])
        for phase in Phase
        if times.total_ms[phase]
    )
