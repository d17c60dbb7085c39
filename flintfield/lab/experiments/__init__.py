"""Experiments: many runs of scenarios, and what they say together.

Rules. A run is named by a `Job`: scenario, seed, engine, chooser and planted fault, and nothing else bears
on its outcome. So results can be kept by the job's key and taken up again, and two variants compared seed
by seed. `runs` plays one job, `pool` plays many over all cores, `settings` changes a scenario by key paths;
`sweep`, `compare`, `fuzz` and `shrink` each ask one question.
"""
