"""Saves what a dispatcher has learned about workers and its traffic, and restores it into a new dispatcher.

Unlike `checkpoint.py`, which stores a dispatcher completely so that it can continue, this omits what ends
with the process: jobs, attempts, timers, the random generator. On restore, a worker that has restarted since,
or that the new dispatcher does not list, is skipped, since the figures describe the old process.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from flintfield.decision.policy import Dispatcher
from flintfield.decision.records import Mean, Worker

WORKER_FIELDS = ("price", "health", "most", "others", "rest")  # figures of a worker that are copied unchanged
Figures = tuple[int, float, list[float], tuple[float, int], dict[int, int], dict[int, float]]
FORMAT_VERSION = 1  # version of the saved format; any other is rejected


@dataclass(frozen=True, slots=True)
class RestoreResult:
    """How many workers' figures were restored and how many were skipped."""

    workers: int
    left_out: int


def export_learned(dispatcher: Dispatcher) -> dict[str, Any]:
    """What the dispatcher has learned, as numbers, lists and dicts that JSON and MessagePack support."""
    return {
        "form": FORMAT_VERSION,
        "workers": [_worker(w) for w in dispatcher.workers.values()],
        "costs": [_mean(m) for m in dispatcher.costs],
        "pace": _mean(dispatcher.pace),
        "in_flight": dispatcher.in_flight,
    }


def restore_learned(dispatcher: Dispatcher, saved: Any) -> RestoreResult:
    """Restore the saved figures; raises ValueError, with no change, if they are malformed."""
    try:
        if saved["form"] != FORMAT_VERSION or len(saved["costs"]) != len(dispatcher.costs):
            raise ValueError("unknown format or a different number of classes")
        workers = [_read_worker(w) for w in saved["workers"]]
        means = [_read_mean(m) for m in [saved["pace"], *saved["costs"]]]
        in_flight = _non_negative(saved["in_flight"])
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise ValueError(f"learned figures that cannot be read: {error!r}") from error
    found = 0
    for number, started, figures, pace, errors, shunned in workers:
        worker = dispatcher.workers.get(number)
        if worker is None or worker.entry.started_ms != started:
            continue
        found += 1
        for name, value in zip(WORKER_FIELDS, figures, strict=True):
            setattr(worker, name, value)
        worker.price = min(worker.price, dispatcher.top_price)
        _set_mean(worker.pace, pace)
        worker.errors, worker.shunned = errors, shunned
        dispatcher._rate(worker)  # recomputes the quality that is derived from these figures
        dispatcher.fleet.touch(worker, True)
    for mean, saved_mean in zip([dispatcher.pace, *dispatcher.costs], means, strict=True):
        _set_mean(mean, saved_mean)
    dispatcher.in_flight = in_flight
    dispatcher._resize_near()
    return RestoreResult(found, len(workers) - found)


def cold_sends(dispatcher: Dispatcher, now: float) -> list[list[Any]]:
    """Jobs sent to cold workers within the last `fall_ms`: pairs of time (ms) and cost, by worker."""
    since = now - dispatcher.settings.rules.fall_ms
    return [[w.entry.worker, [list(sent) for sent in w.sent if sent[0] >= since]]
            for w in dispatcher.workers.values() if w.sent]


def restore_cold_sends(dispatcher: Dispatcher, raw: Any) -> None:
    """Count these jobs as sent by this dispatcher; raises ValueError, with no change, if malformed."""
    try:
        sends = [(int(number), [(_non_negative(at), _non_negative(cost)) for at, cost in sent])
                for number, sent in raw]
    except (TypeError, ValueError) as error:
        raise ValueError(f"sends that cannot be read: {error!r}") from error
    for number, sent in sends:
        if (worker := dispatcher.workers.get(number)) is not None:
            worker.sent.extendleft(reversed(sent))


def _worker(worker: Worker) -> list[Any]:
    return [worker.entry.worker, worker.entry.started_ms, [getattr(worker, name) for name in WORKER_FIELDS],
            _mean(worker.pace), list(worker.errors.items()), list(worker.shunned.items())]


def _mean(mean: Mean) -> list[float]:
    return [mean.value, mean.count]


def _read_worker(raw: Any) -> Figures:
    number, started, figures, pace, errors, shunned = raw
    if len(figures) != len(WORKER_FIELDS):
        raise ValueError("wrong number of figures for a worker")
    return (int(number), float(started), [_non_negative(f) for f in figures], _read_mean(pace),
            {int(cls): int(n) for cls, n in errors}, {int(cls): _non_negative(at) for cls, at in shunned})


def _read_mean(raw: Any) -> tuple[float, int]:
    value, count = raw
    return _non_negative(value), int(count)


def _non_negative(raw: Any) -> float:
    value = float(raw)
    if not 0.0 <= value < math.inf:
        raise ValueError(f"{value} is not a finite non-negative number")
    return value


def _set_mean(mean: Mean, saved: tuple[float, int]) -> None:
    mean.value, mean.count = saved
