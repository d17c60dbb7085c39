"""The figures of the protocol: each with its unit, its formula and where it comes from.

Sources. [SWIM] Das, Gupta, Motivala: SWIM, DSN 2002. [LG] Dadgar, Phillips, Currey: Lifeguard, DSN-W 2018.
[ML] memberlist's documented defaults for a local network (`DefaultLANConfig`). Times are milliseconds; `n`
is the number of members believed to be there, oneself included.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

MOST_NAME = 64  # characters of a member's name, printable ASCII without spaces
MOST_META = 512  # bytes of a member's metadata
MOST_HOST = 45  # bytes of an address as text: the longest form of IPv6
MOST_KEYS = 4  # keys that a member may hold at a time
MOST_BODY = 1_024  # bytes of a question to a member's program, or of its answer
MOST_MEMBERS = 4_096  # entries of the table, the gone ones included: some 1 KiB each at the most
MOST_RELAYS = 1_024  # probes made for others that are open at a time
MOST_AGE_MS = 30_000.0  # datagrams that were longer on their way than others are dropped by the wire
FORMER_MS = 60_000.0  # how long a session that was given up is still answered to
MOST_DATAGRAM = 1_400  # bytes of UDP payload: within an Ethernet frame also in a tunnel [ML: UDPBufferSize]
SEALING = 64  # bytes of a datagram that the encryption and the packet's own frame take at the most


@dataclass(frozen=True, slots=True)
class Rules:
    """How the protocol is played; all members of a group should have the same."""

    # [SWIM 3.1] The protocol period T'. First detection takes about e/(e-1) of it and the suspicion's time.
    probe_ms: float = 1_000.0
    # How long a direct probe is waited for; above the 99th percentile of a round trip [ML: ProbeTimeout].
    timeout_ms: float = 500.0
    # [SWIM 3.1] k, the members asked to probe in our place. A live target is missed with the chance
    # (1 - (1-p)^2) (1 - (1-p)^4)^k at loss p: 0.0005 at 5%, 0.07 at 20%.
    helpers: int = 3
    # [LG IV-A] A helper that has no answer by this share of the time-out says so: silence then means that the
    # way to the helper, or we ourselves, are at fault.
    nack_share: float = 0.8
    # [LG IV-A] S, the worst health: probes take up to S+1 times as long.
    worst_health: int = 8
    # [LG V; ML: SuspicionMult] alpha: the least suspicion is alpha log10(n) periods, several times what
    # suspicion and objection need to get round by gossip. The paper has 5, memberlist 4.
    suspicion_mult: float = 4.0
    # [LG V] beta: a suspicion that nobody shares lasts so many times longer.
    suspicion_max_mult: float = 6.0
    # [LG IV-B] K: so many others that say the same bring the suspicion down to its least time.
    confirmations: int = 3
    # [SWIM 4.1] lambda: an update is sent on lambda ceil(log10(n+1)) times by each member [ML:
    # RetransmitMult].
    retransmit_mult: int = 4
    # Gossip of its own, while there is something to tell, beside what rides on probes [ML: GossipInterval,
    # GossipNodes]. SWIM has only the latter; alone it takes some 5 times as long.
    gossip_ms: float = 200.0
    gossip_fanout: int = 3
    # Members that died are gossiped to for so long: one that lives hears of it and objects
    # [ML: GossipToTheDeadTime].
    gossip_to_dead_ms: float = 30_000.0
    # Exchange of whole tables, against what gossip has missed; rarer in large groups [ML: PushPullInterval,
    # pushPullScale].
    exchange_ms: float = 30_000.0
    exchange_scale_from: int = 32
    # Looks for members that are gone and for seeds that are not in the table, against lasting splits. Each is
    # tried about twice in this time by all members together.
    reconnect_ms: float = 10_000.0
    # Tries to join go from here, doubling, up to there, each shortened or drawn out by up to a half.
    join_ms: float = 1_000.0
    join_most_ms: float = 60_000.0
    join_at_once: int = 3  # seeds asked in one try
    # The least time for which a gone member is remembered, so that old word does not bring it back.
    tombstone_ms: float = 600_000.0
    # Our own metadata is told at most this often, and in large groups more rarely: news of all members
    # together then stay near 20 a second.
    meta_ms: float = 1_000.0
    meta_ms_a_member: float = 50.0
    # A timer that comes so late proves that we were stopped, not that the others were silent (see core).
    stall_ms: float = 250.0
    # What a leaving member waits for, so that its word is out: gossip ticks.
    leave_ticks: int = 3
    # Switches, so that the parts can be measured one by one. All off is plain SWIM with suspicion.
    health: bool = True  # [LG IV-A] local health and nacks
    dogpile: bool = True  # [LG IV-B] suspicion shortened by confirmations
    buddy: bool = True  # [LG IV-C] a suspect hears of it first, in the probe itself
    own_clock: bool = True  # time in which we were stopped does not count
    # Rounds of helpers within a period; in each the target is pinged once more too. A target that answers
    # half of all helpers is missed by three in a row with 1/8, by twelve with 1/4096.
    rounds: int = 4
    # The least time-out that is learned, as a share of `timeout_ms`: a doubt that is wrong costs words alone.
    learned_share: float = 0.1
    # A gone member is asked whether it is gone after so many periods, doubled each time: one wrong view does
    # not last.
    recheck_periods: float = 2.0
    witness: bool = True  # no suspicion without proof that others heard us ask, and by learned time-outs

    def suspicion_least_ms(self, n: int) -> float:
        """alpha log10(n) T', for ten members and fewer alpha T' [LG V; ML: suspicionTimeout]."""
        return self.suspicion_mult * max(1.0, math.log10(max(1, n))) * self.probe_ms

    def suspicion_most_ms(self, n: int) -> float:
        """beta times the least time; without the dogpile rule the least time itself."""
        return self.suspicion_least_ms(n) * (self.suspicion_max_mult if self.dogpile else 1.0)

    def confirmations_wanted(self, n: int) -> int:
        """K, or as many as there can be: all but ourselves and the suspect.

        [ML] wants none at all where there can not be K, and small groups then have plain SWIM's time; here
        three members still wait for the one other's word.
        """
        return max(0, min(self.confirmations, n - 2)) if self.dogpile else 0

    def suspicion_ms(self, n: int, confirmed: int) -> float:
        """max(least, most - (most - least) log(C+1) / log(K+1)) [LG IV-B]."""
        least, most = self.suspicion_least_ms(n), self.suspicion_most_ms(n)
        wanted = self.confirmations_wanted(n)
        if wanted == 0:
            return least
        return max(least, most - (most - least) * math.log(confirmed + 1) / math.log(wanted + 1))

    def transmits(self, n: int) -> int:
        """How often an update is sent on: lambda ceil(log10(n+1)) [SWIM 4.1; ML: retransmitLimit]."""
        return self.retransmit_mult * math.ceil(math.log10(n + 1))

    def exchange_every_ms(self, n: int) -> float:
        """The interval, times ceil(log2(n/32)) + 1 above 32 members [ML: pushPullScale]."""
        if n <= self.exchange_scale_from:
            return self.exchange_ms
        return self.exchange_ms * (math.ceil(math.log2(n / self.exchange_scale_from)) + 1)

    def meta_every_ms(self, n: int) -> float:
        """How often own metadata is told at the most."""
        return max(self.meta_ms, self.meta_ms_a_member * n)

    def tombstone_keep_ms(self, n: int) -> float:
        """Longer than any member, however cut off, can go on believing in one that is gone.

        A member that hears of nothing finds out by its own probes: in 2n-1 periods at the most [SWIM 4.3],
        each S+1 times as long in the worst health, and the longest suspicion. What it said before that may
        be on its way for `MOST_AGE_MS` more.
        """
        by_own_probes = (2 * n - 1) * self.probe_ms * (self.worst_health + 1)
        return max(self.tombstone_ms, by_own_probes + self.suspicion_most_ms(n) + MOST_AGE_MS)


def plain_swim(rules: Rules | None = None) -> Rules:
    """The yardstick: SWIM with suspicion, without any of Lifeguard's rules or our own clock."""
    return replace(rules or Rules(), health=False, dogpile=False, buddy=False, own_clock=False, rounds=1,
                   witness=False)


def lifeguard_alone(rules: Rules | None = None) -> Rules:
    """Lifeguard as published, without our own clock."""
    return replace(rules or Rules(), own_clock=False, rounds=1, witness=False)
