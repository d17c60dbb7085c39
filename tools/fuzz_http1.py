"""Hold the strict readers of HTTP/1.1 against h11: what they take they must read as it does.

    python -m tools.fuzz_http1 --inputs 1000000 --seed 1

Texts begin regular and are then bent: bytes and tokens changed, headers doubled, dropped and mixed, line
ends and lengths off, pieces cut anywhere. A reader with the strict readers and one without, of a request or
of an answer, are fed the same pieces and must say the same after each. To a request that was regular,
`frame` must write the answer that h11 would. It ends with 1 at the first difference, which it prints with
its seed: the same seed makes the same texts.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from collections.abc import Callable

import click
import h11

from flintfield.wire.http1.answer import AnswerReader, Head, Mark
from flintfield.wire.http1.reply import Reply, frame
from flintfield.wire.http1.regular import AnswerHeads, read_request
from flintfield.wire.http1.request import Ended, RequestReader
from flintfield.wire.http1.submission import BadRequest, Request

TOKENS = (b"\r\n", b"\n", b"\r", b" ", b"  ", b"\t", b":", b": ", b"\0", b"0", b"00", b"+1", b"-1", b"_",
          b",", b";", b"close", b"keep-alive", b"chunked", b"x",
          b"HTTP/1.0", b"HTTP/1.1", b"100", b"\xe9", b"\x7f")
NAMES = (b"Req-Id", b"Req-Kind", b"Req-Deadline", b"Req-Cost", b"Accept", b"User-Agent", b"X", b"x-a-b",
         b"Srv-Load", b"Host", b"Content-Length", b"Transfer-Encoding", b"Connection", b"Expect", b"Upgrade",
         b"Trailer", b"TE", b"Date", b"Keep_Alive", b"A1", b"", b"Req-Id ", b"Content-length", b"CONNECTION")
VALUES = (b"x", b"a b", b"a  b", b" a", b"a ", b"\xe9", b"", b"chunked", b"Chunked", b"identity", b"close",
          b"gzip, chunked", b"Close", b"keep-alive", b"Keep-Alive", b"keep-alive, close", b"100-continue",
          b"h2c", b"0", b"5", b"05", b"+5", b"5, 5", b"65536", b"65537", b"99999", b"1e1", b"0x5",
          b"a\tb", b"\x01")


def bend(rng: random.Random, text: bytes) -> bytes:
    """A few small changes anywhere, or none."""
    for _ in range(rng.choice((0, 0, 0, 0, 0, 1, 1, 2, 4))):
        at = rng.randrange(len(text) + 1)
        kind = rng.randrange(5)
        if kind == 0:
            text = text[:at] + bytes((rng.randrange(256),)) + text[at + 1:]
        elif kind == 1:
            text = text[:at] + rng.choice(TOKENS) + text[at:]
        elif kind == 2:
            text = text[:at] + text[at + rng.randrange(1, 4):]
        elif kind == 3:
            text = text[:at] + text[at:at + 1].swapcase() + text[at + 1:]
        else:
            end = at + rng.randrange(1, 40)
            text = text[:end] + text[at:end] + text[end:]
    return text


def _fields(rng: random.Random, usual: list[tuple[bytes, bytes]]) -> bytes:
    fields = usual[:]
    for _ in range(rng.choice((0, 0, 0, 0, 1, 1, 2))):
        fields.insert(rng.randrange(len(fields) + 1), (rng.choice(NAMES), rng.choice(VALUES)))
    if rng.random() < 0.05 and fields:
        fields.append(rng.choice(fields))
    if rng.random() < 0.05 and fields:
        del fields[rng.randrange(len(fields))]
    if rng.random() < 0.2:
        rng.shuffle(fields)
    odd = rng.choice((b": ",) * 17 + (b":", b":  ", b" : "))
    return b"".join(name + (odd if rng.random() < 0.3 else b": ") + value + b"\r\n" for name, value in fields)


def request_text(rng: random.Random) -> bytes:
    """A request, most often nearly regular."""
    body = rng.randbytes(rng.choice((0, 1, 5, 5, 40, 300)))
    length = len(body) if rng.random() < 0.95 else rng.choice((0, 4, 5, 6, 65_536, 65_537))
    head = b"POST /render?a=1 HTTP/1.1"
    if rng.random() < 0.2:
        head = rng.choice((b"POST /render HTTP/1.1", b"POST /render?a=1&b=%20 HTTP/1.1", b"POST / HTTP/1.1",
                           b"POST /render HTTP/1.0", b"GET /ready HTTP/1.1", b"HEAD /x HTTP/1.1",
                           b"POST * HTTP/1.1", b"POST http://x/render HTTP/1.1", b"post /render HTTP/1.1"))
    fields = [(b"Host", b"origin.svc"), (b"Req-Id", b"%016x" % rng.getrandbits(64)), (b"Req-Kind", b"render"),
              (b"Req-Deadline", b"480m"), (b"Content-Length", b"%d" % length)]
    return bend(rng, head + b"\r\n" + _fields(rng, fields) + b"\r\n" + body)


def answer_text(rng: random.Random) -> bytes:
    """What a next hop says, most often nearly regular."""
    text, head = rng.choice((b"", b"HTTP/1.1 100 Continue\r\n\r\n")), b"HTTP/1.1 200 OK"
    if rng.random() < 0.1:
        text = rng.choice((b"HTTP/1.1 100 \r\n\r\n", b"HTTP/1.1 102 Processing\r\n\r\n",
                           b"HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"))
    if rng.random() < 0.2:
        head = rng.choice((b"HTTP/1.1 200 ", b"HTTP/1.1 200", b"HTTP/1.0 200 OK", b"HTTP/1.1 503 Busy",
                           b"HTTP/1.1 204 None", b"HTTP/1.1 304 Same", b"HTTP/1.1 200 \xe9"))
    fields = [(b"Transfer-Encoding", b"chunked"), (b"Date", b"Tue, 01 Dec 2026")]
    text += head + b"\r\n" + _fields(rng, fields) + b"\r\n"
    for _ in range(rng.randrange(4)):
        line = rng.randbytes(rng.choice((1, 3, 20, 300)))
        size = len(line) if rng.random() < 0.95 else rng.randrange(1, 400)
        form = rng.choice((b"%X", b"0%x", b"000%x", b"%x;a=b", b"%x ")) if rng.random() < 0.1 else b"%x"
        text += form % size + b"\r\n" + line + b"\r\n"
    last = (b"00\r\n\r\n", b"0\r\nX: y\r\n\r\n", b"", b"0\r\n\r\nHTTP/1.1 200 OK", b"0\r\n")
    return bend(rng, text + (rng.choice(last) if rng.random() < 0.2 else b"0\r\n\r\n"))


def cut(rng: random.Random, text: bytes) -> list[bytes]:
    """The text in pieces, and now and then its end."""
    ends = [at + 2 for at in range(len(text)) if text.startswith(b"\r\n", at)]
    anywhere = range(len(text) + 1)
    places = sorted(rng.choice(ends if ends and rng.random() < 0.8 else anywhere)
                    for _ in range(rng.choice((0, 0, 0, 0, 1, 2, 5))))
    pieces = [text[a:b] for a, b in zip([0, *places], [*places, len(text)], strict=True)]
    return [p for p in pieces if p] + ([b""] if rng.random() < 0.4 else [])


# ------------------------------------------------------------------ the checks


def check_request(rng: random.Random, counts: Counter[str]) -> str | None:
    """What differs for one request, or None."""
    pieces = cut(rng, request_text(rng))
    ours, theirs = RequestReader(), RequestReader(regular=False)
    told: object = None
    for number, piece in enumerate(pieces):
        told, expected = took(ours, piece), took(theirs, piece)
        if told != expected:
            return f"after piece {number}: ours {told}, h11's {expected}\n{pieces!r}"
        if told is not None and not isinstance(told, bytes):
            break
    if ours.parser or not isinstance(told, Request):
        counts["requests left to h11"] += 1
        return None
    counts["requests taken" if len(pieces) == 1 else "requests taken in pieces"] += 1
    if len(pieces) == 1 and read_request(pieces[0]) != told:
        return f"taken whole: {read_request(pieces[0])}, in a piece {told}\n{pieces!r}"
    assert theirs.parser
    if theirs.parser.they_are_waiting_for_100_continue or theirs.bodiless:
        return f"not regular for h11\n{pieces!r}"
    return _check_frame(rng, theirs.parser, b"".join(pieces))


def took(reader: RequestReader, piece: bytes) -> object:
    """What a reader makes of a piece: a request, an error's text, what it says in between, or None."""
    try:
        return reader.take(piece) or reader.go_on() or None
    except BadRequest as error:
        return error.status, str(error)
    except (h11.RemoteProtocolError, Ended) as error:
        return repr(error)


def _check_frame(rng: random.Random, parser: h11.Connection, text: bytes) -> str | None:
    reply = Reply(rng.choice((200, 400, 500, 503)), rng.randbytes(rng.choice((0, 3, 50))),
                  rng.choice(((), ((b"Retry-After", b"0.250"),))), close=rng.random() < 0.3)
    headers = [*reply.headers, (b"Content-Length", b"%d" % len(reply.body))]
    headers += [(b"Connection", b"close")] if reply.close else []
    head = h11.Response(status_code=reply.status, headers=headers)
    events = (head, h11.Data(data=reply.body), h11.EndOfMessage())
    written = b"".join(parser.send(event) or b"" for event in events)
    goes_on = parser.our_state is h11.DONE and parser.their_state is h11.DONE
    if written != frame(reply) or goes_on is reply.close:
        return f"answer {frame(reply)!r}, h11's {written!r}, goes on {goes_on}\n{text!r}"
    return None


def _said(reader: AnswerReader) -> tuple[list[object], bool]:
    """All that a reader says now, pieces of the body put together; and whether that was its last word."""
    said: list[object] = []
    while (told := reader.next()) is not None:
        if isinstance(told, bytes) and said and isinstance(said[-1], bytes):
            said[-1] += told
        elif isinstance(told, Head):
            said.append(told.status)
        else:
            said.append(told)
        if told is Mark.END or told is Mark.BROKEN:
            return said, True
    return said, False


def check_answer(rng: random.Random, counts: Counter[str]) -> str | None:
    """What differs for one answer, or None."""
    pieces = cut(rng, answer_text(rng))
    ours, theirs = AnswerReader(b"POST", HEADS), AnswerReader(b"POST", None)
    for number, piece in enumerate(pieces):
        ours.put(piece)
        theirs.put(piece)
        (said, over), (expected, _) = _said(ours), _said(theirs)
        if said != expected:
            return f"after piece {number}: ours {said}, h11's {expected}\n{pieces!r}"
        if over:
            break
    counts["answers read by us to the last" if ours.regular else "answers left to h11"] += 1
    return None


HEADS = AnswerHeads()
CHECKS: tuple[Callable[[random.Random, Counter[str]], str | None], ...] = (check_request, check_answer)


def fuzz(inputs: int, seed: int, counts: Counter[str]) -> str | None:
    """Check so many texts of each kind; the first difference, or None."""
    for number in range(inputs):
        for check in CHECKS:
            if differs := check(random.Random(seed << 32 | number), counts):
                return f"{check.__name__} seed {seed} input {number}: {differs}"
    return None


@click.command(help="Hold the strict readers of HTTP/1.1 against h11 on bent texts.")
@click.option("--inputs", default=20_000, show_default=True, help="Texts of each kind.")
@click.option("--seed", default=1, show_default=True, help="The same seed makes the same texts.")
def main(inputs: int, seed: int) -> None:
    """Run it from the command line; exit code 1 if they differ."""
    counts: Counter[str] = Counter()
    began = time.monotonic()
    differs = fuzz(inputs, seed, counts)
    took = time.monotonic() - began
    click.echo(differs or f"{2 * inputs} texts in {took:.0f} s, no difference: {dict(counts)}")
    sys.exit(1 if differs else 0)


if __name__ == "__main__":
    main()
