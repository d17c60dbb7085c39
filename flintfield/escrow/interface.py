"""The door of escrow: what others import."""

from flintfield.escrow.account import Account, Pool, Units, part_of
from flintfield.escrow.words import LINES, AskNet, Even, Give, Line, Net, Took, Want

__all__ = [
    "LINES", "Account", "AskNet", "Even", "Give", "Line", "Net", "Pool", "Took", "Units", "Want", "part_of",
]
