"""Upgrades as a unit: a listening socket that is shared, and the link between the processes that share it."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any
from urllib.parse import quote

import anyio

from flintfield.handover.core import (
    AskState, Core, Drop, Effect, Message, OpenElsewhere, Own, Say, Standing, StateIs, Take, Words,
)
from flintfield.memory.messages import JobClosed, JobOpened
from flintfield.memory.orders import OrdersHeard, Word, plain_words, read_words
from flintfield.memory.state import Handler
from flintfield.memory.handover_messages import (
    RemoteJobIds, Inherited, Nothing, LinkStatus, Succession, figures_of,
)
from flintfield.units.interface import Feature, Given, Host, Unit
from flintfield.units.operations import OperationsUnit
from flintfield.wire.handover.link import Links
from flintfield.wire.http1.poller import Poller

HANDOVER_S = 1.0  # a start waits no longer for the process before it


def link_file(environ: Mapping[str, str], name: str) -> Path | None:
    """The socket file of that scheduler; None if there is no place for it."""
    folder = environ.get("TMPDIR", "")
    return Path(folder) / f"flintfield-{quote(name, safe='')}.link" if folder else None


class UpgradeUnit(Unit):
    """Takes over from the process before, and hands over to the next."""

    def __init__(self, host: Host, _: Given) -> None:
        self._host, self._core = host, Core()
        operations = host.lent["operations"]
        assert isinstance(operations, OperationsUnit)
        self._orders = operations.orders
        self._succession = Succession(self._orders.stand)
        self._path = link_file(os.environ, host.config.name)
        self._links: Links | None = None
        self._over = anyio.Event()  # the wait for the process before us
        self._serving = False
        operations.on_change(lambda words: self._step(Own({"say": "orders", "words": plain_words(words)})))

    def handlers(self) -> Mapping[type, Handler]:
        """What other processes tell."""
        return {Inherited: self._succession.inherited, RemoteJobIds: self._succession.elsewhere,
                LinkStatus: self._succession.stands}

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        """What others are told of jobs."""
        return {
            JobOpened: lambda e: self._step(Own({"say": "opened", "id": e.name})),
            JobClosed: lambda e: self._step(Own({"say": "closed", "id": e.name})),
            Nothing: lambda e: self._host.errors.line("nothing inherited", error=e.why),
        }

    async def prepare(self) -> None:
        """Take over from the process before us, if there is one that answers in time."""
        if self._path is None:
            return
        links = self._links = Links(Poller(), self._path, self._step, self._dropped)
        if links.reach():
            with anyio.move_on_after(HANDOVER_S) as wait:
                await self._over.wait()
            if wait.cancelled_caught:
                self._dropped("no state in time")
                links.close()
        self._publish()
        self._serving = True
        self._step(Own({"say": "ready", "yes": True}))

    def _publish(self) -> None:
        assert self._links
        try:
            self._links.publish()
        except OSError as error:  # guards the start: the next process finds the file of orders
            self._dropped(f"not to be linked to: {error}")

    async def end(self) -> None:
        """All is settled: let go of the others."""
        if self._links:
            self._links.close()

    # ------------------------------------------------------------------ the core

    def _step(self, message: Message) -> None:
        for effect in self._core.step(message):
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        host, links = self._host, self._links
        assert links
        match effect:
            case Say(link, line):
                links.say(link, line)
            case AskState(link):
                self._step(StateIs(link, self._state()))
            case Take(state):
                self._hear(state["orders"])
                host.tell(Inherited(state["figures"]))
                self._over.set()
            case OpenElsewhere(opened, closed, older):
                host.tell(RemoteJobIds(opened, closed, older))
            case Words(words):
                self._hear(words)
            case Standing(count, newer, ready):
                self._stand(count, newer, ready)
            case Drop(link, why):
                links.drop(link, why)

    def _state(self) -> dict[str, Any]:
        state = self._host.state
        return {"orders": plain_words(self._orders.book), "figures": figures_of(state, self._host.clock()),
                "open": list(state.open_job_ids)}

    def _hear(self, raw: Any) -> None:
        words: Mapping[str, Word] = read_words(raw)
        self._host.tell(OrdersHeard(words))

    def _stand(self, count: int, newer: bool, ready: bool) -> None:
        before = self._host.state.newer
        self._host.tell(LinkStatus(count > 0, newer, ready))
        if before and not newer and self._serving and not self._host.state.stopping:
            self._publish()  # it has died: the next one is to find us again
        if not count:
            self._over.set()

    def _dropped(self, why: str) -> None:
        self._host.count("handover.dropped")
        self._host.errors.line("handover", error=why)


FEATURE = Feature((), UpgradeUnit)
