"""What is counted while the dispatcher runs under a hollow load, and how it is printed."""

from __future__ import annotations

import os
import resource
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from flintfield.jobs.state import Counters

URGENT_BOUND_MS = 1_200.0


@dataclass(slots=True)
class Meter:
    """What was counted in the window of measurement."""

    spent_ns: Counter[str] = field(default_factory=Counter)
    handled: Counter[str] = field(default_factory=Counter)
    bytes_in: int = 0
    bytes_out: int = 0
    messages_out: int = 0
    starts: int = 0
    written: Counter[str] = field(default_factory=Counter)
    writes: int = 0
    urgent_ms: list[float] = field(default_factory=list)
    other_ms: list[float] = field(default_factory=list)
    late_ms: list[float] = field(default_factory=list)  # how long events waited for the dispatcher

    def add(self, what: str, spent_ns: int) -> None:
        """Count one event."""
        self.spent_ns[what] += spent_ns
        self.handled[what] += 1


class MeasuredCluster(Protocol):
    """What is printed of a cluster."""

    refused: int

    @property
    def workers(self) -> int:
        """How many there are."""

    @property
    def running(self) -> int:
        """Runs on all of them."""

    @property
    def unstarted(self) -> int:
        """Jobs that were taken in and not started yet."""

    @property
    def content(self) -> Mapping[bytes, bytes]:
        """The ordered store."""

    @property
    def counters(self) -> Counters:
        """The dispatcher's own."""


def quantile(values: list[float], share: float) -> float:
    """The value below which that share lies; 0 for none."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


def print_window(cluster: MeasuredCluster, meter: Meter, seconds: float) -> None:
    """The figures of a window."""
    print(
        f"\n{cluster.workers} workers, {cluster.running} tasks running, "
        f"{meter.starts / seconds:.0f} starts a second; load of the machine {os.getloadavg()[0]:.1f}"
    )
    print_processor(meter, seconds)
    print_traffic(meter, seconds)
    print_waits(cluster, meter)
    kept = sum(len(key) + len(value) for key, value in cluster.content.items())
    peak_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_024
    print(
        f"  kept in the store: {len(cluster.content)} records, {kept / 1_000:.0f} KB; "
        f"peak of the process with its fleet {peak_mib:.0f} MiB; {cluster.counters}"
    )


def print_processor(meter: Meter, seconds: float) -> None:
    """Where the processor time goes."""
    total_ns = sum(meter.spent_ns.values())
    print(
        f"  processor: {total_ns / seconds / 1e7:.1f} % of a core, "
        f"{total_ns / max(meter.starts, 1) / 1e6:.2f} ms for each start; "
        f"events waited {quantile(meter.late_ms, 0.5):.1f} ms (median), "
        f"{quantile(meter.late_ms, 0.99):.0f} (99 %), {max(meter.late_ms):.0f} (most)"
    )
    for what, spent in sorted(meter.spent_ns.items(), key=lambda item: -item[1]):
        count = meter.handled[what]
        print(
            f"    {what:<22}{count / seconds:8.0f} /s {spent / count / 1_000:8.0f} µs "
            f"{spent / seconds / 1e7:6.1f} %"
        )


def print_traffic(meter: Meter, seconds: float) -> None:
    """Messages and bytes."""
    written = sum(meter.written.values()) / max(meter.starts, 1)
    print(
        f"  records written: {written:.0f} bytes for each start ({dict(meter.written)}), "
        f"{meter.writes / seconds:.0f} writes a second"
    )
    print(
        f"  in {meter.handled['report'] / seconds:.0f} messages/s, "
        f"{meter.bytes_in / seconds / 1_000:.0f} KB/s; "
        f"out {meter.messages_out / seconds:.0f} messages/s, {meter.bytes_out / seconds / 1_000:.0f} KB/s"
    )


def print_waits(cluster: MeasuredCluster, meter: Meter) -> None:
    """From the submission to the first start at a worker."""
    above = sum(wait_ms > URGENT_BOUND_MS for wait_ms in meter.urgent_ms)
    print(
        f"  first start: urgent p50 {quantile(meter.urgent_ms, 0.5):.0f}, "
        f"p99 {quantile(meter.urgent_ms, 0.99):.0f} ms, "
        f"{above} of {len(meter.urgent_ms)} above {URGENT_BOUND_MS:.0f}; "
        f"others p50 {quantile(meter.other_ms, 0.5):.0f}, p99 {quantile(meter.other_ms, 0.99):.0f} ms; "
        f"not started {cluster.unstarted}, refused {cluster.refused}"
    )
