"""Short event logs told by hand: two schedulers, two nodes, a class that may be repeated and one that must
not."""

from __future__ import annotations

from typing import Any, Literal

import msgspec

from flintfield.lab import log
from flintfield.lab.judge import judge
from flintfield.lab.verdict import Verdict

SAFE = log.Class("match", worth=1, aim_ms=600, stretch=2, deadline_ms=8_000, effect="safe")
UNSAFE = log.Class("booking", worth=10, aim_ms=400, stretch=2, deadline_ms=20_000, effect="unsafe")


class Story:
    """Adds records to a log; times are given or go on from the last one."""

    def __init__(self, engine: Literal["virtual", "sockets"] = "virtual", **changes: Any) -> None:
        given: dict[str, Any] = dict(
            scenario="story", seed=1, engine=engine, chooser="flintfield", schedulers=2, length_ms=20_000,
            classes=(SAFE, UNSAFE), worth_by_work=True, drain_grace_ms=400, answer_slack_ms=8,
            cold_multiple=3, cold_window_ms=1_000)
        self.log, self.now = log.Log(), 0.0
        self.add(log.Begin, 0, **given | changes)
        for scheduler in ("s0", "s1"):
            self.add(log.SchedulerState, scheduler=scheduler, state="up", zone="a")
        for node, zone in (("n0", "a"), ("n1", "b")):
            self.add(log.NodeUp, node=node, zone=zone, kind="k", slots=2, cores=2, capacity=2, warm_share=1.0)

    def add(self, record: Any, at: float | None = None, /, **fields: Any) -> int:
        """Write one record down and return its place."""
        self.now = self.now if at is None else at
        told = log.encode_line(record(self.now, **fields))  # read back, so that whole numbers are floats
        self.log.add(msgspec.json.decode(told, type=record))
        return len(self.log) - 1

    def ask(self, rid: str, at: float, cls: str = "booking", scheduler: str = "s0", **fields: Any) -> int:
        """A client's first try; its wish is named like the try."""
        wait = 20_000.0 if cls == "booking" else 8_000.0
        given: dict[str, Any] = dict(request=rid, attempt=0, scheduler=scheduler, cls=cls, work=1_000.0,
                                     first_at=at, deadline_at=at + wait)
        return self.add(log.Asked, at, rid=rid, **given | fields)

    def answer(self, rid: str, at: float, verdict: str = "served", body: str = "") -> int:
        """A final answer; a served one with the body that the node made, if none is given."""
        made = body or (f"made {rid}" if verdict == "served" else "")
        return self.add(log.Answered, at, rid=rid, verdict=verdict, body=made)

    def attempt(self, rid: str, at: float, *steps: str, branch: int = 0, node: str = "n0",
                scheduler: str = "s0", cost: float = 1_000.0) -> dict[str, int]:
        """An attempt's steps, 1 ms apart: sent, arrived, started, done, turned, killed, let."""
        me: dict[str, Any] = dict(rid=rid, branch=branch)
        kinds: dict[str, tuple[Any, dict[str, Any]]] = {
            "sent": (log.Sent, dict(scheduler=scheduler, node=node)),
            "arrived": (log.Arrived, dict(scheduler=scheduler, node=node, cost=cost)),
            "started": (log.Started, dict(node=node)),
            "done": (log.Done, dict(node=node, body=f"made {rid}")),
            "turned": (log.TurnedAway, dict(node=node)),
            "killed": (log.Broke, dict(node=node, how="killed", started=True)),
            "let": (log.LetGo, dict(scheduler=scheduler)),
        }
        return {step: self.add(kinds[step][0], at + i, **me, **kinds[step][1])
                for i, step in enumerate(steps)}

    def end(self, at: float = 60_000.0, **fields: Any) -> Verdict:
        """End the log and judge it."""
        self.add(log.End, max(at, self.now), **fields)
        return judge(self.log)


def rules(verdict: Verdict) -> list[str]:
    """The rules broken, one entry for each violation."""
    return [v.rule for v in verdict.violations]
