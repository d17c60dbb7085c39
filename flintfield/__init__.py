"""flintfield: market-based decisions for a dispatcher that pushes jobs to workers, and its cluster."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from flintfield.decision.policy import Dispatcher

__all__ = ["Dispatcher"]
__version__ = "0.1.0"


def __getattr__(name: str) -> object:
    """Import the decision module on first use, since some processes never need it."""
    if name == "Dispatcher":
        from flintfield.decision.policy import Dispatcher

        return Dispatcher
    raise AttributeError(f"module 'flintfield' has no attribute {name!r}")
