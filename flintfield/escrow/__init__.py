"""Rights that no clock gives back: units with one holder each, moved between places. Pure: no I/O, no clock.

`account.py` opens with the theory; `interface.py` is the door; `docs/maintenance.md` has the law and its
proof.
"""
