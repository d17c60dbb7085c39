"""Thin executables: read the settings, assemble the parts, start, stop."""
