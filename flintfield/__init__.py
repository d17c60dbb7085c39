"""flintfield: market-based decisions for a dispatcher that pushes jobs to workers."""

from flintfield.decision.policy import Dispatcher

__all__ = ["Dispatcher"]
__version__ = "0.1.0"
