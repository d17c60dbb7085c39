"""The page of one job: `GET /jobs/<Req-Id>` tells what this scheduler knows of it, or what others do."""

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
    """What other schedulers say of a job; `counts` tells how many were asked, for one that nobody knows."""

    told: Told | None
    counts: Told


@dataclass(slots=True)
class JobPages:
    """Words the records of jobs; `find` gives one by its id, `elsewhere`, if set, asks other schedulers."""

    scheduler: str
    find: Callable[[str], JobRecord | None]
    elsewhere: Callable[[str], Awaitable[Elsewhere]] | None = None

    def page(self, method: bytes, rest: bytes) -> Reply | Awaitable[Reply]:
        """The answer for what follows `/jobs/`; 404 means not known, not that the job was not done."""
        if method != b"GET":
            raise BadRequest(405, "this page is read with GET")
        name = unquote_to_bytes(rest).decode("latin-1")  # as ids are read from their header
        if told := self.tell(name):
            return _reply(200, told)
        return self._ask(name, self.elsewhere) if self.elsewhere else _reply(404, self._unknown(name))

    def tell(self, name: str) -> Told | None:
        """What is known here of a job; None if nothing is."""
        if (job := self.find(name)) is None:
            return None
        return {"id": name, "kind": job.kind, "state": job.state, "instance": job.instance,
                "share": job.share, "outcome": job.outcome,
                "may_have_run": job.ran if job.state == "interrupted" else None, "scheduler": self.scheduler}

    def _unknown(self, name: str) -> Told:
        return {"id": name, "state": "unknown", "scheduler": self.scheduler}

    async def _ask(self, name: str, elsewhere: Callable[[str], Awaitable[Elsewhere]]) -> Reply:
        found = await elsewhere(name)
        return _reply(200, found.told) if found.told else _reply(404, self._unknown(name) | found.counts)


def _reply(status: int, told: Told) -> Reply:
    return Reply(status, json.dumps({k: v for k, v in told.items() if v is not None}).encode(), AS_JSON)
