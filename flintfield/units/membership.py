"""Membership as a unit: its settings, its shell, the page of members, and the interface for other units."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from ipaddress import ip_address

import anyio

from flintfield import __version__ as VERSION
from flintfield.base.ini import FILE, OperatorsError, Reader, Section, number, whole
from flintfield.base.config import read_address
from flintfield.base.settings import ConfigError
from flintfield.membership.interface import Load, Meta
from flintfield.membership.messages import Address
from flintfield.membership.rules import MOST_NAME, Rules
from flintfield.units.counters import Prefixed
from flintfield.units.interface import Feature, Given, Host, SidePage, Unit
from flintfield.wire.http1.jobs import JobPages
from flintfield.wire.http1.reply import Reply
from flintfield.wire.membership.group import Group
from flintfield.wire.membership.keys import PUBLIC, Key, KeyFileError, make_key, read_keys
from flintfield.wire.membership.lookup import JobLookup
from flintfield.wire.membership.member import MemberShell, Setup, boot_ms

PREFIX = "membership."
JSON = ((b"Content-Type", b"application/json"),)


def _address(text: str) -> Address:
    host, port = read_address(text)
    return str(ip_address(host)), port


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(_address(part) for part in (p.strip() for p in text.split(",")) if part)


def _role(text: str) -> str:
    if not re.fullmatch("[a-z]{1,16}", text):
        raise ValueError
    return text


ADDRESS = Reader("an address such as 10.0.0.4:7946", _address)
ADDRESSES = Reader("addresses such as 10.0.0.4:7946, separated by commas", _addresses)


@dataclass(frozen=True, slots=True)
class MembershipOn:
    """Where it listens and is reached, whom it asks first, its keys, and how the protocol is played."""

    port: int = 7_946
    advertise: Address | None = None
    seeds: tuple[Address, ...] = ()
    keys: str | None = None
    role: str = "scheduler"
    probe_ms: float = 1_000.0
    timeout_ms: float = 500.0
    suspicion_mult: float = 4.0
    load_every_ms: float = 10_000.0

    def __post_init__(self) -> None:
        """Check what depends on two keys."""
        if self.timeout_ms >= self.probe_ms:
            raise ValueError(f"timeout_ms: found {self.timeout_ms:g}, expected less than probe_ms "
                             f"({self.probe_ms:g})")


SECTION = Section("membership", MembershipOn, {
    "port": whole(0, 65_535), "advertise": ADDRESS, "seeds": ADDRESSES, "keys": FILE,
    "role": Reader("up to 16 small letters", _role),
    "probe_ms": number(50, 60_000), "timeout_ms": number(10, 30_000), "suspicion_mult": number(1, 20),
    "load_every_ms": number(1_000, 3_600_000),
})


class MembershipUnit(Unit):
    """Is a member of the group."""

    def __init__(self, host: Host, given: Given) -> None:
        told = given.one(SECTION) or MembershipOn()  # without one it is on for another feature
        self._host, self._given = host, told
        if not re.fullmatch(f"[!-~]{{1,{MOST_NAME}}}", host.config.name):
            raise ConfigError(f"name: found {host.config.name!r}, expected up to {MOST_NAME} printable "
                              f"characters without spaces, for [membership] is on")
        rules = replace(Rules(), probe_ms=told.probe_ms, timeout_ms=told.timeout_ms,
                        suspicion_mult=told.suspicion_mult)
        zone = dict(enumerate(host.config.zones)).get(host.config.settings.zone, "")
        meta = Meta(role=told.role, zone=zone, release=VERSION)
        setup = Setup(host.config.name, (self._bind_host(), told.port), told.advertise, told.seeds,
                      self._read_keys(), rules, meta.encode())
        shell = MemberShell(setup, lambda e: self._group.notice(e), Prefixed(host, PREFIX))
        self._group = Group(shell, meta, host.errors.line, lambda name: host.count(PREFIX + name), boot_ms)
        self._shell = shell
        host.lent["members"] = self._group.face()

    def _bind_host(self) -> str:
        host = self._host.config.listen[0]
        if self._given.advertise is None and host in ("0.0.0.0", "::"):
            raise OperatorsError(f"[membership] advertise: found nothing, expected an address: the scheduler "
                                 f"listens on all ({host})")
        return host

    def _read_keys(self) -> list[Key]:
        """Guards against members that talk openly over a network: without a key file only loopback."""
        if self._given.keys:
            try:
                return read_keys(self._given.keys)
            except KeyFileError as error:
                raise OperatorsError(f"[membership] keys: {error}") from error
        reached = self._given.advertise[0] if self._given.advertise else self._host.config.listen[0]
        for host in (self._host.config.listen[0], reached):
            if not ip_address(host).is_loopback:
                raise OperatorsError(f"[membership] keys: found nothing, expected a key file, for {host} "
                                     f"is no loopback address")
        return [make_key(PUBLIC)]

    def listen(self) -> Mapping[str, int]:
        """Take the port for datagrams and streams."""
        try:
            return {"membership_port": self._shell.listen()}
        except OSError as error:
            raise OperatorsError(f"[membership] port: found {self._given.port}, "
                                 f"expected a port that can be taken: {error}") from error

    def side_pages(self) -> Mapping[bytes, SidePage]:
        """`/members`."""
        configured = self._host.config.settings.dispatchers
        return {b"/members": lambda: Reply(200, self._group.as_json(configured), JSON, close=True)}

    def reload(self) -> None:
        """Read the key file again."""
        if self._given.keys:
            keys = self._read_keys()
            self._shell.replace_keys(keys)
            self._host.errors.line("membership: keys read", keys=",".join(k.name for k in keys))

    async def run(self) -> None:
        """Be a member, and tell now and then what is in work here."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._shell.run)
            await anyio.sleep(0)
            if isinstance(pages := self._host.lent.get("job pages"), JobPages):
                JobLookup(pages, self._group.face()).begin()
            host, ports = self._host.config.listen[0], self._host.ports()
            self._group.announce({"http": f"{host}:{ports['port']}"} | (
                {"status": f"{host}:{ports['status_port']}"} if "status_port" in ports else {}))
            while True:
                self._group.set_load(self._load())
                await anyio.sleep(self._given.load_every_ms / 1000)

    def _load(self) -> Load:
        state = self._host.state
        open_ones = [t for t in state.transactions.values() if not t.answered]
        waiting = sum(all(b.ended for b in t.branches) for t in open_ones)
        return Load(len(open_ones), waiting, len(state.routes))

    async def end(self) -> None:
        """Take leave."""
        await self._shell.leave()


FEATURE = Feature((SECTION,), MembershipUnit)
