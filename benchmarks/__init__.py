"""Measurements and long trials: programs that play the packages, and that nothing imports in service."""
