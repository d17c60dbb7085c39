"""The prepare and accept rules of a CASPaxos acceptor (Rystsov 2018) for one register. No I/O."""

from __future__ import annotations

from dataclasses import replace

from flintfield.coordination.model import Ballot
from flintfield.coordination.stored import StoredAcceptor


def prepare(state: StoredAcceptor, ballot: Ballot) -> StoredAcceptor | None:
    """Return the state after promising this ballot, or None if a higher ballot was already promised.

    The same ballot may be promised again, so that a duplicated request gets the same answer.
    """
    if ballot < state.promised:
        return None
    return replace(state, promised=ballot)


def accept(state: StoredAcceptor, ballot: Ballot, value: bytes | None) -> StoredAcceptor | None:
    """Return the state after accepting the value, or None if a higher ballot was already promised."""
    if ballot < state.promised:
        return None
    return StoredAcceptor(promised=ballot, accepted=ballot, value=value)
