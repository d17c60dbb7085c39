"""Jobs looked up across the group: what is not known here is asked of all others, by datagram, within 100 ms.

A job that was sent again may be known to several: the answer that says most is given. A member that died, or
does not answer, may have known it: the counts say so, for a 404 is no word on whether a seat is booked.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from flintfield.membership.interface import Members
from flintfield.membership.rules import MOST_BODY
from flintfield.wire.http1.jobs import Elsewhere, JobPages, Told

KIND = "job"
WITHIN_MS = 100.0
RANKS: Mapping[object, int] = {"running": 5, "waiting": 4, "interrupted": 2, "ended": 1}
OUTCOMES: Mapping[object, int] = {"served": 2, "failed": 1, "refused": 0}
LIVE = RANKS["waiting"]


class JobLookup:
    """Answers others' questions from our pages, and has the pages ask the others."""

    def __init__(self, pages: JobPages, members: Members) -> None:
        self._pages, self._members = pages, members

    def begin(self) -> None:
        """Take part from now on."""
        self._members.answer(KIND, self._answer)
        self._pages.elsewhere = self._ask

    def _answer(self, body: bytes) -> bytes:
        told = self._pages.tell(body.decode("latin-1"))
        data = msgspec.json.encode({k: v for k, v in told.items() if v is not None}) if told else b""
        return data if len(data) <= MOST_BODY else b""

    async def _ask(self, name: str) -> Elsewhere:
        body = name.encode("latin-1")[:MOST_BODY]
        answers = await self._members.ask_all(KIND, body, WITHIN_MS, _is_live)
        best = max(filter(None, map(_read, answers.told.values())), key=_rank, default=None)
        return Elsewhere(best, {"asked": answers.asked, "silent": len(answers.silent), "gone": answers.gone})


def _read(body: bytes) -> Told | None:
    try:
        return msgspec.json.decode(body, type=dict[str, object]) if body else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _rank(told: Told) -> tuple[int, int]:
    return RANKS.get(told.get("state"), 0), OUTCOMES.get(told.get("outcome"), 0)


def _is_live(body: bytes) -> bool:
    told = _read(body)
    return told is not None and _rank(told)[0] >= LIVE
