"""Membership on loopback sockets, many shells in one process: loss, keys, versions, floods, streams."""

from __future__ import annotations

import random
import socket
import struct
import time
from functools import partial

import anyio
import pytest
from msgspec.structs import replace as with_fields

from flintfield.membership.messages import Address, Changed, Noted, Status
from flintfield.wire.membership import exchanges, seal as sealing, streams
from flintfield.wire.membership.keys import Ring, make_key
from flintfield.wire.membership.rates import Bucket, Sources
from flintfield.wire.membership.seal import Drop
from support.shells import KEY, PATIENT, Shell, Shells, play, soon

NEW, OTHER = make_key(b"n" * 32), make_key(b"o" * 32)


def deaths(shells: list[Shell]) -> list[Changed]:
    return [n for s in shells for n in s.notices if isinstance(n, Changed) and n.after is Status.DEAD]


def test_members_join_notice_a_death_and_tell_a_leave_apart() -> None:
    async def scene(shells: Shells) -> None:
        for n in range(6):
            shells.add(f"m{n}")
        assert await soon(shells.agree)
        dead, left = shells.all[4], shells.all[5]
        shells.kill(dead)
        await left.leave()
        shells.kill(left)
        assert await soon(lambda: all(s.sees()["m4"] is Status.DEAD for s in shells.all))
        assert await soon(lambda: all(s.sees()["m5"] is Status.LEFT for s in shells.all))

    play(scene)


def test_views_hold_and_deaths_are_seen_with_a_fifth_of_all_datagrams_lost() -> None:
    async def scene(shells: Shells) -> None:
        for n in range(8):
            shells.add(f"m{n}").loss = 0.2
        assert await soon(shells.agree)
        shells.kill(shells.all[7])
        assert await soon(lambda: all(s.sees()["m7"] is Status.DEAD for s in shells.all), 20)
        assert await soon(shells.agree, 20)

    play(scene)


def echo(number: int, body: bytes) -> bytes:
    return body + b"%d" % number


def test_questions_reach_all_and_the_silent_are_told() -> None:
    async def scene(shells: Shells) -> None:
        for n in range(5):
            shells.add(f"m{n}").asks.answerers["echo"] = partial(echo, n)
        assert await soon(shells.agree)
        one, lossy, silent = shells.all[0], shells.all[3], shells.all[4]
        lossy.loss, silent.cut = 0.4, True
        del shells.all[2].asks.answerers["echo"]
        told = await one.ask_all("echo", b"x", 100.0)
        assert told.told.get("m1") == b"x1" and told.told["m2"] == b"" and told.asked == 4
        assert "m4" in told.silent and set(told.told) | set(told.silent) == {"m1", "m2", "m3", "m4"}
        began = time.monotonic()
        enough = await one.ask_all("echo", b"x", 5_000.0, lambda body: body == b"x1")
        assert enough.told["m1"] == b"x1" and time.monotonic() - began < 2
        one.asks._bucket = Bucket(0.001, 0.0)
        full = await one.ask_all("echo", b"x", 100.0)
        assert len(full.silent) == full.asked == 4 and one.counters["asks.no_room"] == 1

    play(scene)


# ---------------------------------------------------------------------- keys


def test_keys_are_rotated_in_any_order_and_nobody_is_deaf_at_any_time() -> None:
    async def scene(shells: Shells) -> None:
        for n in range(6):
            shells.add(f"m{n}")
        assert await soon(shells.agree)
        for ring in ([NEW, KEY], [NEW]):
            order = list(shells.all)
            random.Random(1).shuffle(order)
            for shell in order:
                shell.replace_keys(ring)
                await anyio.sleep(0.1)
            assert await soon(lambda: all(  # what `keys check --at` looks at, before the old key goes
                e.record.keys[0] == NEW.id for s in shells.all for e in s.state.table.entries.values()))
        assert await soon(lambda: all(s.seal.peers[o.state.own.record.session].key == NEW.id
                                      for s in shells.all for o in shells.all
                                      if o.state.own.record.session in s.seal.peers), 5)
        assert await soon(shells.agree) and not deaths(shells.all)
        refused = {r for s in shells.all for r in s.counters if r.startswith(("dropped", "unsent"))}
        assert not refused

    play(scene, PATIENT)


def test_a_member_cut_off_while_its_key_is_removed_is_found_again_once_it_has_the_new_one() -> None:
    async def scene(shells: Shells) -> None:
        for n in range(4):
            shells.add(f"m{n}")
        assert await soon(shells.agree)
        lone = shells.all[3]
        lone.cut = True
        assert await soon(lambda: all(s.sees()["m3"] is Status.DEAD for s in shells.all[:3]))
        for ring in ([NEW, KEY], [NEW]):
            for shell in shells.all[:3]:
                shell.replace_keys(ring)
        for shell in shells.all[:3]:
            shell.seal.ring._former.clear()  # the minute is over
            shell.seal.ring._ciphers.pop(KEY.id)
        lone.cut = False
        await anyio.sleep(1.5)
        assert all(s.sees()["m3"] is Status.DEAD for s in shells.all[:3])
        heard = sum((s.counters for s in shells.all[:3]), start=lone.counters)
        assert heard["streams.no_common_key"] and heard["dropped.key"]  # what tells operators why
        lone.replace_keys([NEW])
        assert await soon(shells.agree)

    play(scene)


def test_a_flood_with_wrong_keys_is_dropped_counted_and_takes_little() -> None:
    async def scene(shells: Shells) -> None:
        for n in range(4):
            shells.add(f"m{n}")
        assert await soon(shells.agree)
        target = shells.all[0]
        strangers = [sealing.Seal(Ring([k]), 5, target._clock) for k in (OTHER, KEY)]
        for stranger in strangers:  # a key that we do not have, and one of its id that is not it
            if stranger.ring.keys[0] == KEY:
                stranger.ring._ciphers[KEY.id] = Ring([OTHER])._ciphers[OTHER.id]
        flood = [s.seal(target.seal.session, (), s.ring.ids[0]) for s in strangers] + [b"x" * 1_400, b""]
        sock = socket.socket(type=socket.SOCK_DGRAM)
        late, sent, began = 0.0, 0, time.monotonic()
        while time.monotonic() < began + 3:
            for data in flood * 25:
                sock.sendto(data, target.address)
                sent += 1
            before = time.monotonic()
            await anyio.sleep(0.002)
            late = max(late, time.monotonic() - before - 0.002)
        sock.close()
        assert await soon(shells.agree) and not deaths(shells.all)
        dropped = {reason: target.counters[f"dropped.{reason}"] for reason in ("key", "forged", "rate")}
        assert dropped["key"] > 100 and 50 < dropped["forged"] < 2_000 and dropped["rate"] > 100
        assert late < 0.25 and sent > 5_000

    play(scene, PATIENT)


def test_what_was_recorded_and_is_sent_again_is_dropped() -> None:
    taken: list[tuple[bytes, Address]] = []

    class Recorder(Shell):
        def _maybe_receive(self, data: bytes, source: Address) -> None:
            taken.append((data, source))
            super()._maybe_receive(data, source)

    async def scene(shells: Shells) -> None:
        recorder = shells.add("m0", kind=Recorder)
        shells.add("m1")
        shells.add("m2")
        assert await soon(shells.agree)
        await anyio.sleep(0.5)
        assert recorder.counters["dropped.replay"] == 0
        again = list(taken)
        for data, source in again:
            recorder.receive(data, source)
        assert recorder.counters["dropped.replay"] == len(again) > 10

    play(scene)


# ---------------------------------------------------------------------- versions


def test_two_releases_run_side_by_side(monkeypatch: pytest.MonkeyPatch) -> None:
    """The later one offers versions 1 and 2, and speaks 2 among its own kind."""
    spoken: list[int] = []

    class Later(Shell):
        def listen(self) -> int:
            port = super().listen()
            self.state.own.record = with_fields(self.state.own.record, most=2)
            self.datagrams.choose = self.choose  # type: ignore[method-assign]
            return port

        def choose(self, session: int) -> tuple[int | None, int | None]:
            record = self._record_of(session)
            spoken.append(min(2, record.most) if record else 1)
            return KEY.id, spoken[-1]

        def _maybe_receive(self, data: bytes, source: Address) -> None:
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(sealing, "MOST", 2)
                super()._maybe_receive(data, source)

    async def scene(shells: Shells) -> None:
        for n in range(6):
            shells.add(f"m{n}", kind=Later if n % 2 else Shell)
        assert await soon(shells.agree)
        await anyio.sleep(1.5)
        assert await soon(shells.agree) and set(spoken) == {1, 2} and not deaths(shells.all)
        assert not any(s.counters["dropped.version"] for s in shells.all)

    play(scene, PATIENT)


# ---------------------------------------------------------------------- streams


async def _talk(address: Address, data: bytes) -> bytes:
    stream = await anyio.connect_tcp(*address)
    async with stream:
        await stream.send(data)
        got = b""
        try:
            with anyio.move_on_after(5):
                while True:
                    got += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        return got


HELLO = b"\xf1S\x01\x01" + b"r" * 16 + b"\x01" + struct.pack(">I", KEY.id)


@pytest.mark.parametrize("data", [
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" + b"x" * 40, HELLO[:20] + b"\x00", HELLO[:21] + b"none",
    b"\xf1S\x07\x09" + HELLO[4:], HELLO + struct.pack(">IBQI", 2**31, 1, 1, 1),
    HELLO + struct.pack(">IBQI", 20, 1, 1, 1) + b"x" * 20,
])
def test_an_odd_stream_is_closed_and_counted(data: bytes) -> None:
    async def scene(shells: Shells) -> None:
        shell = shells.add("m0")
        await anyio.sleep(0.05)
        assert len(await _talk(shell.address, data)) in (0, streams.REPLY.size)
        assert await soon(lambda: sum(c for n, c in shell.counters.items() if n.startswith("streams.")) == 1)
        assert shell.exchanges.serving == 0

    play(scene)


def test_random_streams_are_closed_and_counted_and_leave_nothing_behind() -> None:
    async def scene(shells: Shells) -> None:
        shell, rng = shells.add("m0"), random.Random(1)
        shell.exchanges._sources = Sources(1e9, 1e9, 1e9, 1e9)
        await anyio.sleep(0.05)
        for turn in range(60):
            data = bytearray(HELLO + struct.pack(">IBQI", 40, turn % 2, 1, 1) + rng.randbytes(60))
            for _ in range(rng.randrange(4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            stream = await anyio.connect_tcp(*shell.address)
            await stream.send(bytes(data[:rng.randrange(1, len(data))]))
            await stream.aclose()
        assert await soon(lambda: sum(c for n, c in shell.counters.items() if n.startswith("streams.")) == 60)
        assert shell.exchanges.serving == 0 and shells.agree()

    play(scene)


def test_a_stream_that_is_sent_again_does_not_open() -> None:
    """A relay that keeps what an asker said, and says it once more."""
    said: list[bytes] = []

    async def scene(shells: Shells) -> None:
        one, other = shells.add("m0"), shells.add("m1")
        assert await soon(shells.agree)

        async def relay(client: anyio.abc.SocketStream) -> None:
            async with client, await anyio.connect_tcp(*other.address) as server:
                async def back() -> None:
                    async for data in server:
                        await client.send(data)
                    await client.send_eof()

                async with anyio.create_task_group() as ways:
                    ways.start_soon(back)
                    async for data in client:
                        said.append(data)
                        await server.send(data)

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, relay)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            table = one.state.table.lines("m0", 0.0)
            assert len(await streams.exchange(one.seal, ("127.0.0.1", port), table)) == 2
            bad = other.counters["streams.bad"]
            assert len(await _talk(other.address, b"".join(said))) == streams.REPLY.size
            assert await soon(lambda: other.counters["streams.bad"] == bad + 1)
            tasks.cancel_scope.cancel()

    play(scene)


def test_streams_are_served_a_few_at_a_time() -> None:
    async def scene(shells: Shells) -> None:
        shell = shells.add("m0")
        await anyio.sleep(0.05)
        held = [await anyio.connect_tcp(*shell.address) for _ in range(exchanges.MOST_SERVING + 3)]
        assert await soon(lambda: shell.counters["streams.refused"] == 3)
        assert await soon(lambda: shell.exchanges.serving == 0, 5)  # who says nothing is closed after 2 s
        for stream in held:
            await stream.aclose()

    play(scene)


def test_a_session_is_renewed_before_its_numbers_end_and_nobody_notices() -> None:
    async def scene(shells: Shells) -> None:
        for n in range(4):
            shells.add(f"m{n}")
        assert await soon(shells.agree)
        one = shells.all[0]
        old = one.seal.session
        one.seal._counter = sealing.MOST_COUNTER
        assert await soon(lambda: one.seal.session != old)
        assert await soon(lambda: all(
            s.state.table.entries["m0"].record.session == one.seal.session for s in shells.all))
        await anyio.sleep(1)
        assert await soon(shells.agree) and not deaths(shells.all)
        assert not any(s.counters[f"dropped.{d.value}"] for s in shells.all for d in Drop)
        assert "held for dead" not in [n.event for s in shells.all for n in s.notices if isinstance(n, Noted)]

    play(scene, PATIENT)


