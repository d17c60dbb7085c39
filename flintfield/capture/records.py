"""The words of a record: events and decisions as JSON objects, and events back again.

Worker nodes go by their instance ids and requests by their `Req-Id`; `rid` is the number that the decision
module knows a request by.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict
from typing import Any

from flintfield.decision.interface import (
    Action, AttemptEnded, OperatorOverrides, Cancel, ShutdownAnnounced, Entry, Event, Fail, StreamStarted,
    ClientLeft, PeerObservations, ListMode, AttemptProgress, Outcome, PlanUpdate, Probed, Refuse, Report,
    Request, Send, ServerList, State, Timer, WorkerId,
)

Record = dict[str, Any]
LIFECYCLES = {State.READY: "in_service", State.DRAINING: "terminating", State.GONE: "terminated"}
STATES = {word: state for state, word in LIFECYCLES.items()}
LOAD = {"latency_ms": "latency_ms", "inflight": "inflight", "queue": "queue", "free": "x0", "util": "util"}
REFUSED, FAILED, SENT, CANCELLED = "refused", "failed", "sent", "cancelled"


class Names:
    """What the numbers of the decision module are called outside it."""

    def __init__(self) -> None:
        self.workers: dict[WorkerId, str] = {}
        self.addresses: dict[WorkerId, str] = {}
        self.requests: dict[int, tuple[str, str]] = {}  # Req-Id and Req-Kind

    def worker(self, number: WorkerId) -> str:
        """An instance id; one that is not known goes by its number."""
        return self.workers.get(number, f"#{number}")

    def request(self, rid: int) -> str:
        """A Req-Id."""
        return self.requests[rid][0] if rid in self.requests else f"#{rid}"

    def keep(self, workers: Iterable[WorkerId], requests: Iterable[int]) -> None:
        """Forget all others."""
        self.workers = {w: self.workers[w] for w in workers if w in self.workers}
        self.addresses = {w: self.addresses[w] for w in self.workers if w in self.addresses}
        self.requests = {r: self.requests[r] for r in requests if r in self.requests}


# ------------------------------------------------------------------ writing


def server_record(entry: Entry, names: Names) -> Record:
    """A line of the worker node list, in discovery's words."""
    return {
        "instanceId": names.worker(entry.worker), "hostPort": names.addresses.get(entry.worker, ""),
        "lifecycle": LIFECYCLES[entry.state], "zone": entry.zone, "cell": entry.cell, "kind": entry.kind,
        "weight": entry.weight, "startedAtMs": entry.started_ms, "worker": entry.worker,
    }


def event_record(event: Event, names: Names) -> Record:
    """An event, by `record` and what belongs to that kind."""
    if isinstance(event, Timer):
        return {"record": "timer", "token": event.token}
    if isinstance(event, ServerList):
        return {"record": "discovery", "mode": event.mode.value, "due": event.due,
                "instances": [server_record(e, names) for e in event.entries]}
    if isinstance(event, Probed):
        return {"record": "probe", "instance": names.worker(event.worker), **_ending(event)}
    if isinstance(event, OperatorOverrides):
        return {"record": "by_hand", "out": list(event.out), "back": [list(pair) for pair in event.back],
                "cold_elsewhere": event.cold_elsewhere}
    if isinstance(event, ShutdownAnnounced):
        return {"record": "ends", "by": event.by}
    if isinstance(event, PlanUpdate | PeerObservations):
        raise TypeError("plans and hearsay are not recorded: [role] and [sharing] refuse them with [capture]")
    told: Record = {"record": "", "Req-Id": names.request(event.rid), "rid": event.rid}
    if isinstance(event, Request):
        given = asdict(event)
        return told | {"record": "request", "Req-Kind": names.requests.get(event.rid, ("", ""))[1]} | given
    if isinstance(event, ClientLeft):
        return told | {"record": "left"}
    told |= {"attempt": event.attempt, "instance": names.worker(event.worker)}
    if isinstance(event, AttemptProgress):
        return told | {"record": "progress", "started": event.started, "share": event.done}
    if isinstance(event, AttemptEnded):
        return told | {"record": "answer", "over": event.over, **_ending(event)}
    return told | {"record": "stream"}


def _ending(event: AttemptEnded | Probed) -> Record:
    told: Record = {"outcome": event.outcome.value, "elapsed_ms": event.took_ms}
    if event.report:
        load = {word: getattr(event.report, ours) for ours, word in LOAD.items()}
        told["load"] = {word: value for word, value in load.items() if value is not None}
    return told


def decision_records(actions: Iterable[Action], names: Names) -> Iterable[Record]:
    """What was decided for requests: timers, probes and watches are no decisions on one."""
    for action in actions:
        if isinstance(action, Send | Refuse | Fail | Cancel):
            told = {"record": "decision", "Req-Id": names.request(action.rid), "rid": action.rid}
            if isinstance(action, Send):
                yield told | {"outcome": SENT, "instance": names.worker(action.worker)}
            elif isinstance(action, Cancel):
                yield told | {"outcome": CANCELLED, "attempt": action.attempt}
            elif isinstance(action, Refuse):
                yield told | {"outcome": REFUSED, "retry_after_ms": action.retry_after_ms}
            else:
                yield told | {"outcome": FAILED}


def word_of(decision: Mapping[str, Any]) -> str:
    """A decision in a word: where it was sent, else its outcome."""
    return str(decision["instance"] if decision["outcome"] == SENT else decision["outcome"])


# ------------------------------------------------------------------ reading


def read_event(told: Mapping[str, Any], names: Names) -> Event:
    """The event of a record; a KeyError, TypeError or ValueError if it is none. Names are learned from it."""
    return READERS[told["record"]](told, names)


def read_server(told: Mapping[str, Any], names: Names) -> Entry:
    """A line of the worker node list."""
    names.workers[told["worker"]] = told["instanceId"]
    return Entry(told["worker"], STATES[told["lifecycle"]], told["zone"], told["cell"], told["kind"],
                 told["weight"], told["startedAtMs"])


def _worker(told: Mapping[str, Any], names: Names) -> WorkerId:
    name = told["instance"]
    if name.startswith("#"):
        return int(name[1:])
    return {known: number for number, known in names.workers.items()}[name]


def _rid(told: Mapping[str, Any], names: Names) -> int:
    names.requests.setdefault(told["rid"], (told["Req-Id"], ""))
    return int(told["rid"])


def _report(told: Mapping[str, Any]) -> Report | None:
    load = told.get("load")
    return None if load is None else Report(**{ours: load.get(word) for ours, word in LOAD.items()})


def _read_request(told: Mapping[str, Any], names: Names) -> Request:
    names.requests[told["rid"]] = told["Req-Id"], told["Req-Kind"]
    return Request(**{field: told[field] for field in Request.__dataclass_fields__})


def _read_answer(told: Mapping[str, Any], names: Names) -> AttemptEnded:
    return AttemptEnded(_rid(told, names), told["attempt"], _worker(told, names), Outcome(told["outcome"]),
                        told["elapsed_ms"], told["over"], _report(told))


READERS: dict[str, Callable[[Mapping[str, Any], Names], Event]] = {
    "request": _read_request,
    "answer": _read_answer,
    "timer": lambda told, names: Timer(told["token"]),
    "discovery": lambda told, names: ServerList(
        ListMode(told["mode"]), tuple(read_server(r, names) for r in told["instances"]), told.get("due")),
    "probe": lambda told, names: Probed(
        _worker(told, names), Outcome(told["outcome"]), told["elapsed_ms"], _report(told)),
    "by_hand": lambda told, names: OperatorOverrides(
        tuple(told["out"]), tuple((n, at) for n, at in told["back"]), told["cold_elsewhere"]),
    "ends": lambda told, names: ShutdownAnnounced(told["by"]),
    "left": lambda told, names: ClientLeft(_rid(told, names)),
    "progress": lambda told, names: AttemptProgress(
        _rid(told, names), told["attempt"], _worker(told, names), told["started"], told["share"]),
    "stream": lambda told, names: StreamStarted(_rid(told, names), told["attempt"], _worker(told, names)),
}
