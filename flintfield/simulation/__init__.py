"""A deterministic simulator of the whole system, in virtual time and in one process.

The real state machines and the real asyncio shells of schedulers and agents run on event loops whose clock
is virtual (`loop`), over a network (`network`) and disks (`disk`) that misbehave as a seed says. Stand-in
workers follow the users' protocol (`worker`). What clients, workers and the operator saw is kept in a
`record`; the `judge` reads nothing else. One seeded world played to its end is a *history* (`history`).
"""
