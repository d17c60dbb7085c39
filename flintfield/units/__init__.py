"""Features as units: `interface.py` says what a unit may offer; each feature is a file beside it."""
