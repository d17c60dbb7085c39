"""Adapter for the simulator: reads batches, passes each event to its instance, writes the actions back.

It makes no decisions and shares nothing between instances. `python -m flintfield.drill` starts it.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from flintfield.wire.simulator import frames as wire
from flintfield.decision.interface import Action, Entry
from flintfield.decision.policy import Dispatcher


class Host:
    """The instances of one process, which are independent of each other."""

    def __init__(self) -> None:
        self._instances: dict[int, tuple[Dispatcher, tuple[str | None, ...]]] = {}
        self._server_lists: dict[int, tuple[Entry, ...]] = {}

    def batch(self, now: float, body: bytes, count: int) -> bytes:
        """Process one batch and return the encoded reply."""
        replies: list[tuple[int, list[Action | wire.Fault]]] = []
        instance: int | None = None
        for code, record in wire.split_records(body, count):
            if code == wire.INSTANCE:
                if len(record) < 2:
                    raise wire.WireError("instance record has no instance number")
                instance = wire.U16.unpack_from(record)[0]
            elif code == wire.SERVER_LIST:
                if len(record) < 8:
                    raise wire.WireError("server list is truncated")
                number, rows = wire.read_rows(record)
                self._server_lists[number] = rows
            elif instance is None:
                raise wire.WireError(f"record {code} comes before any instance record")
            else:
                actions = self._event(now, instance, code, record)
                if replies and replies[-1][0] == instance:
                    replies[-1][1].extend(actions)
                else:
                    replies.append((instance, actions))
        return wire.write_reply(replies)

    def _event(self, now: float, instance: int, code: int, record: bytes) -> list[Action | wire.Fault]:
        known = self._instances.get(instance)
        event = wire.read_event(code, record, self._server_lists, known[1] if known else ())
        if event is None:
            return []
        if isinstance(event, wire.StopInstance):
            self._instances.pop(instance, None)
            return []
        try:
            if isinstance(event, wire.StartInstance):
                self._instances[instance] = (Dispatcher(event.settings, event.seed), event.report_fields)
                return []
            if known is None:
                raise wire.WireError(f"instance {instance} was not started")
            return list(known[0].handle(now, event))
        except wire.WireError:
            raise
        except Exception as error:  # the protocol requires every failure of the decision code to be reported
            return [wire.Fault(f"{type(error).__name__}: {error}")]


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
            raise wire.WireError(f"batch of {size} bytes is too short for its record count")
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
