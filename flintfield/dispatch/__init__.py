"""The dispatcher's shell: connections, timers and writes around the state machine in `flintfield.jobs`."""
