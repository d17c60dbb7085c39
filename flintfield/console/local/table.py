"""The live table of a local cluster: redrawn in place on a terminal, lines of what changed elsewhere."""

from __future__ import annotations

import time
from collections.abc import Callable

from flintfield.console.local.play import PlayedJob, Snapshot

FORM = "{:<16} {:<16} {:<10} {:<10} {:>7}"
TITLES = FORM.format("kind", "job", "state", "must end", "s")
EVENTS_SHOWN = 6


class LiveTable:
    """Shows snapshots; `write` puts out text, `in_place` tells that it goes to a terminal."""

    def __init__(self, write: Callable[[str], None], in_place: bool) -> None:
        self._write = write
        self._in_place = in_place
        self._lines = 0
        self._states: dict[str, str] = {}
        self._events = 0

    def show(self, snapshot: Snapshot) -> None:
        """Show what is new."""
        if self._in_place:
            self._redraw(snapshot)
        else:
            self._append(snapshot)

    def _redraw(self, snapshot: Snapshot) -> None:
        lines = [
            headline(snapshot),
            TITLES,
            *(job_line(job) for job in snapshot.jobs),
            *snapshot.events[-EVENTS_SHOWN:],
        ]
        up = f"\x1b[{self._lines}A" if self._lines else ""
        self._write(up + "".join(f"\x1b[2K{line}\n" for line in lines) + "\x1b[J")
        self._lines = len(lines)

    def _append(self, snapshot: Snapshot) -> None:
        for event in snapshot.events[self._events :]:
            self._write(event + "\n")
        self._events = len(snapshot.events)
        changed = [job for job in snapshot.jobs if self._states.get(job.id) != job.state]
        if not changed:
            return
        self._write(headline(snapshot) + "\n")
        for job in changed:
            self._states[job.id] = job.state
            self._write(job_line(job) + "\n")


def headline(snapshot: Snapshot) -> str:
    """One line on the cluster."""
    leader = f"{snapshot.leader} (epoch {snapshot.epoch})" if snapshot.leader else "none"
    ended = sum(job.ended for job in snapshot.jobs)
    return (
        f"{snapshot.elapsed_s:5.1f} s  {snapshot.running} processes, dispatcher {leader}, "
        f"{ended} of {len(snapshot.jobs)} jobs ended"
    )


def job_line(job: PlayedJob) -> str:
    """One line on a job."""
    until_s = job.ended_s or time.monotonic()
    mark = "" if not job.ended or job.as_expected else "  <- wrong"
    return (
        FORM.format(job.kind.name, job.id, job.state, job.kind.end, f"{until_s - job.submitted_s:.1f}") + mark
    )
