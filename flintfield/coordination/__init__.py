"""Coordination: replicated register, ordered store, leader election with a lease, reconfiguration of the
core set, and bootstrap of the first core set.

This library has no knowledge of jobs or workers. The protocols are state machines without I/O or a clock
(`acceptor`, `replica`, `follower`, `attempt`, `candidacy`, `leader`, `reconfiguration`, `transfer`,
`foundation`); `flintfield.coordination.shell` performs their I/O. `node.CoreNode` is the public
interface for schedulers and `directory.Directory` the one for agents. docs/system-coordination.md describes
the guarantees and the reasons for them.
"""
