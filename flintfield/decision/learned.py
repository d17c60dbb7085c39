"""What a dispatcher has learned of the fleet and of its own traffic, as plain values, and back into a next.

Unlike `checkpoint.py`, which writes out all of a dispatcher to play it on, this leaves out what ends with the
process: jobs, attempts, timers, the random generator. A worker that has started anew since, or that the new
dispatcher does not know, is left out too: what was seen is of the old one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from flintfield.decision.policy import Dispatcher
from flintfield.decision.records import Mean, Worker

WORKER = ("price", "health", "most", "others", "rest")  # figures of a worker that are taken as they are
Figures = tuple[int, float, list[float], tuple[float, int], dict[int, int], dict[int, float]]
FORM = 1  # of what is written: another one is not read


@dataclass(frozen=True, slots=True)
class Recalled:
    """How much of what was saved counts again."""

    workers: int
    left_out: int


def learned(dispatcher: Dispatcher) -> dict[str, Any]:
    """What it has learned: numbers, lists and dictionaries, which JSON and MessagePack can write."""
    return {
        "form": FORM,
        "workers": [_worker(w) for w in dispatcher.workers.values()],
        "costs": [_mean(m) for m in dispatcher.costs],
        "pace": _mean(dispatcher.pace),
        "in_flight": dispatcher.in_flight,
    }


def recall(dispatcher: Dispatcher, saved: Any) -> Recalled:
    """Let it start from there; a ValueError, and a dispatcher as it was, if it can not be read."""
    try:
        if saved["form"] != FORM or len(saved["costs"]) != len(dispatcher.costs):
            raise ValueError("of another form")
        workers = [_read_worker(w) for w in saved["workers"]]
        means = [_read_mean(m) for m in [saved["pace"], *saved["costs"]]]
        in_flight = _figure(saved["in_flight"])
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise ValueError(f"learned figures that cannot be read: {error!r}") from error
    found = 0
    for number, started, figures, pace, errors, shunned in workers:
        worker = dispatcher.workers.get(number)
        if worker is None or worker.entry.started_ms != started:
            continue
        found += 1
        for name, value in zip(WORKER, figures, strict=True):
            setattr(worker, name, value)
        worker.price = min(worker.price, dispatcher.top_price)
        _set_mean(worker.pace, pace)
        worker.errors, worker.shunned = errors, shunned
        dispatcher._rate(worker)  # what is made of these figures is made anew
        dispatcher.fleet.touch(worker, True)
    for mean, told in zip([dispatcher.pace, *dispatcher.costs], means, strict=True):
        _set_mean(mean, told)
    dispatcher.in_flight = in_flight
    dispatcher._size_up()
    return Recalled(found, len(workers) - found)


def spent(dispatcher: Dispatcher, now: float) -> list[list[Any]]:
    """What was sent to cold workers within a fall window: pairs of time (ms) and cost, by worker."""
    since = now - dispatcher.settings.rules.fall_ms
    return [[w.entry.worker, [list(sent) for sent in w.sent if sent[0] >= since]]
            for w in dispatcher.workers.values() if w.sent]


def take_spent(dispatcher: Dispatcher, raw: Any) -> None:
    """Let it count as sent by this dispatcher; a ValueError, and nothing taken, if it can not be read."""
    try:
        told = [(int(number), [(_figure(at), _figure(cost)) for at, cost in sent]) for number, sent in raw]
    except (TypeError, ValueError) as error:
        raise ValueError(f"sends that cannot be read: {error!r}") from error
    for number, sent in told:
        if (worker := dispatcher.workers.get(number)) is not None:
            worker.sent.extendleft(reversed(sent))


def _worker(worker: Worker) -> list[Any]:
    return [worker.entry.worker, worker.entry.started_ms, [getattr(worker, name) for name in WORKER],
            _mean(worker.pace), list(worker.errors.items()), list(worker.shunned.items())]


def _mean(mean: Mean) -> list[float]:
    return [mean.value, mean.count]


def _read_worker(raw: Any) -> Figures:
    number, started, figures, pace, errors, shunned = raw
    if len(figures) != len(WORKER):
        raise ValueError("figures are missing")
    return (int(number), float(started), [_figure(f) for f in figures], _read_mean(pace),
            {int(cls): int(n) for cls, n in errors}, {int(cls): _figure(at) for cls, at in shunned})


def _read_mean(raw: Any) -> tuple[float, int]:
    value, count = raw
    return _figure(value), int(count)


def _figure(raw: Any) -> float:
    value = float(raw)
    if not 0.0 <= value < math.inf:
        raise ValueError(f"{value} is no figure")
    return value


def _set_mean(mean: Mean, told: tuple[float, int]) -> None:
    mean.value, mean.count = told
