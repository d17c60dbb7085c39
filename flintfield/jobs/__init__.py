"""Jobs: their steps, tasks and runs as state machines, and what is said of them between processes."""
