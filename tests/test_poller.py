"""Connections that are woken without tasks: each in its turn, and none by what is meant for another."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path

import anyio
import pytest

from flintfield.wire.http1.poller import Poller, Waits
from flintfield.wire.http1.sockets import LOOP
from peers import Hop, Start


class End:
    """One end of a pair of sockets, with something to read; it notes when it is woken."""

    urgent = False

    def __init__(self, poller: Poller, log: list[str], name: str, caller: str | None = None,
                 does: Callable[[], None] = lambda: None) -> None:
        self.sock, self.other = socket.socketpair()
        self.poller, self.log, self.name, self.caller, self.does = poller, log, name, caller, does
        poller.watch(self.sock.fileno(), self)

    def say(self) -> None:
        self.other.send(b"x")

    def ready(self) -> None:
        self.log.append(self.name)
        self.sock.recv(1)
        self.does()

    def broke(self, error: Exception) -> None:
        self.log.append(f"{self.name} broke")
        self.close()

    def close(self) -> None:
        self.poller.forget(self.sock.fileno())
        self.sock.close()


def fail_as(broken: str, name: str) -> None:
    if name == broken:
        raise ValueError("on purpose")


async def turns(number: int = 3) -> None:
    for _ in range(number):
        await anyio.sleep(0)


def test_an_exception_stops_at_its_connection() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller()
        ends = [End(poller, log, name, does=partial(fail_as, "b", name)) for name in "abc"]
        for end in ends:
            end.say()
        await turns()
        assert sorted(log) == ["a", "b", "b broke", "c"]
        ends[0].say()
        await turns()
        assert log[-1] == "a"
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_one_caller_with_many_connections_holds_up_nobody() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller(turn=4)
        flood = [End(poller, log, f"flood {n}", "flood") for n in range(40)]
        ends = [End(poller, log, name, name) for name in ("quiet", "other")]
        for end in (*flood, *ends):
            end.say()
        hop = End(poller, log, "hop")  # what works for no caller of its own goes first
        hop.say()
        await turns(30)
        assert len(log) == 43 and log[0] == "hop"
        assert log.index("quiet") < 5 and log.index("other") < 5
        assert [n for n in log if n.startswith("flood")] == [f"flood {n}" for n in range(40)]
        log.clear()
        flood[39].urgent = True
        for end in flood:
            end.say()
        await turns(30)
        assert log[0] == "flood 39" and len(log) == 40
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_callers_that_all_flood_are_served_alike() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller(turn=3)
        for caller in "abcd":
            for _ in range(10):
                End(poller, log, caller, caller).say()
        await turns(30)
        assert len(log) == 40
        for end in range(4, 41):
            counts = [log[:end].count(c) for c in "abcd"]
            assert max(counts) - min(counts) <= 2
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_what_was_told_of_a_closed_connection_wakes_nobody_with_its_number() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller()
        made: list[End] = []

        def replace() -> None:
            number = second.sock.fileno()
            second.close()
            made.append(End(poller, log, "new"))
            assert made[0].sock.fileno() == number

        End(poller, log, "first", does=replace).say()
        second = End(poller, log, "second")
        second.say()
        await turns()
        assert log == ["first"]
        made[0].say()
        await turns()
        assert log == ["first", "new"]
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_those_who_wait_equally_long_are_over_in_order_and_those_removed_are_not() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller()
        ends = {name: End(poller, log, name) for name in "abcde"}

        def over(end: End) -> None:
            log.append(f"{end.name} over")
            assert end.name != "c"

        waits: Waits[End] = Waits(poller, 0.02, over)
        for name in "abcd":
            waits.add(ends[name])
        waits.remove(ends["b"])
        waits.add(ends["a"])  # anew: it stands last
        await anyio.sleep(0.05)
        assert log == ["c over", "c broke", "d over", "a over"]
        waits.add(ends["e"])
        await anyio.sleep(0.05)
        assert log[4:] == ["e over"]
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_the_program_waits_in_one_set_of_sockets(begin: Start) -> None:
    """Guards against a set within a set: where system calls are led elsewhere nobody wakes for it."""
    scheduler = begin(hop := Hop())
    caller = scheduler.submit("match-list", "aa11")
    hop.job()
    folder = Path(f"/proc/{scheduler.process.pid}")
    sets = [p.name for p in (folder / "fd").iterdir() if p.readlink().name.endswith("[eventpoll]")]
    watched = {line.split()[1] for name in sets
               for line in (folder / "fdinfo" / name).read_text().splitlines() if line.startswith("tfd:")}
    assert len(sets) == 1 and len(watched) >= 4  # the loop's own, the listener, the caller, the branch
    assert not watched & set(sets)
    caller.close()


def test_a_poller_on_another_event_loop_says_so() -> None:
    async def play() -> None:
        with pytest.raises(TypeError, match="needs a Loop"):
            Poller()

    anyio.run(play)
