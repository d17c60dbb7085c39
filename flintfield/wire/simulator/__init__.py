"""The simulator's binary wire."""
