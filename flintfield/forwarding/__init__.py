"""Forwarding: what a forwarder does with plans, and what it tells planners.

Rules. Pure: no I/O, no clock but the time handed in. A forwarder keeps all four rules alone, with the
decision module it always had; a plan is an input to it, which it may lose at any moment.

Theory of operation. `core.Forwarding` keeps the last good plan of each planner and follows one. The weight
of a plan falls evenly from 1, when it answers a digest of this moment, to 0 at its end, and with it all
that the plan does in the module: there is no moment at which behaviour jumps.
"""
