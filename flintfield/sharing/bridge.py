"""Between the judgements and the decisions: what one has to say to the other, as a reducer's message."""

from __future__ import annotations

from dataclasses import dataclass

from flintfield.decision.peer_evidence import PeerEvidenceDispatcher
from flintfield.decision.interface import PeerObservation, PeerObservations
from flintfield.memory.messages import UnitMessage
from flintfield.memory.reducer import Turn
from flintfield.sharing.experience import Look
from flintfield.sharing.judging import LOOK_MS, Judgements


@dataclass(frozen=True, slots=True)
class Hear(UnitMessage):
    """Something is heard anew of worker nodes."""

    news: PeerObservations


def take_hearsay(turn: Turn, message: Hear) -> None:
    """The reducer's handler: the decisions are told."""
    turn.ask(message.news)


def exchange(part: Judgements, dispatcher: PeerEvidenceDispatcher, now: float) -> Hear | None:
    """Hand over what the decisions saw, and give back what they are to know; None if that is nothing new.

    `now`: ms of our life, the clock of the judgements.
    """
    changed, ends = dispatcher.news()
    for number, cls, failed in ends:
        if (worker := dispatcher.workers.get(number)) is not None:
            part.ended(now, number, max(0, int(worker.entry.started_ms)), cls, failed)
    for worker in changed:
        part.look(now, Look(worker.entry.worker, worker.mine, worker.most,
                            max(0, int(worker.entry.started_ms)), dispatcher.is_silent(worker)))
    if part.listed != len(dispatcher.workers) or now > part.forgot_at + LOOK_MS:
        part.forget(dispatcher.workers)
    rows, weight = part.step(now), round(part.weight(now), 3)
    if not rows and abs(weight - dispatcher.weight) < 0.01:
        return None
    return Hear(PeerObservations(weight, tuple(
        PeerObservation(r.worker, r.held, r.most, r.avoid, r.unreached) for r in rows)))
