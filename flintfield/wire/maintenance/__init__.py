"""The commands that ask running instances of maintenance."""
