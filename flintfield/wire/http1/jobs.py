"""The page of one job: `GET /jobs/<Req-Id>` returns this scheduler's record of it, or another scheduler's."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from flintfield.memory.jobs import JobRecord
from flintfield.wire.http1.reply import Reply
from flintfield.wire.http1.submission import BadRequest

JOBS = b"/jobs/"
AS_JSON = ((b"Content-Type", b"application/json"),)
Told = dict[str, object]


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """Other schedulers' record of a job; `counts` says how many were asked, for a job that none knows."""

    told: Told | None
    counts: Told


@dataclass(slots=True)
class JobPages:
    """Serves job records; `find` looks one up by id, `elsewhere`, if set, asks other schedulers."""

    scheduler: str
    find: Callable[[str], JobRecord | None]
    elsewhere: Callable[[str], Awaitable[Elsewhere]] | None = None

    def page(self, method: bytes, rest: bytes) -> Reply | Awaitable[Reply]:
        """Answer for `rest`, the path after `/jobs/`. A 404 means unknown; the job may still have run."""
        if method != b"GET":
            raise BadRequest(405, "this page is read with GET")
        name = unquote_to_bytes(rest).decode("latin-1")  # ids in the Req-Id header are decoded the same way
        if record := self.tell(name):
            return _reply(200, record)
        return self._ask_others(name, self.elsewhere) if self.elsewhere else _reply(404, self._unknown(name))

    def tell(self, name: str) -> Told | None:
        """This scheduler's record of a job; None if it has none."""
        if (job := self.find(name)) is None:
            return None
        return {"id": name, "kind": job.kind, "state": job.state, "instance": job.instance,
                "share": job.share, "outcome": job.outcome,
                "may_have_run": job.ran if job.state == "interrupted" else None, "scheduler": self.scheduler}

    def _unknown(self, name: str) -> Told:
        return {"id": name, "state": "unknown", "scheduler": self.scheduler}

    async def _ask_others(self, name: str, elsewhere: Callable[[str], Awaitable[Elsewhere]]) -> Reply:
        found = await elsewhere(name)
        return _reply(200, found.told) if found.told else _reply(404, self._unknown(name) | found.counts)


def _reply(status: int, fields: Told) -> Reply:
    return Reply(status, json.dumps({k: v for k, v in fields.items() if v is not None}).encode(), AS_JSON)
