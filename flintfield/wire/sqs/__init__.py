"""The SQS-style HTTP API: bytes to operations of the queues, and results back to bytes."""
