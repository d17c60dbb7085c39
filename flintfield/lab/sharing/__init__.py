"""Sharing in virtual time: instances of the core on a bad network, and the true ledger of what they spent."""
