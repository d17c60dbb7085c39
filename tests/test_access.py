"""Address lists and PROXY headers, on real sockets: what is served, closed and said on standard error."""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Callable, Iterator
from itertools import pairwise
from pathlib import Path

import pytest

from flintfield.wire.http1.access import V2, BadHeader, read_address
from peers import SOON, Hop, Scheduler, Start, start, until

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
INI = "[access]\nallow = 10.20.0.0/16, 2001:db8::/32, 127.0.0.1/32, ::1\ndeny = 10.20.9.0/24\n"
TRUSTED = INI + "proxy_trusted = 127.0.0.0/8, ::1\n"


def v1(source: str) -> bytes:
    family, to = (b"TCP6", b"2001:db8::9") if ":" in source else (b"TCP4", b"192.0.2.9")
    return b"PROXY %s %s %s 40000 9000\r\n" % (family, source.encode(), to)


def v2(source: str, more: bytes = b"", head: int = 0x21) -> bytes:
    family, size = (socket.AF_INET6, 0x21) if ":" in source else (socket.AF_INET, 0x11)
    text = socket.inet_pton(family, source) * 2 + struct.pack("!HH", 40000, 9000) + more
    return V2 + struct.pack("!BBH", head, size, len(text)) + text


def talk(scheduler: Scheduler, *pieces: bytes, source: str = "127.0.0.1") -> bytes:
    """What comes back when these pieces are sent one after the other."""
    host = "::1" if source == "::1" else "127.0.0.1"
    with socket.create_connection((host, scheduler.port), SOON, (source, 0)) as sock:
        try:
            for piece in pieces:
                sock.sendall(piece)
                time.sleep(0.02)
            return sock.recv(1000)
        except (ConnectionResetError, BrokenPipeError):
            return b""


def said(scheduler: Scheduler) -> Iterator[str]:
    assert scheduler.process.stderr
    yield from scheduler.process.stderr


VERSIONS: dict[str, Callable[[str], bytes]] = {"v1": v1, "v2": v2}


@pytest.mark.parametrize("how", VERSIONS)
@pytest.mark.parametrize("true", ["10.20.1.7", "2001:db8::7"])
@pytest.mark.parametrize("peer", ["127.0.0.1", "::1"])
def test_a_header_is_believed_from_a_trusted_front_and_closes_one_from_any_other(
    begin: Start, how: str, true: str, peer: str
) -> None:
    header, listen = VERSIONS[how](true), "[::1]:0" if peer == "::1" else "127.0.0.1:0"
    scheduler = begin(Hop(), ini=TRUSTED, listen=listen)
    lines = said(scheduler)
    assert talk(scheduler, header + READY, source=peer).startswith(b"HTTP/1.1 200")
    line = next(lines)
    assert "connection taken" in line and f"client={true} " in line + " "
    other = begin(Hop(), ini=INI, listen=listen)
    lines = said(other)
    assert talk(other, header + READY, source=peer) == b""
    assert f"client={peer}" in next(lines)
    assert 'event="bad proxy header"' in (line := next(lines)) and f"client={peer} " in line


@pytest.mark.parametrize("how", VERSIONS)
@pytest.mark.parametrize("true", ["10.20.9.1", "10.21.0.1", "2001:db9::1", "::ffff:10.20.9.1"])
def test_a_denied_true_address_is_closed_unanswered(begin: Start, how: str, true: str) -> None:
    scheduler = begin(Hop(), ini=TRUSTED)
    assert talk(scheduler, VERSIONS[how](true) + READY) == b""
    line = next(said(scheduler))
    assert "connection denied" in line and f"client={true.removeprefix('::ffff:')} " in line
    assert talk(scheduler, v1("10.20.1.7") + b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n").endswith(b"}")


KEEP_PEER = {
    "v1 UNKNOWN": b"PROXY UNKNOWN\r\n",
    "v1 UNKNOWN with more": b"PROXY UNKNOWN ffff::1 what ever\r\n",
    "v2 LOCAL": v2("10.20.9.1", head=0x20),
    "v2 AF_UNSPEC": V2 + struct.pack("!BBH", 0x21, 0, 0),
    "v2 AF_UNSPEC with more": V2 + struct.pack("!BBH", 0x21, 0, 5) + b"12345",
    "v2 Unix": V2 + struct.pack("!BBH", 0x21, 0x31, 216) + b"/".ljust(216, b"\0"),
}
TLVS = b"\x04\x00\x03abc\x20\xff\xff"  # the last one is cut short


@pytest.mark.parametrize(("header", "client"), [
    *(pytest.param(h, "127.0.0.1", id=n) for n, h in KEEP_PEER.items()),
    pytest.param(v2("10.20.1.7", TLVS), "10.20.1.7", id="v2 with TLVs"),
    pytest.param(v2("10.20.1.7", b"\x04\xff\xf0" + b"x" * 65_000), "10.20.1.7", id="v2 with long TLVs"),
    pytest.param(v2("::ffff:10.20.1.7"), "10.20.1.7", id="v2 mapped"),
    pytest.param(v1("::ffff:10.20.1.7"), "10.20.1.7", id="v1 mapped"),
])
@pytest.mark.parametrize("split", [False, True])
def test_what_a_header_says_and_what_it_leaves_to_the_peer(
    begin: Start, header: bytes, client: str, split: bool
) -> None:
    scheduler = begin(Hop(), ini=TRUSTED)
    cuts = sorted({0, 1, 5, 11, 13, 20, len(header) - 1, len(header)}) if split else [0, len(header)]
    pieces = [header[a:b] for a, b in pairwise(cuts)]
    pieces[-1] += READY  # what is behind the header is the request's
    assert talk(scheduler, *pieces).startswith(b"HTTP/1.1 200")
    assert f"client={client} " in next(said(scheduler))


GARBLED = {
    "none": READY,
    "half a v1": b"PROXY TCP4 10.20.1.7",
    "v1 too long": b"PROXY UNKNOWN " + b"x" * 100 + b"\r\n",
    "v1 without its CR": b"PROXY TCP4 10.20.1.7 10.0.0.1 1 2\n",
    "v1 odd address": b"PROXY TCP4 10.20.1.777 10.0.0.1 1 2\r\n",
    "v1 odd port": b"PROXY TCP4 10.20.1.7 10.0.0.1 99999 2\r\n",
    "v1 other family": b"PROXY TCP4 2001:db8::1 2001:db8::2 1 2\r\n",
    "v1 no text": b"PROXY TCP4 \xff\xfe 10.0.0.1 1 2\r\n",
    "half a v2": v2("10.20.1.7")[:20],
    "v2 of version 1": v2("10.20.1.7", head=0x11),
    "v2 command 5": v2("10.20.1.7", head=0x25),
    "v2 too short for its addresses": V2 + struct.pack("!BBH", 0x21, 0x11, 4) + b"\x0a\x14\x01\x07",
    "v2 family 4": V2 + struct.pack("!BBH", 0x21, 0x41, 0),
    "v2 protocol 3": V2 + struct.pack("!BBH", 0x21, 0x13, 12) + b"\x0a" * 12,
}


@pytest.mark.parametrize("how", GARBLED)
def test_a_garbled_or_missing_header_of_a_trusted_front_closes_within_2_s(begin: Start, how: str) -> None:
    scheduler = begin(Hop(), ini=TRUSTED)
    began = time.monotonic()
    assert talk(scheduler, GARBLED[how]) == b"" and time.monotonic() - began < 2.4
    line = next(said(scheduler))
    assert "bad proxy header" in line and "client=127.0.0.1 " in line
    assert talk(scheduler, v1("10.20.1.7") + READY).startswith(b"HTTP/1.1 200")


def test_a_denied_peer_is_closed_with_nothing_read_or_written(begin: Start) -> None:
    scheduler = begin(hop := Hop(), ini=INI)
    assert talk(scheduler, READY, source="127.0.0.7") == b""
    assert "connection denied" in (line := next(said(scheduler))) and "client=127.0.0.7" in line
    caller = scheduler.submit()
    hop.job().say("done", result="ok")
    assert caller.getresponse().read() == b"ok"
    counters = scheduler.counters()
    assert (counters["legs.denied"], counters["legs.accepted"]) == (1, 2)


def test_a_request_may_begin_as_a_header_would_and_come_byte_by_byte(begin: Start) -> None:
    scheduler = begin(Hop(), ini=INI)
    for text, status in ((READY, 200), (b"\r\n" + READY, 400)):
        answer = talk(scheduler, *(text[n:n + 1] for n in range(len(text))))
        assert answer.startswith(b"HTTP/1.1 %d" % status)
    assert talk(scheduler, b"P").startswith(b"HTTP/1.1 408")
    assert talk(scheduler, b"PROXIED / HTTP/1.1\r\nHost: x\r\n\r\n").startswith(b"HTTP/1.1 404")


def test_a_mapped_peer_counts_as_ipv4(begin: Start) -> None:
    scheduler = begin(Hop(), ini=INI, listen="[::ffff:127.0.0.1]:0")
    assert talk(scheduler, READY).startswith(b"HTTP/1.1 200")
    assert "client=127.0.0.1" in next(said(scheduler))
    assert talk(scheduler, READY, source="127.0.0.9") == b""


def test_a_standard_error_that_nobody_reads_stalls_no_caller_and_no_end(begin: Start) -> None:
    scheduler = begin(Hop(), ini=INI)
    for _ in range(2500):  # more lines than the pipe and the program hold
        with socket.create_connection(("127.0.0.1", scheduler.port), SOON):
            pass
    assert scheduler.get("/ready").status == 200
    assert until(lambda: scheduler.counters().get("stderr.dropped", 0) > 0)
    scheduler.ask_to_stop()
    assert scheduler.process.wait(SOON) == 0


@pytest.mark.parametrize("key", ["allow", "deny", "proxy_trusted"])
@pytest.mark.parametrize("value", ["10.20.0.0/33", "10.20.0.1/16", "office", "10.0.0.0/8 10.1.0.0/16"])
def test_a_bad_range_is_named_with_exit_code_2(tmp_path: Path, key: str, value: str) -> None:
    _, errors = (process := start(tmp_path, {}, ini=f"[access]\n{key} = {value}\n")).communicate(timeout=SOON)
    assert process.returncode == 2 and f"[access] {key}:" in errors and errors.count("\n") == 1


def test_a_header_is_read_as_the_specification_words_it() -> None:
    assert str(read_address(v2("2001:db8::7"))) == "2001:db8::7"
    with pytest.raises(BadHeader):
        read_address(v2("10.20.1.7", head=0x31))
