"""Whether a run on sockets says anything of the scheduler.

It does not if the machine kept the scheduler from its core or the engine from its clock: both are measured.
Beyond their bounds, or if a rule broke while the machine was late, the run is void.
"""

from __future__ import annotations

from collections.abc import Sequence

from flintfield.lab.judge import Judge
from flintfield.lab.log import AnyRecord, End
from flintfield.lab.sockets.processes import Scheduler
from flintfield.lab.sockets.timing import Punctuality

# A run is void beyond these. A Python scheduler's own turn takes some ms; what is later is the machine.
LATE_P99_MS, LATE_WORST_MS = 30.0, 500.0
WAIT_SHARE = 0.25  # of the run's time that a scheduler was ready to run and had no core


class Validity:
    """Judges a run as it is written, to find what the machine is to blame for."""

    def __init__(self, punctuality: Punctuality) -> None:
        self._judge, self._punctuality = Judge(), punctuality

    def take(self, record: AnyRecord) -> None:
        """See a record of the run; its end is `excuse`'s."""
        if not isinstance(record, End):
            self._judge.take(record)

    def excuse(self, end: End) -> str:
        """Why the run is void though it kept time on the whole: rules broke only while the machine was late.

        What is sent twice is sent twice however late it is: there is no excuse for the rule `repeat`.
        """
        self._judge.take(end)
        first = ""
        for violation in self._judge.verdict().violations:
            word = ""
            if violation.rule != "repeat":
                word = self._punctuality.excuse(violation.at, violation.word)
            if not word:
                return ""
            first = first or f"{word} when a rule broke ({violation.word})"
        return first

    def void(self, length_ms: float, oddities: Sequence[str], schedulers: Sequence[Scheduler]) -> str:
        """Why the run says nothing, or nothing."""
        if oddities:
            return "; ".join(oddities)
        late = self._punctuality
        if late.p99_ms > LATE_P99_MS or late.worst_ms > LATE_WORST_MS:
            return (f"the engine was late: {late.p99_ms:.0f} ms in one look of a hundred, at worst "
                    f"{late.worst_ms:.0f} (bounds {LATE_P99_MS:.0f} and {LATE_WORST_MS:.0f})")
        worst = max(schedulers, key=lambda s: s.usage.wait_ms)
        share = worst.usage.wait_ms / max(length_ms, 1.0)
        if share > WAIT_SHARE:
            return (f"{worst.name} waited for a core {share:.0%} of the time (bound {WAIT_SHARE:.0%}): "
                    "the machine was too busy")
        return ""
