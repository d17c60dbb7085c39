"""The key ring and its file: who knows none of its keys neither understands members nor is understood.

The file has a key a line, 32 random bytes in base64; `#` begins a comment. All keys are understood. To a
member we write with the first of ours that it understands too: members tell the ids of their keys. So a new
key may be put first in the files in any order, and there is no moment in which two members do not
understand each other. A key that was taken out is understood for `KEEP_MS` more, until all have heard that
we do not have it.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import os
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from flintfield.base.errors import BadInput
from flintfield.membership.rules import MOST_KEYS

KEY_BYTES = 32  # AES-256
KEEP_MS = 60_000.0
MOST_FILE = 65_536
PUBLIC = hashlib.sha256(b"flintfield membership without a key file, on loopback only").digest()
"""The key of members without a key file: it keeps nothing secret."""


class KeyFileError(BadInput):
    """A key file that can not be used; one line that names file and line."""


@dataclass(frozen=True, slots=True)
class Key:
    """A key, named by the start of a hash of it."""

    secret: bytes
    id: int

    @property
    def name(self) -> str:
        """The id as people see it."""
        return f"{self.id:08x}"


def make_key(secret: bytes) -> Key:
    """A key of these bytes; the id tells nothing of them."""
    return Key(secret, int.from_bytes(hashlib.sha256(b"flintfield key id" + secret).digest()[:4], "big"))


def read_keys(path: str) -> list[Key]:
    """The keys of a file, in its order."""
    try:
        with open(path, encoding="ascii", errors="replace") as file:
            lines = file.read(MOST_FILE + 1)
    except OSError as error:
        raise KeyFileError(f"{path}: cannot be read: {error.strerror}") from error
    keys: list[Key] = []
    for number, line in enumerate(lines.splitlines(), 1):
        if not (text := line.partition("#")[0].strip()):
            continue
        keys.append(_read_key(path, number, text))
        if len({k.id for k in keys}) < len(keys):
            raise KeyFileError(f"{path}: line {number}: found key {keys[-1].name} again, expected it once")
    if not 0 < len(keys) <= MOST_KEYS:
        raise KeyFileError(f"{path}: found {len(keys)} keys, expected 1 to {MOST_KEYS}")
    return keys


def _read_key(path: str, number: int, text: str) -> Key:
    try:
        secret = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        secret = b""
    if len(secret) != KEY_BYTES:
        raise KeyFileError(f"{path}: line {number}: found {len(text)} characters that are no key, "
                           f"expected {KEY_BYTES} bytes in base64")
    return make_key(secret)


def write_keys(path: str, keys: Sequence[Key], new: bool) -> None:
    """Write the file whole, readable by its owner alone; `new` refuses to replace one."""
    text = "# Keys of flintfield's membership. All are understood; the first that both sides know is used.\n"
    text += "".join(f"{base64.b64encode(k.secret).decode()}  # {k.name}\n" for k in keys)
    target = Path(path)
    if new and target.exists():
        raise KeyFileError(f"{path}: found a file, expected none")
    beside = target.with_name(f".{target.name}.{os.getpid()}")
    try:
        descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with os.fdopen(descriptor, "w", encoding="ascii") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        # Guards against a reader that finds half a file: the old one is replaced at once.
        os.replace(beside, target)
    except OSError as error:
        beside.unlink(missing_ok=True)
        raise KeyFileError(f"{path}: cannot be written: {error.strerror}") from error


class Ring:
    """The keys that we understand, and the one to write with."""

    def __init__(self, keys: Sequence[Key]) -> None:
        self.keys: tuple[Key, ...] = ()
        self._ciphers: dict[int, AESGCM] = {}
        self._former: dict[int, float] = {}  # keys that were taken out: understood until then
        self.replace(keys, 0.0)

    @property
    def ids(self) -> tuple[int, ...]:
        """The ids of our keys, the preferred one first."""
        return tuple(k.id for k in self.keys)

    def replace(self, keys: Sequence[Key], now: float) -> None:
        """Go on with these keys; what was taken out is understood for a while."""
        gone = set(self.ids) - {k.id for k in keys}
        self._former = {i: until for i, until in self._former.items() if until > now}
        self._former.update(dict.fromkeys(gone, now + KEEP_MS))
        for key in keys:
            self._former.pop(key.id, None)
            self._ciphers.setdefault(key.id, AESGCM(key.secret))
        self.keys = tuple(keys)
        self._ciphers = {i: c for i, c in self._ciphers.items() if i in self._former or i in self.ids}

    def choose(self, understood: Iterable[int]) -> int | None:
        """The first of our keys that the other side understands too."""
        theirs = set(understood)
        return next((i for i in self.ids if i in theirs), None)

    def cipher(self, key: int, now: float) -> AESGCM | None:
        """What a key opens with; None if we do not understand it."""
        if (until := self._former.get(key)) is not None and until <= now:
            del self._former[key], self._ciphers[key]
        return self._ciphers.get(key)
