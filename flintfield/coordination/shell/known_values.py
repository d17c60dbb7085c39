"""The values of the configuration register that this process knows, by ballot.

A ballot is used for one value only, so whoever knows the value of a ballot may tell it, at any time. Besides
the newest, a replica keeps the committed values before it for a while, so that it can tell a newer one as a
difference to what an asker has.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from flintfield.coordination.delta import difference, digest_of, patched
from flintfield.coordination.model import NO_BALLOT, Ballot
from flintfield.coordination.register_messages import AskValue, BallotCommitted, ValueAnswer
from flintfield.coordination.shell.host import ReplicaHost
from flintfield.coordination.shell.newest import Newest

KEPT_VALUES = 16  # committed ones; an asker that is further behind gets the whole value
KEPT_BYTES = 4 * 1024 * 1024  # of them all
KEPT_BALLOTS = 64  # of those values; every read that settles gives the same value a new ballot


@dataclass(frozen=True, slots=True)
class KnownValue:
    """A ballot and its value."""

    ballot: Ballot
    value: bytes | None


@dataclass(slots=True)
class ValueCounters:
    """How values were told to others, and fetched from them."""

    told_whole: int = 0
    told_as_delta: int = 0
    not_found: int = 0
    fetched: int = 0
    fetch_failed: int = 0


class KnownValues:
    """Looks values up, tells them, and rebuilds those that are told as a difference."""

    def __init__(self, newest: Newest, host: ReplicaHost | None) -> None:
        self._newest = newest
        self._host = host
        self._kept: OrderedDict[bytes, bytes] = OrderedDict()  # by digest
        self._kept_bytes = 0
        self._first_fetched: bytes | None = None
        self._digests: OrderedDict[Ballot, bytes] = OrderedDict()
        self.counters = ValueCounters()
        if host is not None:
            newest.on_commit.append(self._keep)

    @property
    def base(self) -> bytes | None:
        """The value to which others tell differences; None where every value has to be told whole."""
        return self._newest.value or self._first_fetched

    def note_fetched(self, value: bytes | None) -> None:
        """Keep a fetched value as the base until one is known to be committed."""
        if self._newest.value is None:
            self._first_fetched = value

    def question(self, ballot: Ballot) -> AskValue:
        """The request for the value of a ballot that isn't known here."""
        base = self.base
        return AskValue(ballot, digest_of(base) if base else b"")

    def find(self, ballot: Ballot) -> KnownValue | None:
        """The value of this ballot, if it is known here."""
        if ballot == NO_BALLOT:
            return KnownValue(ballot, None)
        if ballot == self._newest.ballot:
            return KnownValue(ballot, self._newest.value)
        replica = self._host.replica if self._host is not None else None
        if replica is not None and replica.configuration.accepted == ballot:
            return KnownValue(ballot, replica.configuration.value)
        kept = self._kept.get(self._digests.get(ballot, b""))
        return KnownValue(ballot, kept) if kept is not None else None

    def answer(self, ask: AskValue) -> ValueAnswer:
        """What another process is told."""
        found = self.find(ask.ballot)
        if found is None:
            self.counters.not_found += 1
            return ValueAnswer(False)
        delta = difference(self._with_digest(ask.known), found.value)
        if delta is None:
            self.counters.told_whole += 1
            return ValueAnswer(True, found.value)
        self.counters.told_as_delta += 1
        return ValueAnswer(True, None, delta)

    def read(self, ballot: Ballot, answer: ValueAnswer) -> KnownValue | None:
        """The value in an answer; None where there is none, or it can't be rebuilt."""
        if not answer.found:
            return None
        if answer.delta is None:
            return KnownValue(ballot, answer.value)
        value = patched(self._with_digest(answer.delta.base), answer.delta)
        return KnownValue(ballot, value) if value is not None else None

    def committed(self, message: BallotCommitted) -> None:
        """A ballot is committed; its value is known where this replica has accepted it."""
        found = self.find(message.ballot)
        if found is not None:
            self._newest.committed(found.ballot, found.value)

    def _with_digest(self, digest: bytes) -> bytes | None:
        """The value with this digest, if it is known here."""
        base = self.base
        if base is not None and digest_of(base) == digest:
            return base
        if self._first_fetched is not None and digest_of(self._first_fetched) == digest:
            return self._first_fetched
        return self._kept.get(digest)

    def _keep(self) -> None:
        """Keep the newest value; the oldest ones go."""
        value = self._newest.value
        if value is None:
            return
        digest = digest_of(value)
        self._digests[self._newest.ballot] = digest
        if len(self._digests) > KEPT_BALLOTS:
            self._digests.popitem(last=False)
        if digest in self._kept:
            self._kept.move_to_end(digest)
            return
        self._kept[digest] = value
        self._kept_bytes += len(value)
        while len(self._kept) > 1 and (len(self._kept) > KEPT_VALUES or self._kept_bytes > KEPT_BYTES):
            _, dropped = self._kept.popitem(last=False)
            self._kept_bytes -= len(dropped)
