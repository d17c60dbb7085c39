"""Prints what a stand-in worker has run, a line each; `flintfield.soak.worker_events` reads them."""

from __future__ import annotations

from .worker_model import Log


class RunEventPrinter:
    """How much of a worker's log was printed; times are ms of the worker's clock."""

    def __init__(self) -> None:
        self._forget()

    def _forget(self) -> None:
        self._starts = 0
        self._ends = 0
        self._notes = 0
        self._listed = 0

    def tell(self, log: Log) -> None:
        """Print what is new."""
        lines = [f"run start {at} {task} {run}" for at, task, run in log.starts[self._starts :]]
        for number, (at, task, run, how) in enumerate(log.ends[self._ends :], self._ends + 1):
            lines.append(f"run end {at} {task} {run} {how} {number}")
        lines += [f"run noted {at} {number}" for at, number in log.taken_note_of[self._notes :]]
        lines += [f"run listed {at} {number}" for at, number in log.listed[self._listed :]]
        self._starts, self._ends, self._notes = len(log.starts), len(log.ends), len(log.taken_note_of)
        self._listed = len(log.listed)
        if lines:
            print("\n".join(lines), flush=True)

    def tell_gone(self, at: int) -> None:
        """The incarnation is over, with all that runs there; the numbers of the next one's ends are new."""
        print(f"run gone {at}", flush=True)
        self._forget()
