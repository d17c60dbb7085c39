"""The address lists as a unit: ranges from the operators' file, and the gate behind the main listener."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv6Network, ip_network

from flintfield.base.ini import Reader, Section
from flintfield.units.interface import Feature, Given, Host, Unit
from flintfield.wire.http1.access import Gate, Network

MAPPED = IPv6Network("::ffff:0:0/96")


@dataclass(frozen=True, slots=True)
class Access:
    """Ranges of addresses that may connect, that may not, and whose PROXY headers are believed."""

    allow: tuple[Network, ...] = ()
    deny: tuple[Network, ...] = ()
    proxy_trusted: tuple[Network, ...] = ()


def _networks(text: str) -> tuple[Network, ...]:
    return tuple(_network(part) for part in (p.strip() for p in text.split(",")) if part)


def _network(text: str) -> Network:
    """One range; mapped IPv4 addresses count as IPv4."""
    network = ip_network(text)
    if network.version == 6 and network.prefixlen >= MAPPED.prefixlen and network.subnet_of(MAPPED):
        mapped = network.network_address.ipv4_mapped
        return ip_network(f"{mapped}/{network.prefixlen - MAPPED.prefixlen}")
    return network


RANGES = Reader("ranges such as 10.20.0.0/16 with no bits beyond the prefix, separated by commas", _networks)
SECTION = Section("access", Access, {"allow": RANGES, "deny": RANGES, "proxy_trusted": RANGES})


class AccessUnit(Unit):
    """Has a gate for the main listener."""

    def __init__(self, host: Host, given: Given) -> None:
        told = given.one(SECTION) or Access()
        self._gate = Gate(told.allow, told.deny, told.proxy_trusted, host.errors.line, host.count)

    def gate(self) -> Gate:
        """The lists, applied to each connection."""
        return self._gate


FEATURE = Feature((SECTION,), AccessUnit)
