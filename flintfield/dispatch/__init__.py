"""The dispatch service: connections, timers and writes around the state machine in `flintfield.jobs`."""
