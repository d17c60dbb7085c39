"""Records: what is written is read again, across releases, and nothing else is taken for a record."""

from __future__ import annotations

import enum
import string
import struct
import unittest
from dataclasses import dataclass
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from flintfield.jobs import messages
from flintfield.transport.records import MalformedRecord, decode, encode, encode_into, record


class Colour(enum.IntEnum):
    RED = 1
    BLUE = 7


@dataclass(frozen=True, slots=True)
class Leaf:
    text: str
    number: int


@record(60_100)
@dataclass(frozen=True, slots=True)
class Everything:
    number: int
    flag: bool
    real: float
    text: str
    colour: Colour
    raw: bytes
    leaf: Leaf
    leaves: tuple[Leaf, ...]
    perhaps: Leaf | None
    grid: tuple[tuple[int, ...], ...]
    colours: tuple[Colour, ...]
    maybe_text: str | None
    last: int


@record(60_101)
@dataclass(frozen=True, slots=True)
class NewRelease:
    number: int
    text: str
    added: int = 5
    added_too: bool = True
    added_text: str = "default"


@dataclass(frozen=True, slots=True)
class OldRelease:
    number: int
    text: str


@dataclass(frozen=True, slots=True)
class OldItem:
    number: int


@dataclass(frozen=True, slots=True)
class NewItem:
    number: int
    added: int = 9


@record(60_102)
@dataclass(frozen=True, slots=True)
class OldItems:
    items: tuple[OldItem, ...]
    after: str


@record(60_103)
@dataclass(frozen=True, slots=True)
class NewItems:
    items: tuple[NewItem, ...]
    after: str


NUMBERS = st.integers(-(2**63), 2**63 - 1)
TEXTS = st.text(max_size=20)
LEAVES = st.builds(Leaf, TEXTS, NUMBERS)
MESSAGES = st.builds(
    Everything,
    NUMBERS,
    st.booleans(),
    st.floats(allow_nan=False),
    TEXTS,
    st.sampled_from(Colour),
    st.binary(max_size=20),
    LEAVES,
    st.lists(LEAVES, max_size=4).map(tuple),
    st.none() | LEAVES,
    st.lists(st.lists(NUMBERS, max_size=3).map(tuple), max_size=3).map(tuple),
    st.lists(st.sampled_from(Colour), max_size=3).map(tuple),
    st.none() | TEXTS,
    NUMBERS,
)

SAMPLE = Everything(
    -3,
    True,
    2.5,
    "ä",
    Colour.BLUE,
    b"\0\xff",
    Leaf("x", 1),
    (Leaf("y", 2),),
    None,
    ((1, 2), ()),
    (Colour.RED,),
    None,
    4,
)


def renumbered(data: bytes, number: int) -> bytes:
    """The same fields under the number of another message."""
    return struct.pack("<H", number) + data[2:]


class RoundTrip(unittest.TestCase):
    @settings(deadline=None)
    @given(MESSAGES)
    def test_a_message_is_read_as_it_was_written(self, message: Everything) -> None:
        self.assertEqual(decode(encode(message)), message)

    def test_every_form_of_bytes_is_read(self) -> None:
        data = encode(SAMPLE)
        for form in (data, bytearray(data), memoryview(data)):
            self.assertEqual(decode(form), SAMPLE)

    def test_the_form_of_the_bytes_is_as_documented(self) -> None:
        number, text = struct.pack("<q", -2), b"\2\0\0\0hi"
        self.assertEqual(
            encode(NewRelease(-2, "hi", 1, False, "")),
            struct.pack("<H", 60_101) + number + text + struct.pack("<q?I", 1, False, 0),
        )
        self.assertEqual(encode(OldItems((OldItem(7),), "")), struct.pack("<HIIqI", 60_102, 1, 8, 7, 0))

    def test_encode_into_appends(self) -> None:
        out = bytearray(b"head")
        encode_into(SAMPLE, out)
        self.assertEqual(bytes(out), b"head" + encode(SAMPLE))

    def test_the_messages_about_jobs_are_records(self) -> None:
        run = messages.Run("5c0e.0.1.17", 2, "saved", 41)
        end = messages.End(9, "5c0e.0.1.9", 1, messages.RunResult.DONE, "")
        worker = messages.WorkerState("i-1", "s", "10.0.0.1:80", "zone", False, 1, 2, 3, ("a",), 0, 8, 0)
        result = messages.OrderResult(1, messages.Outcome.ROOM, 5)
        for message in (
            messages.JobCall(messages.Method.SUBMIT, "host", "/path", b"{}", 3),
            messages.AgentReport("m", 1, 2, 3, worker, 7, -1, (run,), (end,), (result,), 12, False),
            messages.AgentReport("m", 1, 2, 3, None, 0, -1, (), (), (), 12, True),
            messages.AgentOrders(
                7,
                "i-1",
                2,
                6_000,
                9,
                (messages.StartOrder(1, "t", 2, "spec", ""),),
                (messages.StopOrder(2, "t", 1),),
            ),
        ):
            self.assertEqual(decode(encode(message)), message)


class Releases(unittest.TestCase):
    def test_fields_that_the_old_release_did_not_write_take_their_defaults(self) -> None:
        written = struct.pack("<Hq", 60_101, 3) + b"\1\0\0\0x"
        self.assertEqual(decode(written), NewRelease(3, "x"))

    def test_some_of_the_added_fields_may_be_there(self) -> None:
        written = struct.pack("<Hq", 60_101, 3) + b"\1\0\0\0x" + struct.pack("<q", 6)
        self.assertEqual(decode(written), NewRelease(3, "x", 6))

    def test_fields_that_a_new_release_added_are_skipped(self) -> None:
        written = encode(NewRelease(3, "x", 6, False, "y")) + b"\0\1\2more"
        self.assertEqual(decode(written), NewRelease(3, "x", 6, False, "y"))

    def test_nested_dataclasses_may_be_of_another_release_too(self) -> None:
        old = OldItems((OldItem(1), OldItem(2)), "after")
        new = NewItems((NewItem(1, 5), NewItem(2, 6)), "after")
        self.assertEqual(decode(renumbered(encode(old), 60_103)), NewItems((NewItem(1), NewItem(2)), "after"))
        self.assertEqual(decode(renumbered(encode(new), 60_102)), old)


class Malformed(unittest.TestCase):
    @settings(deadline=None, max_examples=300)
    @given(st.binary(max_size=200))
    def test_random_fields_are_a_message_or_malformed(self, data: bytes) -> None:
        for number in (60_100, 60_101, 60_103, 103):
            try:
                decode(struct.pack("<H", number) + data)
            except MalformedRecord:
                continue

    @settings(deadline=None, max_examples=300)
    @given(MESSAGES, st.data())
    def test_a_changed_message_is_a_message_or_malformed(self, message: Everything, data: Any) -> None:
        raw = bytearray(encode(message))
        for _ in range(data.draw(st.integers(1, 4))):
            raw[data.draw(st.integers(2, len(raw) - 1))] = data.draw(st.integers(0, 255))
        try:
            decode(raw)
        except MalformedRecord:
            return

    def test_a_cut_message_is_malformed(self) -> None:
        data = encode(SAMPLE)
        for size in range(len(data)):
            with self.assertRaises(MalformedRecord):
                decode(data[:size])

    def test_an_unknown_number_is_malformed(self) -> None:
        with self.assertRaises(MalformedRecord):
            decode(struct.pack("<Hq", 60_999, 1))

    def test_a_count_beyond_the_end_is_refused_before_anything_is_allocated(self) -> None:
        with self.assertRaises(MalformedRecord):
            decode(struct.pack("<HI", 60_102, 0xFFFFFFFF))

    def test_an_unknown_member_of_an_enum_is_malformed(self) -> None:
        data = bytearray(encode(messages.JobCall(messages.Method.SUBMIT, "", "", b"", 0)))
        data[2] = 200
        with self.assertRaises(MalformedRecord):
            decode(data)

    def test_bytes_that_are_no_utf8_are_malformed(self) -> None:
        with self.assertRaises(MalformedRecord):
            decode(struct.pack("<Hq", 60_101, 3) + b"\1\0\0\0\xff")


class Declaring(unittest.TestCase):
    def test_a_number_is_given_once(self) -> None:
        with self.assertRaisesRegex(ValueError, "60100 is Everything's"):
            record(60_100)(OldRelease)

    def test_what_is_no_record_is_refused(self) -> None:
        for thing in (OldRelease(1, "x"), None, string):
            with self.assertRaises(TypeError):
                encode(thing)

    def test_a_field_without_a_form_is_refused(self) -> None:
        @record(60_104)
        @dataclass(frozen=True)
        class Odd:
            values: dict[str, int]

        with self.assertRaisesRegex(TypeError, "no record form"):
            encode(Odd({}))


if __name__ == "__main__":
    unittest.main()
