"""`jobs`: the jobs that the dispatcher keeps."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from cleo.helpers import option

from flintfield.console.commands.base import ObservingCommand, observing_options
from flintfield.console.exit_codes import OK
from flintfield.console.output import moment, table
from flintfield.console.rpc_client import ask_dispatcher
from flintfield.observe.messages import JobRow, Jobs
from flintfield.observe.questions import PAGE_ROWS, AskJobs

TITLES = (
    "job",
    "queue",
    "service",
    "priority",
    "state",
    "accepted (UTC)",
    "ended (UTC)",
    "tasks done",
    "times done",
)


class JobsCommand(ObservingCommand):
    """Eldest first."""

    name = "jobs"
    description = "The jobs: queue, state, how many of their tasks are done"
    options = observing_options(
        option("queue", None, "Only the jobs of this queue (a route's name)", flag=False),
        option("open", None, "Only jobs that have not ended", flag=True),
        option("limit", None, "How many at most", flag=False, default="1000"),
    )

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask the dispatcher, page by page."""
        limit = self.whole_number("limit")
        queue, open_only = self.option("queue") or "", bool(self.option("open"))
        rows: list[JobRow] = []
        while True:
            question = AskJobs(queue, open_only, len(rows), min(PAGE_ROWS, limit - len(rows)))
            page = asyncio.run(ask_dispatcher(addresses, question, Jobs))
            rows += page.rows
            if not page.rows or len(rows) >= min(page.total, limit):
                break
        text = table(TITLES, [_cells(row) for row in rows]) + f"\n{len(rows)} of {page.total} jobs"
        self.show({"epoch": page.epoch, "total": page.total, "jobs": rows}, text)
        return OK


def _cells(row: JobRow) -> tuple[object, ...]:
    return (
        row.id,
        row.queue,
        row.service,
        row.priority,
        row.state,
        moment(row.accepted_wall_ms),
        moment(row.ended_wall_ms),
        _part(row.tasks_done, row.tasks),
        _part(row.times_done, row.times),
    )


def _part(done: int, of: int) -> str:
    """So many of so many; "" for an ended job, of which nothing is open."""
    return f"{done}/{of}" if of else ""
