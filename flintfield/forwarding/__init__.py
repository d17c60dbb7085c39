"""Forwarding: how a forwarder uses plans, and the digests it sends to planners.

Rules. Pure: no I/O and no clock; the time is passed in. A forwarder satisfies all four rules without
planners, through its decision module; a plan is an optional input to that module and may be lost at any time.

Theory of operation. `core.Forwarding` keeps the last valid plan of each planner and follows one planner. The
weight of a plan is 1 while it is fresh and then falls linearly to 0 at its expiry. All effects of the plan in
the decision module scale with this weight, so behaviour never changes abruptly.
"""
