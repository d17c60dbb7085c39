"""The program's counters, under the prefix of one unit, as the cores count on."""

from __future__ import annotations

from flintfield.units.interface import Host


class Prefixed(dict[str, int]):
    """Counts go to the program's counters; nothing is kept here."""

    def __init__(self, host: Host, prefix: str) -> None:
        super().__init__()
        self._all, self._prefix = host.state.counters, prefix

    def __getitem__(self, name: str, /) -> int:
        return self._all[self._prefix + name]

    def __setitem__(self, name: str, count: int, /) -> None:
        self._all[self._prefix + name] = count
