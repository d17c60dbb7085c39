"""Validates a caller's request and parses the job that its headers describe; malformed ones are rejected."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NoReturn

import h11

from flintfield.decision.values import value
from flintfield.memory.messages import Submission

MAX_BODY = 65_536
MAX_OWNER_LENGTH = 64  # longer owner names are truncated to this many characters
UNITS = {"m": 1.0, "u": 0.001}
NUMBER = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?([eE][+-]?[0-9]{1,2})?")
ID = re.compile(r"[!-~]{1,128}")
JOB_HEADER_PREFIXES = (b"req-", b"idempotency-key")  # of the names of headers that describe the job
FORWARDABLE = re.compile(rb"[ -~\x80-\xff]{0,1024}")  # a header value that may be forwarded unchanged
KEY = re.compile(r"[0-9a-fA-F]{1,16}")


class BadRequest(Exception):
    """A request that is answered immediately with an HTTP error status."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@value
class Request:
    """A complete HTTP request."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


def check_head(head: h11.Request) -> None:
    """Reject unsafe heads that h11 accepts, before any of the body is read."""
    names = [name for name, _ in head.headers]
    has_length = b"content-length" in names
    # Prevents request smuggling: a peer that goes by the other length sees a request within the body.
    if b"transfer-encoding" in names and (has_length or head.http_version < b"1.1"):
        raise BadRequest(400, "Content-Length and Transfer-Encoding: the body's end is in doubt")
    # With a duplicate, this process and the next hop might differ in using the path_class value or the last.
    if duplicate := next((n for n in names if n.startswith(JOB_HEADER_PREFIXES) and names.count(n) > 1), b""):
        raise BadRequest(400, f"{duplicate.decode()}: given twice")
    if has_length and int(dict(head.headers)[b"content-length"]) > MAX_BODY:
        raise BadRequest(413, "the body is longer than 64 KiB")


def read_submission(request: Request, classes: Mapping[str, int], tenants: Mapping[str, int]) -> Submission:
    """Parse a job's request; raises `BadRequest` if something is missing or invalid. `classes` and `tenants`
    map names to indexes in the settings."""
    headers = request.headers
    path_class = request.target.split(b"?", 1)[0].strip(b"/").split(b"/", 1)[0].decode("ascii", "replace")
    class_name = _text(headers, b"req-kind")
    if path_class != class_name or class_name not in classes or request.method != b"POST":
        _refuse_class(request.method, path_class, class_name, classes)
    name = _text(headers, b"req-id")
    if not ID.fullmatch(name):
        raise BadRequest(400, "Req-Id: missing, too long or not plain text")
    extras = _extras(_text(headers, b"req-extra")) if b"req-extra" in headers else {}
    cost_us, owner = _number(headers, b"req-cost"), _text(headers, b"req-owner")
    return Submission(
        name=name, method=request.method, target=request.target, body=request.body,
        cls=classes[class_name], class_name=class_name, wait_ms=_deadline(_text(headers, b"req-deadline")),
        key=_key(_text(headers, b"req-key")),
        cost_ms=None if cost_us is None else cost_us / 1000,
        slots=extras.get("slots") or extras.get("needs") or 1.0,
        memory=extras.get("memory") or extras.get("mem_needed") or 0.0,
        repeat=headers.get(b"req-retry") == b"1",
        owner=owner[:MAX_OWNER_LENGTH],
        tenant=tenants.get(owner, -1),
        idempotency_key=_forwarded_value(headers, b"idempotency-key"),
    )


def _forwarded_value(headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    text = headers.get(name, b"")
    # Prevents header injection through a line break: not every request parsed here came over HTTP.
    if not FORWARDABLE.fullmatch(text):
        raise BadRequest(400, f"{name.decode()}: too long or not plain text")
    return text


def _refuse_class(method: bytes, path_class: str, class_name: str, classes: Mapping[str, int]) -> NoReturn:
    """Raise the `BadRequest` for a request that isn't a valid job submission."""
    if path_class not in classes and class_name not in classes and class_name in ("", path_class):
        if class_name:
            raise BadRequest(400, "Req-Kind: unknown class")
        raise BadRequest(404, "no such path")
    if method != b"POST":
        raise BadRequest(405, "jobs come by POST")
    if class_name not in classes:
        raise BadRequest(400, "Req-Kind: missing or unknown")
    raise BadRequest(404, "the path is not of this class")


def _text(headers: Mapping[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1").strip()


def _float(text: str, name: str) -> float:
    # Excludes forms that Python's float() accepts but other parsers may not: signs, nan, inf, 1_0.
    if not NUMBER.fullmatch(text):
        raise BadRequest(400, f"{name}: not a number")
    return float(text)


def _number(headers: Mapping[bytes, bytes], name: bytes) -> float | None:
    return _float(_text(headers, name), name.decode()) if name in headers else None


def _deadline(text: str) -> float:
    if text[-1:] not in UNITS:
        raise BadRequest(400, "Req-Deadline: missing or without its unit")
    return _float(text[:-1], "Req-Deadline") * UNITS[text[-1]]


def _key(text: str) -> int:
    if not text:
        return 0
    if not KEY.fullmatch(text):
        raise BadRequest(400, "Req-Key: not hexadecimal")
    return int(text, 16)


def _extras(text: str) -> dict[str, float]:
    pairs = [p.split("=", 1) for p in text.split(",") if "=" in p]
    return {name.strip(): _float(value.strip(), "Req-Extra") for name, value in pairs}
