"""What the rest of the program sees of membership: a list of members, news of changes, metadata, questions.

A unit finds it as `host.lent.get("members")`: None where membership is off. It is of no use for decisions
that must be safe in a split: what it tells is what one member believes.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from flintfield.membership.messages import Address, Status
from flintfield.membership.rules import MOST_META

Watcher = Callable[["Member", Status | None, Status | None], None]
"""Called with a member, what was and what is believed of it; the two are alike where only its metadata
changed."""
Answerer = Callable[[bytes], bytes]
"""Answers a question; at once, without waiting, and in at most MOST_BODY bytes."""


Hearer = Callable[[str, bytes], None]
"""Takes a word in: from which member, and what; quick."""


class MetaTooLong(ValueError):
    """Metadata that does not fit."""


class Load(msgspec.Struct, frozen=True, array_like=True):
    """A digest of what a scheduler has in work; it may be as old as `Rules.meta_every_ms` and a round of
    gossip."""

    jobs: int = 0  # taken and not answered
    waiting: int = 0  # of them, those at no worker node
    nodes: int = 0  # of its route set


class Meta(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a member tells of itself, at most 512 bytes in MessagePack.

    `v` is the version of this form: fields are only added, and who does not know one skips it. `more` is for
    other parts of the program, by a name of their own.
    """

    v: int = 1
    role: str = ""
    zone: str = ""
    release: str = ""  # the program's version
    http: str = ""  # host:port for jobs
    status: str = ""  # host:port of the status port; empty: none
    load: Load = Load()
    more: dict[str, bytes] = {}

    def encode(self) -> bytes:
        """For the record; a `MetaTooLong` if it does not fit."""
        data = msgspec.msgpack.encode(self)
        if len(data) > MOST_META:
            raise MetaTooLong(f"found {len(data)} bytes of metadata, expected at most {MOST_META}")
        return data


_decoder: msgspec.msgpack.Decoder[Meta] = msgspec.msgpack.Decoder(Meta)


def read_meta(data: bytes) -> Meta:
    """A member's metadata; empty where it can not be read."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return Meta()


@dataclass(frozen=True, slots=True)
class Member:
    """A member as this one sees it."""

    name: str
    address: Address
    session: int
    status: Status
    since_s: float  # how long that has been believed
    incarnation: int
    reason: str
    changes: int  # between there and gone, since it is known
    meta: Meta
    is_me: bool = False
    heard_s: float | None = None  # how long ago a datagram of its own came here; None: never


@dataclass(frozen=True, slots=True)
class Reach:
    """Whether what one member sends comes to another, by the other's own word.

    `open` is None where nobody told of late.
    """

    open: bool | None
    age_s: float | None = None  # how long ago that was told here


@dataclass(frozen=True, slots=True)
class Answers:
    """What came of a question to all others that are believed to be there."""

    told: Mapping[str, bytes] = field(default_factory=dict)  # by the member's name
    asked: int = 0
    silent: tuple[str, ...] = ()  # those that did not answer in time, or were not asked for want of room
    gone: int = 0  # members that died and are still remembered: what they knew is not heard


@dataclass(frozen=True, slots=True)
class Members:
    """The interface for units."""

    members: Callable[[], list[Member]]
    """All that are remembered, the gone ones too; ourselves first."""
    watch: Callable[[Watcher], None]
    """Be told of each change from now on, on the event loop; the watcher must be quick."""
    set_meta: Callable[[str, bytes | None], None]
    """Tell this under `more[name]` (None: no longer); a `MetaTooLong` leaves all as it was."""
    answer: Callable[[str, Answerer], None]
    """Answer questions of this kind."""
    say: Callable[[str, str, bytes], bool]
    """Send a member, by name, a word of this kind, in at most MOST_BODY bytes; it may be lost, late or
    doubled. False where it is not known or not there."""
    hear: Callable[[str, Hearer], None]
    """Take words of this kind in."""
    reaches: Callable[[str, str], Reach]
    """Whether what the first member sends comes to the second; a fact on a way, and none on a member."""
    ask_all: Callable[[str, bytes, float, Callable[[bytes], bool] | None], Awaitable[Answers]]
    """Ask all others that are believed to be there a question of this kind, within so many ms; one that is
    silent is asked three times. An answer that the last argument calls enough ends the wait."""
