"""Handles clients' calls: submit, status, cancel, count.

Answers reflect durable state only. Submission is idempotent: a repeated id is answered like the first time,
whatever the job's current state. A rejected id leaves no record. The cancel of an unknown id is recorded, so
that a delayed submission of it does not start after the client received 410.

A job is known by its queue's address and its ID; another body under these is another job, which is refused.
Workers know a task by its job's ID alone, so an ID is in use in one queue at a time: while a job of another
queue with it is known, or a run of a forgotten one may exist, a submission is refused. To all other calls a
job of another queue does not exist (`flintfield.jobs.addresses`).
"""

from __future__ import annotations

from functools import partial

from flintfield.jobs import durable
from flintfield.jobs.addresses import JobAddress, address_of, is_job_id, names_an_id, names_job
from flintfield.jobs.admission import refusal_reason
from flintfield.jobs.body import JobSpec, JobTooLarge, MalformedJob, check_size, fingerprint, read_job
from flintfield.jobs.cancel_marks import add_mark
from flintfield.jobs.ends import RunEnds
from flintfield.jobs.events import Answer, CallArrived, Route
from flintfield.jobs.messages import JobCall, Method
from flintfield.jobs.model import Job
from flintfield.jobs.terms import terms_of
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


class Intake:
    """Answers clients' calls."""

    def __init__(self, state: DispatcherState, readiness: Readiness, ends: RunEnds) -> None:
        self._state = state
        self._readiness = readiness
        self._ends = ends

    def call(self, event: CallArrived) -> None:
        """Process a call; its `Answer` is emitted immediately or after a write."""
        request = event.request
        match request.method:
            case Method.SUBMIT:
                self._submit(event.call, request)
            case Method.CANCEL:
                self._cancel(event.call, request)
            case _:
                self._ask(event.call, request)

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

    def _names_an_id(self, request: JobCall, route: Route | None) -> bool:
        """Whether the path ends in an ID: by its form, or as a job was accepted there."""
        if names_an_id(request, route):
            return True
        address = address_of(request)
        job = self._state.jobs.get(address.job_id)
        return job is not None and job.address == address.queue

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
            self._submit_known(call, known, request.body)
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

    def _submit_known(self, call: int, job: Job, body: bytes) -> None:
        if job.body and body == job.body:
            self._state.after_write(partial(self._answer, call, 200))
            return
        spec = self._read(call, body)
        if spec is None:
            return
        if not job.submitted:  # cancelled before its submission: it stays cancelled and never runs
            job.submitted, job.fingerprint = True, fingerprint(spec)
            self._state.remember_ended(job)
            self._state.put(durable.end_key(job.id), encode(durable.end_record(job)))
        elif not _is_same(job, spec):
            self._state.counters.refused_ids += 1
            self._refuse(call, "the id is that of another job")
            return
        self._state.after_write(partial(self._answer, call, 200))

    def _read(self, call: int, body: bytes) -> JobSpec | None:
        """The job in the body; one that can't be read is answered here."""
        try:
            return read_job(body)
        except MalformedJob as error:
            self._state.counters.malformed += 1
            self._answer(call, 400, _reason(str(error)))
            return None

    def _submit_new(self, call: int, address: JobAddress, route: Route, body: bytes) -> None:
        state, job_id = self._state, address.job_id
        spec = self._read(call, body)
        if spec is None:
            return
        try:
            check_size(spec)
        except JobTooLarge as error:
            self._refuse(call, str(error))
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

    def _ask(self, call: int, request: JobCall) -> None:
        route = self._find_route(request)
        if self._names_an_id(request, route):
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
        if not self._names_an_id(request, route):
            self._answer(call, 400, _reason("a job's id is 16 hex digits"))
            return
        address = address_of(request)
        job = self._find(address, route)
        if job is None:
            if state.configuration is None:
                self._answer_unconfigured(call)
                return
            add_mark(state, address)
            status = 410
        else:
            status = 200 if job.submitted else 410
            if not job.ended:
                self._ends.finish_job(job, JobState.CANCELLED)
        state.after_write(partial(self._answer, call, status, b"{}"))


def _is_same(job: Job, spec: JobSpec) -> bool:
    """Whether a repeated submission is that of the job; True if a former release did not keep what tells."""
    if job.spec is not None:
        return job.spec == spec
    return job.fingerprint in (b"", fingerprint(spec))


def _reason(text: str) -> bytes:
    plain = text.replace("\\", "/").replace('"', "'")
    return b'{"error":"' + plain.encode("ascii", "replace") + b'"}'
