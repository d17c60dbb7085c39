"""`counters`: the counters of all parts of one process or all."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from cleo.helpers import option

from flintfield.console.commands.base import ObservingCommand, observing_options
from flintfield.console.exit_codes import OK
from flintfield.console.output import table
from flintfield.console.rpc_client import survey


class CountersCommand(ObservingCommand):
    """One row a counter, one column a process; zeros only with `--all`."""

    name = "counters"
    description = "The counters of each scheduler's parts, since its start"
    options = observing_options(option("all", None, "Those that are 0 everywhere, too", flag=True))

    def observe(self, addresses: Sequence[str]) -> int:
        """Ask everybody."""
        found = asyncio.run(survey(addresses))
        statuses = [status for status in found.processes.values() if status is not None]
        values: dict[str, dict[str, int]] = {}
        for status in statuses:
            for counter in status.counters:
                values.setdefault(f"{counter.part}.{counter.name}", {})[status.name] = counter.value
        if not self.option("all"):
            values = {name: row for name, row in values.items() if any(row.values())}
        names = [status.name for status in statuses]
        rows = [(name, *(str(row.get(each, "")) for each in names)) for name, row in values.items()]
        self.show(values, table(("counter", *names), rows))
        return OK
