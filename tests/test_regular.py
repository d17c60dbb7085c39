"""The fast parsers of regular HTTP/1.1 messages: what they accept, and that they agree with h11."""

from __future__ import annotations

from collections import Counter

import pytest

from flintfield.wire.http1.answer import AnswerReader, Head, Mark
from flintfield.wire.http1.regular import AnswerHeads, read_request
from flintfield.wire.http1.request import RequestReader
from tools.fuzz_http1 import took, fuzz

REQUEST = (b"POST /render?a=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 9b1f\r\nUser-Agent: a b\r\n"
           b"Connection: keep-alive\r\nContent-Length: 4\r\n\r\nbody")
ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n"


def test_parsers_agree_with_h11_on_mutated_messages() -> None:
    counts: Counter[str] = Counter()
    assert fuzz(2_000, 7, counts) is None
    assert counts["requests taken"] > 150 and counts["requests taken in pieces"] > 50
    assert counts["answers read by us to the last"] > 100


def test_regular_request_is_parsed_as_by_h11() -> None:
    taken = read_request(REQUEST)
    assert taken and taken.body == b"body" and taken.headers[b"user-agent"] == b"a b"
    assert taken == RequestReader(regular=False).take(REQUEST)


@pytest.mark.parametrize(("part", "other"), [(b"a b", b"a\tb"), (b"9b1f", b"9b\xe91f"), (b"a b", b"a b ")])
def test_unusual_bytes_in_a_value_are_parsed_as_by_h11(part: bytes, other: bytes) -> None:
    text = REQUEST.replace(part, other, 1)
    assert (taken := read_request(text)) and taken == RequestReader(regular=False).take(text)


def test_regular_request_may_arrive_in_pieces() -> None:
    reader, head = RequestReader(), len(REQUEST) - 4
    assert reader.take(REQUEST[:head]) is reader.take(b"bo") is None and reader.parser is None
    assert reader.take(b"dy") == read_request(REQUEST)
    for pieces in ([REQUEST[:head], b"body+"], [REQUEST[:9], REQUEST[9:]], [REQUEST[:-1], b""]):
        ours, theirs = RequestReader(), RequestReader(regular=False)
        for piece in pieces:
            assert took(ours, piece) == took(theirs, piece)
        assert ours.parser


@pytest.mark.parametrize(("part", "other"), [
    (b"Content-Length: 4", b"Content-Length: 3"), (b"Content-Length: 4", b"Content-Length: 5"),
    (b"Content-Length: 4", b"Content-Length: 04"), (b"Content-Length: 4", b"Content-Length: +4"),
    (b"User-Agent", b"Content-Length"), (b"User-Agent", b"Transfer-Encoding"), (b"User-Agent", b"Expect"),
    (b"User-Agent", b"host"), (b"User-Agent:", b"User-Agent :"),
    (b"a b\r\n", b"a\r\n b\r\n"), (b"a b\r\n", b"a b\n"),
    (b"keep-alive", b"close"), (b"Host: origin.svc\r\n", b""), (b"/1.1", b"/1.0"),
    (b"POST", b"GET"), (b"POST", b"\r\nPOST"), (b" /render", b" http://x/render"),
])
def test_irregular_requests_are_left_to_h11(part: bytes, other: bytes) -> None:
    assert part in REQUEST and read_request(REQUEST.replace(part, other, 1)) is None


def read(pieces: list[bytes], heads: AnswerHeads | None) -> tuple[list[object], bool]:
    reader, events = AnswerReader(b"POST", heads), list[object]()
    for piece in pieces:
        reader.put(piece)
        while (event := reader.next()) is not None:
            events.append(event.status if isinstance(event, Head) else event)
            if event is Mark.END or event is Mark.BROKEN:
                return events, reader.regular
    return events, reader.regular


def test_regular_answer_is_parsed_without_h11_and_others_with_it() -> None:
    events = [Mark.GO_ON, 200, b"abc", b"0123456789", Mark.END]
    heads = AnswerHeads()
    for pieces in ([b"HTTP/1.1 100 Continue\r\n\r\n", ANSWER], [b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER]):
        assert read(pieces, heads) == (events, True)
        assert read(pieces, None) == (events, False)
    cut = [ANSWER[:61], ANSWER[61:]]  # within the second chunk: h11 continues from its start
    assert ANSWER[:61].endswith(b"A\r\n012") and read(cut, heads)[1] is False
    assert b"".join(p for p in read(cut, heads)[0] if isinstance(p, bytes)) == b"abc0123456789"


@pytest.mark.parametrize("cut", range(1, len(ANSWER)))
def test_truncated_answer_is_broken(cut: int) -> None:
    ours, theirs = (read([ANSWER[:cut], b""], heads)[0] for heads in (AnswerHeads(), None))
    assert ours[-1] is theirs[-1] is Mark.BROKEN
