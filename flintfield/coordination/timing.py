"""The times of the coordination protocols, in milliseconds, and why they are what they are.

Safety needs two inequalities between clocks of steady rate: a replica refuses promises for longer after it
heard the leader (`PROMISE_GUARD_MS`) than the leader counts its lease from the sending (`LEASE_MS`); the 100
ms between them bear a drift of clocks of 11 %. Everything else is liveness.
"""

from __future__ import annotations

HEARTBEAT_MS = 200  # four lost in a row cost the lease
LEASE_MS = 800  # counted from the sending of what a majority acknowledged
PROMISE_GUARD_MS = 900  # above the lease
ELECTION_TIMEOUT_MS = 1_000  # above the guard, so that a campaign is not refused for it
ELECTION_PLACE_MS = 300  # for each place in the agreed order: the first live one is through before the next
ELECTION_JITTER_MS = 100
CAMPAIGN_RETRY_MS = 60  # after a failed campaign, times 1 to 3
RESIGNED_PLACE_MS = 40  # the same order after a resignation
LEADER_GIVES_UP_MS = 700  # without its lease: a short trouble does not cost a takeover

CALL_TIMEOUT_MS = 500  # a request to a replica: a sync of a busy disk and a round trip fit
APPEND_TIMEOUT_MS = 700  # an append, which may wait for a slow disk's sync
CHUNK_TIMEOUT_MS = 1_500  # a part of a whole state
VALUE_TIMEOUT_MS = 4_000  # a whole value over a link as slow as 2 Mbit/s that others use too
VALUE_HEDGE_MS = 1_000  # then another replica is asked too; sooner, slow links would carry large values twice
READ_BUDGET_MS = 1_500  # one linearizable read, retries counted
CHANGE_BUDGET_MS = 3_000  # one change of the register, retries counted; below the operator's patience
CONTENTION_MS = 15  # base of the random pause after a lost ballot; doubles up to 8 times
HEDGE_MS = 120  # a poll that has no answer by then asks the other replicas too

POLL_HOLD_MS = 320  # for how long a replica holds a poll without news
POLL_JITTER_MS = 60
UNSETTLED_MS = 150  # a poll that saw no agreed value looks again after this, and settles it by a full round
REPLICA_SETTLES_AFTER = 2  # rounds without an agreed value
OTHERS_SETTLE_AFTER = 3  # replicas come first: the fewer proposers, the less they pass each other's ballots

ANNOUNCE_MS = 150  # between two announcements of a candidate
UNREACHABLE_MS = 1_500  # a member that is silent for longer gives its place to a waiting candidate
RECONFIGURE_MS = 100  # between two looks at the core set
SEALED_PLACE_MS = 150  # a sealed replica pushes the change on after this, for each place in the order
TRANSFER_RETRY_MS = 100
INACTIVE_RETRY_MS = 25  # after a follower's first refusal for not being active yet; doubles
INACTIVE_LONGEST_MS = 200
STAGED_TRANSFER_MS = 5_000  # a snapshot that is not fetched on for so long is dropped

FOUNDATION_STABLE_MS = 1_000  # nobody new: all machines start within 0.3 s of one another
FOUNDATION_PATIENCE_MS = 4_000  # then fewer than are needed for the promised losses have to do
SECOND_FOUNDER_MS = 8_000  # the second seed steps in where nobody has ever reached the first
FORGETFUL_FOUNDER_MS = 4_000  # a seed without memory: whoever knows the core would have told it by then

CHUNK_BYTES = 1024 * 1024  # of a whole state, in one message
SCHEDULERS_KEPT = 64  # other schedulers that a node remembers
SCHEDULER_FORGOTTEN_MS = 15_000
