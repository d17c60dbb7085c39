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


def names_an_id(request: JobCall, route: Route | None) -> bool:
    """Whether the path ends in an ID, below `route` or below a queue that is not configured."""
    if route is not None and is_job_id(request.path[len(route.path_prefix) :]):
        return True
    return _ID_AT_END.search(request.path) is not None


def address_of(request: JobCall) -> JobAddress:
    """The address in a path that ends in an ID."""
    queue = canonical_host(request.host) + request.path[:-ID_LENGTH]
    return JobAddress(queue, request.path[-ID_LENGTH:])


def names_job(
    address: JobAddress, job: Job, route: Route | None, configuration: Configuration | None
) -> bool:
    """Whether this job, which has the ID of the address, is meant; `route` is the queue configured there."""
    if job.address and job.address == address.queue:
        return True
    if configuration is None:
        return not job.address
    if not job.address and all(each.name != job.route for each in configuration.routes):
        return True
    return route is not None and route.name == job.route and route.path_prefix == _prefix(address.queue)


def queue_of(job: Job, configuration: Configuration, by_name: dict[str, Route]) -> Route | None:
    """The configured queue that the job belongs to: that of its queue's name, or else that at its address."""
    named = by_name.get(job.accepted_route)
    if named is not None:
        return named
    if not job.address:
        return None
    route = configuration.find_route(job.address.partition("/")[0], _prefix(job.address))
    return route if route is not None and route.path_prefix == _prefix(job.address) else None


def _prefix(queue: str) -> str:
    """The path prefix in a queue's address."""
    _, slash, path = queue.partition("/")
    return slash + path
