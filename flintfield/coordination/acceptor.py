"""The acceptor of one register (CASPaxos, Rystsov 2018): two rules, no I/O."""

from __future__ import annotations

from dataclasses import replace

from flintfield.coordination.model import Ballot
from flintfield.coordination.stored import StoredAcceptor


def prepare(state: StoredAcceptor, ballot: Ballot) -> StoredAcceptor | None:
    """The state after a promise for this ballot, or None where a higher one was promised.

    The same ballot may be promised again: a doubled request gets the same answer.
    """
    if ballot < state.promised:
        return None
    return replace(state, promised=ballot)


def accept(state: StoredAcceptor, ballot: Ballot, value: bytes | None) -> StoredAcceptor | None:
    """The state after accepting, or None where a higher ballot was promised."""
    if ballot < state.promised:
        return None
    return StoredAcceptor(promised=ballot, accepted=ballot, value=value)
