"""Which connection the agent reports over: a state machine without I/O.

One connection is *active*: its dispatcher has answered. While it stays silent after a report, is closed, or
says that it doesn't act any more, a *trial* is made: look the leader up, connect, report, wait for orders.
The active connection is kept until the trial is proven by orders of an epoch that is no lower than any seen.
"""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

SILENCE_MS = 700  # after a report; the dispatcher answers each within a few ms
CONNECT_TIMEOUT_MS = 250  # 100 round trips; a leader that is frozen is named until it is replaced
PROVING_MS = 350  # a dispatcher that acts answers the first report within a few ms
LOOK_UP_TIMEOUT_MS = 3_000  # a shell that gives no result by then is asked again
FIRST_BACKOFF_MS = 40
LONGEST_BACKOFF_MS = 300  # the agent's share of a takeover


class Trial(enum.Enum):
    """How far the search for a new dispatcher has come."""

    NONE = "none"
    WAITING = "waiting"  # backing off before the next look-up
    LOOKING_UP = "looking_up"
    CONNECTING = "connecting"
    PROVING = "proving"  # connected and reported; waits for orders


@dataclass(frozen=True, slots=True)
class LeaderFound:
    """The directory has answered; `address` is "" where nobody is known to lead."""

    address: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Connected:
    """The connection that was asked for is open, under this number."""

    connection: int


@dataclass(frozen=True, slots=True)
class ConnectFailed:
    """The connection that was asked for could not be made."""


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection is closed."""

    connection: int


@dataclass(frozen=True, slots=True)
class Heard:
    """Orders of this epoch came over this connection."""

    connection: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Dismissed:
    """The process at the other end says that it doesn't act."""

    connection: int


@dataclass(frozen=True, slots=True)
class Reported:
    """A report has left over all connections."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """The worker has answered to a newer dispatcher than the one known here."""


@dataclass(frozen=True, slots=True)
class Wake:
    """A time that `wake_at` has named is reached."""


LinkEvent = (
    LeaderFound | Connected | ConnectFailed | Closed | Heard | Dismissed | Reported | Superseded | Wake
)


@dataclass(frozen=True, slots=True)
class LookUp:
    """Ask the directory who leads; answered by `LeaderFound`."""


@dataclass(frozen=True, slots=True)
class Connect:
    """Connect to this address; answered by `Connected` or `ConnectFailed`."""

    address: str
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class Close:
    """Close this connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class Blame:
    """Tell the directory that no dispatcher has answered at this address."""

    address: str


@dataclass(frozen=True, slots=True)
class ReportNow:
    """A new connection wants its first report."""


LinkEffect = LookUp | Connect | Close | Blame | ReportNow


class Link:
    """The connection to the dispatcher."""

    def __init__(self, rng: random.Random) -> None:
        self.active: int | None = None
        self.trial = Trial.WAITING
        self.searches = 0
        self._rng = rng
        self._epoch = 0
        self._trial_until = 0
        self._trial_address = ""
        self._trial_connection: int | None = None
        self._unanswered_since: int | None = None  # first report on the active connection not yet answered
        self._failures = 0

    def step(self, now: int, event: LinkEvent) -> list[LinkEffect]:
        """Take in an event; returns what is to be done now."""
        effects: list[LinkEffect] = []
        match event:
            case LeaderFound(address, epoch):
                self._leader_found(now, address, epoch, effects)
            case Connected(connection):
                self._connected(now, connection, effects)
            case ConnectFailed():
                if self.trial is Trial.CONNECTING:
                    self._trial_failed(now, effects)
            case Closed(connection):
                self._closed(now, connection, effects)
            case Heard(connection, epoch):
                self._heard(now, connection, epoch, effects)
            case Dismissed(connection):
                self._dismissed(now, connection, effects)
            case Reported():
                if self._unanswered_since is None and self.active is not None:
                    self._unanswered_since = now
            case Superseded():
                self._search(now)
            case Wake():
                pass
        self._pass_time(now, effects)
        return effects

    def wake_at(self, now: int) -> int | None:
        """When to step with a `Wake`, unless an event comes before."""
        if self.trial is not Trial.NONE:
            return max(self._trial_until, now)
        if self._unanswered_since is not None:
            return max(self._unanswered_since + SILENCE_MS, now)
        return None

    def _pass_time(self, now: int, effects: list[LinkEffect]) -> None:
        silent = self._unanswered_since is not None and now - self._unanswered_since >= SILENCE_MS
        if self.trial is Trial.NONE and (silent or self.active is None):
            self._search(now)
        if self.trial is Trial.NONE or now < self._trial_until:
            return
        if self.trial is Trial.WAITING:
            self.searches += 1
            self._set_trial(Trial.LOOKING_UP, now + LOOK_UP_TIMEOUT_MS)
            effects.append(LookUp())
        else:
            self._trial_failed(now, effects)

    def _leader_found(self, now: int, address: str, epoch: int, effects: list[LinkEffect]) -> None:
        if self.trial is not Trial.LOOKING_UP:
            return
        if not address or epoch < self._epoch:
            self._trial_failed(now, effects)
            return
        self._trial_address = address
        self._set_trial(Trial.CONNECTING, now + 2 * CONNECT_TIMEOUT_MS)
        effects.append(Connect(address, CONNECT_TIMEOUT_MS))

    def _connected(self, now: int, connection: int, effects: list[LinkEffect]) -> None:
        if self.trial is not Trial.CONNECTING:
            effects.append(Close(connection))
            return
        self._trial_connection = connection
        self._set_trial(Trial.PROVING, now + PROVING_MS)
        effects.append(ReportNow())

    def _heard(self, now: int, connection: int, epoch: int, effects: list[LinkEffect]) -> None:
        if epoch < self._epoch:
            return
        self._epoch = epoch
        if connection == self._trial_connection:
            if self.active is not None:
                effects.append(Close(self.active))
            self.active, self._trial_connection, self._trial_address = connection, None, ""
        elif connection == self.active:
            self._abandon_trial(effects)
        else:
            return
        self._failures = 0
        self._unanswered_since = None
        self._set_trial(Trial.NONE, now)

    def _dismissed(self, now: int, connection: int, effects: list[LinkEffect]) -> None:
        if connection == self._trial_connection:
            self._trial_failed(now, effects)
        elif connection == self.active:
            self._search(now)

    def _closed(self, now: int, connection: int, effects: list[LinkEffect]) -> None:
        if connection == self._trial_connection:
            self._trial_connection = None
            self._trial_failed(now, effects)
        elif connection == self.active:
            self.active = None
            self._unanswered_since = None
            self._search(now)

    def _search(self, now: int) -> None:
        """Begin a trial, unless one is under way."""
        if self.trial is Trial.NONE:
            self._set_trial(Trial.WAITING, now + int(FIRST_BACKOFF_MS * self._rng.uniform(0.0, 1.0)))

    def _trial_failed(self, now: int, effects: list[LinkEffect]) -> None:
        if self._trial_address:
            effects.append(Blame(self._trial_address))
        self._abandon_trial(effects)
        self._failures += 1
        longest = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS << min(self._failures, 4))
        self._set_trial(Trial.WAITING, now + int(longest * self._rng.uniform(0.5, 1.0)))

    def _abandon_trial(self, effects: list[LinkEffect]) -> None:
        if self._trial_connection is not None:
            effects.append(Close(self._trial_connection))
        self._trial_connection = None
        self._trial_address = ""

    def _set_trial(self, trial: Trial, until: int) -> None:
        self.trial = trial
        self._trial_until = until
