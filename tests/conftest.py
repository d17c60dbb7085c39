"""Fixtures and settings shared by the tests. Property tests try the same examples in every run."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import HealthCheck, settings

from peers import Directory, Hop, Scheduler, Start

pytest_plugins = ["support.known_red"]

# No deadline: the duration of an example depends on the load of the machine and is not a fault.
settings.register_profile("same", derandomize=True, deadline=None, max_examples=60,
                          suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("same")


@pytest.fixture
def begin(tmp_path: Path) -> Iterator[Start]:
    """Start schedulers that are killed at the end of the test."""
    started: list[Scheduler] = []

    def make(*hops: Hop, sockets: int = 1024, descriptors: int = 0, ini: str = "",
             listen: str = "127.0.0.1:0", prepare: Callable[[Directory], None] | None = None,
             **settings: Any) -> Scheduler:
        started.append(Scheduler(tmp_path, list(hops), settings, sockets, descriptors, ini, listen,
                                 prepare=prepare))
        return started[-1]

    yield make
    for scheduler in started:
        scheduler.process.kill()
        scheduler.process.communicate()
        for server in (scheduler.directory.server, *(h.server for h in scheduler.hops)):
            server.stop()
