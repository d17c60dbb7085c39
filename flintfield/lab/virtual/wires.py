"""What carries words: connections between schedulers and worker nodes, and the network under them.

A word is a call set for when it arrives. Words on one connection do not overtake each other. What is sent
over a cut waits, as TCP would send it again, until the cut is mended.
"""

from __future__ import annotations

from flintfield.lab.scenario import Fleet
from flintfield.lab.virtual.connections import NOWHERE, Attempt, Do, Link
from flintfield.lab.virtual.loop import Loop
from flintfield.lab.world import Draws, Network

AGAIN_MS = 500.0  # at the most, from a cut's mending until TCP sends what waited


class Wires:
    """Carries words, makes connections, and draws which of them are reset."""

    def __init__(self, loop: Loop, network: Network, fleet: Fleet, draws: Draws) -> None:
        self._loop, self._network, self._fleet, self._draws = loop, network, fleet, draws
        self._held: list[tuple[str, str, Do]] = []  # words that wait for a cut to be mended
        self.resets = 0.0  # the share of attempts' connections that are reset

    def carry(self, sender: str, receiver: str, do: Do) -> None:
        """Set what a word from zone to zone does for when it arrives."""
        if self._network.passes(sender, receiver):
            self._loop.at(self._loop.now + self._network.one_way(sender, receiver), do)
        else:
            self._held.append((sender, receiver, do))

    def to_node(self, link: Link, do: Do) -> None:
        """Carry a word on a connection to its node."""
        sender, receiver = link.home, link.site.zone
        if self._network.passes(sender, receiver):
            link.there_at = max(link.there_at, self._loop.now + self._network.one_way(sender, receiver))
            self._loop.at(link.there_at, do)
        else:
            self._held.append((sender, receiver, do))

    def to_scheduler(self, link: Link, do: Do) -> None:
        """Carry a word on a connection to its scheduler; a silent machine sends none."""
        sender, receiver = link.site.zone, link.home
        if link.site.silent:
            return
        if self._network.passes(sender, receiver):
            link.here_at = max(link.here_at, self._loop.now + self._network.one_way(sender, receiver))
            self._loop.at(link.here_at, do)
        else:
            self._held.append((sender, receiver, do))

    def mended(self) -> None:
        """Send again what waited for a cut to end."""
        held, self._held = self._held, []
        again = self._loop.now + self._draws.uniform(0, AGAIN_MS)
        for sender, receiver, do in held:
            if self._network.passes(sender, receiver):
                self._loop.at(again, do)
            else:
                self._held.append((sender, receiver, do))

    def draw_reset(self) -> int:
        """Where a connection just written to is to be reset: nowhere, on the way there, or at which word
        back."""
        if not self._draws.chance(self.resets):
            return NOWHERE
        return int(self._draws.uniform() * 4) % 3

    def both_ways(self, one: str, other: str) -> bool:
        """Whether words pass between two zones in both directions."""
        return self._network.passes(one, other) and self._network.passes(other, one)

    # ----------------------------------------------------------------- connections

    def dial(self, link: Link, up: Do, failed: Do) -> None:
        """Get a connection to a node's process, then call `up`, else `failed`."""
        began, there = self._loop.now, link.site.zone
        if self.both_ways(link.home, there):
            self._loop.at(began + self._network.one_way(link.home, there), self._knock, link, up, failed,
                          began)
        else:
            self._loop.at(began + self._fleet.dial_timeout_ms, failed)

    def _knock(self, link: Link, up: Do, failed: Do, began: float) -> None:
        now, site = self._loop.now, link.site
        back = self._network.one_way(site.zone, link.home)
        if site.silent:
            self._loop.at(began + self._fleet.dial_timeout_ms, failed)
        elif not site.take(link):
            self._loop.at(now + back, failed)
        else:
            round_trips = self._fleet.handshake_rtts * self._network.usual_round_trip(link.home, site.zone)
            self._loop.at(max(began + round_trips, now + back), up)

    def hang_up(self, link: Link, attempt: Attempt | None = None) -> None:
        """Close a connection, and with it the attempt that is out on it."""
        if link.open:
            link.open = False
            self.to_node(link, lambda: link.site.closed(link, attempt))
