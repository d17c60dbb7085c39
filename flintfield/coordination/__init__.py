"""Coordination: replicated register, ordered store, election with a lease, change of the core set,
foundation.

A library that knows nothing of jobs or workers. The protocols are state machines without I/O or clock
(`acceptor`, `replica`, `follower`, `attempt`, `candidacy`, `leader`, `reconfiguration`, `transfer`,
`foundation`); the shell in `flintfield.coordination.shell` carries them out. `node.CoreNode` is the public
face for schedulers and `directory.Directory` the one for agents. docs/system-coordination.md tells what is
guaranteed and why.
"""
