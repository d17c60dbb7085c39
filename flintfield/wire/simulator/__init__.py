"""The simulator's binary wire protocol."""
