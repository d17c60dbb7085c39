"""Address lists and PROXY headers on real sockets: what is served, closed and logged to standard error."""

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

READY_REQUEST = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
ACCESS_INI = "[access]\nallow = 10.20.0.0/16, 2001:db8::/32, 127.0.0.1/32, ::1\ndeny = 10.20.9.0/24\n"
TRUSTED_INI = ACCESS_INI + "proxy_trusted = 127.0.0.0/8, ::1\n"


def v1(source: str) -> bytes:
    family, to = (b"TCP6", b"2001:db8::9") if ":" in source else (b"TCP4", b"192.0.2.9")
    return b"PROXY %s %s %s 40000 9000\r\n" % (family, source.encode(), to)


def v2(source: str, more: bytes = b"", head: int = 0x21) -> bytes:
    family, size = (socket.AF_INET6, 0x21) if ":" in source else (socket.AF_INET, 0x11)
    text = socket.inet_pton(family, source) * 2 + struct.pack("!HH", 40000, 9000) + more
    return V2 + struct.pack("!BBH", head, size, len(text)) + text


def exchange(scheduler: Scheduler, *pieces: bytes, source: str = "127.0.0.1") -> bytes:
    """Send the pieces one after the other and return the response, empty after a reset."""
    host = "::1" if source == "::1" else "127.0.0.1"
    with socket.create_connection((host, scheduler.port), SOON, (source, 0)) as sock:
        try:
            for piece in pieces:
                sock.sendall(piece)
                time.sleep(0.02)
            return sock.recv(1000)
        except (ConnectionResetError, BrokenPipeError):
            return b""


def log_lines(scheduler: Scheduler) -> Iterator[str]:
    assert scheduler.process.stderr
    yield from scheduler.process.stderr


VERSIONS: dict[str, Callable[[str], bytes]] = {"v1": v1, "v2": v2}


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("client", ["10.20.1.7", "2001:db8::7"])
@pytest.mark.parametrize("peer", ["127.0.0.1", "::1"])
def test_header_is_used_from_a_trusted_proxy_and_closes_an_untrusted_connection(
    begin: Start, version: str, client: str, peer: str
) -> None:
    header, listen = VERSIONS[version](client), "[::1]:0" if peer == "::1" else "127.0.0.1:0"
    scheduler = begin(Hop(), ini=TRUSTED_INI, listen=listen)
    lines = log_lines(scheduler)
    assert exchange(scheduler, header + READY_REQUEST, source=peer).startswith(b"HTTP/1.1 200")
    line = next(lines)
    assert "connection taken" in line and f"client={client} " in line + " "
    other = begin(Hop(), ini=ACCESS_INI, listen=listen)
    lines = log_lines(other)
    assert exchange(other, header + READY_REQUEST, source=peer) == b""
    assert f"client={peer}" in next(lines)
    assert 'event="bad proxy header"' in (line := next(lines)) and f"client={peer} " in line


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("client", ["10.20.9.1", "10.21.0.1", "2001:db9::1", "::ffff:10.20.9.1"])
def test_denied_client_address_in_header_is_closed_without_response(
    begin: Start, version: str, client: str
) -> None:
    scheduler = begin(Hop(), ini=TRUSTED_INI)
    assert exchange(scheduler, VERSIONS[version](client) + READY_REQUEST) == b""
    line = next(log_lines(scheduler))
    assert "connection denied" in line and f"client={client.removeprefix('::ffff:')} " in line
    assert exchange(scheduler, v1("10.20.1.7") + b"GET /counters HTTP/1.1\r\nHost: x\r\n\r\n").endswith(b"}")


PEER_ADDRESS_USED = {
    "v1 UNKNOWN": b"PROXY UNKNOWN\r\n",
    "v1 UNKNOWN with more": b"PROXY UNKNOWN ffff::1 what ever\r\n",
    "v2 LOCAL": v2("10.20.9.1", head=0x20),
    "v2 AF_UNSPEC": V2 + struct.pack("!BBH", 0x21, 0, 0),
    "v2 AF_UNSPEC with more": V2 + struct.pack("!BBH", 0x21, 0, 5) + b"12345",
    "v2 Unix": V2 + struct.pack("!BBH", 0x21, 0x31, 216) + b"/".ljust(216, b"\0"),
}
TLVS = b"\x04\x00\x03abc\x20\xff\xff"  # the last one is truncated


@pytest.mark.parametrize(("header", "client"), [
    *(pytest.param(h, "127.0.0.1", id=n) for n, h in PEER_ADDRESS_USED.items()),
    pytest.param(v2("10.20.1.7", TLVS), "10.20.1.7", id="v2 with TLVs"),
    pytest.param(v2("10.20.1.7", b"\x04\xff\xf0" + b"x" * 65_000), "10.20.1.7", id="v2 with long TLVs"),
    pytest.param(v2("::ffff:10.20.1.7"), "10.20.1.7", id="v2 mapped"),
    pytest.param(v1("::ffff:10.20.1.7"), "10.20.1.7", id="v1 mapped"),
])
@pytest.mark.parametrize("split", [False, True])
def test_client_address_is_the_headers_or_else_the_peers(
    begin: Start, header: bytes, client: str, split: bool
) -> None:
    scheduler = begin(Hop(), ini=TRUSTED_INI)
    cuts = sorted({0, 1, 5, 11, 13, 20, len(header) - 1, len(header)}) if split else [0, len(header)]
    pieces = [header[a:b] for a, b in pairwise(cuts)]
    pieces[-1] += READY_REQUEST  # the request follows the header
    assert exchange(scheduler, *pieces).startswith(b"HTTP/1.1 200")
    assert f"client={client} " in next(log_lines(scheduler))


INVALID_HEADERS = {
    "none": READY_REQUEST,
    "half a v1": b"PROXY TCP4 10.20.1.7",
    "v1 too long": b"PROXY UNKNOWN " + b"x" * 100 + b"\r\n",
    "v1 without its CR": b"PROXY TCP4 10.20.1.7 10.0.0.1 1 2\n",
    "v1 odd address": b"PROXY TCP4 10.20.1.777 10.0.0.1 1 2\r\n",
    "v1 odd port": b"PROXY TCP4 10.20.1.7 10.0.0.1 99999 2\r\n",
    "v1 other family": b"PROXY TCP4 2001:db8::1 2001:db8::2 1 2\r\n",
    "v1 not ASCII": b"PROXY TCP4 \xff\xfe 10.0.0.1 1 2\r\n",
    "half a v2": v2("10.20.1.7")[:20],
    "v2 of version 1": v2("10.20.1.7", head=0x11),
    "v2 command 5": v2("10.20.1.7", head=0x25),
    "v2 too short for its addresses": V2 + struct.pack("!BBH", 0x21, 0x11, 4) + b"\x0a\x14\x01\x07",
    "v2 family 4": V2 + struct.pack("!BBH", 0x21, 0x41, 0),
    "v2 protocol 3": V2 + struct.pack("!BBH", 0x21, 0x13, 12) + b"\x0a" * 12,
}


@pytest.mark.parametrize("kind", INVALID_HEADERS)
def test_invalid_or_missing_header_from_a_trusted_proxy_closes_within_2_s(begin: Start, kind: str) -> None:
    scheduler = begin(Hop(), ini=TRUSTED_INI)
    began = time.monotonic()
    assert exchange(scheduler, INVALID_HEADERS[kind]) == b"" and time.monotonic() - began < 2.4
    line = next(log_lines(scheduler))
    assert "bad proxy header" in line and "client=127.0.0.1 " in line
    assert exchange(scheduler, v1("10.20.1.7") + READY_REQUEST).startswith(b"HTTP/1.1 200")


def test_denied_peer_is_closed_without_response(begin: Start) -> None:
    scheduler = begin(hop := Hop(), ini=ACCESS_INI)
    assert exchange(scheduler, READY_REQUEST, source="127.0.0.7") == b""
    assert "connection denied" in (line := next(log_lines(scheduler))) and "client=127.0.0.7" in line
    caller = scheduler.submit()
    hop.job().say("done", result="ok")
    assert caller.getresponse().read() == b"ok"
    counters = scheduler.counters()
    assert (counters["legs.denied"], counters["legs.accepted"]) == (1, 2)


def test_request_that_starts_like_a_header_is_read_byte_by_byte(begin: Start) -> None:
    scheduler = begin(Hop(), ini=ACCESS_INI)
    for text, status in ((READY_REQUEST, 200), (b"\r\n" + READY_REQUEST, 400)):
        answer = exchange(scheduler, *(text[n:n + 1] for n in range(len(text))))
        assert answer.startswith(b"HTTP/1.1 %d" % status)
    assert exchange(scheduler, b"P").startswith(b"HTTP/1.1 408")
    assert exchange(scheduler, b"PROXIED / HTTP/1.1\r\nHost: x\r\n\r\n").startswith(b"HTTP/1.1 404")


def test_ipv4_mapped_peer_counts_as_ipv4(begin: Start) -> None:
    scheduler = begin(Hop(), ini=ACCESS_INI, listen="[::ffff:127.0.0.1]:0")
    assert exchange(scheduler, READY_REQUEST).startswith(b"HTTP/1.1 200")
    assert "client=127.0.0.1" in next(log_lines(scheduler))
    assert exchange(scheduler, READY_REQUEST, source="127.0.0.9") == b""


def test_unread_stderr_blocks_neither_callers_nor_shutdown(begin: Start) -> None:
    scheduler = begin(Hop(), ini=ACCESS_INI)
    for _ in range(2500):  # more lines than the pipe and the program buffer
        with socket.create_connection(("127.0.0.1", scheduler.port), SOON):
            pass
    assert scheduler.get("/ready").status == 200
    assert until(lambda: scheduler.counters().get("stderr.dropped", 0) > 0)
    scheduler.ask_to_stop()
    assert scheduler.process.wait(SOON) == 0


@pytest.mark.parametrize("key", ["allow", "deny", "proxy_trusted"])
@pytest.mark.parametrize("value", ["10.20.0.0/33", "10.20.0.1/16", "office", "10.0.0.0/8 10.1.0.0/16"])
def test_invalid_address_range_is_reported_with_exit_code_2(tmp_path: Path, key: str, value: str) -> None:
    _, errors = (process := start(tmp_path, {}, ini=f"[access]\n{key} = {value}\n")).communicate(timeout=SOON)
    assert process.returncode == 2 and f"[access] {key}:" in errors and errors.count("\n") == 1


def test_header_is_parsed_as_specified() -> None:
    assert str(read_address(v2("2001:db8::7"))) == "2001:db8::7"
    with pytest.raises(BadHeader):
        read_address(v2("10.20.1.7", head=0x31))
