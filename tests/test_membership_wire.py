"""Membership on the wire: what is written is read, what is odd is dropped and counted, keys and replays."""

from __future__ import annotations

import os
import random
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, strategies as st

from flintfield.cli.group import run_command
from flintfield.membership.interface import Meta, MetaTooLong, read_meta
from flintfield.membership.messages import (
    Ack, Alive, Ask, Astray, Dead, Known, Left, Nack, Part, Ping, Query, Record, Suspect, Told, size_of,
)
from flintfield.membership.rules import MOST_DATAGRAM, SEALING
from flintfield.wire.membership import codec, seal as sealing
from flintfield.wire.membership.codec import BadFormat, common_version, read_lines, read_packet, write_packet
from flintfield.wire.membership.keys import Ring, make_key, read_keys
from flintfield.wire.membership.rates import MOST_SOURCES, Bucket, Sources
from flintfield.wire.membership.seal import Drop, Opened, Seal, glance

OLD, NEW, OTHER = (make_key(bytes([n]) * 32) for n in (1, 2, 3))

names = st.from_regex(r"[!-~]{1,64}", fullmatch=True)
hosts = st.ip_addresses().map(str)
ports, numbers = st.integers(1, 65_535), st.integers(0, 2**32 - 1)
sessions, incarnations = st.integers(0, 2**63 - 1), st.integers(0, 2**48)
records = st.builds(
    Record, name=names, host=hosts, port=ports, session=sessions, incarnation=incarnations,
    version=incarnations, keys=st.lists(numbers, max_size=4).map(tuple), meta=st.binary(max_size=512),
    least=st.integers(1, 255), most=st.integers(1, 255))
parts = st.one_of(
    st.builds(Alive, records), st.builds(Suspect, names, incarnations, names),
    st.builds(Dead, names, incarnations, names), st.builds(Left, names, incarnations),
    st.builds(Ping, numbers), st.builds(Ack, numbers), st.builds(Nack, numbers), st.just(Astray()),
    st.builds(Ask, numbers, hosts, ports, sessions, st.booleans()),
    st.builds(Query, numbers, st.text("abc", max_size=16), st.binary(max_size=1024)),
    st.builds(Told, numbers, st.binary(max_size=1024)))


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def __call__(self) -> float:
        return self.now


def pair(ours: Ring | None = None, theirs: Ring | None = None) -> tuple[Seal, Seal, Clock]:
    clock = Clock()
    return Seal(ours or Ring([OLD]), 11, clock), Seal(theirs or Ring([OLD]), 22, clock), clock


# ---------------------------------------------------------------------- format


@given(sessions, st.integers(0, 2**48), st.lists(parts, max_size=5).map(tuple))
def test_what_is_written_is_read_and_no_longer_than_reckoned(
    to: int, sent: int, told: tuple[Part, ...]
) -> None:
    data = write_packet(to, sent, told)
    packet, skipped = read_packet(data)
    assert (packet.to, packet.sent_ms, tuple(packet.parts), skipped) == (to, sent, told, 0)
    assert len(data) <= SEALING - sealing.HEAD.size - sealing.TAG + sum(map(size_of, told))


@given(st.lists(st.builds(Known, records, incarnations, st.integers(0, 3), st.floats(0, 1e12)), max_size=40))
def test_a_frame_of_a_table_is_read_and_fits(lines: list[Known]) -> None:
    from flintfield.wire.membership.streams import MOST_FRAME

    data = codec.write_lines(tuple(lines))
    assert read_lines(data) == lines and len(data) + 16 <= MOST_FRAME


class NextAlive(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """`Alive` as a later release may have it: its record has a field more, and so has it."""

    record: tuple[object, ...]
    mood: str


class NextPart(msgspec.Struct, frozen=True, array_like=True, tag=99):
    """A part of a kind that this release does not know."""

    what: dict[str, int]


def test_a_later_release_may_append_fields_and_add_parts() -> None:
    record = Record("n1", "10.0.0.1", 7946, 5, 3, 1, (7,), b"meta", 1, 2)
    longer = (*msgspec.structs.astuple(record), "a field more", [1, 2])
    data = msgspec.msgpack.encode((8, 9, [NextAlive(longer, "fine"), NextPart({"a": 1}), Ping(4)], "more"))
    packet, skipped = read_packet(data)
    assert packet.parts == [Alive(record), Ping(4)] and skipped == 1
    short = msgspec.msgpack.encode((8, 9, [[1, ["n1", "10.0.0.1", 7946, 5, 3]]]))  # and an earlier one less
    assert read_packet(short)[0].parts == [Alive(Record("n1", "10.0.0.1", 7946, 5, 3))]


@pytest.mark.parametrize(("least", "most", "common"), [(1, 1, 1), (1, 9, 1), (2, 9, None), (1, 0, None)])
def test_the_highest_version_that_both_know_is_spoken(least: int, most: int, common: int | None) -> None:
    assert common_version(least, most) == common


@pytest.mark.parametrize("part", [
    [1, ["", "10.0.0.1", 1, 1, 1]], [1, ["n 1", "10.0.0.1", 1, 1, 1]],
    [1, ["n" * 65, "10.0.0.1", 1, 1, 1]], [1, ["n", "host.name", 1, 1, 1]],
    [1, ["n", "10.0.0.1", 0, 1, 1]], [1, ["n", "10.0.0.1", 65536, 1, 1]],
    [1, ["n", "10.0.0.1", 1, 2**63, 1]], [1, ["n", "10.0.0.1", 1, 1, -1]],
    [1, ["n", "10.0.0.1", 1, 1, 2**49]],
    [1, ["n", "10.0.0.1", 1, 1, 1, 0, [1] * 5]], [1, ["n", "10.0.0.1", 1, 1, 1, 0, [], b"x" * 513]],
    [2, "n", 1], [5], [5, "1"], [], 5, None, [7, 1, "10.0.0.1", 1, 1, 2],
])
def test_a_part_beyond_its_limits_is_skipped_and_the_rest_read(part: object) -> None:
    packet, skipped = read_packet(msgspec.msgpack.encode((8, 9, [part, [5, 4]])))
    assert packet.parts == [Ping(4)] and skipped == 1


# ---------------------------------------------------------------------- seal


def test_a_datagram_opens_once_and_only_for_who_has_its_key() -> None:
    one, other, _ = pair()
    data = one.seal(22, (Ping(4),), OLD.id)
    assert glance(data) == (OLD.id, 11)
    opened = other.open(data)
    assert isinstance(opened, Opened) and (opened.sender, opened.to, opened.parts) == (11, 22, (Ping(4),))
    assert other.open(data) is Drop.REPLAY
    assert Seal(Ring([NEW]), 3, Clock()).open(data) is Drop.KEY
    assert one.open(one.seal(22, (), OLD.id)) is Drop.REPLAY  # our own, sent back


def test_every_byte_is_guarded() -> None:
    one, other, _ = pair()
    data = one.seal(22, (Ping(4),), OLD.id)
    for place in range(len(data)):
        for bit in (1, 128):
            changed = bytearray(data)
            changed[place] ^= bit
            assert isinstance(other.open(bytes(changed)), Drop)
    assert isinstance(other.open(data), Opened)


@given(st.permutations(range(40)), st.lists(st.integers(0, 39), max_size=20))
def test_in_any_order_each_counts_once(order: list[int], again: list[int]) -> None:
    one, other, _ = pair()
    sealed = [one.seal(22, (Ping(n),), OLD.id) for n in range(40)]
    assert all(isinstance(other.open(sealed[n]), Opened) for n in order)
    assert all(other.open(sealed[n]) is Drop.REPLAY for n in again)


def test_what_is_behind_the_window_is_a_replay() -> None:
    one, other, _ = pair()
    sealed = [one.seal(22, (), OLD.id) for _ in range(sealing.WINDOW + 2)]
    assert isinstance(other.open(sealed[-1]), Opened) and isinstance(other.open(sealed[2]), Opened)
    assert other.open(sealed[1]) is Drop.REPLAY


def test_a_datagram_held_back_is_known_by_its_age_whatever_the_clocks_say() -> None:
    one, other, clock = pair()
    other.open(one.seal(22, (), OLD.id))
    held = [one.seal(22, (Ping(n),), OLD.id) for n in range(3)]
    clock.now += 25_000
    assert isinstance(other.open(held[0]), Opened)
    clock.now += 6_000
    assert other.open(held[1]) is Drop.LATE
    clock.now += 20 * 3_600_000  # a long silence does not make it young
    assert other.open(held[2]) is Drop.LATE
    assert isinstance(other.open(one.seal(22, (), OLD.id)), Opened)


def test_before_its_counter_or_memory_ends_a_session_is_renewed() -> None:
    one, other, clock = pair()
    one._counter = sealing.MOST_COUNTER
    assert one.wants_new_session
    one.begin(33)
    assert not one.wants_new_session and isinstance(other.open(one.seal(22, (), OLD.id)), Opened)
    one._counter = 2**32 - 1
    with pytest.raises(OverflowError):
        one.nonce()
    for session in range(sealing.MOST_PEERS):
        other.peers[1000 + session] = sealing.Peer()
    assert other.wants_new_session
    other.begin(44)
    one.begin(55)
    other.open(one.seal(44, (), OLD.id))
    assert not other.wants_new_session and len(other.peers) > sealing.MOST_PEERS
    clock.now += 61_000
    other.open(one.seal(44, (), OLD.id))
    assert len(other.peers) <= sealing.MOST_PEERS // 2 + 1


seed_data = Seal(Ring([OLD]), 11, Clock()).seal(22, (
    Alive(Record("n1", "10.0.0.1", 7946, 5, 3, 1, (7,), b"meta" * 20)), Ping(3), Suspect("a", 1, "b")),
    OLD.id)


@given(st.one_of(
    st.binary(max_size=2_000),
    st.builds(lambda edits, cut: _mutate(seed_data, edits, cut),
              st.lists(st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=8), st.integers(0, 400)),
    st.binary(max_size=1_300).map(lambda body: _sealed(body))))
def test_no_datagram_raises_whatever_is_in_it(data: bytes) -> None:
    opened = Seal(Ring([OLD]), 22, Clock()).open(data)
    assert isinstance(opened, Drop) or len(opened.parts) <= len(data)


def _mutate(data: bytes, edits: list[tuple[int, int]], cut: int) -> bytes:
    changed = bytearray(data[:max(1, len(data) - cut)])
    for place, value in edits:
        changed[place % len(changed)] = value
    return bytes(changed)


def _sealed(body: bytes) -> bytes:
    """Garbage that a member with the key sent."""
    one = Seal(Ring([OLD]), 11, Clock())
    nonce = one.nonce()
    head = sealing.HEAD.pack(sealing.MAGIC, 1, OLD.id, 11, 1)
    cipher = one.ring.cipher(OLD.id, 0)
    assert cipher
    return head + cipher.encrypt(nonce, body, head)


def fuzz_packets(count: int, seed: int) -> dict[str, int]:
    """Random and mutated packets through the decoder: how each ended."""
    rng, ends = random.Random(seed), dict[str, int]()
    base = [write_packet(8, 9, (Alive(Record("n1", "10.0.0.1", 7946, 5, 3, 1, (7,), b"m" * 40)), Ping(1))),
            write_packet(8, 9, (Ask(1, "10.0.0.1", 7946, 5), Query(1, "job", b"x" * 30), Told(1, b"y")))]
    for _ in range(count):
        data = bytearray(rng.choice(base) if rng.random() < 0.8 else rng.randbytes(rng.randrange(300)))
        for _ in range(rng.randrange(1, 6)):
            if data:
                data[rng.randrange(len(data))] = rng.randrange(256)
        if rng.random() < 0.1:
            data += b"\xdd\xff\xff\xff\xff" * rng.randrange(1, 200)  # arrays that claim to be huge
        try:
            _, skipped = read_packet(bytes(data))
            end = "skipped some" if skipped else "read"
        except BadFormat:
            end = "bad format"
        ends[end] = ends.get(end, 0) + 1
    return ends


def test_mutated_packets_are_read_skipped_or_refused_and_nothing_else() -> None:
    ends = fuzz_packets(20_000, 1)
    assert sum(ends.values()) == 20_000 and set(ends) == {"read", "skipped some", "bad format"}


# ---------------------------------------------------------------------- keys


def test_the_first_key_that_both_have_is_used_and_a_removed_one_is_understood_for_a_minute() -> None:
    ours, theirs = Ring([NEW, OLD]), Ring([OLD])
    assert ours.choose(theirs.ids) == OLD.id and ours.choose([OLD.id, NEW.id]) == NEW.id
    assert ours.choose([OTHER.id]) is None
    ours.replace([NEW], 1_000.0)
    assert ours.choose([OLD.id]) is None and ours.cipher(OLD.id, 60_999.0)
    assert ours.cipher(OLD.id, 61_001.0) is None and ours.cipher(NEW.id, 61_001.0)
    ours.replace([OLD, NEW], 70_000.0)
    assert ours.cipher(OLD.id, 1e9)


@pytest.mark.parametrize(("text", "told"), [
    ("", "found 0 keys"), ("# none\n", "found 0 keys"),
    ("abc\n", "line 1: found 3 characters that are no key"),
    ("A" * 43 + "=\n" + "A" * 43 + "=", "line 2: found key"), ("A" * 43 + "= x", "line 1"),
    ("\n".join("A" * 41 + c + "A=" for c in "ABCDE"), "found 5 keys, expected 1 to 4"),
    ("é" * 44, "line 1"),
])
def test_a_faulty_key_file_is_one_line_that_names_it(
    tmp_path: Path, text: str, told: str, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "keys").write_text(text)
    assert run_command(["keys", "check", str(tmp_path / "keys")]) == 2
    error = capsys.readouterr().err
    assert f"{tmp_path}/keys: " in error and told in error and error.count("\n") == 1


def test_keys_are_made_rotated_and_checked(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = str(tmp_path / "keys")
    assert run_command(["keys", "check", path]) == 2
    assert run_command(["keys", "new", path]) == 0 and os.stat(path).st_mode & 0o777 == 0o600
    first = read_keys(path)
    assert run_command(["keys", "new", path]) == 2 and read_keys(path) == first
    for count in (2, 3, 4):
        assert run_command(["keys", "rotate", path]) == 0
        assert len(read_keys(path)) == count and read_keys(path)[-1:] == first
    newest = read_keys(path)[0]
    assert run_command(["keys", "rotate", path]) == 2
    assert run_command(["keys", "rotate", path, "--drop-old"]) == 0 and read_keys(path) == [newest]
    assert run_command(["keys", "check", path]) == 0 and newest.name in capsys.readouterr().out
    os.chmod(path, 0o644)
    assert run_command(["keys", "check", path]) == 1
    assert list(tmp_path.iterdir()) == [Path(path)]


# ---------------------------------------------------------------------- rates and metadata


def test_sources_are_limited_one_by_one_and_together_in_bounded_memory() -> None:
    sources = Sources(10, 5, 100, 20)
    assert [sources.admits("a", 0.0) for _ in range(7)] == [True] * 5 + [False] * 2
    assert sum(sources.admits(f"s{i}", 0.0) for i in range(50)) == 15
    assert sources.admits("a", 200.0) and not Bucket(1, 1).take(0.0, 2)
    for i in range(3 * MOST_SOURCES):
        sources.admits(i, 300.0)
    assert len(sources._own) <= MOST_SOURCES


def test_metadata_is_bounded_and_skips_what_it_does_not_know() -> None:
    meta = Meta(role="scheduler", zone="a", more={"limits": b"x"})
    assert read_meta(meta.encode()) == meta
    with pytest.raises(MetaTooLong, match=r"found 5\d\d bytes"):
        Meta(more={"limits": b"x" * 500}).encode()
    later = msgspec.msgpack.encode({"v": 7, "role": "planner", "new": [1]})
    assert read_meta(later) == Meta(v=7, role="planner")
    assert read_meta(b"\xff") == read_meta(b"") == Meta()


def test_the_longest_record_fits_into_a_datagram() -> None:
    keys = (2**32 - 1,) * 4
    record = Record("n" * 64, "f" * 45, 65535, 2**63 - 1, 2**48, 2**48, keys, b"x" * 512, 255, 255)
    assert size_of(Alive(record)) + SEALING < MOST_DATAGRAM
