"""Jobs: their steps, tasks and runs as state machines, and the messages about them between processes."""
