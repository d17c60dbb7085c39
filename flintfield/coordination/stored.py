"""Records that a replica persists in its store (281 to 299), and their keys."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from flintfield.coordination.model import NO_BALLOT, NOWHERE, Ballot, CoreSet, Position
from flintfield.transport.records import decode, encode, record

IDENTITY_KEY = b"c/identity"
FOUNDING_KEY = b"c/founding"
ACTIVE_KEY = b"c/active"
KNOWN_KEY = b"c/known"
CONFIGURATION_KEY = b"c/configuration"
SUCCESSOR_KEY = b"c/successor"
ORDER_KEY = b"c/order"
ITEM_PREFIX = b"s/"


@record(281)
@dataclass(frozen=True, slots=True)
class StoredIdentity:
    """The replica's random identity, chosen when the store is formatted.

    `founding` is set if the store was formatted at the first start of the whole system.
    """

    identity: int
    founding: bool


@record(282)
@dataclass(frozen=True, slots=True)
class StoredAcceptor:
    """The acceptor state of one register."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes | None = None


@record(283)
@dataclass(frozen=True, slots=True)
class StoredOrder:
    """The follower state of the ordered store.

    `promised` is the highest promised epoch, and `candidate` and `boot` identify the candidate that received
    the promise. `position` is the position of the items. `holder` is the identity of the leader whose lease
    this replica may have acknowledged last (0: unknown).
    """

    promised: int = 0
    candidate: int = 0
    boot: int = 0
    position: Position = NOWHERE
    holder: int = 0


@record(284)
@dataclass(frozen=True, slots=True)
class StoredFounding:
    """The acceptor state for the first core set. The previous release stored only the adopted `CoreSet`."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    adopted: CoreSet | None = None


def format_store(identity: int, founding: bool) -> list[tuple[bytes, bytes]]:
    """Return the first records of an empty store; they must be durable before the replica is created."""
    return [(IDENTITY_KEY, encode(StoredIdentity(identity, founding)))]


def load(stored: Mapping[bytes, bytes], key: bytes) -> Any:
    """Return the decoded record under this key, or None."""
    raw = stored.get(key)
    return None if raw is None else decode(raw)


def load_founding(stored: Mapping[bytes, bytes]) -> StoredFounding:
    """Return the acceptor state for the first core set; also reads the format of the previous release."""
    loaded: StoredFounding | CoreSet | None = load(stored, FOUNDING_KEY)
    if isinstance(loaded, CoreSet):
        return StoredFounding(adopted=loaded)
    return loaded if loaded is not None else StoredFounding()
