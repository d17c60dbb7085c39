"""Queues shaped like the SQS HTTP API: a pure core. It does no I/O and reads no clock."""
