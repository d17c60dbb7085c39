"""The second address as a unit: orders go to the reducer, are kept in a file, and are answered then.

The file lies in `$TMPDIR`, so that a process that takes over there finds what was ordered; without `$TMPDIR`
orders end with the process. It is written by a thread, in order, under another name and then renamed: it is
whole or not there. That outlasts a process that is killed; `$TMPDIR` itself does not outlast the machine.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any
from urllib.parse import quote

import anyio

from flintfield.base.background import Background
from flintfield.base.settings import ConfigError
from flintfield.memory.figures import write_figures
from flintfield.memory.messages import Message
from flintfield.memory.orders import (
    MOST, Book, OrderAsked, OrderRefused, Orders, OrdersChanged, OrdersHeard, OrderTaken, Word, read_book,
    write_book,
)
from flintfield.memory.state import Handler
from flintfield.units.interface import Feature, Given, Host, Unit
from flintfield.wire.admin.front import Front
from flintfield.wire.http1.poller import Poller

KEEP_S = 0.7  # for an order to be in the file: its caller waits 1 s
MOST_WAITING = 8  # writes that wait for a disk; each holds a whole book
MOST_BYTES = MOST * 1024  # of a file that is read


def orders_file(environ: Mapping[str, str], name: str) -> Path | None:
    """Where the orders of that scheduler are kept; None if there is no place for them."""
    folder = environ.get("TMPDIR", "")
    return Path(folder) / f"flintfield-{quote(name, safe='')}.orders" if folder else None


def write_whole(path: Path, text: bytes) -> None:
    """Write a file, whole or not at all."""
    new = path.with_name(f"{path.name}.{os.getpid()}")
    new.write_bytes(text)
    new.replace(path)


class Keeper:
    """The file of orders; `book` gives what is to stand in it."""

    def __init__(self, path: Path | None, book: Callable[[], Book]) -> None:
        self._path, self._book = path, book
        self._version = self._kept = 0
        self._changed = anyio.Event()
        self._error: OSError | None = None
        self._background: Background[tuple[int, bytes]] = Background("orders", self._write)
        self._on_loop: Callable[..., object] = lambda *_: None

    def read(self) -> Book:
        """What the file says, nothing if there is none; a ValueError or OSError if it can not be used."""
        if self._path is None:
            return {}
        try:
            with self._path.open("rb") as file:
                text = file.read(MOST_BYTES + 1)
        except FileNotFoundError:
            return {}
        if len(text) > MOST_BYTES:
            raise ValueError(f"longer than {MOST_BYTES} bytes")
        return read_book(text)

    def start(self, on_loop: Callable[..., object]) -> None:
        """From now on on the event loop, which `on_loop` calls something on from a thread."""
        self._on_loop = on_loop

    def changed(self) -> None:
        """The book is another one: have it written."""
        self._version += 1
        self._put()

    def _put(self) -> None:
        if self._path and self._background.held < MOST_WAITING:
            self._background.put((self._version, write_book(self._book())))

    def _write(self, work: tuple[int, bytes]) -> None:
        """On the thread: guards requests against a disk that stalls."""
        version, text = work
        error: OSError | None = None
        try:
            assert self._path
            write_whole(self._path, text)
        except OSError as caught:
            error = caught
        with contextlib.suppress(RuntimeError):  # the program has ended meanwhile
            self._on_loop(self._written, version, error)

    def _written(self, version: int, error: OSError | None) -> None:
        self._kept, self._error = version if error is None else self._kept, error
        if error is None and version < self._version and not self._background.held:
            self._put()  # guards against the last change being left out, where too many writes waited
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self) -> str:
        """Wait until the book as it is now is kept: empty then, else what is wrong."""
        wanted = self._version
        if self._path is None or self._kept >= wanted:
            return ""
        if self._error:
            self._put()  # it may go now
        with anyio.move_on_after(KEEP_S):
            while self._kept < wanted:
                await self._changed.wait()
                if self._error and self._kept < wanted:
                    return str(self._error)
            return ""
        return "the disk does not answer"


class OperationsUnit(Unit):
    """Takes calls at the second address."""

    def __init__(self, host: Host, _: Given) -> None:
        self._host, self._serving = host, False
        self.orders = Orders()
        self._keeper = Keeper(orders_file(os.environ, host.config.name), lambda: self.orders.book)
        self._told: list[Callable[[Mapping[str, Word]], None]] = []
        host.lent["operations"] = self
        self._front: Front | None = None

    def handlers(self) -> Mapping[type, Handler]:
        """Orders."""
        return {OrderAsked: self.orders.asked, OrdersHeard: self.orders.heard}

    def effects(self) -> Mapping[type, Callable[[Any], None]]:
        """Answers to orders, and the file."""
        return {OrderTaken: self._taken, OrderRefused: self._refused, OrdersChanged: self._changed}

    def on_change(self, tell: Callable[[Mapping[str, Word]], None]) -> None:
        """Have somebody told of each change of the orders, before it is kept."""
        self._told.append(tell)

    def _changed(self, effect: OrdersChanged) -> None:
        for tell in self._told:
            tell(effect.words)
        self._keeper.changed()

    def listen(self) -> Mapping[str, int]:
        """Take the second address; who calls before `run` waits."""
        if (address := self._host.config.admin) is None:
            return {}  # it is on for upgrades, which need the orders
        self._front = Front(Poller(), lambda: self._serving and not self._host.state.stopping, self._figures,
                            lambda *order: self._host.tell(OrderAsked(*order)), self._host.make_room,
                            self._host.count, self._maintain if "maintenance" in self._host.lent else None)
        try:
            return {"admin_port": self._front.listen(address)}
        except OSError as error:
            raise ConfigError("admin: found {}:{}, expected an address that can be taken: {}".format(
                *address, error)) from error

    def _maintain(self, ticket: int, word: str, subject: str) -> None:
        """An order on maintenance, for the unit that has it."""
        front = self._front
        assert front
        self._host.lent["maintenance"].order(word, subject, lambda *told: front.answer(ticket, *told))

    def first(self) -> Sequence[Message]:
        """The orders that a process before this one has kept."""
        try:
            found = self._keeper.read()
        except (ValueError, OSError) as error:  # guards the start: what is damaged stops nothing
            self._host.count("orders.unread")
            self._host.errors.line("orders not read", error=str(error))
            return ()
        return [OrdersHeard(found)] if found else ()

    async def prepare(self) -> None:
        """Take calls from now on: what takes over from another process may take a while."""
        self._keeper.start(self._host.loop.call_soon_threadsafe)
        if self._front:
            self._front.start()

    async def run(self) -> None:
        """This process serves."""
        self._serving = True

    def _figures(self) -> bytes:
        return write_figures(self._host.state, self._host.config.class_names)

    def _refused(self, effect: OrderRefused) -> None:
        assert self._front
        self._front.answer(effect.ticket, effect.status, effect.why)

    def _taken(self, effect: OrderTaken) -> None:
        self._host.start(lambda: self._answer(effect))

    async def _answer(self, effect: OrderTaken) -> None:
        """Say yes once the order is kept; it is in force already."""
        assert self._front
        if wrong := await self._keeper.wait():
            self._host.count("orders.unkept")
            self._front.answer(effect.ticket, 500, f"in force here, but not kept for an upgrade: {wrong}")
        else:
            self._front.answer(effect.ticket, 200, "in force" if effect.changed else "in force already")

    async def close(self) -> None:
        """Take no more calls."""
        if self._front:
            self._front.stop()


FEATURE = Feature((), OperationsUnit)
