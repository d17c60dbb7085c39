"""Reads the configuration at the beginning of a term, until a majority has confirmed it.

A process may be elected before its first poll tells it the configuration, or while it knows an older one than
its predecessor acted on. So each term begins with a linearizable read. It is repeated for as long as no
majority answers; `flintfield.jobs.state` says what the dispatcher does meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from flintfield.dispatch.interface import ReadConfiguration
from flintfield.jobs.events import ConfigurationConfirmed
from flintfield.runtime import logs

READ_PAUSE_S = 0.1  # after a read that failed, with jitter of half of it

logger = logging.getLogger(__name__)


async def read_until_confirmed(
    read: ReadConfiguration, steady_ms: Callable[[], int], rng: random.Random
) -> ConfigurationConfirmed:
    """The configuration as confirmed after this call; tries until that succeeds or the task is cancelled."""
    began_ms, failures = steady_ms(), 0
    while True:
        try:
            configuration = await read()
        except Exception as error:  # whatever failed, the next read may succeed
            failures += 1
            if failures == 1:
                logs.event(logger, "configuration_unconfirmed", level=logging.WARNING, error=str(error))
            await asyncio.sleep(READ_PAUSE_S * rng.uniform(0.5, 1.5))
            continue
        version = configuration.version if configuration is not None else 0
        took_ms = steady_ms() - began_ms
        logs.event(logger, "configuration_confirmed", version=version, took_ms=took_ms, failures=failures)
        return ConfigurationConfirmed(configuration)
