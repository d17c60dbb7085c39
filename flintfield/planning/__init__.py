"""Planning: what a planner knows of the whole fleet, and the plans that it makes of it for forwarders.

Rules. Everything here is pure: no I/O, no clock but the time that is handed in (milliseconds that only move
forward, of any origin), no random numbers. `messages` holds what goes over the link, `leases` who may send
what to a cold worker and until when, `planner` the state of one planner and its one way in and out.

Theory of operation. Forwarders tell what they see and hold in `Digest`s. A planner adds them up, steps the
price of each worker by the excess of all forwarders' demand over RHO of its slots, gives each worker to one
forwarder as its *home* in proportion to the forwarders' demand, and answers each digest with a `Plan` for
that forwarder: its homes with their shares by Eq. (7), some roomy workers of others for when the homes are
full, and leases on cold workers. Nothing in a plan is needed for safety but the leases, and these are safe
whoever else plans: see `leases`.
"""
