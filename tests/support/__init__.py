"""Helpers shared by several tests: test doubles, simulated environments and reference models."""
