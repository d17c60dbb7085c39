"""Capture as a unit: the recorder on the reducer's tap, the copy on SIGUSR2, the flush at the end."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping

import anyio.to_thread

from flintfield import __version__ as VERSION
from flintfield.base.ini import FOLDER, Section, whole
from flintfield.capture.recorder import Start
from flintfield.capture.service import Capture, CaptureOn
from flintfield.units.interface import Feature, Given, Host, Unit

SECTION = Section("capture", CaptureOn, {
    "ring_kib": whole(4, 1_048_576), "dir": FOLDER, "files": whole(1, 9_999),
})


class CaptureUnit(Unit):
    """Records from the first message on."""

    def __init__(self, host: Host, given: Given) -> None:
        config = host.config
        told = Start(config.name, VERSION, config.seed, config.raw_settings)
        self._capture = Capture(given.one(SECTION) or CaptureOn(), told, host.state, host.errors, host.count)

    def signals(self) -> Mapping[signal.Signals, Callable[[], None]]:
        """SIGUSR2: a copy of the ring."""
        return {signal.SIGUSR2: self._capture.copy}

    async def end(self) -> None:
        """Wait for the files."""
        await anyio.to_thread.run_sync(self._capture.flush, abandon_on_cancel=True)


FEATURE = Feature((SECTION,), CaptureUnit)
