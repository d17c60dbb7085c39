"""Reading and repairing a replica's disk while no process uses it."""
