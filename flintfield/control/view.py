"""The newest committed configuration that this process knows.

The register's value reaches every process by the coordination layer; this view decodes each value once and
never goes back to an older version within one life. A value that this release cannot read leaves the former
one in place; its age then grows, so that nobody answers by it for long.
"""

from __future__ import annotations

import logging
import typing
from collections.abc import Callable

from flintfield.control.configuration import Configuration
from flintfield.control.stored import decode_configuration

_log = logging.getLogger(__name__)

MAX_LISTENERS = 64  # parts of one process; more is a leak


class RegisterNode(typing.Protocol):
    """What the view needs of the coordination layer's node."""

    def known(self) -> tuple[bytes | None, int] | None:
        """The newest committed value known here, and the steady ms as of which it is surely the newest."""

    async def read(self) -> bytes | None:
        """The newest value; raises where no quorum answers."""

    def on_change(self, callback: Callable[[bytes], None]) -> None:
        """Call back with each newer committed value, be it confirmed to be the newest or not."""


class UnreadableConfiguration(ValueError):
    """The newest configuration can't be read by this release."""


class ConfigurationView:
    """Follows the register; `current` and `confirmed_ms_ago` are cheap enough for every request."""

    def __init__(self, node: RegisterNode, steady_ms: Callable[[], int]) -> None:
        self._node = node
        self._steady_ms = steady_ms
        self._value: bytes | None = None  # the newest value that was looked at
        self._current: Configuration | None = None
        self._readable = True  # False while the newest value has a form of a later release
        self._listeners: list[Callable[[Configuration], None]] = []
        node.on_change(self._take)

    @property
    def current(self) -> Configuration | None:
        """The newest configuration known here; None before the first one."""
        self._refresh()
        return self._current

    def confirmed_ms_ago(self) -> int | None:
        """For how long `current` may have been overtaken (ms); None where nothing is known."""
        self._refresh()
        known = self._node.known()
        if known is None or not self._readable:
            return None
        return max(0, self._steady_ms() - known[1])

    async def read(self) -> Configuration | None:
        """The configuration that a majority confirms to be the newest after this call; None before the first.

        Raises `UnreadableConfiguration` where it has a form of a later release, and what the node raises.
        """
        await self._node.read()
        self._refresh()
        if not self._readable:
            raise UnreadableConfiguration("a later release wrote the configuration")
        return self._current

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call back with each newer configuration; raises `RuntimeError` above `MAX_LISTENERS`."""
        if len(self._listeners) >= MAX_LISTENERS:
            raise RuntimeError("too many listeners to the configuration")
        self._listeners.append(callback)

    def _refresh(self) -> None:
        known = self._node.known()
        if known is not None and known[0] is not None:
            self._take(known[0])

    def _take(self, value: bytes) -> None:
        """Decode a value unless it was the last one."""
        if value is self._value:
            return
        unchanged = value == self._value
        self._value = value
        if not unchanged:
            self._decode(value)

    def _decode(self, value: bytes) -> None:
        try:
            configuration = decode_configuration(value)
        except Exception as error:  # whatever it is, the version before must not pass for confirmed
            self._readable = False
            _log.error("configuration_unreadable", extra={"error": str(error)})
            return
        self._readable = True
        if self._current is not None and configuration.version <= self._current.version:
            return
        self._current = configuration
        _log.info("configuration_taken_up", extra={"version": configuration.version})
        for listener in self._listeners:
            listener(configuration)
