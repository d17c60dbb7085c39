"""The leader of one epoch: it replicates its history to the followers, and tracks its lease and which batches
are durable at a majority.

No I/O and no clock. `outgoing(now)` returns the messages to send; the shell reports each answer to `answered`
and each failure to `failed`. Batches are numbered (epoch, 1), (epoch, 2), ...; (epoch, 0) is the state that
the election selected. A change of the core set keeps the epoch: `change_core` discards all acknowledgements
and collects them again from the members of the new set.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from flintfield.coordination.batch_log import BatchLog
from flintfield.coordination.clocks import median_offset
from flintfield.coordination.follower import NEVER_MS
from flintfield.coordination.messages import (
    Adopt,
    Alive,
    Append,
    Appended,
    Batch,
    Change,
    Heartbeat,
    Install,
    Pair,
    Refused,
)
from flintfield.coordination.model import CoreSet, Member, Position, Refusal
from flintfield.coordination.progress import UNKNOWN, Mode, Progress
from flintfield.coordination.snapshots import parts_of
from flintfield.coordination.timing import (
    APPEND_TIMEOUT_MS,
    CALL_TIMEOUT_MS,
    CHUNK_TIMEOUT_MS,
    HEARTBEAT_MS,
    MAX_INACTIVE_RETRY_MS,
    INACTIVE_RETRY_MS,
    LEASE_MS,
    TRANSFER_RETRY_MS,
)

MAX_APPENDS_IN_FLIGHT = 4  # per follower; a write needn't wait for the answer to the previous one


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message for a member.

    `round` is the value of `Progress.round` at the time of sending, or -1 for a heartbeat. Answers to
    messages of an earlier round don't count for the messages in flight.
    """

    member: Member
    message: Heartbeat | Adopt | Append | Install
    sent_ms: int
    timeout_ms: int
    round: int


class Leader:
    """The leader's state machine. `items` is the newest content, durable or not; this object owns it."""

    def __init__(
        self, core: CoreSet, epoch: int, identity: int, boot: int, base: Position, items: dict[bytes, bytes]
    ) -> None:
        self.core = core
        self.epoch = epoch
        self.identity = identity
        self.boot = boot
        self.base = base
        self.items = items
        self.sequence = 0
        self.committed = UNKNOWN
        self.deposed = False
        self.newer: CoreSet | None = None
        self.sealed = False
        self.installs = 0
        self.followers: dict[int, Progress] = {}
        self._log = BatchLog()
        self._item_bytes = sum(len(key) + len(value) for key, value in items.items())
        self._transfers = 0
        self._wall_offset_ms: int | None = None
        self.change_core(core)

    # Operations for the shell.

    def write(self, changes: Sequence[Pair]) -> int:
        """Add a batch and return its sequence number; it is durable once `committed` reaches it."""
        self.sequence += 1
        batch = Batch(self.sequence, tuple(Change(key, value) for key, value in changes))
        for key, value in changes:
            self._put(key, value)
        self._log.add(batch)
        self._trim()
        return self.sequence

    def _put(self, key: bytes, value: bytes | None) -> None:
        old_value = self.items.pop(key, None)
        if old_value is not None:
            self._item_bytes -= len(key) + len(old_value)
        if value is not None:
            self.items[key] = value
            self._item_bytes += len(key) + len(value)

    def lease_until_ms(self) -> int:
        """The end of the lease: until this steady time, no other leader can have been elected."""
        lease_starts = sorted((progress.lease_from_ms for progress in self.followers.values()), reverse=True)
        return lease_starts[self.core.majority - 1] + LEASE_MS

    def wall_offset_ms(self, now_ms: int) -> int | None:
        """Cluster time minus the steady clock, or None until a member has reported its wall clock."""
        offsets = [
            progress.wall_offset_ms
            for progress in self.followers.values()
            if progress.wall_offset_ms is not None and now_ms - progress.contact_ms < 10 * HEARTBEAT_MS
        ]
        self._wall_offset_ms = median_offset(offsets, self._wall_offset_ms)
        return self._wall_offset_ms

    def change_core(self, core: CoreSet) -> None:
        """Continue with this core set. Its members are asked again for their positions."""
        previous_followers = self.followers
        self.core = core
        self.sealed = False
        self.newer = None
        self.followers = {}
        for member in core.members:
            progress = Progress(member)
            previous = previous_followers.get(member.identity)
            if previous is not None:
                progress.contact_ms, progress.wall_offset_ms = previous.contact_ms, previous.wall_offset_ms
            self.followers[member.identity] = progress

    # Outgoing messages.

    def outgoing(self, now_ms: int) -> list[Outgoing]:
        """Return all messages that are due."""
        out: list[Outgoing] = []
        for progress in self.followers.values():
            if now_ms - progress.heartbeat_ms >= HEARTBEAT_MS:
                progress.heartbeat_ms = now_ms
                heartbeat = Heartbeat(self.core.version, self.epoch, self.identity, self.boot)
                out.append(Outgoing(progress.member, heartbeat, now_ms, CALL_TIMEOUT_MS, -1))
            if now_ms >= progress.retry_at_ms:
                self._replicate(now_ms, progress, out)
        return out

    def next_due_ms(self) -> int:
        """The latest time at which `outgoing` must be called again."""
        heartbeat_due_ms = min(progress.heartbeat_ms for progress in self.followers.values()) + HEARTBEAT_MS
        retries = [progress.retry_at_ms for progress in self.followers.values() if self._is_behind(progress)]
        return min([heartbeat_due_ms, *retries])

    def _is_behind(self, progress: Progress) -> bool:
        """Whether there is something to send and no message is in flight."""
        caught_up = progress.mode is Mode.APPEND and progress.sent >= self.sequence
        return not progress.in_flight and not caught_up

    def _replicate(self, now_ms: int, progress: Progress, out: list[Outgoing]) -> None:
        if progress.mode is Mode.SYNC:
            if not progress.in_flight:
                adopt = Adopt(self.core.version, self.epoch, self.identity, self.boot, self.base)
                self._send(now_ms, progress, adopt, APPEND_TIMEOUT_MS, out)
        elif progress.mode is Mode.INSTALL:
            if not progress.in_flight:
                self._send(now_ms, progress, self._install_part(progress), CHUNK_TIMEOUT_MS, out)
        else:
            while progress.sent < self.sequence and progress.in_flight < MAX_APPENDS_IN_FLIGHT:
                batches = self._log.after(progress.sent)
                if not batches:
                    self._install(progress)
                    self._replicate(now_ms, progress, out)
                    return
                append = Append(self.core.version, self.epoch, progress.sent, batches)
                progress.sent = batches[-1].sequence
                self._send(now_ms, progress, append, APPEND_TIMEOUT_MS, out)

    @staticmethod
    def _send(
        now_ms: int,
        progress: Progress,
        message: Adopt | Append | Install,
        timeout_ms: int,
        out: list[Outgoing],
    ) -> None:
        progress.in_flight += 1
        out.append(Outgoing(progress.member, message, now_ms, timeout_ms, progress.round))

    def _install(self, progress: Progress) -> None:
        self._transfers += 1
        self.installs += 1
        parts = parts_of(Change(key, value) for key, value in self.items.items())
        progress.install(self._transfers, self.sequence, parts)

    def _install_part(self, progress: Progress) -> Install:
        index = progress.part
        last = index == len(progress.parts) - 1
        return Install(
            self.core.version,
            self.epoch,
            self.identity,
            self.boot,
            progress.target,
            progress.transfer,
            index,
            last,
            progress.parts[index],
        )

    def _trim(self) -> None:
        """Drop log entries that no follower needs, and limit the log to about the size of the whole state."""
        needed = min(progress.acked for progress in self.followers.values())
        self._log.trim(needed, self.committed, self._item_bytes)

    # Answers and failures.

    def answered(self, now_ms: int, sent: Outgoing, answer: object) -> None:
        """Process a member's answer to this message."""
        progress = self.followers.get(sent.member.identity)
        if progress is None or sent.message.core != self.core.version:
            return
        progress.contact_ms = now_ms
        if isinstance(answer, Refused):
            self._refused(now_ms, progress, sent, answer)
            return
        progress.lease_from_ms = max(progress.lease_from_ms, sent.sent_ms)
        if isinstance(answer, Alive):
            progress.wall_offset_ms = answer.wall_ms - (sent.sent_ms + now_ms) // 2
        elif isinstance(answer, Appended):
            progress.refusals = 0
            self._appended(progress, sent, answer)

    def failed(self, now_ms: int, sent: Outgoing) -> None:
        """Process a timeout or a broken connection."""
        progress = self.followers.get(sent.member.identity)
        if progress is None or sent.message.core != self.core.version or sent.round != progress.round:
            return
        progress.reset_in_flight()
        progress.retry_at_ms = now_ms + TRANSFER_RETRY_MS

    def _appended(self, progress: Progress, sent: Outgoing, answer: Appended) -> None:
        if sent.round == progress.round:
            progress.in_flight -= 1
        if answer.position.epoch == self.epoch:
            if progress.mode is not Mode.APPEND:
                progress.append_from(answer.position.sequence)
            progress.acked = max(progress.acked, answer.position.sequence)
            progress.sent = max(progress.sent, progress.acked)
            self._update_committed()
        elif progress.mode is Mode.INSTALL and isinstance(sent.message, Install):
            if sent.message.transfer == progress.transfer and answer.index == progress.part:
                progress.part += 1

    def _update_committed(self) -> None:
        """Raise `committed` to the newest sequence that is durable at a majority of the current set."""
        acked = sorted((progress.acked for progress in self.followers.values()), reverse=True)
        self.committed = max(self.committed, acked[self.core.majority - 1])
        self._trim()

    def _refused(self, now_ms: int, progress: Progress, sent: Outgoing, answer: Refused) -> None:
        if answer.core is not None and answer.core.version > self.core.version:
            self.newer = answer.core
        if answer.kind is Refusal.BALLOT and answer.epoch > self.epoch:
            self.deposed = True
        self.sealed = self.sealed or answer.kind is Refusal.SEALED
        if sent.round == -1 or sent.round != progress.round:
            return
        if answer.kind is not Refusal.GAP:
            progress.reset_in_flight()
            pause_ms = min(INACTIVE_RETRY_MS << min(progress.refusals, 8), MAX_INACTIVE_RETRY_MS)
            progress.refusals += 1
            progress.retry_at_ms = now_ms + pause_ms
        elif progress.mode is Mode.APPEND and answer.position.epoch == self.epoch:
            progress.append_from(max(progress.acked, answer.position.sequence))
            self._update_committed()
        else:
            retrying = progress.mode is Mode.INSTALL
            self._install(progress)
            progress.retry_at_ms = now_ms + TRANSFER_RETRY_MS if retrying else now_ms

    def silent_ms(self, now_ms: int, identity: int) -> int:
        """The time since the last answer from this member."""
        progress = self.followers.get(identity)
        return now_ms - (progress.contact_ms if progress is not None else NEVER_MS)
