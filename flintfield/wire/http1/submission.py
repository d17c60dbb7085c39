"""A caller's request as it was read, and the job that its headers describe: whatever is odd is refused."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NoReturn

import h11

from flintfield.decision.values import value
from flintfield.memory.messages import Submission

MOST_BODY = 65_536
MOST_OWNER = 64  # characters of an owner's name that count
UNITS = {"m": 1.0, "u": 0.001}
NUMBER = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?([eE][+-]?[0-9]{1,2})?")
ID = re.compile(r"[!-~]{1,128}")
PASSED_ON = (b"req-", b"idempotency-key")  # how the names of headers begin that tell what the job is
PASSABLE = re.compile(rb"[ -~\x80-\xff]{0,1024}")  # a header's value that may be passed on as it is
KEY = re.compile(r"[0-9a-fA-F]{1,16}")


class BadRequest(Exception):
    """A request that is answered with an error at once."""

    def __init__(self, status: int, word: str) -> None:
        super().__init__(word)
        self.status = status


@value
class Request:
    """A whole request as it was read."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


def check_head(head: h11.Request) -> None:
    """Refuse what h11 lets pass, before a byte of the body is read."""
    names = [name for name, _ in head.headers]
    sized = b"content-length" in names
    # Guards against a request hidden in another's body: who goes by the other length sees it.
    if b"transfer-encoding" in names and (sized or head.http_version < b"1.1"):
        raise BadRequest(400, "Content-Length and Transfer-Encoding: the body's end is in doubt")
    # Guards against a job that we and the next hop read differently, by the first value or by the last.
    if doubled := next((n for n in names if n.startswith(PASSED_ON) and names.count(n) > 1), b""):
        raise BadRequest(400, f"{doubled.decode()}: given twice")
    if sized and int(dict(head.headers)[b"content-length"]) > MOST_BODY:
        raise BadRequest(413, "the body is longer than 64 KiB")


def read_submission(request: Request, classes: Mapping[str, int], tenants: Mapping[str, int]) -> Submission:
    """Read a job's request; what is missing or wrong is a `BadRequest`. Classes and tenants have their places
    in the settings."""
    headers = request.headers
    first = request.target.split(b"?", 1)[0].strip(b"/").split(b"/", 1)[0].decode("ascii", "replace")
    class_name = _text(headers, b"req-kind")
    if first != class_name or class_name not in classes or request.method != b"POST":
        _refuse_class(request.method, first, class_name, classes)
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
        owner=owner[:MOST_OWNER],
        tenant=tenants.get(owner, -1),
        idempotency_key=_passed_on(headers, b"idempotency-key"),
    )


def _passed_on(headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    text = headers.get(name, b"")
    # Guards against a line end that would begin another header: not all that is read here came over HTTP.
    if not PASSABLE.fullmatch(text):
        raise BadRequest(400, f"{name.decode()}: too long or not plain text")
    return text


def _refuse_class(method: bytes, first: str, class_name: str, classes: Mapping[str, int]) -> NoReturn:
    """Say what is wrong with a request that is no job of a class."""
    if first not in classes and class_name not in classes and class_name in ("", first):
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
    # Guards against what Python takes for a number and nobody else does: signs, nan, inf, 1_0.
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
