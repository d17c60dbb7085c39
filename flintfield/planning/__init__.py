"""Planning: a planner's view of the whole fleet, and the plans that it computes from it for forwarders.

Rules. Everything here is pure: no I/O, no random numbers and no clock; the time is passed in (monotonic
milliseconds of any origin). `messages` has the messages of the link, `leases` the limits on what may be sent
to a cold worker and until when, `planner` the state of one planner and its interface.

Theory of operation. Forwarders report what they observe and hold in `Digest`s. A planner adds these up,
updates the price of each worker by the excess of all forwarders' demand over RHO of its slots, and assigns
each worker to one forwarder as its *home*, in proportion to the forwarders' demand. It answers each digest
with a `Plan` for that forwarder: its homes with their shares by Eq. (7), some workers of other forwarders
with free slots as overflow for when the homes are full, and leases on cold workers. Only the leases of a plan
matter for safety, and they are safe whatever other planners do: see `leases`.
"""
