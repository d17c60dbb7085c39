"""The poller: fairness between callers, isolation of exceptions, stale events and timeouts."""

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
    """One end of a socket pair, watched by the poller; logs each call of `ready`."""

    urgent = False

    def __init__(self, poller: Poller, log: list[str], name: str, caller: str | None = None,
                 action: Callable[[], None] = lambda: None) -> None:
        self.sock, self.other = socket.socketpair()
        self.poller, self.log, self.name, self.caller, self.action = poller, log, name, caller, action
        poller.watch(self.sock.fileno(), self)

    def say(self) -> None:
        self.other.send(b"x")

    def ready(self) -> None:
        self.log.append(self.name)
        self.sock.recv(1)
        self.action()

    def broke(self, error: Exception) -> None:
        self.log.append(f"{self.name} broke")
        self.close()

    def close(self) -> None:
        self.poller.forget(self.sock.fileno())
        self.sock.close()


def fail_if_named(broken: str, name: str) -> None:
    if name == broken:
        raise ValueError("on purpose")


async def run_turns(number: int = 3) -> None:
    for _ in range(number):
        await anyio.sleep(0)


def test_exception_affects_only_its_connection() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller()
        ends = [End(poller, log, name, action=partial(fail_if_named, "b", name)) for name in "abc"]
        for end in ends:
            end.say()
        await run_turns()
        assert sorted(log) == ["a", "b", "b broke", "c"]
        ends[0].say()
        await run_turns()
        assert log[-1] == "a"
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_one_caller_with_many_connections_does_not_delay_others() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller(turn=4)
        flood = [End(poller, log, f"flood {n}", "flood") for n in range(40)]
        ends = [End(poller, log, name, name) for name in ("quiet", "other")]
        for end in (*flood, *ends):
            end.say()
        hop = End(poller, log, "hop")  # objects without a caller go first
        hop.say()
        await run_turns(30)
        assert len(log) == 43 and log[0] == "hop"
        assert log.index("quiet") < 5 and log.index("other") < 5
        assert [n for n in log if n.startswith("flood")] == [f"flood {n}" for n in range(40)]
        log.clear()
        flood[39].urgent = True
        for end in flood:
            end.say()
        await run_turns(30)
        assert log[0] == "flood 39" and len(log) == 40
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_callers_with_many_connections_get_equal_turns() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller(turn=3)
        for caller in "abcd":
            for _ in range(10):
                End(poller, log, caller, caller).say()
        await run_turns(30)
        assert len(log) == 40
        for end in range(4, 41):
            counts = [log[:end].count(c) for c in "abcd"]
            assert max(counts) - min(counts) <= 2
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_stale_event_of_a_closed_descriptor_does_not_reach_its_successor() -> None:
    async def play() -> None:
        log: list[str] = []
        poller = Poller()
        replacements: list[End] = []

        def replace() -> None:
            number = second.sock.fileno()
            second.close()
            replacements.append(End(poller, log, "new"))
            assert replacements[0].sock.fileno() == number

        End(poller, log, "first", action=replace).say()
        second = End(poller, log, "second")
        second.say()
        await run_turns()
        assert log == ["first"]
        replacements[0].say()
        await run_turns()
        assert log == ["first", "new"]
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_timeouts_expire_in_order_and_removed_ones_do_not() -> None:
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
        waits.add(ends["a"])  # restarted: it moves to the end
        await anyio.sleep(0.05)
        assert log == ["c over", "c broke", "d over", "a over"]
        waits.add(ends["e"])
        await anyio.sleep(0.05)
        assert log[4:] == ["e over"]
        poller.close()

    anyio.run(play, backend_options=LOOP)


def test_program_uses_a_single_epoll_set(begin: Start) -> None:
    """Guards against nested epoll sets: platforms that redirect system calls don't report their events."""
    scheduler = begin(hop := Hop())
    caller = scheduler.submit("match-list", "aa11")
    hop.job()
    folder = Path(f"/proc/{scheduler.process.pid}")
    sets = [p.name for p in (folder / "fd").iterdir() if p.readlink().name.endswith("[eventpoll]")]
    watched = {line.split()[1] for name in sets
               for line in (folder / "fdinfo" / name).read_text().splitlines() if line.startswith("tfd:")}
    assert len(sets) == 1 and len(watched) >= 4  # the event loop's, the listener, the caller, the branch
    assert not watched & set(sets)
    caller.close()


def test_poller_rejects_another_event_loop() -> None:
    async def play() -> None:
        with pytest.raises(TypeError, match="needs a Loop"):
            Poller()

    anyio.run(play)
