"""Handles clients' calls: submit, status, cancel, count.

Answers reflect durable state only. Submission is idempotent: a repeated id is answered like the first time,
whatever the job's current state. A rejected id leaves no record. The cancel of an unknown id is recorded, so
that a delayed submission of it does not start after the client received 410.

Workers know a task by its job's ID alone, so an ID is in use in one queue at a time: while a job of another
queue with it is known, or a run of a forgotten one may exist, a submission is refused. To all other calls a
job of another queue does not exist (`flintfield.jobs.addresses`).
"""

from __future__ import annotations

from collections import deque
from functools import partial

from flintfield.jobs import durable
from flintfield.jobs.addresses import JobAddress, address_of, is_job_id, names_an_id, names_job, queue_of
from flintfield.jobs.admission import refusal_reason
from flintfield.jobs.body import JobTooLarge, MalformedJob, check_size, read_job
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.events import Answer, CallArrived, Configuration, Route
from flintfield.jobs.messages import JobCall, Method
from flintfield.jobs.model import Job
from flintfield.jobs.terms import Terms
from flintfield.jobs.readiness import Readiness
from flintfield.jobs.recorder import JobEvent
from flintfield.jobs.run_tables import count_job
from flintfield.jobs.state import DispatcherState
from flintfield.jobs.states import JobState
from flintfield.jobs.timing import Phase
from flintfield.transport.records import encode

_STATE_BODIES = {
    JobState.ACTIVE: b'{"state":"queued"}',
    JobState.COMPLETED: b'{"state":"completed"}',
    JobState.FAILED: b'{"state":"failed"}',
    JobState.CANCELLED: b'{"state":"cancelled"}',
}
_RUNNING_BODY = b'{"state":"running"}'

JOBS_JOINED_AT_ONCE = 1_000
STEPS_JOINED_AT_ONCE = 2_000  # open ones; a job that passes it is the last one


def terms_of(route: Route) -> Terms:
    """The terms of a configured queue."""
    return Terms(route.service, route.priority, route.max_attempts, route.extension, route.target_latency_ms)


class Intake:
    """Answers clients' calls."""

    def __init__(self, state: DispatcherState, readiness: Readiness, ends: RunEnds) -> None:
        self._state = state
        self._readiness = readiness
        self._ends = ends
        self._queues: dict[str, Route] = {}  # by name
        self._joining: deque[Job] = deque()  # jobs that are to take up the newest configuration

    def call(self, event: CallArrived) -> None:
        """Process a call; its `Answer` is emitted immediately or after a write."""
        request = event.request
        match request.method:
            case Method.SUBMIT:
                self._submit(event.call, request)
            case Method.CANCEL:
                self._cancel(event.call, request)
            case _:
                self._read(event.call, request)

    def _answer(self, call: int, status: int, body: bytes = b"{}", retry_after_ms: int = 0) -> None:
        self._state.emit(Answer(call, self._state.answer(status, body, retry_after_ms)))

    def _answer_unconfigured(self, call: int) -> None:
        self._answer(call, 503, _reason("no configuration yet"), self._state.bounds.unready_retry_ms)

    def _find(self, address: JobAddress, route: Route | None) -> Job | None:
        """The job at this address, whose path is below `route`; one of another queue with its ID is none."""
        job = self._state.jobs.get(address.job_id)
        if job is None or not names_job(address, job, route, self._state.configuration):
            return None
        return job

    def _find_route(self, request: JobCall) -> Route | None:
        configuration = self._state.configuration
        return configuration.find_route(request.host, request.path) if configuration is not None else None

    # Submit

    def _submit(self, call: int, request: JobCall) -> None:
        configuration = self._state.configuration
        if configuration is None:
            self._answer_unconfigured(call)
            return
        route = configuration.find_route(request.host, request.path)
        if route is None:
            self._answer(call, 404, _reason("no such queue"))
            return
        if not is_job_id(request.path[len(route.path_prefix) :]):
            self._answer(call, 400, _reason("a job's id is 16 hex digits"))
            return
        address = address_of(request)
        known = self._find(address, route)
        if known is not None:
            self._submit_known(call, known)
        elif self._id_in_use(address.job_id):
            self._state.counters.refused_ids += 1
            self._refuse(call, "the id is in use")
        else:
            self._submit_new(call, address, route, request.body)

    def _id_in_use(self, job_id: str) -> bool:
        """Whether tasks with this ID may exist; the mark of a cancel elsewhere has none."""
        state = self._state
        job = state.jobs.get(job_id)
        return (job is not None and job.submitted) or job_id in state.runs_of_job

    def _submit_known(self, call: int, job: Job) -> None:
        if not job.submitted:  # cancelled before its submission: it stays cancelled and never runs
            job.submitted = True
            self._state.put(durable.end_key(job.id), encode(durable.end_record(job)))
        self._state.after_write(partial(self._answer, call, 200))

    def _submit_new(self, call: int, address: JobAddress, route: Route, body: bytes) -> None:
        state, job_id = self._state, address.job_id
        try:
            spec = read_job(body)
            check_size(spec)
        except JobTooLarge as error:
            self._refuse(call, str(error))
            return
        except MalformedJob as error:
            state.counters.malformed += 1
            self._answer(call, 400, _reason(str(error)))
            return
        terms = terms_of(route)
        kept_bytes = durable.most_bytes(body, spec.tasks, spec.timed)
        reason = refusal_reason(state, terms, spec, kept_bytes)
        if reason:
            self._refuse(call, reason)
            return
        state.counters.accepted += 1
        job = Job(
            job_id,
            route.name,
            terms,
            state.wall_ms,
            body,
            spec,
            address=address.queue,
            kept_bytes=kept_bytes,
        )
        if job_id in state.jobs:
            state.put(durable.end_key(job_id), None)  # the mark of a cancel in another queue
        state.jobs[job_id] = job
        state.kept_bytes += kept_bytes
        count_job(state.service(terms.service), job)
        record = durable.JobRecord(
            route.name, durable.encode_terms(terms), job.accepted_wall_ms, body, job.address
        )
        state.put(durable.job_key(job_id), encode(record))
        state.timing.begin(job)
        state.after_write(partial(self._accepted, call, job, state.now_ms))

    def _refuse(self, call: int, reason: str) -> None:
        """Answer that the job was not taken; nothing of it is kept."""
        self._state.counters.refused += 1
        self._answer(call, 429, _reason(reason), self._state.bounds.refused_retry_ms)

    def _accepted(self, call: int, job: Job, arrived_ms: int) -> None:
        self._answer(call, 200)
        self._state.timing.note(job, Phase.ADMISSION, self._state.now_ms - arrived_ms)
        if job.state is JobState.ACCEPTING:
            job.become_active()
            self._state.record(job, JobEvent.ACCEPTED)
            self._state.pending[job.route] += 1
            self._readiness.begin(job)

    # Status and count

    def _read(self, call: int, request: JobCall) -> None:
        route = self._find_route(request)
        if names_an_id(request, route):
            self._status(call, self._find(address_of(request), route))
        else:
            self._count(call, request, route)

    def _status(self, call: int, job: Job | None) -> None:
        if job is None or not job.submitted:
            if self._state.configuration is None:
                self._answer_unconfigured(call)
            else:
                self._answer(call, 410, _reason("no such job"))
            return
        self._state.after_write(partial(self._answer_status, call, job))

    def _answer_status(self, call: int, job: Job) -> None:
        word = _STATE_BODIES.get(job.durable_state, _STATE_BODIES[JobState.ACTIVE])
        if job.started and job.durable_state is JobState.ACTIVE:
            word = _RUNNING_BODY
        self._answer(call, 200, word)

    def _count(self, call: int, request: JobCall, route: Route | None) -> None:
        if self._state.configuration is None:
            self._answer_unconfigured(call)
            return
        if route is None:
            self._answer(call, 404, _reason("no such queue"))
            return
        if request.path != route.path_prefix:  # of a nested queue that is not configured, or a malformed id
            self._answer(call, 400, _reason("a job's id is 16 hex digits"))
            return
        self._answer(call, 200, b'{"pending":%d}' % self._state.pending[route.name])

    # Cancel

    def _cancel(self, call: int, request: JobCall) -> None:
        state = self._state
        route = self._find_route(request)
        if not names_an_id(request, route):
            self._answer(call, 400, _reason("a job's id is 16 hex digits"))
            return
        address = address_of(request)
        job = self._find(address, route)
        if job is None:
            if state.configuration is None:
                self._answer_unconfigured(call)
                return
            self._mark_cancelled(address)
            status = 410
        else:
            status = 200 if job.submitted else 410
            if not job.ended:
                self._ends.finish_job(job, JobState.CANCELLED)
        state.after_write(partial(self._answer, call, status, b"{}"))

    def _mark_cancelled(self, address: JobAddress) -> None:
        """Record that an unknown id was cancelled, if the table has room and no other queue uses it."""
        state = self._state
        if len(state.jobs) >= state.bounds.max_jobs or address.job_id in state.jobs:
            return
        terms = Terms("", 0, 1, 1.0, 0)
        job = Job(
            address.job_id,
            "",
            terms,
            state.wall_ms,
            b"",
            None,
            submitted=False,
            address=address.queue,
        )
        job.end(JobState.CANCELLED, state.wall_ms)
        job.show_end()
        state.jobs[job.id] = job
        state.remember_ended(job)
        state.put(durable.end_key(job.id), encode(durable.end_record(job)))

    # Configuration

    def configure(self, configuration: Configuration) -> None:
        """Apply a newer configuration: jobs stay with their queue, also if renamed, and adopt its terms.

        Some do so now, the others with the next calls of `join_queues`.
        """
        state = self._state
        state.configuration = configuration
        self._queues = {route.name: route for route in configuration.routes}
        self._joining = deque(job for job in state.jobs.values() if not job.ended)
        self.join_queues()

    def join_queues(self) -> bool:
        """Let a part of the jobs take up the newest configuration; True while some are left."""
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
        if route.name != job.route:
            if job.state is JobState.ACTIVE:
                self._state.pending[job.route] -= 1
                self._state.pending[route.name] += 1
            job.route = route.name
        terms = terms_of(route)
        if terms != job.terms:
            self._readiness.change_terms(job, terms)


def _reason(text: str) -> bytes:
    plain = text.replace("\\", "/").replace('"', "'")
    return b'{"error":"' + plain.encode("ascii", "replace") + b'"}'
