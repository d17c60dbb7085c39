"""Chooses a worker for each ready task: by market shares, within the capacity on the dispatcher's record."""
