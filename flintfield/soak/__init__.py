"""Soak runs: a cluster of real processes on loopback under overlapping series of signals and restarts.

A plan is drawn from a seed (`plan`), carried out by `play` while clients and operators call (`clients`), over
connections that they use until the process is gone (`kept_connection`), and judged by what these saw and how
the processes ended (`record`, `judge`). `python -m flintfield.soak --help` tells the rest;
`docs/system-soak.md` tells what is shown by it and what is not.
"""
