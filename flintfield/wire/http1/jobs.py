"""The page of one job: `GET /jobs/<Req-Id>` tells what this scheduler knows of it."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from flintfield.memory.jobs import JobRecord
from flintfield.wire.http1.leg import Reply
from flintfield.wire.http1.submission import BadRequest

JOBS = b"/jobs/"
AS_JSON = ((b"Content-Type", b"application/json"),)


@dataclass(frozen=True, slots=True)
class JobPages:
    """Words the records of jobs; `find` gives one by its id."""

    scheduler: str
    find: Callable[[str], JobRecord | None]

    def page(self, method: bytes, rest: bytes) -> Reply:
        """The answer for what follows `/jobs/`; 404 means not known here, not that the job was not done."""
        if method != b"GET":
            raise BadRequest(405, "this page is read with GET")
        name = unquote_to_bytes(rest).decode("latin-1")  # as ids are read from their header
        job = self.find(name)
        told: dict[str, object] = {"id": name, "state": "unknown"}
        if job:
            told = {"id": name, "kind": job.kind, "state": job.state, "instance": job.instance,
                    "share": job.share, "outcome": job.outcome,
                    "may_have_run": job.ran if job.state == "interrupted" else None}
        told["scheduler"] = self.scheduler
        body = json.dumps({k: v for k, v in told.items() if v is not None}).encode()
        return Reply(200 if job else 404, body, AS_JSON)
