"""A whole cluster on one machine: real processes on loopback addresses, with stand-in workers."""
