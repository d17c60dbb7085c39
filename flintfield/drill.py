"""The adapter loop: reads batches, hands each event to its instance, writes the actions back.

It decides nothing and shares nothing between instances. `python -m flintfield.drill` starts it.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from flintfield.wire.simulator import frames as wire
from flintfield.decision.interface import Action, Entry
from flintfield.decision.policy import Dispatcher


class Host:
    """Holds the instances of one process, each with nothing but its own events."""

    def __init__(self) -> None:
        self._instances: dict[int, tuple[Dispatcher, tuple[str | None, ...]]] = {}
        self._sheets: dict[int, tuple[Entry, ...]] = {}

    def batch(self, now: float, body: bytes, count: int) -> bytes:
        """Play one batch and return the reply's bytes."""
        replies: list[tuple[int, list[Action | wire.Panic]]] = []
        about: int | None = None
        for code, record in wire.split_records(body, count):
            if code == wire.ABOUT:
                if len(record) < 2:
                    raise wire.WireError("a record names no instance")
                about = wire.U16.unpack_from(record)[0]
            elif code == wire.SHEET:
                if len(record) < 8:
                    raise wire.WireError("a server list is cut short")
                number, rows = wire.read_rows(record)
                self._sheets[number] = rows
            elif about is None:
                raise wire.WireError(f"record {code} comes before any instance is named")
            else:
                actions = self._event(now, about, code, record)
                if replies and replies[-1][0] == about:
                    replies[-1][1].extend(actions)
                else:
                    replies.append((about, actions))
        return wire.write_reply(replies)

    def _event(self, now: float, about: int, code: int, record: bytes) -> list[Action | wire.Panic]:
        held = self._instances.get(about)
        event = wire.read_event(code, record, self._sheets, held[1] if held else ())
        if event is None:
            return []
        if isinstance(event, wire.Stop):
            self._instances.pop(about, None)
            return []
        try:
            if isinstance(event, wire.Enlist):
                self._instances[about] = (Dispatcher(event.settings, event.seed), event.report_fields)
                return []
            if held is None:
                raise wire.WireError(f"instance {about} has not been born")
            return list(held[0].handle(now, event))
        except wire.WireError:
            raise
        except Exception as error:  # the wire asks for every failure of the decisions to be told
            return [wire.Panic(f"{type(error).__name__}: {error}")]


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise wire.WireError(f"input ends after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    host = Host()
    while head := source.read(wire.BATCH_HEAD.size):
        if len(head) < wire.BATCH_HEAD.size:
            raise wire.WireError(f"input ends after {len(head)} bytes of a batch header")
        now, size, count = wire.BATCH_HEAD.unpack(head)
        if size < wire.U32.size:
            raise wire.WireError(f"a batch of {size} bytes has no room for its record count")
        sink.write(host.batch(now, _read(source, size - wire.U32.size), count))
        sink.flush()


def main() -> int:
    """Run the adapter on standard input and output."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"flintfield.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
