"""What a scheduler process tells about itself; `status` builds the answer when somebody asks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from flintfield.coordination.model import CoreSet, LeaderView
from flintfield.coordination.storage.interface import KeyedStore

if TYPE_CHECKING:
    from flintfield.control.configuration import Configuration

UNKNOWN = -1
MOST_PARTS = 32  # that may be watched


class Core(Protocol):
    """What is used of the coordination library."""

    @property
    def leader(self) -> LeaderView | None: ...
    @property
    def core(self) -> CoreSet | None: ...


class View(Protocol):
    """What is used of the view of the configuration."""

    @property
    def current(self) -> Configuration | None: ...
    def confirmed_ms_ago(self) -> int | None: ...
    def on_change(self, callback: Callable[[Configuration], None]) -> None: ...


@dataclass(frozen=True, slots=True)
class Identity:
    """What a process is called."""

    name: str
    role: str
    zone: str
    address: str


class ProcessObserver:
    """Where the status is gathered from; costs nothing while nobody asks."""

    def __init__(
        self,
        identity: Identity,
        core: Core,
        view: View,
        store: KeyedStore | None,
        store_limit_bytes: int,
        steady_ms: Callable[[], int],
        wall_ms: Callable[[], int],
    ) -> None:
        self.identity = identity
        self.core = core
        self.view = view
        self.store = store
        self.store_limit_bytes = store_limit_bytes
        self.steady_ms = steady_ms
        self.started_ms = steady_ms()
        self.taken_up_wall_ms = UNKNOWN  # the newest configuration
        self.parts: dict[str, Callable[[], Any]] = {}
        self.ready: Callable[[], bool] = lambda: False
        self.leads: Callable[[], bool] = lambda: False
        self._wall_ms = wall_ms
        view.on_change(self._note_configuration)

    def watch(self, part: str, counters: Callable[[], Any]) -> None:
        """Tell this part's counters too: `counters` gives a dataclass of whole numbers, or None.

        Raises `RuntimeError` above `MOST_PARTS`.
        """
        if len(self.parts) >= MOST_PARTS:
            raise RuntimeError("too many parts are watched")
        self.parts[part] = counters

    def _note_configuration(self, _configuration: Configuration) -> None:
        self.taken_up_wall_ms = self._wall_ms()
