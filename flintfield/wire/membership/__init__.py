"""Membership on sockets: `codec` writes and reads, `keys` and `seal` guard, `member` is the shell of the
core.

The format is described in docs/membership.md.
"""
