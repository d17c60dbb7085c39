"""Membership in virtual time: many members of the real core on a model network, seeded, without sockets."""
