"""Updates on their way to the others: each is sent on a bounded number of times, the least sent first.

Of one member only the newest word waits, except that suspicions by different members stand side by side, for
each counts as a confirmation. The queue can not outgrow the table: see `Gossip.put`.
"""

from __future__ import annotations

from flintfield.membership.messages import Suspect, Update, size_of

Key = tuple[str, str]  # the member spoken of, and who suspects it (else empty)
MISFITS = 8  # looked at in one go; guards against a walk through a long queue for the last few bytes


class Gossip:
    """Tiers of updates by how often they have been sent, each in the order of coming."""

    def __init__(self) -> None:
        self._tiers: list[dict[Key, tuple[Update, int]]] = [{}]
        self._tier_of: dict[Key, int] = {}
        self._suspicions: dict[str, set[Key]] = {}

    def __len__(self) -> int:
        return len(self._tier_of)

    def put(self, name: str, update: Update) -> None:
        """Tell this of the member; what was told of it before goes, but for suspicions beside a suspicion."""
        key = (name, update.by if isinstance(update, Suspect) else "")
        self._drop((name, ""))
        if isinstance(update, Suspect):
            self._drop(key)
            self._suspicions.setdefault(name, set()).add(key)
        else:
            for old in self._suspicions.pop(name, ()):
                self._drop(old)
        self._tiers[0][key] = update, size_of(update)
        self._tier_of[key] = 0

    def forget(self, name: str) -> None:
        """Say nothing more of the member."""
        self._drop((name, ""))
        for key in self._suspicions.pop(name, ()):
            self._drop(key)

    def take(self, room: int, most_sent: int) -> list[Update]:
        """Updates for one datagram with so many bytes left, each counted as sent once more."""
        taken: list[tuple[Key, Update, int]] = []
        misfits = 0
        for tier in self._tiers:
            for key, (update, size) in tier.items():
                if size <= room:
                    room -= size
                    taken.append((key, update, size))
                elif (misfits := misfits + 1) == MISFITS:
                    break
            if misfits == MISFITS:
                break
        for key, update, size in taken:
            self._raise(key, update, size, most_sent)
        return [update for _, update, _ in taken]

    def _raise(self, key: Key, update: Update, size: int, most_sent: int) -> None:
        tier = self._tier_of.pop(key)
        del self._tiers[tier][key]
        if tier + 1 < most_sent:
            if tier + 1 == len(self._tiers):
                self._tiers.append({})
            self._tiers[tier + 1][key] = update, size
            self._tier_of[key] = tier + 1
        elif key[1]:
            self._forget_suspicion(key)

    def _drop(self, key: Key) -> None:
        tier = self._tier_of.pop(key, None)
        if tier is not None:
            del self._tiers[tier][key]

    def _forget_suspicion(self, key: Key) -> None:
        if keys := self._suspicions.get(key[0]):
            keys.discard(key)
            if not keys:
                del self._suspicions[key[0]]
