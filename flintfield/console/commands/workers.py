"""`workers`: what the dispatcher knows of each worker."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from flintfield.console.commands.base import ObservingCommand, observing_options
from flintfield.console.exit_codes import OK
from flintfield.console.output import duration, table, word
from flintfield.console.rpc_client import ask_dispatcher
from flintfield.observe.messages import WorkerRow, Workers
from flintfield.observe.questions import AskWorkers

TITLES = (
    "machine",
    "worker",
    "service",
    "zone",
    "labels",
    "state",
    "trusted",
    "cpu",
    "memory MB",
    "GPUs",
    "runs",
    "price",
    "speed",
    "load",
    "report",
)
MOST_ROWS = 10_000


class WorkersCommand(ObservingCommand):
    """Capacity and use, state, price, speed, trust."""

    name = "workers"
    description = "The workers: capacity, what is used, state, price, speed, whether they are trusted"
    options = observing_options()

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask the dispatcher, page by page."""
        rows: list[WorkerRow] = []
        while True:
            page = asyncio.run(ask_dispatcher(addresses, AskWorkers(len(rows)), Workers))
            rows += page.rows
            if not page.rows or len(rows) >= min(page.total, MOST_ROWS):
                break
        rows.sort(key=lambda row: (row.service, row.machine))
        self.show({"epoch": page.epoch, "workers": rows}, table(TITLES, [_cells(row) for row in rows]))
        return OK


def _cells(row: WorkerRow) -> tuple[object, ...]:
    state = word(row.condition)
    if row.leaves_in_ms >= 0:
        state += f", leaves in {duration(row.leaves_in_ms)}"
    return (
        row.machine,
        row.instance,
        row.service,
        row.zone,
        ",".join(row.labels),
        state,
        "yes" if row.trusted else "no",
        f"{row.used_cpu}/{row.cpu}",
        f"{row.used_memory_mb}/{row.memory_mb}",
        f"{row.used_gpu}/{row.gpu}",
        row.runs,
        f"{row.price:.3f}",
        f"{row.speed:.2f}",
        f"{row.load:.2f}",
        duration(row.report_ms_ago),
    )
