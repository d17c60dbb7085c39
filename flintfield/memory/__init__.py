"""The in-memory state of the scheduler and the reducer that changes it."""
