"""Opens occurrences of jobs and checks whether gangs are complete."""

from __future__ import annotations

from flintfield.jobs.model import Job, Occurrence, Step, Task
from flintfield.jobs.states import IllegalChange


def open_occurrence(job: Job, number: int) -> Occurrence:
    """Create an occurrence of an active job, with all its steps and tasks in their initial state."""
    spec = job.spec
    if spec is None:
        raise IllegalChange(f"job {job.id} has ended")
    due = spec.first_run_ms + number * spec.interval_ms if spec.timed else job.accepted_wall_ms
    occurrence = Occurrence(job, number, due, steps_left=len(spec.steps))
    for index, step_spec in enumerate(spec.steps):
        step = Step(occurrence, index, step_spec, step_spec.count, len(step_spec.depends_on))
        name_prefix = f"{job.id}.{number}.{index}."
        step.tasks = [Task(step, each, f"{name_prefix}{each}") for each in range(step_spec.count)]
        occurrence.steps.append(step)
    job.open[number] = occurrence
    return occurrence


def release_occurrence(occurrence: Occurrence) -> None:
    """Once all is done: refer to steps and tasks no more, so that no collection is needed to free them."""
    for step in occurrence.steps:
        step.tasks = []
    occurrence.steps = []


def gang_is_complete(step: Step, number: int) -> bool:
    """Whether every gang member has this run, or the step is done; True for a step that is not a gang."""
    if not step.spec.gang or step.left == 0:
        return True
    return step.members[number] == len(step.tasks)
