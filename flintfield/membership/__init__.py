"""Membership: which instances are there, which are gone, told without a leader.

A pure core, `step(state, now, message) -> effects`: no I/O, no clock, no randomness of its own. `core`
holds the protocol and opens with its theory; `rules` its figures; `wire/membership/` puts it on sockets.
"""
