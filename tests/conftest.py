"""Property tests try the same examples at every run."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("same")
