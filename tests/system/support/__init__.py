"""What the tests of the system share."""
