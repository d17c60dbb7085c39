"""The node agent: the registry and only caller of the worker on its machine.

`core.Agent` is a state machine (events in, effects out) that is made of `incarnation`, `orders`, `holds`,
`listing`, `clock` and `reports`; `link.Link` is the one that chooses the dispatcher's connection. The shells
are `registry` (heartbeats by HTTP), `worker_client` (calls by curl), `dispatcher_link` (reports and orders),
and `service`, which assembles them.
"""
