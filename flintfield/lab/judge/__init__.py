"""The judge: reads an event log and states service and the four rules.

Rules of this package. It reads the log alone: no scheduler's insides, no scenario, no clock. It is pure,
reads each record once and in order, and holds no more than what is open: tries for their deadline and
`KEEP_MS` more, cold nodes, and one entry for each scheduler and node that it was told drains or is gone.
Time is linear in the records.

Theory. `tries` keeps what is known of each try and its attempts; one file for each rule looks at it and
puts what it finds into `findings`: `answer` (one final answer in time), `repeat` (nothing twice that must
not, never two at once), `drain` (nothing new after the grace), `cold` (no cold node pushed over by all
together). `service` follows wishes from their first try to their end. `court` leads the records through all
of them.

Source: the operators' wording of the rules, with the figures that the log's first record carries. On engine
`sockets` every time limit is 50 ms longer, for there the onlooker's own clock has jitter.
"""

from flintfield.lab.judge.court import Judge, judge, judge_file
from flintfield.lab.judge.findings import LogError

__all__ = ["Judge", "LogError", "judge", "judge_file"]
