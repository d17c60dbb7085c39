"""Processor time and bytes of replication: leader, followers and registers as state machines in one process.

    python -m benchmarks.system_replication_load [--rounds 400]

Every message is encoded and decoded as on the wire; records go into a dict, so the disk is not counted (it is
in `system_storage`), nor are sockets and the event loop (`transport_rpc`). First the ordered store by
replicas and changes in a batch, then the configuration register by size of the document.
"""

from __future__ import annotations

import argparse
import os
import time
from dataclasses import dataclass, field

from flintfield.coordination.attempt import Attempt, Phase
from flintfield.coordination.leader import Leader
from flintfield.coordination.messages import Pair, PrepareEpoch
from flintfield.coordination.model import NOWHERE, Ballot, CoreSet, Member, Register
from flintfield.coordination.replica import Replica
from flintfield.coordination.stored import format_store
from flintfield.coordination.transfer import EMPTY
from flintfield.transport.frames import HEADER
from flintfield.transport.records import decode, encode

REPLICAS = (3, 4, 8)
BATCHES = (1, 4, 16, 64)
RECORD_BYTES = 160  # of a task with one run, about
KEY_BYTES = 24
KEYS = 8_500
DOCUMENTS_BYTES = (8_000, 64_000, 250_000)  # the largest body that an operator may send is 256 KiB
EPOCH = 1
ROUND_MS = 10
NS_IN_US = 1_000


@dataclass(slots=True)
class Costs:
    """Processor time in ns, and bytes that the leader or proposer sends and gets."""

    own_ns: int = 0
    replicas_ns: int = 0
    sent_bytes: int = 0
    got_bytes: int = 0
    messages: int = 0


@dataclass(slots=True)
class MemoryReplica:
    """A replica and its records."""

    member: Member
    records: dict[bytes, bytes]
    replica: Replica = field(init=False)

    def __post_init__(self) -> None:
        self.replica = Replica(self.records, 0, lambda: 0)

    def apply(self, changes: list[Pair]) -> None:
        """Change the records."""
        for key, value in changes:
            if value is None:
                self.records.pop(key, None)
            else:
                self.records[key] = value

    def take(self, now_ms: int, data: bytes) -> bytes:
        """Take a message in; returns the answer."""
        step = self.replica.step(now_ms, decode(data))
        self.apply(list(step.changes))
        return encode(step.reply)


class ReplicatedCore:
    """A core set of so many replicas; the first one's process leads."""

    def __init__(self, count: int) -> None:
        members = tuple(Member(f"m{at}", f"10.0.0.{at}:7000", f"z{at}", at + 1) for at in range(count))
        self.core = CoreSet(1, members, count)
        self.replicas = {member.identity: self._found(member) for member in members}
        self.leader = Leader(self.core, EPOCH, 1, 1, NOWHERE, {})
        self.costs = Costs()
        self.now_ms = 0
        self._ballots = 0
        for replica in self.replicas.values():
            replica.take(0, encode(PrepareEpoch(1, EPOCH, 1, 1, False)))
        self._exchange()

    def _found(self, member: Member) -> MemoryReplica:
        records = {key: value for key, value in format_store(member.identity, True) if value is not None}
        made = MemoryReplica(member, records)
        made.apply(list(made.replica.activate(0, self.core, EMPTY).changes))
        return made

    def _ask(self, identity: int, data: bytes) -> bytes:
        began = time.thread_time_ns()
        answer = self.replicas[identity].take(self.now_ms, data)
        self.costs.replicas_ns += time.thread_time_ns() - began
        self.costs.sent_bytes += len(data) + HEADER.size
        self.costs.got_bytes += len(answer) + HEADER.size
        self.costs.messages += 1
        return answer

    def _exchange(self) -> None:
        """Send what is due, until nothing is."""
        while True:
            began = time.thread_time_ns()
            out = [(sent, encode(sent.message)) for sent in self.leader.outgoing(self.now_ms)]
            self.costs.own_ns += time.thread_time_ns() - began
            if not out:
                return
            for sent, data in out:
                answer = self._ask(sent.member.identity, data)
                began = time.thread_time_ns()
                self.leader.answered(self.now_ms, sent, decode(answer))
                self.costs.own_ns += time.thread_time_ns() - began

    def write(self, changes: list[Pair]) -> None:
        """One batch, until all replicas have it."""
        self.now_ms += ROUND_MS
        began = time.thread_time_ns()
        sequence = self.leader.write(changes)
        self.costs.own_ns += time.thread_time_ns() - began
        self._exchange()
        if self.leader.committed != sequence:
            raise RuntimeError(f"batch {sequence} is not committed")

    def change_configuration(self, document: bytes) -> None:
        """One change of the register: prepare and accept, at all replicas."""
        self._ballots += 1
        began = time.thread_time_ns()
        attempt = Attempt(self.core, Register.CONFIGURATION, Ballot(1, self._ballots, 1))
        data = encode(attempt.prepare)
        self.costs.own_ns += time.thread_time_ns() - began
        self._gather(attempt, data)
        began = time.thread_time_ns()
        data = encode(attempt.propose(document))
        self.costs.own_ns += time.thread_time_ns() - began
        self._gather(attempt, data)
        if attempt.phase is not Phase.COMMITTED:
            raise RuntimeError(f"change {self._ballots} is {attempt.phase.name}")

    def _gather(self, attempt: Attempt, data: bytes) -> None:
        for identity in self.replicas:
            answer = self._ask(identity, data)
            began = time.thread_time_ns()
            attempt.take(decode(answer))
            self.costs.own_ns += time.thread_time_ns() - began


def measure_batches(replicas: int, changes: int, rounds: int) -> Costs:
    """So many batches of so many changes."""
    core = ReplicatedCore(replicas)
    core.costs = Costs()
    value = bytes(RECORD_BYTES)
    for number in range(rounds):
        first = number * changes
        core.write([(b"t%0*d" % (KEY_BYTES - 1, (first + at) % KEYS), value) for at in range(changes)])
    return core.costs


def measure_documents(replicas: int, size: int, rounds: int) -> Costs:
    """So many changes of a configuration of that size."""
    core = ReplicatedCore(replicas)
    core.costs = Costs()
    for number in range(rounds):
        core.change_configuration(b"%0*d" % (size, number))
    return core.costs


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--rounds", type=int, default=400)
    options = parser.parse_args()
    print(f"load of the machine {os.getloadavg()[0]:.1f}")
    print(
        "replicas  changes   leader µs a batch / a change   follower µs a batch / a change   "
        "leader sends bytes a change"
    )
    for replicas in REPLICAS:
        for changes in BATCHES:
            costs = measure_batches(replicas, changes, options.rounds)
            own = costs.own_ns / NS_IN_US / options.rounds
            follower = costs.replicas_ns / NS_IN_US / options.rounds / replicas
            sent = costs.sent_bytes / options.rounds / changes
            print(
                f"{replicas:8d} {changes:8d}   {own:12.0f} / {own / changes:6.1f}   "
                f"{follower:18.0f} / {follower / changes:6.1f}   {sent:12.0f}"
            )
    print("replicas  document   proposer µs a change   replica µs   proposer sends, gets bytes a change")
    rounds = max(options.rounds // 10, 10)
    for replicas in REPLICAS:
        for size in DOCUMENTS_BYTES:
            costs = measure_documents(replicas, size, rounds)
            print(
                f"{replicas:8d} {size:9d}   {costs.own_ns / NS_IN_US / rounds:12.0f}   "
                f"{costs.replicas_ns / NS_IN_US / rounds / replicas:12.0f}   "
                f"{costs.sent_bytes / rounds:12.0f}, {costs.got_bytes / rounds:.0f}"
            )


if __name__ == "__main__":
    main()
