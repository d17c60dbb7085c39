"""Start and stop: configuration, log lines, the running program and its end."""
