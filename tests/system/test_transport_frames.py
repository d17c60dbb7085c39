"""Frames: however a stream is cut into pieces, the same frames come out; what is no frame ends the stream."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from flintfield.transport.frames import (
    FAILURE,
    HEADER,
    LENGTH,
    MAX_FRAME_BYTES,
    ONE_WAY,
    REPLY,
    REQUEST,
    FrameReader,
    MalformedFrame,
)

Frame = tuple[int, int, bytes]
FRAMES = st.lists(
    st.tuples(
        st.sampled_from((REQUEST, REPLY, ONE_WAY, FAILURE)), st.integers(0, 2**32 - 1), st.binary(max_size=40)
    ),
    max_size=8,
)


def written(frames: list[Frame]) -> bytes:
    return b"".join(
        HEADER.pack(HEADER.size - LENGTH.size + len(body), kind, number) + body
        for kind, number, body in frames
    )


def read(reader: FrameReader, data: bytes) -> list[Frame]:
    return [(kind, number, bytes(body)) for kind, number, body in reader.feed(data)]


class Reading(unittest.TestCase):
    @given(FRAMES, st.data())
    def test_pieces_of_any_size_yield_the_same_frames(self, frames: list[Frame], data: st.DataObject) -> None:
        stream, reader, found = written(frames), FrameReader(), []
        while stream:
            size = data.draw(st.integers(1, len(stream)))
            found += read(reader, stream[:size])
            stream = stream[size:]
        self.assertEqual(found, frames)

    def test_single_bytes_yield_the_same_frames(self) -> None:
        frames = [(REQUEST, 1, b"abc"), (ONE_WAY, 0, b""), (REPLY, 2**32 - 1, b"\0" * 30)]
        reader = FrameReader()
        found = [frame for byte in written(frames) for frame in read(reader, bytes([byte]))]
        self.assertEqual(found, frames)

    def test_the_largest_frame_is_taken(self) -> None:
        body = bytes(MAX_FRAME_BYTES - (HEADER.size - LENGTH.size))
        self.assertEqual(read(FrameReader(), written([(REPLY, 1, body)])), [(REPLY, 1, body)])

    def test_a_frame_too_large_is_refused_before_its_body_comes(self) -> None:
        with self.assertRaisesRegex(MalformedFrame, f"a frame of {MAX_FRAME_BYTES + 1} bytes"):
            read(FrameReader(), HEADER.pack(MAX_FRAME_BYTES + 1, REQUEST, 1))

    def test_a_frame_without_a_whole_header_is_refused(self) -> None:
        with self.assertRaises(MalformedFrame):
            read(FrameReader(), HEADER.pack(4, REQUEST, 1))

    def test_an_unknown_kind_is_refused(self) -> None:
        for kind in (0, 5, 255):
            with self.assertRaises(MalformedFrame):
                read(FrameReader(), HEADER.pack(5, kind, 1))

    def test_frames_before_the_malformed_one_are_served(self) -> None:
        found = []
        with self.assertRaises(MalformedFrame):
            for kind, number, body in FrameReader().feed(written([(REQUEST, 7, b"x")]) + b"\xff" * 9):
                found.append((kind, number, bytes(body)))
        self.assertEqual(found, [(REQUEST, 7, b"x")])

    @given(st.binary(max_size=300))
    def test_random_bytes_yield_frames_or_are_refused(self, data: bytes) -> None:
        try:
            read(FrameReader(), data)
        except MalformedFrame:
            return


if __name__ == "__main__":
    unittest.main()
