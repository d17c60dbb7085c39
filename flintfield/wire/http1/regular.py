"""Fast parsers for the two common message forms of the request path; everything else is left to h11.

Rules:

1. A parser here accepts a message only if it is complete, of the one regular form and unambiguous. It never
   rejects a message as invalid: only h11 does that.
2. It parses what it accepts exactly as h11 does. `tools/fuzz_http1.py` compares the two.

Heads are parsed by httptools (llhttp), which strictly rejects lone line feeds, folded lines, spaces before
colons and invalid lengths. `_fields` makes the further checks.

The regular forms: a caller's `POST`, its head in one piece, with a Content-Length; and a next hop's `100
Continue`, then its `200` with chunked encoding. No header name occurs twice. Headers that change the framing
of a message or the persistence of the connection are not regular, except `Connection: keep-alive`, which is
the default.
"""

from __future__ import annotations

import re

import httptools

from flintfield.decision.values import value
from flintfield.wire.http1.submission import MAX_BODY, Request

CHUNK = re.compile(rb"([0-9a-fA-F]{1,5})\r\n")
LENGTH = re.compile(rb"0|[1-9][0-9]{0,4}")
GO_ON = b"HTTP/1.1 100 Continue\r\n\r\n"
LINE_END, HEAD_END = b"\r\n", b"\r\n\r\n"
MAX_HEAD = 8_192  # longest head of a regular message
# The start lines are checked here: llhttp allows several spaces after a target and any byte in a reason.
REQUEST = re.compile(rb"POST /[!-~]* HTTP/1\.1\r\n")
STATUS = re.compile(rb"HTTP/1\.1 200 [ -~]*\r\n")
# Headers that affect framing or the connection's persistence, or ask for 100 Continue.
IRREGULAR_REQUEST_HEADERS = frozenset((b"transfer-encoding", b"expect", b"upgrade", b"trailer", b"te"))
IRREGULAR_RESPONSE_HEADERS = frozenset((b"content-length", b"upgrade", b"trailer"))
MAX_CACHED_HEADS = 64  # size of the cache of response heads known to be regular


class _HeadCollector:
    """Collects the target and headers of a head from httptools' callbacks."""

    __slots__ = ("fields", "lines", "target")

    def __init__(self) -> None:
        self.target = b""
        self.fields: dict[bytes, bytes] = {}
        self.lines = 0

    def on_url(self, part: bytes) -> None:
        """Callback: a piece of the target."""
        self.target += part

    def on_header(self, name: bytes, header_value: bytes | None) -> None:
        """Callback: one header."""
        self.fields[name.lower()] = header_value.strip(b" \t") if header_value else b""
        self.lines += 1


def _fields(collector: _HeadCollector) -> dict[bytes, bytes] | None:
    """The headers; None if a name occurs twice or the Connection header isn't keep-alive."""
    fields = collector.fields
    if len(fields) != collector.lines or fields.get(b"connection", b"keep-alive").lower() != b"keep-alive":
        return None
    return fields


@value
class Start:
    """A regular request head: target, headers, the head's size and the size of the request with its body."""

    target: bytes
    headers: dict[bytes, bytes]
    head: int
    size: int


def read_start(data: bytes) -> Start | None:
    """The complete regular head at the start of `data`; None if there is none or too many bytes follow it."""
    end = data.find(HEAD_END, 0, MAX_HEAD) + len(HEAD_END)
    if end < len(HEAD_END) or not REQUEST.match(data):
        return None
    collector = _HeadCollector()
    try:
        httptools.HttpRequestParser(collector).feed_data(data[:end])
    except httptools.HttpParserError:
        return None
    if (headers := _fields(collector)) is None:
        return None
    length = headers.get(b"content-length", b"")
    if LENGTH.fullmatch(length) is None or len(data) - end > int(length) or int(length) > MAX_BODY:
        return None
    if b"host" not in headers or not IRREGULAR_REQUEST_HEADERS.isdisjoint(headers):
        return None
    return Start(collector.target, headers, end, end + int(length))


def read_request(data: bytes) -> Request | None:
    """The request, if `data` is exactly one complete regular request."""
    start = read_start(data)
    if start is None or start.size != len(data):
        return None
    return Request(b"POST", start.target, start.headers, data[start.head:])


def _response_fields(head: bytes) -> dict[bytes, bytes] | None:
    """The headers, if `head` is the complete head of a `200` response."""
    collector = _HeadCollector()
    try:
        httptools.HttpResponseParser(collector).feed_data(head)
    except httptools.HttpParserError:
        return None
    return _fields(collector) if STATUS.match(head) else None


class AnswerHeads:
    """Recognises regular response heads, with a cache so that a repeated head isn't parsed again."""

    def __init__(self) -> None:
        self._known: set[bytes] = set()

    def size(self, data: bytes, at: int) -> int:
        """The length of the regular head of a chunked `200` that starts at `at`; 0 if there is none."""
        end = data.find(HEAD_END, at, at + MAX_HEAD) + len(HEAD_END)
        if end < len(HEAD_END):
            return 0
        head = data[at:end]
        if head not in self._known:
            headers = _response_fields(head)
            if (headers is None or headers.get(b"transfer-encoding") != b"chunked"
                    or not IRREGULAR_RESPONSE_HEADERS.isdisjoint(headers)):
                return 0
            if len(self._known) >= MAX_CACHED_HEADS:
                self._known.clear()  # heads with a Date header would fill it
            self._known.add(head)
        return end - at


def read_chunk(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The complete chunk at `at` (empty for the last) and its end; None if incomplete or not regular."""
    match = CHUNK.match(data, at)
    if match is None:
        return None
    chunk_start = match.end()
    end = chunk_start + int(match[1], 16)
    if data[end:end + 2] != LINE_END:
        return None
    return data[chunk_start:end], end + 2
