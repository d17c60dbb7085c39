"""What a client's HTTP request asks for (no I/O, no state).

A request becomes a `ClientCall`, or it is refused here. Everything that depends on the configuration is
refused only while the version known here is surely in force; otherwise the dispatcher decides. A queue that
is not known here is always the dispatcher's to judge, so that a 404 never comes from an older version.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from flintfield.control.configuration import Configuration, Route
from flintfield.ingress.messages import Reply, Request, error_reply
from flintfield.jobs.messages import Method
from flintfield.runtime.errors import ErrorKind

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}", re.ASCII)
_ENDS_IN_JOB_ID = re.compile(r"(^|[^0-9a-fA-F])[0-9a-fA-F]{16}$", re.ASCII)
_METHODS = {"POST": Method.SUBMIT, "GET": Method.STATUS, "DELETE": Method.CANCEL}
_LONGEST_DEADLINE_DIGITS = 9  # ten days


@dataclass(frozen=True, slots=True)
class ClientCall:
    """A call as it is passed on; `deadline_ms` is how long the client waits for the answer (None: it does not
    say).
    """

    method: Method
    host: str
    path: str
    body: bytes
    route: Route | None
    deadline_ms: int | None


def read_call(request: Request, configuration: Configuration | None, confirmed: bool) -> ClientCall | Reply:
    """The call in this request, or its refusal. `confirmed`: the configuration is surely in force."""
    method = _METHODS.get(request.method)
    if method is None:
        allow = (("Allow", ", ".join(_METHODS)),)
        return error_reply(ErrorKind.NOT_ALLOWED, f"the method {request.method[:20]!r} is not known", allow)
    host = request.headers.get("Host", "")
    if not host:
        return error_reply(ErrorKind.MALFORMED, "Host: is missing")
    if not request.path.startswith("/"):
        return error_reply(ErrorKind.MALFORMED, "the path does not start with /")
    deadline_ms = None
    deadline_text = request.headers.get("X-Deadline-Ms")
    if deadline_text is not None:
        if not _is_deadline(deadline_text):
            return error_reply(ErrorKind.MALFORMED, "X-Deadline-Ms: is not a whole number of milliseconds")
        deadline_ms = int(deadline_text)
    route = configuration.find_route(host, request.path) if configuration is not None else None
    job_id = request.path[len(route.path_prefix) :] if route is not None else None
    if method is Method.STATUS and _asks_for_count(request.path, job_id):
        method = Method.COUNT
    elif confirmed and job_id is not None and not _may_name_job(method, request.path, job_id):
        return error_reply(ErrorKind.MALFORMED, "the ID is not 16 hex digits")
    body = request.body if method is Method.SUBMIT else b""
    return ClientCall(method, host, request.path, body, route, deadline_ms)


def _may_name_job(method: Method, path: str, job_id: str) -> bool:
    """Whether the rest of the path is an ID. An accepted job is still known by its path after its route was
    removed, and a shorter prefix may match that path now.
    """
    if _JOB_ID.fullmatch(job_id):
        return True
    return method is not Method.SUBMIT and _ENDS_IN_JOB_ID.search(path) is not None


def _is_deadline(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _LONGEST_DEADLINE_DIGITS


def _asks_for_count(path: str, job_id: str | None) -> bool:
    """Whether a GET has no ID; where the queue is not known here, by the form of the path."""
    if job_id is not None:
        return job_id == ""
    return _ENDS_IN_JOB_ID.search(path) is None
