"""Maintenance in virtual time: executors, schedulers, worker nodes and operators, with faults between
them."""
