"""Which job a path names.

Clients know a queue by its host and prefix, and a job by these and its ID. Two clients of different queues
may choose the same ID, so an ID alone names no job; nor does a queue's name, since a queue may be renamed,
removed or given another prefix while its jobs live. So a job keeps the address at which it was accepted. It
is found there whatever the configuration says by now, and at the present prefix of its queue.

Jobs of a release that did not store the address are known by their queue's name, or by their ID alone if that
queue is not configured any more.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from flintfield.base.hosts import canonical_host
from flintfield.jobs.events import Configuration, Route
from flintfield.jobs.messages import JobCall
from flintfield.jobs.model import Job

ID_LENGTH = 16
_ID = re.compile(r"[0-9a-fA-F]{16}")
_ID_AT_END = re.compile(r"(?:^|[^0-9a-fA-F])([0-9a-fA-F]{16})\Z")


@dataclass(frozen=True, slots=True)
class JobAddress:
    """The path of a job: `queue` is the canonical host followed by the prefix."""

    queue: str
    job_id: str


def is_job_id(text: str) -> bool:
    """Whether this is an ID of a job: 16 hex digits."""
    return _ID.fullmatch(text) is not None


def job_address(request: JobCall, configuration: Configuration | None) -> JobAddress | None:
    """The address that the call names, also below a queue that is not configured; None if it has no ID."""
    route = configuration.find_route(request.host, request.path) if configuration is not None else None
    is_below_queue = route is not None and is_job_id(request.path[len(route.path_prefix) :])
    if not is_below_queue and _ID_AT_END.search(request.path) is None:
        return None
    host = canonical_host(request.host)
    return JobAddress(host + request.path[:-ID_LENGTH], request.path[-ID_LENGTH:])


def names_job(request: JobCall, address: JobAddress, job: Job, configuration: Configuration | None) -> bool:
    """Whether the call means this job, which has the ID of the address."""
    if job.address and job.address == address.queue:
        return True
    if configuration is None:
        return not job.address
    if not job.address and all(route.name != job.route for route in configuration.routes):
        return True
    route = configuration.find_route(request.host, request.path)
    if route is None or route.name != job.route:
        return False
    return request.path == route.path_prefix + address.job_id


def queue_of(job: Job, configuration: Configuration, by_name: dict[str, Route]) -> Route | None:
    """The configured queue that the job belongs to now: that at its address, or else that of its name."""
    host, slash, path = job.address.partition("/")
    if slash:
        route = configuration.find_route(host, slash + path)
        if route is not None and route.path_prefix == slash + path:
            return route
    return by_name.get(job.route)
