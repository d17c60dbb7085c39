"""Faults of shared judgements, to be planted in real processes, by name."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from msgspec.structs import replace

from flintfield.decision.peer_evidence import PeerEvidenceDispatcher
from flintfield.decision.records import Worker
from flintfield.sharing import judging
from flintfield.sharing.evidence import News, Tally
from flintfield.sharing.judging import Judgements

_tell, _record_contact = Judgements.tell, PeerEvidenceDispatcher._record_contact


def _blames_all(part: Judgements, now: float, present: Iterable[int]) -> list[tuple[int, News]]:
    """Says of every node that all fails there."""
    worst = (Tally(0, 30, 0), Tally(1, 30, 0))
    return [(place, replace(news, rows=[replace(row, tallies=worst) for row in news.rows]))
            for place, news in _tell(part, now, present)]


def _doubts_forever(dispatcher: PeerEvidenceDispatcher, worker: Worker, report: Any) -> None:
    number = worker.entry.worker
    doubted = number in dispatcher.doubted
    _record_contact(dispatcher, worker, report)
    if doubted:
        dispatcher.doubted.add(number)


FAULTS: dict[str, tuple[object, str, object]] = {
    "blames-all": (Judgements, "tell", _blames_all),
    "no-bound": (judging, "MOST_OUT", 1.0),
    "believes-whoever-blames-all": (judging, "CREDIBLE", 2.0),
    "deaf": (Judgements, "hear", lambda self, now, news: False),
    "doubts-forever": (PeerEvidenceDispatcher, "_record_contact", _doubts_forever),
}
