"""Limits that hold over all instances together, whoever hears nothing. Pure: no I/O, no clock.

`core.py` opens with the theory of operation; `docs/sharing.md` has the law of the bound and its proof.
"""
