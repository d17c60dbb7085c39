"""The timeouts and intervals of the coordination protocols, in milliseconds, and the reasons for them.

Safety depends on one relation between clocks of steady rate: after hearing from the leader, a replica refuses
promises for longer (`PROMISE_GUARD_MS`) than the leader's lease lasts from the sending (`LEASE_MS`). The
difference of 100 ms tolerates a clock drift of 11 %. All other times affect only liveness.
"""

from __future__ import annotations

HEARTBEAT_MS = 200  # the lease expires after four consecutive lost heartbeats
LEASE_MS = 800  # counted from the sending of a message that a majority acknowledged
PROMISE_GUARD_MS = 900  # must be longer than the lease
ELECTION_TIMEOUT_MS = 1_000  # longer than the promise guard, so that it does not refuse a campaign
ELECTION_PLACE_MS = 300  # per place in the canonical order: the first live one wins before the next starts
ELECTION_JITTER_MS = 100
CAMPAIGN_RETRY_MS = 60  # pause after a failed campaign, multiplied by 1 to 3
RESIGNED_PLACE_MS = 40  # per place in the canonical order after a resignation
LEADER_GIVES_UP_MS = 700  # time without a lease; a short disturbance does not cause a takeover

CALL_TIMEOUT_MS = 500  # a request to a replica; covers a sync of a busy disk and a round trip
APPEND_TIMEOUT_MS = 700  # an append, which may wait for the sync of a slow disk
CHUNK_TIMEOUT_MS = 1_500  # a part of a whole state
VALUE_TIMEOUT_MS = 4_000  # a whole value over a shared link as slow as 2 Mbit/s
VALUE_HEDGE_MS = 1_000  # then another replica is asked too; sooner, slow links would carry large values twice
READ_BUDGET_MS = 1_500  # one linearizable read, including retries
CHANGE_BUDGET_MS = 3_000  # one change of the register, including retries; shorter than an operator waits
CONTENTION_MS = 15  # base of the random backoff after a lost ballot; doubles up to 8 times
HEDGE_MS = 120  # a poll without an answer by then asks the other replicas too

POLL_HOLD_MS = 320  # how long a replica delays the answer to a poll without news
POLL_JITTER_MS = 60
LONGEST_UNCONFIRMED_MS = 1_000  # a replica without a majority for longer serves no read; two missed polls
UNSETTLED_MS = 150  # a poll without an agreed value is repeated after this and settled by a full round
REPLICA_SETTLES_AFTER = 2  # rounds without an agreed value until a replica runs a full round
OTHERS_SETTLE_AFTER = 3  # the same for other processes; fewer proposers outbid each other less often

ANNOUNCE_MS = 150  # interval between two announcements of a candidate for membership
UNREACHABLE_MS = 1_500  # a member that is silent for longer is replaced by a waiting candidate
RECONFIGURE_MS = 100  # interval between two checks of the core set
SEALED_PLACE_MS = 150  # per place in the order, until a sealed replica continues the change of the set
TRANSFER_RETRY_MS = 100
INACTIVE_RETRY_MS = 25  # pause after a follower's first refusal because it is not active yet; doubles
MAX_INACTIVE_RETRY_MS = 200
STAGED_TRANSFER_MS = 5_000  # a snapshot that is not fetched for this long is dropped

FOUNDATION_STABLE_MS = 1_000  # without a new replica; all machines start within 0.3 s of each other
FOUNDATION_MAX_WAIT_MS = 4_000  # then a set too small for the configured fault tolerance is accepted
SECOND_FOUNDER_MS = 8_000  # then the second seed founds the core if no process has ever reached the first
FORGETFUL_FOUNDER_MS = 4_000  # wait of a seed without stored state; others report a known core by then

CHUNK_BYTES = 1024 * 1024  # of a whole state, per message
SCHEDULERS_KEPT = 64  # other schedulers that a node remembers
SCHEDULER_FORGOTTEN_MS = 15_000
