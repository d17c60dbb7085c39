"""The figures of sharing: each with its unit and its reason. Times are milliseconds.

LEASE_MS and DRIFT stand in the law of the bound (`docs/sharing.md`): all instances must have the same.
"""

from __future__ import annotations

# How far a clock may run from true time while a lease lasts: crystals are within 1e-4, virtual machines
# within 1e-2. Two clocks then run unlike by its square at the most.
DRIFT = 1.02
# A lease's life. Shorter: more words, for each is renewed RENEWALS times in it. Longer: the rights of one
# that died or was cut off come back later.
LEASE_MS = 3_000.0
RENEW_MS = 1_000.0  # a lease is asked for anew at this age: two words may be lost before it ends
TICK_MS = 100.0  # between two looks while anything is lent, held or asked for
AGAIN_MS = 300.0  # an ask without an answer is repeated after this: above a round trip between sites
# An owner that lent no more than before is asked for more after this, and each time after twice as long up to
# the most, times a draw from 1 to 1.5.
BACK_MS, BACK_MOST_MS = 300.0, 2_400.0
OFFER_MS = 1_500.0  # so long after its ask one is lent more unasked: half of its lease is left then
# While more is occupied of a lease than is kept of it, the owner is told how much at this pace: it may use
# the rest.
EBB_MS = 100.0
ASKED_PART = 0.4  # of the others are asked in one tick, so that all are within a third of a second
LEAST_ASKED = 3
# What a right is wanted ahead of: demand is met for so long without a word. Above a round trip and a tick.
AHEAD_MS = 500.0
HEADROOM = 1.25  # over measured demand: arrivals are no clockwork
RATE_MS = 150.0  # memory of the measured demand: it must show a change well within a second
PEAK_MS = 1_000.0  # a need is remembered for so long, so that rights don't go to and fro with each gust
# The part of its own rights that an owner never lends: what it may use in the first moments of a split, and
# what a new life may use before its former life's leases are over.
FLOOR = 0.02
MOST_LINES = 8  # of a borrower's life in an owner's book; more are merged to the safe side
SLICES = 256  # a spend's end is known to a 256th of W, to the safe side: bounds what is remembered of spends
MOST_RIGHTS = 10_000_000
MOST_PLACES = 4_096
MOST_LIMITS = 1_024
MOST_WORD_LINES = 24  # of one datagram: within MOST_BODY of membership


def cool_ms(window_ms: float) -> float:
    """How long a spend occupies its right on the spender's clock, so that `window_ms` of true time pass."""
    return window_ms * DRIFT


def hold_ms(valid_ms: float, window_ms: float) -> float:
    """How long after it was given a lease counts on its owner's clock."""
    return (valid_ms + cool_ms(window_ms)) * DRIFT * DRIFT
# Counts: the length of a window of the wall clock, the least time of a round in which all are told, and the
# bytes a second that an instance spends on it at up to 40 instances.
COUNT_MS = 60_000.0
COUNT_LEAST_MS = 1_000.0
COUNT_BYTES_S = 1_200.0
