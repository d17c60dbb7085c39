"""The figures that operators fetch, computed from the counters under the names of the page.

They are computed from the counters on each request, so the two never disagree. The jobs in flight are those
taken minus those answered.
"""

from __future__ import annotations

from collections.abc import Sequence

from flintfield.memory.messages import Verdict
from flintfield.memory.state import State


def figures(state: State, classes: Sequence[str]) -> list[tuple[str, int]]:
    """Names and figures in output order; all count from the start of the process."""
    counters = state.counters
    answered = [(f"{verdict.value}.{name}", counters[f"answers.{verdict.value}.{name}"])
            for verdict in Verdict for name in classes]
    taken = sum(counters[f"requests.taken.{name}"] for name in classes)
    return [
        *answered,
        ("attempts", counters["branches.whole"]),
        ("in_flight", taken - sum(count for _, count in answered)),
        ("worker_nodes_known", len(state.routes)),
        ("worker_nodes_excluded", state.dispatcher.avoided()),
    ]


def write_figures(state: State, classes: Sequence[str]) -> bytes:
    """The figures as text, one `name=value` a line."""
    return b"".join(b"%b=%d\n" % (name.encode(), count) for name, count in figures(state, classes))
