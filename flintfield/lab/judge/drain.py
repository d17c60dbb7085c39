"""Rule 3: nothing new to a node later than the grace after its scheduler was told that it drains or is
gone.

A word counts from its `Told` (or from its `since`, for what is sent later) until discovery calls the node
ready again; a scheduler that starts anew knows nothing. A send counts by its first byte.
"""

from __future__ import annotations

from flintfield.lab.judge.findings import Figures, Findings
from flintfield.lab.log import SchedulerState, Sent, Told


class Drains:
    """Judges rule 3."""

    def __init__(self, figures: Figures, findings: Findings) -> None:
        self._grace, self._findings = figures.drain_grace, findings
        # by scheduler and node: when it was first told, where, and of what
        self._told: dict[str, dict[str, tuple[float, int, str]]] = {}

    def told(self, place: int, record: Told) -> None:
        known = self._told.setdefault(record.scheduler, {})
        if record.state == "ready":
            known.pop(record.node, None)
        else:
            at = record.at if record.since is None else record.since
            known.setdefault(record.node, (at, place, record.state))

    def scheduler_state(self, place: int, record: SchedulerState) -> None:
        if record.state != "stopping":
            self._told.pop(record.scheduler, None)

    def sent(self, place: int, record: Sent) -> None:
        found = self._told.get(record.scheduler, {}).get(record.node)
        if found is None or record.at <= found[0] + self._grace:
            return
        at, told, state = found
        how = "drains" if state == "draining" else "is gone"
        word = (f"{record.scheduler} sent {record.rid} to {record.node} {record.at - at:.1f} ms after it was "
                f"told that it {how} (grace {self._grace:g} ms)")
        self._findings.broke("drain", record.at, word, (told, place))
