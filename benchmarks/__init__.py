"""What the scheduler costs: decisions, the request path, memory; and how a run compares with an earlier one.

Nothing of the scheduler imports this package.
"""
