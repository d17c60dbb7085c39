"""Start and stop of the scheduler: configuration, log lines and the running program."""
